"""Streams that callers resume at a forwarder whose list of servers may be outdated."""

import time

import anyio
import pytest

from catkinfork.balancing import StreamOrigin, compute_stream_key
from catkinfork.forwarding import CacheLookup
from catkinfork.forwarding._resumption import LIST_TIMEOUT_S
from catkinfork.forwarding.tests.scripted import stream
from catkinfork.forwarding.tests.test_streams import join
from catkinfork.forwarding.tests.test_versions import (
    ListedParts,
    TwoForwarders,
    resume,
)
from catkinfork.forwarding.tests.world import run_world

KEY = compute_stream_key("a", b"r-first")


def delay_reads(world, delay_s, on_read=lambda: None):
    """Let each requested read of the store take a time, then call a function.

    :returns: list to which the time of each request is added.
    """
    requested = []
    pending = set()

    def request_read():
        if pending:
            return
        asked_at = time.monotonic()
        requested.append(asked_at)
        pending.add(asked_at)

        def read():
            pending.clear()
            on_read()
            now = time.monotonic()
            world.registry.versions.record_read(now, asked_at)

        world.loop.call_later(delay_s, read)

    world.server.request_read = request_read
    return requested


@pytest.mark.parametrize("path", ["/draft/", "/chat/"])
def test_stream_is_refused_while_the_store_cannot_be_read(path):
    """Guards against the only version that a forwarder knows which has been cut off."""

    async def test(world):
        (older,) = await world.start("engine", stream(1, 9), version="v1")
        world.set_long_running()
        world.server.request_read = lambda: None
        started_at = time.monotonic()
        reply = await resume(world, "Resumes: r-first", path=path)
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert time.monotonic() - started_at < LIST_TIMEOUT_S + 0.2
        assert not older.requests
        (line,) = world.list_events("request_finished")
        assert line["version_source"] == "unconfirmed"

    run_world(test)


@pytest.mark.parametrize("path", ["/draft/", "/chat/"])
def test_stream_goes_on_once_the_store_was_read(path):
    """Guards against streams that are refused, or wait for long, while one version is.

    One read serves all that asked before it.
    """

    async def test(world):
        (older,) = await world.start("engine", stream(1, 9), version="v1")
        world.set_long_running()
        requested = delay_reads(world, 0.1)
        replies = []

        async def call():
            replies.append(await resume(world, "Resumes: r-first", path=path))

        with anyio.fail_after(0.5):
            async with anyio.create_task_group() as tasks:
                for _ in range(4):
                    tasks.start_soon(call)
        assert [reply.body for reply in replies] == [join(5, 9)] * 4
        assert len(requested) <= 2

    run_world(test)


def test_recorded_stream_waits_for_the_server_that_began_it():
    """Guards against a refusal of a stream whose server joined just before.

    The record was told by a peer, which has read the store earlier.
    """

    async def test(world):
        (older,) = await world.start("engine", stream(1, 9), version="v1")
        world.set_long_running()
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        entry = world.registry.backends["engine-1"].entry
        world.registry.remove("engine-1", 0.0, 0.0)
        now = world.loop.time()
        world.balancer.streams.record_told(KEY, StreamOrigin("engine", "v2"), 9.0, now)
        delay_reads(world, 0.1, lambda: world.registry.apply_entry(entry, now, "test"))
        reply = await resume(world, "Resumes: r-first")
        assert (reply.body, reply.is_whole) == (join(5, 9), True)
        assert (len(older.requests), len(newer.requests)) == (0, 1)

    run_world(test)


def test_recorded_stream_goes_on_while_the_store_is_down():
    """Guards against recorded streams that are refused as the store cannot be read."""

    async def test(world):
        await world.start("engine", stream(1, 9), version="v1")
        world.server.request_read = lambda: None
        now = world.loop.time()
        world.balancer.streams.record_told(KEY, StreamOrigin("engine", "v1"), 9.0, now)
        with anyio.fail_after(0.3):
            reply = await resume(world, "Resumes: r-first")
        assert reply.status == 200

    run_world(test)


def test_peer_is_asked_although_it_has_been_silent():
    """Guards against an origin that nobody is asked for after a pause of the process.

    No peer counts as heard yet, and one answers while the store is read.
    """

    async def test(world):
        await world.start("engine", stream(1, 9), version="v1")
        (newer,) = await world.start("engine", stream(1, 9), version="v2")

        def answer():
            assert KEY in world.balancer.streams.questions
            now = world.loop.time()
            origin = StreamOrigin("engine", "v2")
            world.balancer.streams.record_told(KEY, origin, 9.0, now)

        world.set_long_running()
        world.server.cache_lookup = CacheLookup(
            world.balancer, ListedParts({}), world.server.spawn
        )
        delay_reads(world, 0.1, answer)
        reply = await resume(world, "Resumes: r-first")
        assert (reply.body, len(newer.requests)) == (join(5, 9), 1)

    run_world(test)


def test_engines_are_asked_after_the_list_was_read():
    """Guards against the engines of an outdated list, one of which read the prompt."""

    async def test(world):
        (older,) = await world.start("engine", stream(1, 9), version="v1")
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        entry = world.registry.backends["engine-1"].entry
        world.registry.remove("engine-1", 0.0, 0.0)
        world.registry.versions.left.clear()
        parts = {older.address: {0xB2: 40}, newer.address: {0xB2: 60}}
        world.server.cache_lookup = CacheLookup(
            world.balancer, ListedParts(parts), world.server.spawn
        )
        world.server.cache_lookup.request("engine", world.loop.time())
        await anyio.sleep(0.05)
        now = world.loop.time()
        delay_reads(world, 0.1, lambda: world.registry.apply_entry(entry, now, "test"))
        world.balancer.peers = TwoForwarders()
        reply = await resume(world, "Resumes: r-first")
        assert (reply.body, len(newer.requests)) == (join(5, 9), 1)
        assert not older.requests

    run_world(test)
