"""Lists that lack servers which a forwarder out of step has never known."""

from math import inf

import anyio
import pytest

from catkinfork.topology import Changes, HistoryLostError, Item, SourceError
from catkinfork.topology import _watcher as watcher_module
from catkinfork.topology._versions import MAX_LIST_GAP_S
from catkinfork.topology._watcher import SETTLING_TIME_S
from catkinfork.topology.tests.test_state import (
    ManualClock,
    ScriptedSource,
    build_watcher,
    events,
    state,
)

__all__ = ["events", "state"]
SERVERS = [Item("b1", b"1", 1)]


@pytest.fixture
def clock(monkeypatch):
    clock = ManualClock()
    monkeypatch.setattr(watcher_module, "time", clock)
    return clock


def follow(watcher, clock, *times):
    """Let the store be read at some times, and return those since which it is known."""

    async def main():
        for now in times:
            clock.now = now
            await watcher.update()

    anyio.run(main)
    versions = watcher.state.registry.versions
    return versions.known_since, versions.asked_at


@pytest.mark.parametrize("gap_s", [0.5, MAX_LIST_GAP_S + 0.5])
def test_lost_history_hides_versions_that_have_left(state, clock, gap_s):
    """Guards against a list that counts for the time before it."""
    lists = [Changes(SERVERS, 1, True), Changes(SERVERS, 9, True)]
    source = ScriptedSource(lists, [HistoryLostError("gone")])
    watcher = build_watcher(state, source)
    known_since, asked_at = follow(watcher, clock, 10.0, 10.0 + gap_s, 10.0 + gap_s)
    assert known_since == (10.0 if gap_s < MAX_LIST_GAP_S else 10.0 + gap_s)
    assert asked_at == 10.0 + gap_s


def test_list_after_an_outage_counts_once_servers_are_back(state, clock):
    """Guards against servers whose entries have lapsed while the store was away."""
    lists = [Changes(SERVERS, 1, True), Changes(SERVERS, 9, True)]
    changes = [SourceError("down"), HistoryLostError("gone")]
    changes += [Changes([], 9, False)] * 2
    watcher = build_watcher(state, ScriptedSource(lists, changes))
    times = [10.0, 10.5, 11.0, 11.0, 11.0 + SETTLING_TIME_S - 0.1]
    assert follow(watcher, clock, *times)[1] == 10.0
    assert follow(watcher, clock, 11.0 + SETTLING_TIME_S)[1] == 11.0 + SETTLING_TIME_S


def test_list_of_a_restored_store_counts_once_servers_are_back(state, clock):
    """Guards against a copy that lacks a server which joined after it.

    The forwarder was out of step at that time, and does not know it either.
    """
    lists = [Changes(SERVERS, 5, True, era=1), Changes(SERVERS, 3, True, era=2)]
    changes = [HistoryLostError("era"), *[Changes([], 3, False, era=2)] * 2]
    source = ScriptedSource(lists, changes)
    source.era = 1
    watcher = build_watcher(state, source)
    follow(watcher, clock, 10.0, 10.2)
    source.era = 2
    times = [10.2, 10.2 + SETTLING_TIME_S - 0.1]
    assert follow(watcher, clock, *times)[1] == 10.0
    later = 10.2 + SETTLING_TIME_S
    assert follow(watcher, clock, later) == (10.0, later)


def test_state_of_a_peer_hides_versions_that_have_left(state, clock):
    """Guards against a peer's list that counts for the time before it."""
    source = ScriptedSource([Changes(SERVERS, 1, True)])
    watcher = build_watcher(state, source)
    follow(watcher, clock, 10.0)
    peer = ScriptedSource([Changes(SERVERS, n, True) for n in (1, 7)])

    async def read_peer():
        await watcher.read_peer(peer)

    clock.now = 14.0
    anyio.run(read_peer)
    assert state.registry.versions.known_since == 10.0
    anyio.run(read_peer)
    assert state.registry.versions.known_since == 14.0
    assert state.registry.versions.gap_s == 4.0
    assert state.registry.versions.asked_at < inf
