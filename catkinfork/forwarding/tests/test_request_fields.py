"""Headers, trailers and bodies of requests, and how much of them is kept."""

import tracemalloc

import anyio
import pytest

from catkinfork.forwarding.tests.scripted import answer
from catkinfork.forwarding.tests.world import KEY, run_world
from catkinfork.topology import CallerLimits

HEAD = (
    b"POST /order/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n"
    b"Authorization: Bearer %s\r\n" % KEY.encode()
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
SHORT = b"X-A: b\r\n"
LIMITS = CallerLimits(4096, 10_000, 10.0, 10.0, 100_000.0)
# Short headers of as many bytes as one read of the event loop brings.
N_SHORT = 30_000


def test_trailer_is_no_header():
    """Guards against a header that is added behind the checks of the head."""

    async def test(world):
        (backend,) = await world.start("plain", answer(body=b"whole"))
        caller = await world.connect()
        await caller.send_raw(CHUNKED + b"X-Extra: 1\r\nHost: other.example\r\n\r\n")
        assert (await caller.read()).status == 200
        (request,) = backend.requests
        assert "x-extra" not in request.headers
        assert request.headers["host"] == "site.example"

    run_world(test)


@pytest.mark.parametrize(
    ("start", "status"), [(HEAD, 431), (CHUNKED, 431)], ids=["headers", "trailers"]
)
def test_endless_fields_are_rejected_and_not_kept(start, status):
    """Guards against a caller that fills the memory with headers or trailers."""

    async def test(world):
        (backend,) = await world.start("plain", answer())
        caller = await world.connect()
        await anyio.sleep(0.05)
        (connection,) = world.server.callers
        await caller.send_raw(start + SHORT * N_SHORT)
        with anyio.fail_after(5.0):
            assert (await caller.read()).status == status
        assert len(connection.headers) * len(SHORT) <= LIMITS.max_header_bytes
        assert not backend.requests

    run_world(test, limits=LIMITS)


def test_trailers_within_the_limit_do_not_count_as_part_of_the_head():
    """Guards against a sound request that is rejected for its trailers."""

    async def test(world):
        await world.start("plain", answer(body=b"whole"))
        caller = await world.connect()
        n_bytes = LIMITS.max_header_bytes - 500
        filler = b"X-Filler: " + b"a" * (n_bytes - len(b"X-Filler: "))
        head = HEAD + filler[: n_bytes - 200] + b"\r\n"
        body = b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
        await caller.send_raw(head + body + filler[:1000] + b"\r\n\r\n")
        assert (await caller.read()).status == 200

    run_world(test, limits=LIMITS)


def test_body_in_short_chunks_takes_no_more_memory_than_its_bytes():
    """Guards against a caller that fills the memory with a body within the limit."""
    n_bytes = 400_000

    async def test(world):
        (backend,) = await world.start("plain", answer(body=b"whole"))
        caller = await world.connect()
        await caller.send_raw(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
        data = b"2\r\nxy\r\n" * (n_bytes // 2)
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        await caller.send_raw(data)
        (connection,) = world.server.callers
        while connection.n_body_bytes < n_bytes:
            await anyio.sleep(0.01)
        taken = tracemalloc.get_traced_memory()[0] - before
        tracemalloc.stop()
        assert taken < 4 * n_bytes
        await caller.send_raw(b"0\r\n\r\n")
        assert (await caller.read()).status == 200
        assert backend.requests[0].body == b"xy" * (n_bytes // 2)

    run_world(test, limits=CallerLimits(4096, n_bytes, 10.0, 10.0, 100_000.0))
