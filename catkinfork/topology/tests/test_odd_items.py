"""Items and failures that nothing foresees: the others hold, and updates go on."""

import anyio
import pytest

from catkinfork.topology import (
    BackendRegistry,
    Changes,
    ConfigurationItem,
    Item,
    SourceError,
    TopologyState,
    UnreadableItem,
)
from catkinfork.topology._ignored import IGNORED_LOG_INTERVAL_S, MAX_IGNORED_LINES
from catkinfork.topology._watcher import FAILURE_LOG_INTERVAL_S
from catkinfork.topology.tests.samples import build_entry, list_names
from catkinfork.topology.tests.test_state import (
    SampleDecoder,
    ScriptedSource,
    StubPeers,
    apply,
    run_watcher,
)


class FailingDecoder(SampleDecoder):
    """Fails on some values, in ways that its interface does not allow."""

    def decode(self, item):
        if item.value == b"nested":
            raise RecursionError("maximum recursion depth exceeded")
        if item.value == b"wrong":
            raise KeyError("field")
        return super().decode(item)


@pytest.fixture
def events():
    return []


@pytest.fixture
def state(events):
    registry = BackendRegistry(events.append)
    return TopologyState(registry, FailingDecoder(), lambda _: None, events.append)


def list_events(events, name):
    """Return the fields of all log events with a name."""
    return [
        dict(zip(event.event.fields, event.values, strict=True))
        for event in events
        if event.event.name == name
    ]


@pytest.mark.parametrize("value", [b"nested", b"wrong", b"bad"])
@pytest.mark.parametrize("is_full", [True, False])
def test_items_after_an_odd_one_are_applied(state, events, value, is_full):
    """Guards against an item that keeps all others from being followed."""
    items = [Item("b1", b"1", 1), Item("odd", value, 2), Item("b2", b"1", 3)]
    apply(state, *items, revision=3, is_full=is_full)
    assert list_names(state) == ["b1", "b2"]
    (ignored,) = list_events(events, "entry_ignored")
    assert ignored["key"] == "odd"
    apply(state, Item("odd", b"1", 4), Item("b1", None, 5), revision=5)
    assert list_names(state) == ["b2", "odd"]


@pytest.mark.parametrize("value", [b"nested", b"wrong", b"bad"])
def test_odd_item_of_a_restored_store_is_ignored(state, events, value):
    """Guards against a restore of the store that is followed in part only."""
    apply(state, Item("b1", b"1", 7), revision=7, is_full=True)
    items = [Item("odd", value, 2), Item("b1", b"1", 1), Item("b2", b"1", 3)]
    state.apply(Changes(items, 3, is_full=True, era=1), "test", 0.0, 0.0)
    assert list_names(state) == ["b1", "b2"]
    assert state.era == 1
    assert list_events(events, "store_restored")


def test_odd_entry_is_logged_once(state, events):
    """Guards against a log that another writer floods with each heartbeat."""
    for number in range(1, 200):
        now = number / 2
        changes = Changes([Item("odd", b"bad", number)], number, is_full=False)
        state.apply(changes, "test", now, now)
        state.apply(changes, "test", now, now)
    lines = list_events(events, "entry_ignored")
    assert [line["n_unlogged"] for line in lines] == [0, 119]


def test_many_odd_entries_leave_room_in_the_log(state, events):
    """Guards against lines on servers in use that are lost among those on odd keys."""
    for number in range(5000):
        now = number / 100
        items = [Item(f"odd{number}", b"bad", number + 1)]
        state.apply(Changes(items, number + 1, False), "test", now, now)
    assert len(list_events(events, "entry_ignored")) == MAX_IGNORED_LINES
    now += IGNORED_LOG_INTERVAL_S
    items = [Item("odd4999", b"bad", 6000), Item("odd", b"bad", 6001)]
    state.apply(Changes(items, 6001, False), "test", now, now)
    lines = list_events(events, "entry_ignored")[MAX_IGNORED_LINES:]
    assert [line["n_unlogged"] for line in lines] == [1, 0]


def test_odd_key_does_not_break_a_line_of_the_log(state, events):
    """Guards against log lines that another writer makes up."""
    key = "a\r\n{}" + "x" * 10_000
    apply(state, Item(key, b"bad", 1), revision=1)
    (ignored,) = list_events(events, "entry_ignored")
    assert ignored["key"].startswith("a??{}xx")
    assert len(ignored["key"]) <= 200


def test_older_entries_are_logged_once(state, events):
    """Guards against a log that an older entry floods with each heartbeat."""
    entry = build_entry(sequence=9)
    state.registry.apply_entry(entry, 0.0, "test")
    for number in range(50):
        older = entry._replace(sequence=1)
        state.registry.apply_entry(older, number / 10, "test")
    assert len(list_events(events, "entry_ignored")) == 1


def test_unexpected_failure_of_the_store_does_not_end_the_updates(state):
    """Guards against a process that ends, as the loop is one of its tasks."""
    first = Changes([Item("b1", b"1", 1)], 1, True)
    again = Changes([Item("b1", b"1", 1), Item("b2", b"1", 2)], 2, True)
    source = ScriptedSource(
        [RecursionError("deep"), first, ValueError("odd"), again],
        [KeyError("field")],
    )
    run_watcher(state, source, seconds=1.5)
    assert list_names(state) == ["b1", "b2"]


def test_unexpected_failure_of_a_peer_does_not_end_the_updates(state):
    """Guards against a process that ends for what a peer hands on."""
    store = ScriptedSource([SourceError("down")] * 100)
    changes = Changes([Item("config", b"9", 4)], 4, True)
    peer = ScriptedSource([ValueError("odd"), RecursionError("deep"), changes])
    run_watcher(state, store, peer, seconds=1.5)
    assert state.routes.version == 9


def test_unexpected_failures_are_logged_once_in_a_while(state, events):
    """Guards against failures that are hidden, or that flood the log."""
    source = ScriptedSource([RecursionError("deep\n")] * 100)
    watcher = run_watcher(state, source, seconds=0.1)
    watcher.write_log = events.append
    for _ in range(3):
        watcher.failure_logged_at -= 1.0
        anyio.run(watcher.update)
    assert not events
    watcher.failure_logged_at -= FAILURE_LOG_INTERVAL_S
    anyio.run(watcher.update)
    (line,) = list_events(events, "update_failed")
    assert line["detail"] == "RecursionError('deep\\n')"
    assert "test_state.py" in line["location"]
    assert line["n_unlogged"] >= 3


class FailingPeers(StubPeers):
    """Peers of which one has an address that cannot be used."""

    def has_any(self):
        return True

    def find_newer(self, position):
        raise ValueError("address")

    def find_newer_configuration(self, version):
        raise ValueError("address")


def test_peer_that_cannot_be_read_does_not_end_the_updates(state, monkeypatch):
    """Guards against an odd address in a frame that ends the process."""
    monkeypatch.setattr("catkinfork.topology.tests.test_state.StubPeers", FailingPeers)
    store = ScriptedSource([Changes([Item("b1", b"1", 1)], 1, True)])
    run_watcher(state, store, seconds=1.0)
    assert list_names(state) == ["b1"]


def test_decoder_reports_unreadable_items(state):
    """Guards against a failure of the decoder that names a backend server."""
    decoded = state.decode(Item("odd", b"nested", 1))
    assert isinstance(decoded, UnreadableItem)
    assert decoded.is_entry


class FigureDecoder(SampleDecoder):
    """Finds figures that cannot be right in each configuration."""

    def decode(self, item):
        decoded = super().decode(item)
        if isinstance(decoded, ConfigurationItem):
            return decoded._replace(ignored=("kv: expected 1 to 9\n", "link: none"))
        return decoded


def test_ignored_figures_are_logged_once_for_each_configuration(events):
    """Guards against a wrong figure that no operator hears of, or a flood of lines."""
    registry = BackendRegistry(events.append)
    adopted = []
    state = TopologyState(registry, FigureDecoder(), adopted.append, events.append)
    for revision in (1, 2, 3):
        apply(state, Item("config", b"1", revision), revision=revision)
    assert len(adopted) == 1
    (event,) = list_events(events, "figure_ignored")
    assert (event["version"], event["n_figures"]) == (1, 2)
    assert event["detail"] == "kv: expected 1 to 9?"
