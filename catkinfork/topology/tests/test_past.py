"""Backend servers that left before a process started, by the history of the store."""

from math import inf

import anyio
import pytest

from catkinfork.topology import (
    BackendRegistry,
    BaseDecoder,
    Changes,
    EntryItem,
    Item,
    PastEntries,
    PastReader,
    SourceError,
    TopologyState,
    UnreadableItem,
)
from catkinfork.topology._past import PastDepartures
from catkinfork.topology.tests.samples import build_entry
from catkinfork.topology.tests.test_state import ScriptedSource, build_watcher


class EntryDecoder(BaseDecoder):
    """Decodes ``VERSION START SEQUENCE`` as an entry."""

    def decode(self, item):
        if item.value is None:
            return EntryItem(item.key, None)
        if item.value == b"bad":
            return UnreadableItem(item.key, "bad", is_entry=True)
        version, started_ms, sequence = item.value.decode().split()
        entry = build_entry(
            item.key,
            version=version,
            started_ms=int(started_ms),
            sequence=int(sequence),
        )
        return EntryItem(item.key, entry)


class PastSource(ScriptedSource):
    """A source with a history.

    :param pasts: results of reads of the history.
    """

    def __init__(self, listed, pasts):
        super().__init__([Changes(listed, 50, True)])
        self.pasts = list(pasts)

    async def read_past(self, revision):
        assert revision == 50
        return await self.pop_result(self.pasts)


def read_past(*pasts, listed=(Item("b1", b"v1 7 9", 40),)):
    """Start a forwarder, read the history, and return what is known of versions."""
    registry = BackendRegistry(lambda _: None)
    state = TopologyState(registry, EntryDecoder(), lambda _: None, lambda _: None)
    watcher = build_watcher(state, PastSource(listed, pasts))

    async def main():
        await watcher.update()
        for _ in pasts:
            await PastReader(watcher).read()

    anyio.run(main)
    return registry.versions


# Items of the history, versions that left, and whether an unknown one did.
PASTS = {
    "nothing": ([], set(), False),
    "heartbeats": (
        [Item("b1", b"v1 7 8", 39), Item("b1", b"v1 7 9", 40)],
        set(),
        False,
    ),
    "removed": (
        [Item("b2", b"v2 8 5", 30), Item("b2", None, 31)],
        {"v2"},
        False,
    ),
    "removed, and the entry is older": ([Item("b2", None, 31)], set(), True),
    "removed, with many others": (
        [Item("b2", b"v2 8 5", 20)]
        + [Item(f"c{n}", b"v1 1 1", 21 + n) for n in range(5)]
        + [Item(key, None, 31) for key in ("b2", "c0", "c1", "c2", "c3", "c4")],
        {"v1", "v2"},
        False,
    ),
    "started again": (
        [Item("b1", b"v2 6 90", 30), Item("b1", b"v1 7 1", 31)],
        {"v2"},
        False,
    ),
    "started again, and the entry is older": (
        [Item("b1", b"v1 7 1", 31, 3)],
        set(),
        True,
    ),
    "started under a new key": ([Item("b1", b"v1 7 1", 31, 31)], set(), False),
    "no longer listed": ([Item("b2", b"v2 8 5", 30)], {"v2"}, False),
    "overwritten by another writer": (
        [Item("b2", b"v2 8 5", 30), Item("b2", b"bad", 31)],
        {"v2"},
        False,
    ),
    "value that names no server": (
        [Item("x", b"bad", 30), Item("x", None, 31)],
        set(),
        False,
    ),
}


@pytest.mark.parametrize("name", PASTS)
def test_servers_that_left_before_the_start_are_known(name):
    """Guards against streams joined from two versions after all hosts lost power.

    A server had left just before, and a process that starts has seen none leave.
    """
    items, left, has_unknown = PASTS[name]
    versions = read_past(PastEntries(items, 20.0))
    assert versions.list_left("read", -inf) == left
    assert (versions.unknown_left_at > -inf) == has_unknown
    assert versions.is_past_read
    assert versions.known_since == pytest.approx(versions.read_at - 20.0, abs=0.5)


@pytest.mark.parametrize("failure", [SourceError("down"), KeyError("odd")])
def test_history_that_cannot_be_read_is_no_knowledge(failure):
    """Guards against a failed read that counts as a history in which nobody left."""
    versions = read_past(failure)
    assert not versions.is_past_read
    assert versions.known_since == versions.read_at
    versions = read_past(failure, PastEntries([], inf))
    assert versions.is_past_read
    assert versions.known_since == -inf


def test_source_without_a_history_tells_nothing():
    """Guards against a source that keeps no history, taken for a calm one."""
    versions = read_past(None)
    assert versions.is_past_read
    assert versions.known_since == versions.read_at


def test_history_is_read_anew_after_a_gap():
    """Guards against a process that was paused and has missed who left meanwhile."""
    versions = read_past(PastEntries([], 20.0))
    now = versions.read_at + 10.0
    versions.record_read(now)
    assert versions.known_since == now
    assert not versions.is_past_read


@pytest.mark.parametrize("has_unknown", [False, True])
def test_only_version_is_not_certain_if_an_unknown_one_left(has_unknown):
    """Guards against the only listed version, taken for the only one that served."""
    registry = BackendRegistry(lambda _: None)
    registry.apply_entry(build_entry("b1", version="v1"), 100.0, "test")
    registry.versions.record_read(100.0)
    departures = PastDepartures([], has_unknown)
    registry.versions.record_past(departures, inf, 100.0)
    expected = None if has_unknown else "v1"
    assert registry.find_only_version("read", 40.0, 100.0) == expected
