"""Requests that tell which prompt part crashes engines, whose callers leave."""

import anyio
import pytest

from catkinfork.balancing import PartCrash
from catkinfork.forwarding.tests.scripted import reset, silence, stream
from catkinfork.forwarding.tests.world import PROMPT, run_world

# The shared part of ``PROMPT``, and one that stands beside it in the requests that
# crashed.
PART = 0xA1
CRASHING = 0xC0


def refuse_part(world):
    """Count crashes against both parts, long enough ago for a probe."""
    parts = world.balancer.crash_guard.parts
    now = world.loop.time()
    for number in range(3):
        for part in (PART, CRASHING):
            parts.record_crash(PartCrash(part, number), now - 10.0 + number)
    assert parts.has_refused(now)


async def leave_at_event(world, n_events=1):
    """Send a request and leave after some events."""
    caller = await world.connect()
    await caller.send("/draft/", headers=PROMPT)
    received = b""
    while received.count(b"id: ") < n_events:
        received += await caller.reader.read(100)
    caller.close()
    await anyio.sleep(0.05)


def list_refused(world):
    """Return the parts that are refused."""
    parts = world.balancer.crash_guard.parts
    parts.has_refused(world.loop.time())
    return parts.refused


def test_probe_whose_caller_leaves_clears_its_part():
    """Guards against a sound part that stays refused, as nobody waits for the proof.

    Load pattern: callers leave at the first event, which does not prove yet that the
    engine survives.
    """

    async def test(world):
        (backend,) = await world.start("engine", stream(1, 50, gap_s=0.1))
        refuse_part(world)
        await leave_at_event(world)
        assert list_refused(world) == {PART, CRASHING}
        await anyio.sleep(0.7)
        assert list_refused(world) == {CRASHING}
        # The run is cancelled once it has told enough.
        await anyio.sleep(0.5)
        assert backend.n_lost == 1

    run_world(test)


def test_probe_that_crashes_after_its_caller_left_counts():
    """Guards against a crash of a probe that counts nowhere."""

    async def test(world):
        await world.start("engine", stream(1, 2, gap_s=0.1, then=reset))
        refuse_part(world)
        await leave_at_event(world)
        await anyio.sleep(0.3)
        (crash,) = world.list_events("crash_recorded")
        assert crash["backend_server"] == "engine-0"
        assert PART in list_refused(world)

    run_world(test)


@pytest.mark.parametrize("is_probe", [False, True])
def test_run_is_cancelled_soon_after_its_caller_left(is_probe):
    """Guards against engines that work on for callers that have left (GONE)."""

    async def test(world):
        (backend,) = await world.start("engine", silence)
        if is_probe:
            refuse_part(world)
        caller = await world.connect()
        await caller.send("/draft/", headers=PROMPT)
        await anyio.sleep(0.1)
        caller.close()
        await anyio.sleep(0.3)
        assert backend.n_lost == (0 if is_probe else 1)
        await anyio.sleep(0.9)
        assert backend.n_lost == 1
        assert not world.list_events("crash_recorded")

    run_world(test)
