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
    """

    head: ResponseHead
    body: bytes

    @property
    def status(self):
        """Return the status code."""
        return self.head.status


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

    ``on_part`` is a callable that is called after each part that the reader has taken.
    """

    def __init__(self, max_bytes, reader=None):
        self.max_bytes = max_bytes
        self.reader = reader
        self.is_long = False
        self.on_part = None
        self.done = anyio.Event()
        self.head = None
        self.body_parts = []
        self.n_bytes = 0
        self.failure = ""

    def on_head(self, head):
        self.head = head

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

    async def fetch(self, target, timeout_s, reader=None):
        """Return the response to a GET request.

        A long body that a reader takes may arrive for longer than the timeout, as long
        as the next part of it comes in time.

        :param target: path and query.
        :param reader: :class:`BaseBodyReader`, or None. The body of the response is
            empty if it was long, so that the reader has taken it.
        :raises FetchError: if no complete response arrives within the timeout.
        """
        connection = None
        collector = ResponseCollector(self.max_bytes, reader)
        try:
            with anyio.fail_after(timeout_s) as scope:
                latest = scope.deadline + MAX_BODY_TIME_S

                def extend():
                    part_due_at = self.loop.time() + PART_TIMEOUT_S
                    scope.deadline = min(latest, max(scope.deadline, part_due_at))

                collector.on_part = extend
                connection = self.pool.acquire() or await self.pool.open()
                return await self.fetch_on(connection, target, collector)
        except TimeoutError:
            raise FetchTimeoutError(f"no response within {timeout_s:g} s") from None
        except OSError as error:
            raise FetchError(str(error) or type(error).__name__) from None
        finally:
            if connection is not None and connection.listener is not None:
                connection.abort()

    async def fetch_on(self, connection, target, collector):
        """Send a request on a connection and return the response.

        :param collector: :class:`ResponseCollector`.
        """
        request = f"GET {target} HTTP/1.1\r\nhost: {self.address}\r\n\r\n"
        connection.send(collector, b"", request.encode())
        await collector.done.wait()
        if collector.failure:
            raise FetchError(collector.failure)
        return FetchedResponse(collector.head, b"".join(collector.body_parts))

    def close(self):
        """Close the connection pool."""
        self.pool.close()
