"""HTTP server shared by the platform's stand-ins, with fault injection."""

import signal
import socket
from abc import ABC, abstractmethod
from typing import NamedTuple

import anyio
import msgspec
from hypercorn.asyncio import serve
from hypercorn.config import Config

MODES = ("ok", "stale", "down", "silent")
SCOPES = ("all", "open")


class Request(NamedTuple):
    """An HTTP request.

    :param path: path without the query.
    :param query: query parameters as text.
    :param if_none_match: header ``If-None-Match``, empty if absent.
    """

    method: str
    path: str
    query: dict
    body: bytes
    if_none_match: str = ""


class Response(NamedTuple):
    """An HTTP response."""

    status: int
    body: bytes = b""
    headers: tuple = ()


def build_json_response(value, status=200):
    """Return a response with a JSON body."""
    headers = ((b"content-type", b"application/json"),)
    return Response(status, msgspec.json.encode(value), headers)


class BasePlatformService(ABC):
    """ASGI application with fault modes that are set by a control request.

    Modes: ``ok``; ``stale`` (responses show the data as of the change of mode);
    ``down`` (status 503); ``silent`` (no response on any connection, or with the scope
    ``open`` only on the connections used before the change of mode).
    """

    def __init__(self):
        self.mode = "ok"
        self.n_calls = 0
        self.n_pending = 0
        self.seen_clients = set()
        self.silent_clients = set()
        self.stopped = anyio.Event()

    @abstractmethod
    async def answer(self, request):
        """Handle a request of the service's own protocol.

        :param request: :class:`Request`.
        :returns: :class:`Response`.
        """

    @abstractmethod
    def handle_service_command(self, request):
        """Handle a request under ``/control/`` that only this service has."""

    @abstractmethod
    def save_snapshot(self):
        """Save the data that responses show while the mode is ``stale``."""

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        request = await receive_request(scope, receive)
        if request.path.startswith("/control/"):
            await send_response(send, self.handle_command(request))
            return
        self.n_calls += 1
        self.n_pending += 1
        try:
            response = await self.handle_until_stopped(request, tuple(scope["client"]))
        finally:
            self.n_pending -= 1
        await send_response(send, response)

    async def handle_until_stopped(self, request, client):
        """Handle a service request; status 503 if the server stops meanwhile."""
        response = Response(503)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.cancel_on_stop, tasks.cancel_scope)
            response = await self.handle_service_call(request, client)
            tasks.cancel_scope.cancel()
        return response

    async def cancel_on_stop(self, scope):
        """Cancel a scope when the server stops."""
        await self.stopped.wait()
        scope.cancel()

    async def handle_service_call(self, request, client):
        """Handle a service request in the current mode."""
        self.seen_clients.add(client)
        response = Response(503)
        if self.mode != "down":
            response = await self.answer(request)
        if self.mode == "down":
            return Response(503)
        if self.mode == "silent" or client in self.silent_clients:
            await anyio.sleep_forever()
        return response

    def handle_command(self, request):
        """Handle a control request."""
        if (request.method, request.path) == ("GET", "/control/calls"):
            return build_json_response(
                {"calls": self.n_calls, "pending": self.n_pending}
            )
        if (request.method, request.path) == ("POST", "/control/mode"):
            return self.set_mode(request.body)
        return self.handle_service_command(request)

    def set_mode(self, body):
        """Set the mode from a JSON body; status 400 if the body is invalid."""
        try:
            command = msgspec.json.decode(body, type=dict[str, str])
        except msgspec.DecodeError as error:
            return build_json_response({"error": str(error)}, 400)
        mode, scope = command.get("mode"), command.get("scope", "all")
        if mode not in MODES or scope not in SCOPES:
            allowed = f"mode one of {MODES}, scope one of {SCOPES}"
            return build_json_response({"error": f"expected {allowed}"}, 400)
        if mode == "silent" and scope == "open":
            self.silent_clients |= self.seen_clients
            mode = "ok"
        if mode == "stale" and self.mode != "stale":
            self.save_snapshot()
        self.mode = mode
        return build_json_response({"mode": mode, "scope": scope})


async def handle_lifespan(receive, send):
    """Acknowledge the ASGI lifespan events for start-up and shutdown."""
    while True:
        message = await receive()
        await send({"type": f"{message['type']}.complete"})
        if message["type"] == "lifespan.shutdown":
            return


async def receive_request(scope, receive):
    """Receive a request with its whole body."""
    body = bytearray()
    while True:
        message = await receive()
        body += message.get("body", b"")
        if not message.get("more_body", False):
            break
    text = scope["query_string"].decode("latin-1")
    pairs = (part.partition("=") for part in text.split("&") if part)
    query = {name: value for name, _, value in pairs}
    if_none_match = dict(scope["headers"]).get(b"if-none-match", b"").decode("latin-1")
    return Request(scope["method"], scope["path"], query, bytes(body), if_none_match)


async def send_response(send, response):
    """Send a response."""
    length = (b"content-length", str(len(response.body)).encode())
    headers = [*response.headers, length]
    start = {
        "type": "http.response.start",
        "status": response.status,
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": response.body})


async def serve_app(app, bind, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Serve an application until cancelled.

    :param app: :class:`BasePlatformService`.
    :param bind: ``host:port``; port 0 selects a free port.
    :param task_status: receives the bound ``host:port``.
    """
    host, _, port = bind.rpartition(":")
    listener = socket.create_server((host.strip("[]"), int(port)), backlog=1024)
    bound_port = listener.getsockname()[1]
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = 1.0
    config.keep_alive_timeout = 60.0
    config.loglevel = "WARNING"
    app.stopped = anyio.Event()
    task_status.started(f"{host}:{bound_port}")
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(set_on_cancel, app.stopped)
        # Hypercorn logs errors when it is cancelled, so it is shut down by its trigger.
        with anyio.CancelScope(shield=True):
            await serve(app, config, shutdown_trigger=app.stopped.wait)
        tasks.cancel_scope.cancel()


async def set_on_cancel(event):
    """Set an event when the task is cancelled."""
    try:
        await anyio.sleep_forever()
    finally:
        event.set()


async def run_until_signal(function, *arguments):
    """Run an async function until SIGINT or SIGTERM."""
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(function, *arguments)
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
            async for _ in signals:
                break
        tasks.cancel_scope.cancel()
