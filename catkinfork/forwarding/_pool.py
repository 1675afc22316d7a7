"""Connection pool for one backend server."""

from anyio import fail_after

from catkinfork.forwarding._backend import BackendConnection
from catkinfork.topology import split_address

CONNECT_TIMEOUT_S = 0.4
# Maximum idle time of a reused connection if the backend server announces no keep-alive
# timeout, seconds.
DEFAULT_MAX_IDLE_S = 0.4
# Fraction of the announced keep-alive timeout for which an idle connection is reused.
MAX_IDLE_RATIO = 0.6
# Maximum number of connections whose responses are discarded.
MAX_DETACHED = 64


class ConnectionPool:
    """Persistent connections to one address, for one start of a backend server.

    :param address: ``host:port``.
    :param names: :class:`HeaderNames`.
    :param loop: event loop.
    :param on_head: callable that takes the status and the headers, by name, of each
        response, and whether it is the final one to the request in progress.
    :param started_ms: Unix time of the start, milliseconds.
    """

    def __init__(self, address, names, loop, on_head=None, started_ms=0):
        self.address = address
        self.started_ms = started_ms
        host, self.port = split_address(address)
        self.host = host.strip("[]")
        self.names = names
        self.loop = loop
        self.on_head = on_head
        self.idle_connections = []
        # In the order of their detachment; the values are not used.
        self.detached_connections = {}
        self.is_closed = False

    def is_of(self, address, started_ms):
        """Return whether the connections are to an address, for one start there.

        :param address: ``host:port``.
        :param started_ms: Unix time of the start, milliseconds.
        """
        return (self.address, self.started_ms) == (address, started_ms)

    def acquire(self):
        """Return an idle connection, or None."""
        now = self.loop.time()
        while self.idle_connections:
            connection = self.idle_connections.pop()
            if connection.is_lost or connection.transport.is_closing():
                continue
            is_fresh = now - connection.idle_since < compute_max_idle_s(connection)
            if is_fresh and not connection.has_unread():
                return connection
            connection.abort()
        return None

    async def open(self):
        """Open a connection.

        :returns: :class:`BackendConnection`.
        :raises OSError: if the connection is refused, or the host cannot be resolved.
        :raises TimeoutError: if it is not established within the timeout.
        """
        try:
            with fail_after(CONNECT_TIMEOUT_S):
                _, connection = await self.loop.create_connection(
                    lambda: BackendConnection(self), self.host, self.port
                )
        except ValueError as error:
            # A host name that cannot be encoded raises UnicodeError.
            raise OSError(f"host {self.host!r}: {error}") from error
        return connection

    def remove(self, connection):
        """Remove a closed connection."""
        self.remove_detached(connection)
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)

    def release(self, connection):
        """Return a connection to the pool after a complete response."""
        if self.is_closed:
            connection.abort()
            return
        connection.idle_since = self.loop.time()
        self.idle_connections.append(connection)

    def add_detached(self, connection):
        """Add a connection whose response is discarded; abort the oldest of many."""
        self.detached_connections[connection] = None
        if len(self.detached_connections) > MAX_DETACHED:
            oldest = next(iter(self.detached_connections))
            self.remove_detached(oldest)
            oldest.abort()

    def remove_detached(self, connection):
        """Remove a connection whose discarded response has ended."""
        self.detached_connections.pop(connection, None)

    def close_stale(self, now):
        """Close connections that exceeded their maximum idle time."""
        for connection in list(self.idle_connections):
            if now - connection.idle_since >= compute_max_idle_s(connection):
                self.idle_connections.remove(connection)
                connection.abort()

    def close(self):
        """Close idle connections now, and those in use after their response."""
        self.is_closed = True
        for connection in self.idle_connections:
            connection.abort()
        self.idle_connections.clear()


def compute_max_idle_s(connection):
    """Return the idle time after which a connection is not reused, seconds."""
    if connection.idle_timeout_s is None:
        return DEFAULT_MAX_IDLE_S
    return MAX_IDLE_RATIO * connection.idle_timeout_s
