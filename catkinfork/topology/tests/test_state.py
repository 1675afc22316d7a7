"""Tests of the local replica, the route table and the watcher."""

import time
from collections import Counter
from math import inf

import anyio
import pytest

from catkinfork.topology import (
    BackendRegistry,
    BaseDecoder,
    BasePeers,
    BaseSource,
    Changes,
    ConfigurationItem,
    EntryItem,
    HistoryLostError,
    Item,
    RouteTable,
    SourceError,
    TopologyState,
    UnreadableItem,
    Watcher,
    _watcher,
    choose_target,
)
from catkinfork.topology._intervals import compute_read_interval_s
from catkinfork.topology._watcher import MIN_EXPIRY_OUTAGE_S, REREGISTRATION_TIME_S
from catkinfork.topology.tests.samples import (
    build_configuration,
    build_entry,
    build_route,
)


class SampleDecoder(BaseDecoder):
    """Decodes ``config`` as a configuration version, other keys as entry sequences."""

    def decode(self, item):
        if item.key == "config":
            if item.value == b"bad":
                return UnreadableItem("", "bad")
            return ConfigurationItem(build_configuration(int(item.value)))
        if item.value is None:
            return EntryItem(item.key, None)
        if item.value == b"bad":
            return UnreadableItem(item.key, "bad", is_entry=True)
        return EntryItem(item.key, build_entry(item.key, sequence=int(item.value)))


@pytest.fixture
def events():
    return []


@pytest.fixture
def state(events):
    registry = BackendRegistry(events.append)
    return TopologyState(registry, SampleDecoder(), lambda routes: None, events.append)


def apply(state, *items, revision=0, is_full=False):
    """Apply items to a state."""
    state.apply(Changes(items, revision, is_full), "test", 0.0, 0.0)


def test_older_configuration_is_ignored(state):
    """Guards against an older configuration from a peer or a delayed read."""
    apply(state, Item("config", b"7", 5))
    apply(state, Item("config", b"6", 6))
    assert state.routes.version == 7


def test_older_revision_is_ignored(state):
    """Guards against applying an outdated entry from a peer."""
    apply(state, Item("b1", b"4", 9))
    apply(state, Item("b1", None, 8))
    assert len(state.registry.list_ready("read")) == 1


def test_outdated_snapshot_of_a_peer_is_ignored(state):
    """Guards against removing items that are newer than the snapshot."""
    apply(state, Item("b1", b"4", 9), revision=9)
    apply(state, revision=8, is_full=True)
    assert len(state.registry.list_ready("read")) == 1


def test_snapshot_removes_missing_items(state):
    """Guards against keeping a backend server whose removal was missed."""
    apply(state, Item("b1", b"4", 9), revision=9)
    apply(state, Item("config", b"1", 3), revision=10, is_full=True)
    assert not state.registry.list_ready("read")


def test_late_change_does_not_restore_a_backend_server(state):
    """Guards against a server that has left and is in use again.

    A slow answer of the store arrives after a newer snapshot of a peer, which no longer
    lists the server; its removal would not be read again.
    """
    apply(state, Item("b1", b"4", 5), Item("b2", b"4", 5), revision=5)
    apply(state, Item("b2", b"4", 5), revision=9, is_full=True)
    apply(state, Item("b1", b"5", 7), Item("b2", b"5", 7), revision=7)
    assert [backend.name for backend in state.registry.list_ready("read")] == ["b2"]
    apply(state, Item("b1", b"1", 10), revision=10)
    assert len(state.registry.list_ready("read")) == 2


def test_restarted_process_learns_nothing_that_was_withdrawn(state, events):
    """Guards against a server that has left, or a withdrawn key, after a restart.

    The server's removal is held back here, as its entry may have lapsed in an outage.
    """
    apply(state, Item("config", b"1", 1), Item("b1", b"4", 2), Item("b2", b"4", 2))
    state.apply(
        Changes([Item("b1", None, 3), Item("config", b"2", 3)], 3, False),
        "test",
        0.0,
        9.0,
    )
    assert len(state.registry.list_ready("read")) == 2
    restarted = TopologyState(
        BackendRegistry(events.append), SampleDecoder(), lambda _: None, events.append
    )
    apply(restarted, *state.items.values(), revision=state.revision, is_full=True)
    names = [backend.name for backend in restarted.registry.list_ready("read")]
    assert (names, restarted.routes.version) == (["b2"], 2)
    apply(restarted, Item("config", b"1", 1), Item("b1", b"4", 2), revision=2)
    names = [backend.name for backend in restarted.registry.list_ready("read")]
    assert (names, restarted.routes.version) == (["b2"], 2)


def test_malformed_values_are_ignored_and_logged(state, events):
    """Guards against one malformed value that blocks the others."""
    apply(state, Item("config", b"3", 1), Item("b1", b"1", 2), Item("b2", b"1", 3))
    apply(state, Item("config", b"bad", 4), Item("b1", b"bad", 5))
    assert state.routes.version == 3
    assert [backend.name for backend in state.registry.list_ready("read")] == ["b2"]
    names = [action.event.name for action in events]
    assert "configuration_rejected" in names
    assert "entry_ignored" in names


def test_longest_matching_prefix_is_used():
    """Guards against routing a request to the wrong service."""
    short = build_route("short", prefix="/a/")
    long = build_route("long", prefix="/a/b/")
    table = RouteTable(build_configuration(routes=(short, long)))
    assert table.find("site.example", "/a/b/c").name == "long"
    assert table.find("SITE.example", "/a/bc").name == "short"
    assert table.find("site.example", "/a") is None
    assert table.find("other.example", "/a/") is None


def test_traffic_split_follows_the_weights():
    """Guards against a traffic split that deviates from the weights."""
    route = build_route(targets=(("x", 90), ("y", 10)))
    counts = Counter(choose_target(route, draw / 100) for draw in range(100))
    assert counts == {"x": 90, "y": 10}


def test_revoked_key_is_unknown():
    """Guards against accepting a key that the configuration no longer contains."""
    assert RouteTable(build_configuration(keys=("k1",))).find_workspace("k1") == "a"
    assert RouteTable(build_configuration(keys=("k2",))).find_workspace("k1") is None


class ScriptedSource(BaseSource):
    """Returns scripted results in order; exceptions are raised."""

    name = "scripted"

    def __init__(self, snapshots, updates=()):
        self.snapshots = list(snapshots)
        self.updates = list(updates)

    async def list_all(self):
        return await self.pop_result(self.snapshots)

    async def wait(self, revision):
        return await self.pop_result(self.updates)

    async def pop_result(self, results):
        """Return the next result, or block if there is none."""
        if not results:
            await anyio.sleep_forever()
        result = results.pop(0)
        if isinstance(result, Exception):
            raise result
        return result


class StubPeers(BasePeers):
    """Peers of which one may have newer state."""

    def __init__(self, source):
        self.source = source

    def has_any(self):
        return False

    def count_forwarders(self):
        return 1

    def find_newer(self, position):
        return self.source

    def find_newer_configuration(self, version):
        return None


class FixedRandom:
    """Draws the same number always."""

    def random(self):
        return 0.0


def build_watcher(state, source, peer_source=None):
    """Return a watcher of a source."""
    peers = StubPeers(peer_source)
    return Watcher(state, source, peers, lambda: None, FixedRandom(), lambda _: None)


def run_watcher(state, source, peer_source=None, seconds=1.0):
    """Run a watcher for a given time and return it."""

    async def main():
        watcher = build_watcher(state, source, peer_source)
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                tasks.start_soon(watcher.poll_peers)
        return watcher

    return anyio.run(main)


def test_lost_history_triggers_a_snapshot_read(state):
    """Guards against missing changes when the store has compacted its history."""
    first = Changes([Item("b1", b"1", 1)], 1, True)
    second = Changes([Item("b2", b"1", 5)], 5, True)
    source = ScriptedSource([first, second], [HistoryLostError("gone")])
    run_watcher(state, source, seconds=0.5)
    state.registry.remove_expired_entries(time.monotonic() + REREGISTRATION_TIME_S)
    assert [backend.name for backend in state.registry.list_ready("read")] == ["b2"]


def test_state_is_kept_while_the_store_fails(state):
    """Guards against removing all backend servers while the store is down."""
    first = Changes([Item("b1", b"1", 1)], 1, True)
    source = ScriptedSource([first], [SourceError("down")] * 50)
    watcher = run_watcher(state, source, seconds=0.8)
    assert watcher.failing_since is not None
    assert len(state.registry.list_ready("read")) == 1


def test_state_is_read_from_a_peer_while_the_store_fails(state):
    """Guards against a revoked key that stays valid at a host the store rejects."""
    source = ScriptedSource([SourceError("down")] * 50)
    peer = ScriptedSource([Changes([Item("config", b"9", 4)], 4, True)] * 5)
    run_watcher(state, source, peer)
    assert state.routes.version == 9


def test_removal_delay_after_an_outage_starts_at_the_recovery(state):
    """Guards against requests to a backend server that stops right after an outage.

    The delay must not start again at the removal of the entry.
    """
    listed = Changes([Item("b1", b"1", 1)], 1, True)
    removed = Changes([Item("b1", None, 2)], 2, False)
    nothing = Changes([], 2, False)
    updates = [nothing] * 4 + [removed] + [nothing] * 50
    source = ScriptedSource([SourceError("down")] * 6 + [listed], updates)
    started_at = time.monotonic()
    watcher = run_watcher(state, source, seconds=2.2)
    backend = state.registry.backends["b1"]
    assert watcher.recovered_at > started_at + MIN_EXPIRY_OUTAGE_S
    assert backend.expires_at == watcher.recovered_at + REREGISTRATION_TIME_S


class ManualClock:
    """Stands in for the time module."""

    def __init__(self):
        self.now = 0.0

    def monotonic(self):
        return self.now


@pytest.fixture
def clock(monkeypatch):
    clock = ManualClock()
    monkeypatch.setattr(_watcher, "time", clock)
    return clock


def test_versions_are_known_from_reads_of_the_store(state, clock):
    """Guards against streams that are refused although the store lists one version.

    A list and the changes after it count as reads, and a failed read does not: another
    version may have joined since the last one.
    """
    versions = state.registry.versions
    listed = Changes([Item("b1", b"1", 1)], 1, True)
    updates = [Changes([], 1, False), SourceError("down")]
    watcher = build_watcher(state, ScriptedSource([listed], updates))

    async def main():
        for now, read_at in ((10.0, 10.0), (12.0, 12.0), (14.0, 12.0)):
            clock.now = now
            await watcher.update()
            assert (versions.known_since, versions.read_at) == (10.0, read_at)

    anyio.run(main)
    assert state.registry.find_only_version("read", 10.0, 12.0) == ""
    assert state.registry.find_only_version("read", 9.0, 12.0) is None
    assert state.registry.find_only_version("read", 10.0, 14.0) is None


def test_read_of_a_peer_does_not_complete_the_versions(state, clock):
    """Guards against a version that is taken for the only one on the word of a peer.

    The peer may not have read the store itself for some time.
    """
    versions = state.registry.versions
    listed = Changes([Item("b1", b"1", 1)], 1, True)
    watcher = build_watcher(state, ScriptedSource([listed]))
    peer = ScriptedSource([Changes([Item("b2", b"1", n)], n, True) for n in (1, 2)])

    async def main():
        clock.now = 10.0
        await watcher.read_peer(peer)
        assert len(state.registry.list_ready("read")) == 1
        assert (versions.known_since, versions.read_at) == (inf, -inf)
        clock.now = 11.0
        await watcher.update()
        clock.now = 12.0
        await watcher.read_peer(peer)
        assert (versions.known_since, versions.read_at) == (11.0, 11.0)

    anyio.run(main)


@pytest.mark.parametrize("n_forwarders", [1, 5, 27, 68, 300])
def test_calls_of_all_forwarders_do_not_grow_with_the_fleet(n_forwarders):
    """Guards against a store that a large fleet drives over its rate of calls."""
    interval_s = compute_read_interval_s(n_forwarders)
    assert 0.15 <= interval_s <= 0.6
    assert n_forwarders / interval_s <= max(110.0, n_forwarders / 0.6) + 1e-6


@pytest.mark.parametrize("n_forwarders", [1, 5, 28, 68, 388])
def test_the_rate_of_calls_can_be_set_and_each_forwarder_still_reads(n_forwarders):
    """Guards against a rate in the settings that keeps hosts from reading in time."""
    interval_s = compute_read_interval_s(n_forwarders, 50.0)
    assert 0.15 <= interval_s <= 0.6
    assert n_forwarders / interval_s <= max(50.0, n_forwarders / 0.6) + 1e-6


def test_watcher_pauses_as_the_settings_say(state):
    """Guards against a setting that takes no effect, also after a reload."""
    results = [Changes([], revision, revision == 1) for revision in (1, 2)]
    watcher = build_watcher(state, ScriptedSource(results[:1], results[1:]))
    watcher.peers.count_forwarders = lambda: 28

    async def main():
        watcher.fleet_reads_per_s = 56.0
        assert await watcher.update() == pytest.approx(0.5)
        watcher.fleet_reads_per_s = 112.0
        assert await watcher.update() == pytest.approx(0.25)

    anyio.run(main)
