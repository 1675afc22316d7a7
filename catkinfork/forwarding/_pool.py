"""Connections to one backend server."""

from anyio import fail_after

from catkinfork.forwarding._backend import BackendConnection
from catkinfork.topology import split_address

CONNECT_TIMEOUT_S = 0.4
# Idle time after which a connection is not used again, where the backend server states
# no timeout, seconds.
DEFAULT_IDLE_S = 0.4
# Share of the stated idle timeout for which a connection is used.
IDLE_SHARE = 0.6


class ConnectionPool:
    """Open connections to one address.

    :param address: ``host:port``.
    :param names: :class:`HeaderNames`.
    :param loop: event loop.
    """

    def __init__(self, address, names, loop):
        self.host, self.port = split_address(address)
        self.names = names
        self.loop = loop
        self.idle = []
        self.is_closed = False

    def acquire(self):
        """Return an idle connection, or None."""
        now = self.loop.time()
        while self.idle:
            connection = self.idle.pop()
            if connection.is_lost or connection.transport.is_closing():
                continue
            if now - connection.idle_since < limit_idle(connection):
                return connection
            connection.abort()
        return None

    async def open(self):
        """Open a connection.

        :returns: :class:`BackendConnection`.
        :raises OSError: if the backend server does not accept it.
        :raises TimeoutError: if it does not answer in time.
        """
        with fail_after(CONNECT_TIMEOUT_S):
            _, connection = await self.loop.create_connection(
                lambda: BackendConnection(self), self.host, self.port
            )
        return connection

    def note_closed(self, connection):
        """Forget a closed connection."""
        if connection in self.idle:
            self.idle.remove(connection)

    def release(self, connection):
        """Take back a connection whose response is complete."""
        if self.is_closed:
            connection.abort()
            return
        connection.idle_since = self.loop.time()
        self.idle.append(connection)

    def close_stale(self, now):
        """Close connections that have been idle for too long."""
        for connection in list(self.idle):
            if now - connection.idle_since >= limit_idle(connection):
                self.idle.remove(connection)
                connection.abort()

    def close(self):
        """Close idle connections; those in use close after their response."""
        self.is_closed = True
        for connection in self.idle:
            connection.abort()
        self.idle.clear()


def limit_idle(connection):
    """Return the time for which an idle connection may be used again, seconds."""
    if connection.idle_timeout_s is None:
        return DEFAULT_IDLE_S
    return IDLE_SHARE * connection.idle_timeout_s
