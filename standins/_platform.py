"""HTTP frame of the platform's stand-ins: faults on command, a count of the calls."""

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
    """A request as the stand-ins see it.

    :param path: path without the query.
    :param query: query parameters as text.
    :param tag: header ``If-None-Match``, empty for none.
    """

    method: str
    path: str
    query: dict
    body: bytes
    tag: str = ""


class Reply(NamedTuple):
    """An answer."""

    status: int
    body: bytes = b""
    headers: tuple = ()


def reply_json(value, status=200):
    """Return an answer with a JSON body."""
    headers = ((b"content-type", b"application/json"),)
    return Reply(status, msgspec.json.encode(value), headers)


class BasePlatformService(ABC):
    """ASGI application that answers calls, or fails as commanded.

    Modes: ``ok``; ``stale`` (later changes do not show); ``down`` (status 503);
    ``silent`` (no answer at all, or with the scope ``open`` none on the connections
    that are open at the command, while new ones work).
    """

    def __init__(self):
        self.mode = "ok"
        self.n_calls = 0
        self.n_pending = 0
        self.connections = set()
        self.silent_connections = set()
        self.stopped = anyio.Event()

    @abstractmethod
    async def answer(self, request):
        """Answer a call of the service's own protocol.

        :param request: :class:`Request`.
        :returns: :class:`Reply`.
        """

    @abstractmethod
    def control(self, request):
        """Answer a command under ``/control/`` that is not common to all services."""

    @abstractmethod
    def freeze(self):
        """Keep what is shown now for as long as the mode is ``stale``."""

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await answer_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        request = await receive_request(scope, receive)
        if request.path.startswith("/control/"):
            await send_reply(send, self.answer_control(request))
            return
        self.n_calls += 1
        self.n_pending += 1
        try:
            reply = await self.answer_until_stop(request, tuple(scope["client"]))
        finally:
            self.n_pending -= 1
        await send_reply(send, reply)

    async def answer_until_stop(self, request, connection):
        """Answer a call, with status 503 if the server stops before the answer."""
        reply = Reply(503)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.cancel_on_stop, tasks.cancel_scope)
            reply = await self.answer_call(request, connection)
            tasks.cancel_scope.cancel()
        return reply

    async def cancel_on_stop(self, scope):
        """Cancel a scope when the server stops."""
        await self.stopped.wait()
        scope.cancel()

    async def answer_call(self, request, connection):
        """Answer a call in the present mode."""
        self.connections.add(connection)
        reply = Reply(503)
        if self.mode != "down":
            reply = await self.answer(request)
        if self.mode == "down":
            return Reply(503)
        if self.mode == "silent" or connection in self.silent_connections:
            await anyio.sleep_forever()
        return reply

    def answer_control(self, request):
        """Answer a command."""
        if (request.method, request.path) == ("GET", "/control/calls"):
            return reply_json({"calls": self.n_calls, "pending": self.n_pending})
        if (request.method, request.path) == ("POST", "/control/mode"):
            return self.set_mode(request.body)
        return self.control(request)

    def set_mode(self, body):
        """Change the mode as a JSON body commands."""
        try:
            command = msgspec.json.decode(body, type=dict[str, str])
        except msgspec.DecodeError as error:
            return reply_json({"error": str(error)}, 400)
        mode, scope = command.get("mode"), command.get("scope", "all")
        if mode not in MODES or scope not in SCOPES:
            allowed = f"mode one of {MODES}, scope one of {SCOPES}"
            return reply_json({"error": f"expected {allowed}"}, 400)
        if mode == "silent" and scope == "open":
            self.silent_connections |= self.connections
            mode = "ok"
        if mode == "stale" and self.mode != "stale":
            self.freeze()
        self.mode = mode
        return reply_json({"mode": mode, "scope": scope})


async def answer_lifespan(receive, send):
    """Acknowledge start and stop of the server."""
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
    tag = dict(scope["headers"]).get(b"if-none-match", b"").decode("latin-1")
    return Request(scope["method"], scope["path"], query, bytes(body), tag)


async def send_reply(send, reply):
    """Send an answer."""
    length = (b"content-length", str(len(reply.body)).encode())
    headers = [*reply.headers, length]
    start = {"type": "http.response.start", "status": reply.status, "headers": headers}
    await send(start)
    await send({"type": "http.response.body", "body": reply.body})


async def serve_platform(app, bind, *, task_status=anyio.TASK_STATUS_IGNORED):
    """Serve an application until cancelled.

    :param app: :class:`BasePlatformService`.
    :param bind: ``host:port``; with port 0 a free one is chosen.
    :param task_status: told the bound ``host:port``.
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
        # The server reports errors if it is cancelled; it is told to stop instead.
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
