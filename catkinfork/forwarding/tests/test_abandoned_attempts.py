"""Attempts whose callers have left before their outcome is known."""

import asyncio

import anyio
import pytest

from catkinfork.forwarding import _backend, _pool
from catkinfork.forwarding.tests.scripted import answer, in_turn, reset, silence
from catkinfork.forwarding.tests.world import run_world

KEPT = "keep-alive: timeout=10\r\n"


async def crash_later(request, writer, n):
    """Work on a request, then lose the connection as a crash does."""
    await asyncio.sleep(0.1)
    await reset(request, writer, n)


async def abandon(world, path="/order/", wait_s=0.2):
    """Send a request and leave before its response.

    :param wait_s: time to wait after it has left, seconds.
    """
    caller = await world.connect()
    await caller.send(path)
    await anyio.sleep(0.05)
    caller.close()
    await anyio.sleep(wait_s)


def test_request_that_crashes_backends_after_its_caller_left_is_refused():
    """Guards against a crashing request that runs again and again, as nobody waits."""

    async def test(world):
        await world.start("plain", crash_later)
        for number in range(1, 4):
            await abandon(world)
            crashes = world.list_events("crash_recorded")
            assert [crash["n_crashes"] for crash in crashes] == list(
                range(1, number + 1)
            )
        assert (await world.call("/order/")).status == 503
        (backend,) = world.backends
        assert len(backend.requests) == 3

    run_world(test)


def test_request_that_was_served_after_its_caller_left_is_cleared():
    """Guards against refusals of a request that was served since its crashes."""

    async def test(world):
        scripts = [crash_later, crash_later, answer(delay_s=0.1), crash_later]
        (backend,) = await world.start("plain", in_turn(*scripts))
        for _ in range(4):
            await abandon(world)
        crashes = world.list_events("crash_recorded")
        assert [crash["n_crashes"] for crash in crashes] == [1, 2, 1]
        backend.script = answer()
        assert (await world.call("/order/")).status == 200

    run_world(test)


def test_crash_after_the_deadline_counts():
    """Guards against a crash that counts nowhere as its response was too late."""

    async def test(world):
        await world.start("plain", in_turn(crash_later))
        headers = ["X-Deadline-Ms: 50"]
        assert (await world.call("/order/", headers=headers)).status == 504
        state = world.balancer.pools["plain"].find("plain-0")
        failure_rate = state.health.failure_rate
        assert failure_rate > 0.0
        await anyio.sleep(0.2)
        assert len(world.list_events("crash_recorded")) == 1
        # The attempt itself was counted as silent.
        assert state.health.failure_rate == failure_rate

    run_world(test)


@pytest.mark.parametrize("path", ["/order/", "/read/"])
def test_own_close_is_no_crash(path, monkeypatch):
    """Guards against a sound request that counts as crashing as we close its
    connection: at once if it may be repeated, else after a time.
    """

    async def test(world):
        (backend,) = await world.start("plain", silence)
        await abandon(world, path, wait_s=0.5)
        assert backend.n_lost == 1
        assert not world.list_events("crash_recorded")
        assert not world.list_events("abandoned_attempt_ended")

    monkeypatch.setattr(_backend, "MAX_DISCARD_TIME_S", 0.2)
    run_world(test)


def test_number_of_abandoned_attempts_is_bounded(monkeypatch):
    """Guards against connections without end that are kept for nobody."""

    async def test(world):
        (backend,) = await world.start("plain", silence)
        for _ in range(5):
            await abandon(world, wait_s=0.05)
        assert (len(backend.requests), backend.n_lost) == (5, 3)
        assert not world.list_events("crash_recorded")

    monkeypatch.setattr(_pool, "MAX_DETACHED", 2)
    run_world(test)


def test_ended_attempts_do_not_count_as_abandoned(monkeypatch):
    """Guards against a bound that closes connections which are in use again."""

    async def test(world):
        script = answer(delay_s=0.1, extra=KEPT)
        (backend,) = await world.start("plain", script)
        for _ in range(4):
            await abandon(world, wait_s=0.1)
        assert (backend.n_connections, backend.n_lost) == (1, 0)
        assert not world.server.get_pool(
            world.registry.backends["plain-0"]
        ).detached_connections
        outcomes = [e["outcome"] for e in world.list_events("abandoned_attempt_ended")]
        assert outcomes == ["served"] * 4

    monkeypatch.setattr(_pool, "MAX_DETACHED", 1)
    run_world(test)


def test_rest_of_a_long_response_is_no_crash():
    """Guards against a served request that counts as crashing for its long response."""

    async def test(world):
        script = answer(body=b"x" * 5_000_000, delay_s=0.1)
        await world.start("plain", script)
        await abandon(world)
        assert not world.list_events("crash_recorded")

    run_world(test)
