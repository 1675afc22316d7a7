"""HTTP server for readiness, status, metrics and state."""

from typing import NamedTuple

from catkinfork.forwarding._caller import CallerConnection, report_error
from catkinfork.forwarding._messages import REASON_PHRASES
from catkinfork.topology import CallerLimits


class AdminResponse(NamedTuple):
    """Response of the admin server.

    :param status: status code.
    :param content_type: media type of the body.
    :param body: encoded body.
    """

    status: int
    content_type: bytes
    body: bytes


class AdminExchange:
    """A request to the admin server, which is answered synchronously."""

    def __init__(self, server, caller, request):
        self.server = server
        self.caller = caller
        self.request = request

    def start(self):
        """Call the handler of the path and write its response."""
        path, _, query = self.request.target.decode("latin-1").partition("?")
        handler = self.server.handlers.get(path)
        if handler is None:
            response = AdminResponse(404, b"text/plain", b"")
        else:
            response = handler(query)
        head = b"HTTP/1.1 %d %s\r\ncontent-type: %s\r\ncontent-length: %d\r\n\r\n" % (
            response.status,
            REASON_PHRASES.get(response.status, b"Unknown"),
            response.content_type,
            len(response.body),
        )
        self.caller.write(head + response.body)
        self.caller.finish(self.request.is_keep_alive)

    def on_caller_disconnected(self):
        """Do nothing: the response has been written already."""

    def pause(self):
        """Do nothing: the response is written in one call."""

    def resume(self):
        """Do nothing: the response is written in one call."""


class AdminServer:
    """Serves a fixed set of paths.

    :param handlers: maps a path to a callable that takes the query string and returns
        an :class:`AdminResponse`.
    :param loop: event loop.
    """

    def __init__(self, handlers, loop):
        self.handlers = handlers
        self.loop = loop
        self.limits = CallerLimits()
        self.callers = set()
        self.listeners = []

    async def listen(self, host, port):
        """Start to accept connections."""
        self.listeners.append(
            await self.loop.create_server(
                lambda: CallerConnection(self), host, port, reuse_address=True
            )
        )

    def add_caller(self, caller):
        """Add a connection of a caller."""
        self.callers.add(caller)

    def remove_caller(self, caller):
        """Remove a connection of a caller."""
        self.callers.discard(caller)

    def open_exchange(self, caller, request):
        """Return a new exchange for a request."""
        return AdminExchange(self, caller, request)

    def run(self, exchange, action):
        """Call a method of an exchange, whose connection is closed if it fails."""
        try:
            action()
        except Exception as error:
            report_error(self.loop, error)
            exchange.caller.abort()

    def log_rejection(self, caller, status, code):
        """Do nothing: rejected requests of operators are not logged."""

    def sweep(self):
        """Close idle connections."""
        now = self.loop.time()
        for caller in list(self.callers):
            caller.close_if_idle(now)
