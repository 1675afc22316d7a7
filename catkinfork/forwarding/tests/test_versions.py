"""Streams while backend servers of several versions serve."""

import anyio

from catkinfork.forwarding.tests.scripted import in_turn, reset, stream
from catkinfork.forwarding.tests.test_streams import join
from catkinfork.forwarding.tests.world import PROMPT, run_world


def test_log_states_versions():
    """Guards against a log that cannot tell which version began or resumed a stream."""

    async def test(world):
        await world.start("engine", stream(1, 3, then=reset), version="v1")
        headers = [*PROMPT, "Last-Event-Id: 1", "Resumes: r0"]
        await world.call("/draft/", headers=headers)
        (added,) = world.list_events("backend_added")
        (ended,) = world.list_events("attempt_ended")
        (finished,) = world.list_events("request_finished")
        assert added["version"] == ended["backend_version"] == "v1"
        assert (finished["backend_version"], finished["resumes"]) == ("v1", "r0")

    run_world(test)


def test_stream_is_resumed_at_its_version():
    """Guards against one answer with events from two versions of a backend server."""

    async def test(world):
        await world.start("engine", stream(1, 4, then=reset), version="v1")
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        (same,) = await world.start("engine", stream(1, 9), version="v1")
        reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.body, reply.is_whole) == (join(1, 9), True)
        assert (len(newer.requests), len(same.requests)) == (0, 1)

    run_world(test)


def test_stream_without_backend_of_its_version_is_broken_off_at_once():
    """Guards against a wait, or another version, when no server can go on."""

    async def test(world):
        await world.start("engine", stream(1, 4, then=reset), version="v1")
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        with anyio.fail_after(1.0):
            reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.body, reply.is_whole) == (join(1, 4), False)
        assert not newer.requests

    run_world(test)


def test_stream_without_event_is_retried_at_any_version():
    """Guards against a version that binds a stream before its first event."""

    async def test(world):
        await world.start("engine", reset, version="v1")
        await world.start("engine", stream(1, 9), version="v2")
        reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.body, reply.is_whole) == (join(1, 9), True)

    run_world(test)


def test_caller_resumes_stream_at_its_version():
    """Guards against a caller whose stream goes on at another version.

    The backend server that began it has more load than one of another version.
    """

    async def test(world):
        slow = stream(1, 99, gap_s=0.02)
        (older,) = await world.start(
            "engine", in_turn(slow, stream(1, 9)), version="v1"
        )
        (newer,) = await world.start("engine", stream(1, 9), version="v2")
        caller = await world.connect()
        await caller.send("/draft/", headers=PROMPT, request_id="r-first")
        await caller.read_some()
        caller.close()
        world.balancer.pools["engine"].find("engine-0").load.n_pending_tokens += 5000
        reply = await world.call(
            "/draft/",
            headers=[*PROMPT, "Last-Event-Id: 4", "Resumes: r-first"],
            request_id="r-second",
        )
        assert (reply.body, reply.is_whole) == (join(5, 9), True)
        assert (len(older.requests), len(newer.requests)) == (2, 0)

    run_world(test)
