"""Stand-in for a plain service, and the HTTP server of all backend stand-ins.

Run it with
``python -m standins.ledger --bind 127.0.0.1:9200 --name ledger-1``.
"""

import asyncio
import json
import signal
from typing import NamedTuple
from urllib.parse import parse_qs

import typer
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.utils import wrap_app

MAX_BODY_BYTES = 4 * 1024 * 1024


class Exchange:
    """One HTTP request and its response.

    :param server: the :class:`FaultyServer` that received it.
    :param scope: ASGI scope.
    :param receive: ASGI callable.
    :param send: ASGI callable.
    """

    def __init__(self, server, scope, receive, send):
        self.server = server
        self.client = scope["client"]
        self.method = scope["method"]
        self.path = scope["path"]
        self.query = parse_qs(scope["query_string"].decode())
        self.headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in scope["headers"]
        }
        self.receive = receive
        self.send = send
        self.body = b""
        self.closed = asyncio.Event()

    async def read_body(self):
        """Read the whole request body."""
        while True:
            message = await self.receive()
            if message["type"] == "http.disconnect":
                self.closed.set()
                return
            self.body += message["body"]
            if not message["more_body"] or len(self.body) > MAX_BODY_BYTES:
                return

    async def watch_connection(self):
        """Set ``closed`` when the client disconnects."""
        while not self.closed.is_set():
            message = await self.receive()
            if message["type"] == "http.disconnect":
                self.closed.set()

    def read_json(self):
        """Return the body as a JSON object; an empty body is an empty object."""
        return json.loads(self.body) if self.body else {}

    async def start_response(self, status, headers):
        """Send the status line and the headers."""
        await self.send_message(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def write_body(self, data, is_last=False):
        """Send a part of the response body."""
        await self.send_message(
            {"type": "http.response.body", "body": data, "more_body": not is_last}
        )

    async def send_json(self, status, value, headers=()):
        """Send a whole JSON response."""
        data = json.dumps(value).encode()
        head = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(data)).encode()),
        ]
        await self.start_response(status, [*head, *headers])
        await self.write_body(data, is_last=True)

    async def send_message(self, message):
        """Send an ASGI message unless the connection is silent or closed."""
        if self.client not in self.server.silent_clients and not self.closed.is_set():
            await self.send(message)

    def inject_fault(self, kind):
        """Stop responding (``silent``) or reset the connection (``break``)."""
        if kind == "silent":
            self.server.silent_clients.add(self.client)
        else:
            self.server.reset_connection(self.client)
            self.closed.set()


class FaultyServer:
    """Serves an application with Hypercorn and can simulate failures of the process.

    Hypercorn responds with status 500 when an application ends without a response, so
    faults act on the transports of connections that this class accepts itself.

    :param app: object with ``async handle_request(exchange)``.
    :param bind: ``host:port``; port 0 selects a free port, which ``bind`` then holds.
    """

    def __init__(self, app, bind):
        self.app = app
        self.bind = bind
        self.config = Config()
        self.config.errorlog = None
        self.writers = {}
        self.silent_clients = set()
        self.listener = None
        self.connection_tasks = set()
        self.background_tasks = set()
        app.server = self

    @property
    def url(self):
        """Base URL."""
        return f"http://{self.bind}"

    async def __aenter__(self):
        await self.open()
        return self

    async def __aexit__(self, *details):
        self.crash(0)
        for task in self.background_tasks:
            task.cancel()
        tasks = [*self.background_tasks, *self.connection_tasks]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def open(self):
        """Start accepting connections."""
        host, port = self.bind.rsplit(":", 1)
        self.listener = await asyncio.start_server(
            self.serve_connection, host, int(port), backlog=1024
        )
        port = self.listener.sockets[0].getsockname()[1]
        self.bind = f"{host}:{port}"

    async def serve_connection(self, reader, writer):
        """Serve one connection until it closes."""
        client = writer.get_extra_info("peername")[:2]
        self.writers[client] = writer
        self.connection_tasks.add(asyncio.current_task())
        app = wrap_app(self.serve_request, self.config.wsgi_max_body_size, "asgi")
        loop = asyncio.get_running_loop()
        context = WorkerContext(None)
        try:
            await TCPServer(app, loop, self.config, context, {}, reader, writer)
        except* (OSError, asyncio.CancelledError):
            # The connection was reset or the server simulates a crash.
            pass
        finally:
            self.connection_tasks.discard(asyncio.current_task())
            self.writers.pop(client, None)
            self.silent_clients.discard(client)

    async def serve_request(self, scope, receive, send):
        """Handle one request as an ASGI application."""
        exchange = Exchange(self, scope, receive, send)
        if exchange.client not in self.silent_clients:
            await exchange.read_body()
            watcher = asyncio.create_task(exchange.watch_connection())
            try:
                await self.app.handle_request(exchange)
            finally:
                watcher.cancel()
        if exchange.client in self.silent_clients:
            await exchange.watch_connection()

    def start_task(self, coroutine):
        """Run a coroutine in the background, at most until the server closes."""
        task = asyncio.create_task(coroutine)
        self.background_tasks.add(task)
        task.add_done_callback(self.background_tasks.discard)
        return task

    def silence_all(self):
        """Stop responding on the connections that are open now."""
        self.silent_clients.update(self.writers)

    def reset_connection(self, client):
        """Reset one connection."""
        writer = self.writers.get(client)
        if writer is not None:
            writer.transport.abort()

    def crash(self, down_s):
        """Cancel all requests, reset all connections and refuse new ones for a time.

        :param down_s: seconds until connections are accepted again.
        """
        if self.listener.is_serving():
            self.listener.close()
            self.start_task(self.reopen(down_s))
        for client in list(self.writers):
            self.reset_connection(client)
        for task in self.connection_tasks:
            task.cancel()

    async def reopen(self, down_s):
        """Accept connections again after a delay in seconds."""
        await asyncio.sleep(down_s)
        await self.open()


async def wait_for_any(*events):
    """Wait until one of the events is set."""
    tasks = [asyncio.ensure_future(event.wait()) for event in events]
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    finally:
        for task in tasks:
            task.cancel()


class FencingTokenChecker:
    """Tracks the highest fencing token seen.

    :param checks_fence: whether lower tokens are refused.
    """

    def __init__(self, checks_fence):
        self.checks_fence = checks_fence
        self.highest_token = 0

    def accept_token(self, exchange):
        """Return whether a request's token is accepted, and record it if so."""
        token = int(exchange.headers.get("x-fencing-token", 0))
        if self.checks_fence and token < self.highest_token:
            return False
        self.highest_token = max(self.highest_token, token)
        return True


async def serve_until_signal(app, bind):
    """Serve an application until SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    async with FaultyServer(app, bind):
        await stopped.wait()


class LedgerSettings(NamedTuple):
    """Settings of the stand-in.

    :param name: name in responses.
    :param execute_ms: duration of one execution, milliseconds.
    :param places: maximum of concurrent executions; further requests wait.
    :param checks_fence: whether an outdated fencing token is refused with status 409.
    """

    name: str = "ledger-1"
    execute_ms: float = 20.0
    places: int = 4
    checks_fence: bool = False


class Ledger:
    """Service that reserves items and records every execution in memory.

    ``POST /control/faults`` sets the fault of the next ``count`` requests:
    ``{"count": 1, "delay_s": 0.5, "status": 503, "break": "before"}``; ``break`` resets
    the connection ``before`` or ``after`` the execution.

    :param settings: :class:`LedgerSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.server = None
        self.fencing_tokens = FencingTokenChecker(settings.checks_fence)
        self.places = asyncio.Semaphore(settings.places)
        self.executions = []
        self.reserved = {}
        self.faults = {}
        self.n_faults = 0

    async def handle_request(self, exchange):
        """Handle one request."""
        route = (exchange.method, "/" + exchange.path.split("/")[1])
        if route[1] == "/control":
            await self.handle_control_request(exchange)
        elif route == ("GET", "/health"):
            await exchange.send_json(200, {"name": self.settings.name})
        elif route == ("GET", "/stock"):
            await self.handle_operation(exchange, self.read_stock)
        elif route == ("POST", "/reservations"):
            await self.handle_operation(exchange, self.reserve)
        else:
            await exchange.send_json(404, {"error": "unknown path"})

    async def handle_operation(self, exchange, execute):
        """Execute one request with the fault set for it, if any."""
        fault = self.pop_fault()
        await asyncio.sleep(fault.get("delay_s", 0))
        if "status" in fault:
            await exchange.send_json(fault["status"], {"error": "fault"})
            return
        if fault.get("break") == "before":
            exchange.inject_fault("break")
            return
        if not self.fencing_tokens.accept_token(exchange):
            await exchange.send_json(409, {"error": "fencing token is old"})
            return
        async with self.places:
            await asyncio.sleep(self.settings.execute_ms / 1000)
        status, value = execute(exchange)
        if fault.get("break") == "after":
            exchange.inject_fault("break")
            return
        await exchange.send_json(status, value)

    def pop_fault(self):
        """Remove and return the fault of the next request, empty for none."""
        if self.n_faults == 0:
            return {}
        self.n_faults -= 1
        return self.faults

    def read_stock(self, exchange):
        """Return how much of an item is reserved."""
        item = exchange.path.removeprefix("/stock/")
        return 200, {"item": item, "reserved": self.reserved.get(item, 0)}

    def reserve(self, exchange):
        """Reserve an item."""
        body = exchange.read_json()
        item = body["item"]
        quantity = body.get("quantity", 1)
        self.reserved[item] = self.reserved.get(item, 0) + quantity
        self.executions.append(
            {
                "request_id": exchange.headers.get("x-request-id", ""),
                "key": exchange.headers.get("idempotency-key", ""),
                "token": int(exchange.headers.get("x-fencing-token", 0)),
                "timeout_s": float(exchange.headers.get("x-request-timeout", 0)),
                "body": exchange.body.decode(),
            }
        )
        reservation = f"{self.settings.name}-{len(self.executions)}"
        return 201, {"reservation": reservation, "item": item, "quantity": quantity}

    async def handle_control_request(self, exchange):
        """Handle a control request of a test."""
        body = exchange.read_json()
        if exchange.path == "/control/executions":
            await exchange.send_json(200, {"executions": self.executions})
            return
        if exchange.path == "/control/faults":
            self.n_faults = body.pop("count", 1)
            self.faults = body
        await exchange.send_json(200, {})
        if exchange.path == "/control/crash":
            self.server.crash(body.get("down_s", 1.0))
        if exchange.path == "/control/silent":
            self.server.silence_all()


def main(
    bind: str = "127.0.0.1:9200",
    name: str = "ledger-1",
    execute_ms: float = 20.0,
    places: int = 4,
    checks_fence: bool = False,
):
    """Serve a plain service on a TCP port."""
    settings = LedgerSettings(name, execute_ms, places, checks_fence)

    async def serve():
        await serve_until_signal(Ledger(settings), bind)

    asyncio.run(serve())


if __name__ == "__main__":
    typer.run(main)
