"""Reads of the store on request, beside a watch that waits."""

import time

import anyio
import pytest

from catkinfork.topology import (
    BackendRegistry,
    Changes,
    Item,
    SourceError,
    TopologyState,
)
from catkinfork.topology._intervals import (
    MAX_READ_INTERVAL_S,
    MIN_READ_INTERVAL_S,
    compute_requested_interval_s,
)
from catkinfork.topology.tests.test_state import (
    SampleDecoder,
    ScriptedSource,
    build_watcher,
)


class BesideSource(ScriptedSource):
    """A source whose watch waits for good once its results are used up.

    :param beside: results of reads beside it.
    """

    def __init__(self, snapshots, beside):
        super().__init__(snapshots)
        self.beside = list(beside)
        self.n_beside = 0

    async def read_changes(self, revision):
        self.n_beside += 1
        await anyio.sleep(0.01)
        return await self.pop_result(self.beside)


def build_source(*beside):
    """Return a source that lists one server."""
    return BesideSource([Changes([Item("b1", b"1", 1)], 1, True)], beside)


def run_requests(source, request, seconds=0.3):
    """Run a watcher and a coroutine function that takes it; return the watcher."""

    async def main():
        registry = BackendRegistry(lambda _: None)
        state = TopologyState(registry, SampleDecoder(), lambda _: None, lambda _: None)
        watcher = build_watcher(state, source)
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                tasks.start_soon(watcher.read_on_request)
                await anyio.sleep(0.05)
                await request(watcher)
        return watcher

    return anyio.run(main)


def test_read_does_not_wait_for_the_watch():
    """Guards against callers that leave before a watch without changes ends."""
    source = build_source(Changes([Item("b2", b"1", 2)], 2, False))
    requested_at = []

    async def request(watcher):
        requested_at.append(time.monotonic())
        watcher.request_read()

    watcher = run_requests(source, request)
    versions = watcher.state.registry.versions
    assert versions.asked_at >= requested_at[0]
    assert versions.read_at < requested_at[0] + 0.1
    assert len(watcher.state.registry.list_ready("read")) == 2


def test_one_read_serves_all_requests_of_a_moment():
    """Guards against a read of the store for each stream that broke off."""
    source = build_source(*[Changes([], 1, False)] * 100)

    async def request(watcher):
        for _ in range(100):
            watcher.request_read()
            await anyio.sleep(0.001)

    run_requests(source, request, seconds=1.0)
    assert 1 <= source.n_beside <= 3


@pytest.mark.parametrize("error", [SourceError("down"), RuntimeError("odd")])
def test_failed_read_is_no_read(error):
    """Guards against a list that counts as read, or a process that ends, on errors."""
    source = build_source(error, Changes([], 1, False))
    seen = []

    async def request(watcher):
        before = watcher.state.registry.versions.asked_at
        watcher.request_read()
        await anyio.sleep(0.1)
        seen.append(watcher.state.registry.versions.asked_at == before)
        watcher.request_read()
        await anyio.sleep(0.2)
        seen.append(watcher.state.registry.versions.asked_at > before)

    run_requests(source, request, seconds=0.5)
    assert seen == [True, True]


def test_changes_of_another_era_are_no_read():
    """Guards against a store restored from a copy, which lacks what joined after it."""
    source = build_source(Changes([], 5, False, era=3))
    seen = []

    async def request(watcher):
        watcher.request_read()
        await anyio.sleep(0.1)
        seen.append(watcher.state.registry.versions.asked_at)

    started_at = time.monotonic()
    run_requests(source, request)
    assert seen[0] < started_at + 0.05


@pytest.mark.parametrize("n_forwarders", [1, 5, 27, 68, 390])
def test_requested_reads_of_a_fleet_are_bounded(n_forwarders):
    """Guards against a store that a large fleet drives over its rate of calls."""
    interval_s = compute_requested_interval_s(n_forwarders)
    assert MIN_READ_INTERVAL_S <= interval_s <= MAX_READ_INTERVAL_S
    n_calls_per_s = n_forwarders / interval_s
    assert n_calls_per_s <= max(454.0, n_forwarders / MAX_READ_INTERVAL_S)
