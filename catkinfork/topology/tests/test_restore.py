"""A store that is restored from a copy: its revisions go back and are reused."""

import anyio
import pytest

from catkinfork.topology import Changes, Item, _watcher
from catkinfork.topology._state import EVACUATION_HOLD_S
from catkinfork.topology.tests.restore_world import (
    STEP_S,
    StubWorld,
    build_state,
)
from catkinfork.topology.tests.samples import list_names

# Time within which all forwarders reach the state of the store, once it is at rest.
SETTLE_S = EVACUATION_HOLD_S + 4.0


def apply(state, *items, revision, era, is_full=True, now=0.0, expires_at=0.0):
    """Apply a read to a state."""
    state.apply(Changes(items, revision, is_full, era), "test", now, expires_at)


@pytest.fixture
def events():
    return []


@pytest.fixture
def state(events):
    state = build_state(events)
    items = [Item("config", b"9|k1", 90), Item("b1", b"40", 95), Item("b2", b"8", 96)]
    apply(state, *items, revision=100, era=1)
    return state


def test_changes_of_a_new_era_need_a_full_list(state):
    """Guards against changes that build on a revision of the old era."""
    apply(state, Item("b3", b"1", 101), revision=101, era=2, is_full=False)
    assert state.position == (1, 100)
    assert list_names(state) == ["b1", "b2"]


def test_older_revisions_of_a_new_era_are_applied(state, events):
    """Guards against a forwarder that keeps the old revisions for ever."""
    apply(state, Item("b1", b"41", 60), Item("b3", b"1", 61), revision=70, era=2)
    assert state.position == (2, 70)
    assert list_names(state) == ["b1", "b3"]
    apply(state, Item("b4", b"1", 71), revision=71, era=2, is_full=False)
    assert "b4" in list_names(state)
    (event,) = [one for one in events if one.event.name == "store_restored"]
    assert dict(zip(event.event.fields, event.values, strict=True)) == {
        "era": 2,
        "previous_era": 1,
        "revision": 70,
        "previous_revision": 100,
        "source": "test",
        "n_missing": 2,
    }


def test_older_era_is_ignored(state):
    """Guards against a peer of the old era whose revision is greater."""
    apply(state, Item("b1", b"41", 60), revision=70, era=2)
    apply(state, Item("b9", b"1", 500), revision=500, era=1)
    assert state.position == (2, 70)
    assert list_names(state) == ["b1"]


def test_withdrawn_key_stays_withdrawn(state):
    """Guards against a key of the copy that is let in until it is withdrawn again."""
    apply(state, Item("config", b"8|k1,k2", 50), revision=70, era=2)
    assert state.routes.version == 9
    assert state.routes.find_workspace("k2") is None
    fresh = build_state([])
    apply(fresh, *state.items.values(), revision=state.revision, era=state.era)
    assert fresh.routes.version == 9
    apply(state, Item("config", b"10|k1", 71), revision=71, era=2, is_full=False)
    assert state.routes.version == 10


def test_configuration_that_the_copy_lacks_stays_in_force(state):
    """Guards against a copy from before the first configuration."""
    apply(state, Item("b1", b"40", 60), revision=70, era=2)
    apply(state, Item("b1", b"40", 60), revision=80, era=2)
    assert state.routes.version == 9
    assert state.items["config"].value == b"9|k1"


def test_live_server_that_the_copy_lacks_is_kept_until_it_is_published(state):
    """Guards against a removal of all servers that registered after the copy."""
    backend = state.registry.backends["b2"]
    apply(state, Item("b1", b"30", 60), revision=70, era=2, expires_at=1.7)
    state.registry.remove_expired_entries(1.6)
    assert list_names(state) == ["b1", "b2"]
    apply(state, Item("b2", b"9", 71), revision=71, era=2, is_full=False, now=1.6)
    state.registry.remove_expired_entries(5.0)
    assert state.registry.backends["b2"] is backend
    assert state.registry.backends["b1"].entry.sequence == 40


def test_server_that_stays_missing_is_gone(state):
    """Guards against a server that is used although nothing lists it any more."""
    apply(state, Item("b1", b"30", 60), revision=70, era=2, expires_at=1.7)
    state.registry.remove_expired_entries(1.8)
    assert list_names(state) == ["b1"]


def test_server_that_was_gone_is_not_used_again(state):
    """Guards against a server that left after the copy was made."""
    apply(state, Item("b2", None, 101), revision=101, era=1, is_full=False)
    assert list_names(state) == ["b1"]
    apply(state, Item("b1", b"30", 60), Item("b2", b"7", 61), revision=70, era=2)
    assert list_names(state) == ["b1"]
    apply(state, Item("b2", b"9", 71), revision=71, era=2, is_full=False)
    assert list_names(state) == ["b1", "b2"]


def test_evacuation_is_held_until_it_is_published(state):
    """Guards against requests to a data centre that the copy does not list."""
    apply(state, Item("evac/gasabo", b"", 101), revision=101, era=1, is_full=False)
    assert not list_names(state)
    listed = [Item("b1", b"41", 60), Item("b2", b"9", 61)]
    apply(state, *listed, revision=70, era=2, now=5.0)
    apply(state, revision=70, era=2, is_full=False, now=5.0 + EVACUATION_HOLD_S / 2)
    assert not list_names(state)
    apply(state, revision=70, era=2, is_full=False, now=5.0 + EVACUATION_HOLD_S)
    assert list_names(state) == ["b1", "b2"]


def test_evacuation_of_the_copy_that_was_taken_back_is_not_in_force(state):
    """Guards against a data centre that is lost to an outdated evacuation."""
    apply(state, Item("evac/gasabo", b"", 60), revision=70, era=2, now=5.0)
    apply(state, Item("b1", b"41", 71), revision=71, era=2, is_full=False, now=6.0)
    assert list_names(state) == ["b1"]
    gone = Item("evac/gasabo", None, 72)
    apply(state, gone, revision=72, era=2, is_full=False, now=6.0)
    apply(state, revision=72, era=2, is_full=False, now=6.0 + EVACUATION_HOLD_S)
    assert list_names(state) == ["b1"]


@pytest.mark.parametrize("seed", range(12))
def test_forwarders_follow_a_store_that_is_restored(seed, monkeypatch):
    """Guards against forwarders that stay on, or go back to, what a restore undid."""
    world = StubWorld(seed)

    class VirtualTime:
        @staticmethod
        def monotonic():
            return world.now

    monkeypatch.setattr(_watcher, "time", VirtualTime)

    async def main():
        for _ in range(200):
            await world.step()
        world.calm()
        world.publish_all()
        for _ in range(int(SETTLE_S / STEP_S)):
            await world.step(is_calm=True)
            for name in world.servers:
                world.beat(name)

    anyio.run(main)
    store = world.store
    for node in world.nodes.values():
        assert node.state.era == store.era
        assert node.version == world.version
        assert node.state.items.keys() == store.items.keys()
        assert node.state.registry.backends.keys() == world.servers.keys()
        is_evacuated = "gasabo" in node.state.registry.evacuated
        assert is_evacuated == world.evacuated
