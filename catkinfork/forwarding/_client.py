"""HTTP client for the store and for peers, on pooled connections."""

from abc import ABC, abstractmethod
from typing import NamedTuple

import anyio

from catkinfork.forwarding._backend import BaseResponseListener
from catkinfork.forwarding._messages import ResponseHead
from catkinfork.forwarding._names import HeaderNames
from catkinfork.forwarding._pool import ConnectionPool

# A page of the store has up to 1 MB, or one item of that size, and a snapshot of a peer
# some MB.
MAX_RESPONSE_BYTES = 16 << 20
# Size from which on a body is handed over in parts, where a reader takes them.
LONG_BODY_BYTES = 1 << 20
# Time for which the next part of such a body is awaited, and all of it, seconds.
PART_TIMEOUT_S = 1.0
MAX_BODY_TIME_S = 20.0


class FetchError(Exception):
    """No complete response was received.

    :param detail: description of the failure.
    """

    def __init__(self, detail):
        super().__init__(detail)
        self.detail = detail


class FetchTimeoutError(FetchError):
    """No complete response was received in time."""


class FetchedResponse(NamedTuple):
    """A complete response.

    :param head: :class:`ResponseHead`.
    :param is_second: whether it came on a second connection, as the first was silent.
    """

    head: ResponseHead
    body: bytes
    is_second: bool = False

    @property
    def status(self):
        """Return the status code."""
        return self.head.status


class SecondRequest(NamedTuple):
    """A request that is sent on a new connection if the first one stays silent.

    A connection may fall silent for good while new ones work, so that silence on it
    says nothing about the server.

    :param silence_s: time without the head of a response to the first request, seconds.
    :param target: path and query; the server has to answer it at once.
    """

    silence_s: float
    target: str


class BaseBodyReader(ABC):
    """Takes a long body in parts while it arrives, so that none is kept as a whole."""

    @abstractmethod
    def read_part(self, head, data):
        """Take the next part, of which the first one has all that came before.

        :param head: :class:`ResponseHead`.
        :raises ValueError: if the body cannot be read.
        """


class ResponseCollector(BaseResponseListener):
    """Collects one response in memory.

    :param max_bytes: bytes of the body from which on it is given up.
    :param reader: :class:`BaseBodyReader` that takes a long body of a response with
        status 200 instead, or None.

    ``on_part`` is a callable that is called after each part that the reader has taken,
    and ``on_begin`` one that is called with the head, or a failure before it.
    """

    def __init__(self, max_bytes, reader=None):
        self.max_bytes = max_bytes
        self.reader = reader
        self.is_long = False
        self.on_part = None
        self.on_begin = None
        self.done = anyio.Event()
        self.head = None
        self.body_parts = []
        self.n_bytes = 0
        self.failure = ""

    def on_head(self, head):
        self.head = head
        self.on_begin(self)

    def on_data(self, data):
        self.n_bytes += len(data)
        if self.reader is not None and self.head.status == 200:
            self.is_long = self.is_long or self.n_bytes > LONG_BODY_BYTES
        if self.is_long:
            self.hand_over(data)
            return
        if self.n_bytes > self.max_bytes:
            self.failure = f"response exceeds {self.max_bytes} bytes"
            self.body_parts.clear()
            self.done.set()
            return
        self.body_parts.append(data)

    def hand_over(self, data):
        """Hand a part of a long body to the reader."""
        if self.failure:
            return
        self.body_parts.append(data)
        part = b"".join(self.body_parts)
        self.body_parts.clear()
        try:
            self.reader.read_part(self.head, part)
        except ValueError as error:
            self.failure = str(error)
            self.done.set()
        if self.on_part is not None:
            self.on_part()

    def on_end(self):
        self.done.set()

    def on_error(self, detail):
        self.failure = detail
        self.done.set()
        if self.head is None:
            self.on_begin(self)


class FetchAttempts:
    """The requests that are sent for one response, on one connection or two.

    The first response that begins counts, and the other connection is closed.

    :param client: :class:`HttpClient`.
    :param reader: :class:`BaseBodyReader`, or None.

    ``connections`` has the connection of each :class:`ResponseCollector`.
    """

    def __init__(self, client, reader):
        self.client = client
        self.reader = reader
        self.connections = {}
        self.first = None
        self.begun = anyio.Event()
        self.winner = None
        self.scope = None
        self.latest = 0.0

    def set_scope(self, scope):
        """Set the cancel scope, whose deadline the parts of a long body put off."""
        self.scope = scope
        self.latest = scope.deadline + MAX_BODY_TIME_S

    def extend(self):
        """Put the deadline off, as a part of a long body has come."""
        part_due_at = self.client.loop.time() + PART_TIMEOUT_S
        deadline = max(self.scope.deadline, part_due_at)
        self.scope.deadline = min(self.latest, deadline)

    def send(self, connection, target):
        """Send a request on a connection."""
        collector = ResponseCollector(self.client.max_bytes, self.reader)
        collector.on_part = self.extend
        collector.on_begin = self.begin
        self.connections[collector] = connection
        self.first = self.first or collector
        request = f"GET {target} HTTP/1.1\r\nhost: {self.client.address}\r\n\r\n"
        connection.send(collector, b"", request.encode())

    async def send_second(self, second):
        """Send the second request if the first connection stays silent.

        :param second: :class:`SecondRequest`.
        """
        with anyio.move_on_after(second.silence_s):
            await self.begun.wait()
        if self.begun.is_set():
            return
        try:
            connection = await self.client.pool.open()
        except (OSError, TimeoutError):
            # The first one may still be answered.
            return
        if self.begun.is_set():
            connection.abort()
        else:
            self.send(connection, second.target)

    def begin(self, collector):
        """Handle the begin of a response, or a failure before it.

        A failure does not count while another connection is waited for.
        """
        if collector.failure and len(self.connections) > 1:
            del self.connections[collector]
            return
        self.winner = collector
        self.begun.set()
        if collector is not self.first:
            self.client.close_idle()
        for other, connection in self.connections.items():
            if other is not collector:
                connection.abort()

    async def wait(self):
        """Return the :class:`FetchedResponse`.

        :raises FetchError: if it fails.
        """
        await self.begun.wait()
        collector = self.winner
        is_second = collector is not self.first
        await collector.done.wait()
        if collector.failure:
            raise FetchError(collector.failure)
        body = b"".join(collector.body_parts)
        return FetchedResponse(collector.head, body, is_second)

    def abort(self):
        """Close the connections that are still in use."""
        for connection in self.connections.values():
            if connection.listener is not None:
                connection.abort()


class HttpClient:
    """Sends GET requests to one address over persistent connections.

    :param address: ``host:port``.
    :param loop: event loop.
    :param max_bytes: size of the largest body that is accepted.
    """

    def __init__(self, address, loop, max_bytes=MAX_RESPONSE_BYTES):
        self.address = address
        self.loop = loop
        self.max_bytes = max_bytes
        self.pool = ConnectionPool(address, HeaderNames(), loop)

    async def fetch(self, target, timeout_s, reader=None, second=None):
        """Return the response to a GET request.

        A long body that a reader takes may arrive for longer than the timeout, as long
        as the next part of it comes in time.

        :param target: path and query.
        :param reader: :class:`BaseBodyReader`, or None. The body of the response is
            empty if it was long, so that the reader has taken it.
        :param second: :class:`SecondRequest`, or None.
        :raises FetchError: if no complete response arrives within the timeout.
        """
        attempts = FetchAttempts(self, reader)
        try:
            with anyio.fail_after(timeout_s) as scope:
                attempts.set_scope(scope)
                connection = self.pool.acquire() or await self.pool.open()
                attempts.send(connection, target)
                if second is not None:
                    await attempts.send_second(second)
                return await attempts.wait()
        except TimeoutError:
            raise FetchTimeoutError(f"no response within {timeout_s:g} s") from None
        except OSError as error:
            raise FetchError(str(error) or type(error).__name__) from None
        finally:
            attempts.abort()

    def close_idle(self):
        """Close the idle connections, which may be silent as another one was."""
        while self.pool.idle_connections:
            self.pool.idle_connections.pop().abort()

    def close(self):
        """Close the connection pool."""
        self.pool.close()
