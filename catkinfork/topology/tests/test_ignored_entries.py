"""Entries that name no backend server to use: what is kept of them."""

from math import inf

import anyio
import pytest

from catkinfork.topology import (
    BackendRegistry,
    BaseDecoder,
    Changes,
    ConfigurationItem,
    EntryItem,
    EvacuationItem,
    Item,
    TopologyState,
    UnconfiguredItem,
    UnreadableItem,
)
from catkinfork.topology._unconfigured import (
    MAX_UNCONFIGURED,
    MAX_UNCONFIGURED_BYTES,
)
from catkinfork.topology.tests.samples import (
    build_configuration,
    build_entry,
    list_names,
)
from catkinfork.topology.tests.test_state import ScriptedSource, build_watcher

LARGE = 1 << 20
# Size of an item and of an entry beside its value, bytes.
ITEM_BYTES = 1024


class OddDecoder(BaseDecoder):
    """Decodes keys by their first letter, and services by the first word of a value."""

    def __init__(self):
        self.services = set()

    def decode(self, item):
        kind = item.key[0]
        if kind == "c":
            if item.value[:3] == b"bad":
                return UnreadableItem("", "bad")
            configuration = build_configuration(int(item.value))
            self.services = configuration.list_services()
            return ConfigurationItem(configuration)
        if kind == "z":
            return EvacuationItem(item.key, item.value is not None)
        if kind != "b":
            return None
        if item.value is None:
            return EntryItem(item.key, None)
        if item.value[:3] == b"bad" or not item.value:
            return UnreadableItem(item.key, "bad", is_entry=True)
        service = item.value.split()[0].decode()
        entry = build_entry(item.key, service=service)
        if self.services and service not in self.services:
            return UnconfiguredItem(entry)
        return EntryItem(item.key, entry)


@pytest.fixture
def state():
    registry = BackendRegistry(lambda _: None)
    return TopologyState(registry, OddDecoder(), lambda _: None, lambda _: None)


def apply(state, items, is_full=False, era=0):
    """Apply items to a state."""
    revision = max(item.revision for item in items)
    state.apply(Changes(items, revision, is_full, era), "test", 0.0, 0.0)


def count_bytes(state):
    """Return the bytes of all that is kept for peers."""
    return sum(len(item.key) + len(item.value) for item in state.items.values())


SOUND = [Item("config", b"1", 1), Item("b-sound", b"read", 2)]
VALUES = {
    "unreadable": ("b", b"bad"),
    "unknown key": ("x", b""),
    "evacuation": ("z", b""),
    "no configured service": ("b", b"other "),
}


@pytest.mark.parametrize(("n_items", "n_bytes"), [(60, LARGE), (20_000, 40)])
@pytest.mark.parametrize("name", VALUES)
@pytest.mark.parametrize("reader", ["list", "watch", "restored"])
def test_ignored_values_are_not_kept(state, reader, name, n_items, n_bytes):
    """Guards against memory that another writer fills, few large ones or many small.

    Peers that ask would be sent all of it.
    """
    kind, begin = VALUES[name]
    value = begin + b" " * n_bytes
    apply(state, SOUND, is_full=True)
    odd = [Item(f"{kind}{n}", value, 10 + n) for n in range(n_items)]
    if reader == "watch":
        apply(state, odd)
    else:
        apply(state, [*SOUND, *odd], is_full=True, era=int(reader == "restored"))
    assert list_names(state) == ["b-sound"]
    assert len(state.unconfigured) <= MAX_UNCONFIGURED
    n_small = n_items if name == "evacuation" else MAX_UNCONFIGURED
    assert count_bytes(state) <= n_small * 64 + 100
    assert {"config", "b-sound"} <= state.items.keys()


def test_value_that_replaces_an_entry_is_told_to_peers(state):
    """Guards against a peer that goes on with the entry of before."""
    apply(state, SOUND, is_full=True)
    apply(state, [Item("b-sound", b"bad" * LARGE, 5)])
    assert list_names(state) == []
    assert count_bytes(state) < 100
    other = TopologyState(
        BackendRegistry(lambda _: None), OddDecoder(), lambda _: None, lambda _: None
    )
    apply(other, SOUND, is_full=True)
    told = Changes(list(state.items.values()), state.revision, True)
    other.apply(told, "peer", 0.0, inf)
    assert list_names(other) == []


def test_unreadable_configuration_leaves_the_known_one(state):
    """Guards against a peer that is told a configuration which nobody can read."""
    apply(state, SOUND, is_full=True)
    apply(state, [Item("config", b"bad" + b" " * LARGE, 7)])
    assert state.items["config"] == Item("config", b"1", 7)
    apply(state, [Item("config", b"3", 8)])
    assert state.routes.version == 3


def test_entry_that_was_ignored_is_taken_once_it_is_right(state):
    """Guards against a key that stays ignored, or that an older value brings back."""
    apply(state, SOUND, is_full=True)
    apply(state, [Item("b-odd", b"bad", 5)])
    apply(state, [Item("b-odd", b"read", 4)])
    assert list_names(state) == ["b-sound"]
    apply(state, [Item("b-odd", b"read", 6)])
    assert list_names(state) == ["b-odd", "b-sound"]


class ChangingDecoder(OddDecoder):
    """Decodes a configuration of version 2 that names another service."""

    def decode(self, item):
        decoded = super().decode(item)
        if isinstance(decoded, ConfigurationItem) and item.value == b"2":
            services = decoded.configuration.services
            services = services | {"other": services["read"]}
            configuration = decoded.configuration._replace(services=services)
            self.services = configuration.list_services()
            return ConfigurationItem(configuration)
        return decoded


@pytest.mark.parametrize(("n_items", "n_bytes"), [(5, LARGE), (3000, 4), (5, 4)])
def test_entries_that_were_not_kept_are_listed_once_their_service_is_named(
    n_items, n_bytes
):
    """Guards against servers of an added service that are forgotten among others.

    An entry that does not change is not sent again.
    """
    registry = BackendRegistry(lambda _: None)
    state = TopologyState(registry, ChangingDecoder(), lambda _: None, lambda _: None)
    value = b"other " + b" " * n_bytes
    odd = [Item(f"b{n}", value, 10 + n) for n in range(n_items)]
    config = Item("config", b"2", 5000)
    source = ScriptedSource(
        [Changes([*SOUND, *odd], 4000, True), Changes([config, *odd], 5000, True)],
        [Changes([config], 5000, False)],
    )
    watcher = build_watcher(state, source)

    async def main():
        await watcher.update()
        await watcher.update()
        if not watcher.has_full_list:
            await watcher.update()

    anyio.run(main)
    assert len(registry.list_ready("other")) == n_items
    is_kept = n_items <= MAX_UNCONFIGURED and n_bytes <= MAX_UNCONFIGURED_BYTES
    assert len(source.snapshots) == int(is_kept)
