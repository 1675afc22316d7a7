"""Streams that callers take up at other forwarder processes while versions differ."""

import asyncio
import time
from contextlib import AsyncExitStack

import pytest

from catkinfork.platform.tests.standins import run_platform, wait_until
from catkinfork.platform.tests.stream_standins import (
    DEADLINE_MS,
    LAST_PART,
    N_EVENTS,
    N_FIRST_EVENTS,
    N_LAST_TOKENS,
    OTHER_PROMPT,
    add_stream_runner,
    break_off,
    build_stream_config,
    connect,
    count_in_flight,
    kill,
    list_events,
    publish,
    read_status,
    restart,
    resume,
    stop,
    wait_in_touch,
)

pytestmark = pytest.mark.processes

REST_OF_OLDER = list_events("v1", N_FIRST_EVENTS + 1, N_EVENTS)
# Streams that stay open at the older runner, so that placement prefers the newer one.
N_OPEN_STREAMS = 6
# Streams that are opened later to see that their forwarder has been heard.
N_MORE_STREAMS = 3


class Versions:
    """Two forwarders, a stream that began at a runner of v1, and an idle one of v2.

    :param platform: :class:`Platform`.
    :param stack: ``AsyncExitStack`` that closes the callers of open streams.
    """

    def __init__(self, platform, stack):
        self.platform = platform
        self.stack = stack
        self.older = None
        self.newer = None
        self.n_open_streams = 0

    async def start(self):
        """Begin and break off the stream ``r-first`` at the first forwarder.

        :returns: the two forwarders.
        """
        platform = self.platform
        platform.store.put("op/config", build_stream_config())
        self.older = await add_stream_runner(platform, "i-1", "v1", "kicukiro")
        first, second = await platform.add_forwarders(2)
        await wait_in_touch(platform)
        assert await break_off(first, "r-first") == list_events("v1", 1, N_FIRST_EVENTS)
        await self.open_streams(N_OPEN_STREAMS)
        self.newer = await add_stream_runner(platform, "i-2", "v2")
        return first, second

    async def open_streams(self, n_streams):
        """Begin more streams at the first forwarder, and wait until the second knows.

        What the first one told before is then known to the second one as well. Streams
        that have broken off may still count, so that more than these are needed.
        """
        first, second = self.platform.forwarders
        for _ in range(n_streams):
            caller = await self.stack.enter_async_context(connect(first))
            await caller.send(f"r-open-{self.n_open_streams}", OTHER_PROMPT)
            await caller.read(N_FIRST_EVENTS)
            self.n_open_streams += 1

        async def counts_open_streams():
            return await count_in_flight(second) >= self.n_open_streams

        await wait_until(counts_open_streams)

    def count_runs(self):
        """Return the number of requests that each runner has received."""
        return len(self.older.requests), len(self.newer.requests)


def run_versions(test, folder):
    """Run a coroutine function that takes versions and two forwarders."""

    async def main(platform):
        async with AsyncExitStack() as stack:
            versions = Versions(platform, stack)
            await test(versions, *await versions.start())

    run_platform(main, folder)


async def resume_after_refusals(forwarder, resumed_id):
    """Take a stream up as callers do, again after a refusal, and return its events."""
    events = []

    async def is_resumed():
        status, received = await resume(forwarder, resumed_id)
        events.extend(received)
        assert status in (200, 503)
        return status == 200

    await wait_until(is_resumed)
    return events


async def check_newer_is_preferred(forwarder):
    """Begin the stream ``r-new`` with the same prompt, at the idle runner of v2."""
    events = await break_off(forwarder, "r-new")
    assert events == list_events("v2", 1, N_FIRST_EVENTS)


def test_stream_is_taken_up_at_another_forwarder(tmp_path):
    """Guards against a text of two versions after the connection of a caller broke.

    The forwarder that carried the stream must tell its peers where it began, as the
    runner of the other version has less load.
    """

    async def test(versions, first, second):
        await check_newer_is_preferred(second)
        assert await resume(second, "r-first") == (200, REST_OF_OLDER)

    run_versions(test, tmp_path)


def test_stream_outlives_the_forwarder_that_carried_it(tmp_path):
    """Guards against an origin that only the forwarder knows that carried the stream.

    It is killed, so that it answers no question.
    """

    async def test(versions, first, second):
        await kill(first)
        await check_newer_is_preferred(second)
        assert await resume(second, "r-first") == (200, REST_OF_OLDER)

    run_versions(test, tmp_path)


def test_restarted_forwarder_asks_its_peer(tmp_path):
    """Guards against a forwarder that knows no stream from before it was killed.

    Streams are told when they begin, so that it has to ask.
    """

    async def test(versions, first, second):
        await kill(first)
        await restart(first)
        await wait_in_touch(versions.platform)
        await check_newer_is_preferred(first)
        assert await resume_after_refusals(first, "r-first") == REST_OF_OLDER
        assert await find_source(first, "r-first") == "recorded"

    run_versions(test, tmp_path)


async def find_source(forwarder, resumed_id):
    """Return how the origin of a stream was known, by the log of its last take-up."""

    def list_finished():
        events = forwarder.list_events("request_finished")
        return [event for event in events if event["resumes"] == resumed_id]

    await wait_until(list_finished)
    return list_finished()[-1]["version_source"]


async def restart_all(versions):
    """Kill all forwarders at once and start them again."""
    forwarders = versions.platform.forwarders
    for forwarder in forwarders:
        await kill(forwarder)
    await asyncio.gather(*[restart(forwarder) for forwarder in forwarders])
    await wait_in_touch(versions.platform)


def test_stream_goes_on_at_the_engine_that_keeps_it_after_a_power_failure(tmp_path):
    """Guards against a text of two versions after all forwarders were killed at once.

    None of them knows where the stream began. The runner of the other version has read
    the same prompt, and is preferred.
    """

    async def test(versions, first, second):
        versions.older.lists_kept = versions.newer.lists_kept = True
        versions.newer.kept |= {"a1": 20, LAST_PART: N_LAST_TOKENS}
        await restart_all(versions)
        assert await resume_after_refusals(second, "r-first") == REST_OF_OLDER
        assert await find_source(second, "r-first") == "cached"
        assert versions.count_runs()[1] == 0
        await check_newer_is_preferred(second)

    run_versions(test, tmp_path)


def test_stream_that_no_engine_keeps_is_refused_after_a_power_failure(tmp_path):
    """Guards against a guess, or a wait, for a stream whose version nobody knows."""

    async def test(versions, first, second):
        versions.older.lists_kept = versions.newer.lists_kept = True
        versions.older.kept.clear()
        await restart_all(versions)
        n_before = versions.count_runs()
        started_at = time.monotonic()
        assert await resume(second, "r-first") == (503, [])
        assert time.monotonic() - started_at < DEADLINE_MS / 1000 / 2
        assert versions.count_runs() == n_before
        assert await find_source(second, "r-first") == "unknown"

    run_versions(test, tmp_path)


def test_stream_at_a_runner_that_changed_its_version_is_refused(tmp_path):
    """Guards against the former version of a runner that has started again.

    Its entry is read some time after its start, so that a stream that began just before
    may be of either version. Another runner of the former version serves.
    """

    async def test(versions, first, second):
        same = await add_stream_runner(versions.platform, "i-3", "v2", "kicukiro")
        await check_newer_is_preferred(first)
        await publish(versions.platform, versions.newer, version="v3", born=2000)
        await versions.open_streams(N_MORE_STREAMS)
        for forwarder in (first, second):
            assert await resume(forwarder, "r-new") == (503, [])
            assert await find_source(forwarder, "r-new") == "uncertain"
        for runner in (versions.older, versions.newer, same):
            assert not any("last-event-id" in headers for _, headers in runner.requests)

    run_versions(test, tmp_path)


def test_engines_do_not_tell_what_a_runner_that_left_has_written(tmp_path):
    """Guards against a text of two versions after the only runner of one has left.

    All forwarders were killed, and the other runner has read the same prompt for an
    earlier request of the session. One forwarder sees the runner leave, and the other
    one starts later.
    """

    async def test(versions, first, second):
        platform = versions.platform
        versions.older.lists_kept = versions.newer.lists_kept = True
        versions.newer.kept |= {"a1": 20, LAST_PART: N_LAST_TOKENS + 100}
        await restart_all(versions)
        platform.store.put("servers/i-1", None)
        for forwarder in (first, second):
            await wait_until(lambda f=forwarder: has_lost(f, "i-1"))
        await stop(first)
        await restart(first)
        await wait_in_touch(platform)
        n_before = versions.count_runs()
        for forwarder in (first, second):
            assert await resume(forwarder, "r-first") == (503, [])
            assert await find_source(forwarder, "r-first") == "unknown"
        assert versions.count_runs() == n_before

    run_versions(test, tmp_path)


async def has_lost(forwarder, name):
    """Return whether a forwarder no longer knows a runner."""
    backends = (await read_status(forwarder))["backend_servers"]
    return name not in [one["name"] for one in backends]


@pytest.mark.parametrize("is_entry_dropped", [False, True])
@pytest.mark.parametrize("n_kept_more", [-N_LAST_TOKENS, 0, 100])
def test_runner_that_left_before_a_power_failure_is_known(
    tmp_path, n_kept_more, is_entry_dropped
):
    """Guards against a text of two versions as a runner leaves before all hosts start.

    The only runner of one version leaves, and just after that all forwarders lose
    power: those that start have seen none leave. The other runner keeps the session's
    part of the prompt from an earlier request, with less or more than the stream has
    sent.
    """

    async def test(versions, first, second):
        store = versions.platform.store
        versions.older.lists_kept = versions.newer.lists_kept = True
        versions.newer.kept |= {"a1": 20, LAST_PART: N_LAST_TOKENS + n_kept_more}
        store.put("servers/i-1", None)
        if is_entry_dropped:
            # The entry was written long before, its removal just now.
            store.drop_history(len(store.events) - 1)
        await restart_all(versions)
        n_before = versions.count_runs()
        for forwarder in (first, second):
            assert await resume(forwarder, "r-first") == (503, [])
            assert await find_source(forwarder, "r-first") == "unknown"
        assert versions.count_runs() == n_before

    run_versions(test, tmp_path)
