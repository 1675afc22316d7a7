"""Small HTTP server for readiness, status, metrics and state."""

from typing import NamedTuple

from catkinfork.forwarding._caller import CallerConnection
from catkinfork.forwarding._messages import REASONS
from catkinfork.topology import CallerLimits


class AdminResponse(NamedTuple):
    """Response of the admin server.

    :param status: status code.
    :param content_type: media type of the body.
    :param body: body.
    """

    status: int
    content_type: bytes
    body: bytes


class AdminExchange:
    """One request to the admin server, which is answered at once."""

    def __init__(self, server, caller, request):
        self.server = server
        self.caller = caller
        self.request = request

    def start(self):
        """Answer the request."""
        path, _, query = self.request.target.decode("latin-1").partition("?")
        handler = self.server.handlers.get(path)
        if handler is None:
            response = AdminResponse(404, b"text/plain", b"")
        else:
            response = handler(query)
        head = b"HTTP/1.1 %d %s\r\ncontent-type: %s\r\ncontent-length: %d\r\n\r\n" % (
            response.status,
            REASONS.get(response.status, b"Unknown"),
            response.content_type,
            len(response.body),
        )
        self.caller.write(head + response.body)
        self.caller.finish(self.request.is_keep_alive)

    def on_caller_gone(self):
        """Nothing is left to do."""

    def pause(self):
        """The response is written whole."""

    def resume(self):
        """The response is written whole."""


class AdminServer:
    """Serves a few paths.

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
        """Accept connections."""
        self.listeners.append(
            await self.loop.create_server(
                lambda: CallerConnection(self), host, port, reuse_address=True
            )
        )

    def add(self, caller):
        """Add a connection."""
        self.callers.add(caller)

    def discard(self, caller):
        """Remove a connection."""
        self.callers.discard(caller)

    def open_exchange(self, caller, request):
        """Return the exchange for a request."""
        return AdminExchange(self, caller, request)

    def note_rejected(self, caller, status, code):
        """A malformed request of an operator is answered and needs no log line."""

    def sweep(self):
        """Close idle connections."""
        now = self.loop.time()
        for caller in list(self.callers):
            caller.check_idle(now)
