"""HTTP client for the store and for peers, on pooled connections."""

from typing import NamedTuple

import anyio

from catkinfork.forwarding._backend import BaseResponseListener
from catkinfork.forwarding._messages import ResponseHead
from catkinfork.forwarding._names import HeaderNames
from catkinfork.forwarding._pool import ConnectionPool

# A page of the store has up to 1 MB, or one item of that size, and a snapshot of a peer
# some MB.
MAX_RESPONSE_BYTES = 16 << 20


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


class ResponseCollector(BaseResponseListener):
    """Collects one response in memory.

    :param max_bytes: bytes of the body from which on it is given up.
    """

    def __init__(self, max_bytes):
        self.max_bytes = max_bytes
        self.done = anyio.Event()
        self.head = None
        self.body_parts = []
        self.n_bytes = 0
        self.failure = ""

    def on_head(self, head):
        self.head = head

    def on_data(self, data):
        self.n_bytes += len(data)
        if self.n_bytes > self.max_bytes:
            self.failure = f"response exceeds {self.max_bytes} bytes"
            self.body_parts.clear()
            self.done.set()
            return
        self.body_parts.append(data)

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
        self.max_bytes = max_bytes
        self.pool = ConnectionPool(address, HeaderNames(), loop)

    async def fetch(self, target, timeout_s):
        """Return the response to a GET request.

        :param target: path and query.
        :raises FetchError: if no complete response arrives within the timeout.
        """
        connection = None
        try:
            with anyio.fail_after(timeout_s):
                connection = self.pool.acquire() or await self.pool.open()
                return await self.fetch_on(connection, target)
        except TimeoutError:
            raise FetchTimeoutError(f"no response within {timeout_s:g} s") from None
        except OSError as error:
            raise FetchError(str(error) or type(error).__name__) from None
        finally:
            if connection is not None and connection.listener is not None:
                connection.abort()

    async def fetch_on(self, connection, target):
        """Send a request on a connection and return the response."""
        collector = ResponseCollector(self.max_bytes)
        request = f"GET {target} HTTP/1.1\r\nhost: {self.address}\r\n\r\n"
        connection.send(collector, b"", request.encode())
        await collector.done.wait()
        if collector.failure:
            raise FetchError(collector.failure)
        return FetchedResponse(collector.head, b"".join(collector.body_parts))

    def close(self):
        """Close the connection pool."""
        self.pool.close()
