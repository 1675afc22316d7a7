"""Long bodies that a reader takes while they arrive."""

import asyncio

import anyio
import pytest

from catkinfork.forwarding import BaseBodyReader, FetchError, HttpClient
from catkinfork.forwarding import _client as client_module
from catkinfork.forwarding._client import LONG_BODY_BYTES

PART = b"x" * (1 << 18)


class Reader(BaseBodyReader):
    """Counts the bytes, and fails on a byte that is not expected."""

    def __init__(self):
        self.n_bytes = 0

    def read_part(self, head, data):
        assert head.status == 200
        self.n_bytes += len(data)
        if b"!" in data:
            raise ValueError("odd body")


def fetch(parts, timeout_s, reader, status=200, pause_s=0.0):
    """Fetch a body that is sent in parts, with pauses."""

    async def serve(stream, writer):
        await stream.readuntil(b"\r\n\r\n")
        n_bytes = sum(len(part) for part in parts)
        writer.write(b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, n_bytes))
        for part in parts:
            writer.write(part)
            try:
                await writer.drain()
            except ConnectionError:
                break
            await asyncio.sleep(pause_s)

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}", asyncio.get_running_loop())
        try:
            return await client.fetch("/", timeout_s, reader)
        finally:
            client.close()
            server.close()

    return anyio.run(main, backend_options={"use_uvloop": True})


def test_long_body_is_handed_over():
    """Guards against a body that is kept as a whole, or given up for its size."""
    reader = Reader()
    response = fetch([PART] * 100, 5.0, reader)
    assert response.body == b""
    assert reader.n_bytes == 100 * len(PART)


@pytest.mark.parametrize("n_bytes", [0, 5, LONG_BODY_BYTES])
def test_short_body_is_returned(n_bytes):
    """Guards against a body that is split between the reader and the response."""
    reader = Reader()
    response = fetch([b"x" * n_bytes], 5.0, reader)
    assert (len(response.body), reader.n_bytes) == (n_bytes, 0)


def test_long_body_may_take_longer_than_the_timeout():
    """Guards against a read that is repeated for good as its answer is long."""
    reader = Reader()
    fetch([PART] * 5 + [b"x"] * 5, 0.4, reader, pause_s=0.06)
    assert reader.n_bytes == 5 * len(PART) + 5


@pytest.mark.parametrize("limit", ["PART_TIMEOUT_S", "MAX_BODY_TIME_S"])
def test_long_body_that_stops_or_never_ends_is_given_up(monkeypatch, limit):
    """Guards against a read that waits for good."""
    monkeypatch.setattr(client_module, limit, 0.1)
    parts = [PART] * 6
    pause_s = 0.3 if limit == "PART_TIMEOUT_S" else 0.02
    with pytest.raises(FetchError):
        fetch(parts + [b"x"] * 200, 0.2, Reader(), pause_s=pause_s)


def test_error_of_the_reader_is_a_failed_fetch():
    """Guards against a body that ends the process."""
    with pytest.raises(FetchError, match="odd body"):
        fetch([PART] * 5 + [b"!"] + [PART] * 5, 2.0, Reader())


def test_long_body_of_a_failure_is_limited():
    """Guards against a reader that takes an error for a page."""
    reader = Reader()
    with pytest.raises(FetchError, match="exceeds"):
        fetch([PART] * 100, 5.0, reader, status=503)
    assert reader.n_bytes == 0
