"""A store that is restored from a copy: its revisions go back and are reused."""

import copy
import random

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
    EvacuationItem,
    HistoryLostError,
    Item,
    SourceError,
    TopologyState,
    Watcher,
    _watcher,
)
from catkinfork.topology._state import EVACUATION_HOLD_S
from catkinfork.topology.tests.samples import build_configuration, build_entry

STEP_S = 0.2
# Time after a restore within which live servers and the operator publish again.
REPUBLISH_S = 1.2
# Time within which all forwarders reach the state of the store, once it is at rest.
SETTLE_S = EVACUATION_HOLD_S + 4.0


class RestoreDecoder(BaseDecoder):
    """Decodes ``config`` as version and keys, ``evac/`` keys, and entry sequences."""

    def decode(self, item):
        if item.key.startswith("evac/"):
            return EvacuationItem(item.key[5:], item.value is not None)
        if item.key != "config":
            entry = None
            if item.value is not None:
                entry = build_entry(item.key, sequence=int(item.value))
            return EntryItem(item.key, entry)
        if item.value is None:
            return None
        version, _, keys = item.value.decode().partition("|")
        return ConfigurationItem(
            build_configuration(int(version), keys=keys.split(","))
        )


def build_state(events):
    """Return an empty state."""
    registry = BackendRegistry(events.append)
    return TopologyState(registry, RestoreDecoder(), lambda _: None, events.append)


def apply(state, *items, revision, era, is_full=True, now=0.0, expires_at=0.0):
    """Apply a read to a state."""
    state.apply(Changes(items, revision, is_full, era), "test", now, expires_at)


def list_names(state):
    """Return the names of the servers that are ready."""
    return sorted(one.name for one in state.registry.list_ready("read"))


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


class StubStore:
    """A store that can be restored from a copy of itself."""

    def __init__(self):
        self.era = 1
        self.revision = 0
        self.items = {}
        self.events = []
        self.copies = []

    def put(self, key, value):
        """Write an item, or remove it if the value is None."""
        self.revision += 1
        item = Item(key, value, self.revision)
        self.events.append(item)
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = item

    def save(self):
        """Keep a copy."""
        data = (self.revision, self.items, self.events)
        self.copies.append(copy.deepcopy(data))

    def restore(self, rng):
        """Go back to one of the latest copies."""
        copied = copy.deepcopy(rng.choice(self.copies[-20:]))
        self.revision, self.items, self.events = copied
        self.copies.clear()
        self.era += 1
        self.save()


class StubStoreSource(BaseSource):
    """Reads a :class:`StubStore`; the list has two pages."""

    name = "store"

    def __init__(self, world):
        self.world = world
        self.is_reachable = True
        self.era = 0

    def check(self):
        """Record the era, or fail if the store is out of reach."""
        if not self.is_reachable:
            raise SourceError("out of reach")
        self.era = self.world.store.era

    async def list_all(self):
        self.check()
        store = self.world.store
        era, revision = store.era, store.revision
        first = [item for item in store.items.values() if item.key <= "c"]
        self.world.interleave()
        self.check()
        if store.era != era:
            raise HistoryLostError("era changed")
        rest = [item for item in store.items.values() if item.key > "c"]
        return Changes(first + rest, revision, True, era)

    async def wait(self, revision):
        era = self.era
        self.check()
        store = self.world.store
        if store.era != era or revision > store.revision:
            raise HistoryLostError("gone")
        found = [item for item in store.events if item.revision > revision]
        return Changes(found, store.revision, False, era)


class StubPeerSource(BaseSource):
    """Reads the state of another node."""

    def __init__(self, node):
        self.node = node
        self.name = f"peer {node.name}"

    async def list_all(self):
        state = self.node.state
        return Changes(
            list(state.items.values()),
            state.revision,
            True,
            state.era,
            tuple(state.registry.departed.values()),
        )

    async def wait(self, revision):
        return await self.list_all()


class StubPeers(BasePeers):
    """Peers as seen over links that may be cut."""

    def __init__(self, world, name):
        self.world = world
        self.name = name

    def list_reachable(self):
        """Return the nodes that can be reached."""
        return [
            node
            for name, node in self.world.nodes.items()
            if frozenset((name, self.name)) not in self.world.cuts
            and name != self.name
            and not node.is_frozen
        ]

    def has_any(self):
        return any(node.state.routes for node in self.list_reachable())

    def count_forwarders(self):
        return 4

    def find_newer(self, position):
        nodes = [
            node for node in self.list_reachable() if node.state.position > position
        ]
        return self.open(max(nodes, key=lambda node: node.state.position, default=None))

    def find_newer_configuration(self, version):
        nodes = [node for node in self.list_reachable() if node.version > version]
        return self.open(max(nodes, key=lambda node: node.version, default=None))

    def open(self, node):
        """Return the source of a node, or None."""
        return None if node is None else StubPeerSource(node)


class StubNode:
    """One incarnation of a forwarder."""

    def __init__(self, world, name):
        self.name = name
        self.is_frozen = False
        self.state = build_state([])
        self.source = StubStoreSource(world)
        self.watcher = Watcher(
            self.state,
            self.source,
            StubPeers(world, name),
            lambda: None,
            world.rng,
            lambda _: None,
        )
        self.position = self.state.position
        self.seen_version = 0

    @property
    def version(self):
        """Return the version of the configuration in force."""
        return self.state.routes.version if self.state.routes is not None else 0


class StubWorld:
    """A store, live servers, an operator and forwarders in virtual time."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.store = StubStore()
        self.cuts = set()
        self.servers = {f"b{number}": 1 for number in range(6)}
        self.version = 1
        self.keys = [f"k{number}" for number in range(8)]
        self.withdrawn = {}
        self.evacuated = False
        self.restored_at = -100.0
        self.publish_all()
        self.nodes = {}
        for number in range(4):
            self.nodes[f"f{number}"] = StubNode(self, f"f{number}")

    def publish_configuration(self):
        """Publish the latest configuration."""
        value = f"{self.version}|{','.join(self.keys)}".encode()
        self.store.put("config", value)

    def publish_all(self):
        """Publish the configuration, the evacuation and all entries."""
        self.publish_configuration()
        is_listed = "evac/gasabo" in self.store.items
        if self.evacuated != is_listed:
            self.store.put("evac/gasabo", b"" if self.evacuated else None)
        for name in self.store.items.keys() - self.servers.keys():
            if name.startswith("b"):
                self.store.put(name, None)
        for name in self.servers:
            self.beat(name)

    def beat(self, name):
        """Publish the entry of a server."""
        self.servers[name] += 1
        self.store.put(name, str(self.servers[name]).encode())

    def change(self):
        """Make one random change that is published."""
        draw = self.rng.random()
        if draw < 0.6:
            self.beat(self.rng.choice(list(self.servers)))
        elif draw < 0.75:
            self.version += self.rng.randrange(1, 3)
            if len(self.keys) > 1 and self.rng.random() < 0.5:
                self.withdrawn[self.keys.pop()] = self.version
            self.publish_configuration()
        elif draw < 0.85 and len(self.servers) > 2:
            name = self.rng.choice(list(self.servers))
            del self.servers[name]
            self.store.put(name, None)
        elif draw < 0.95:
            name = f"b{self.rng.randrange(1000, 9999)}"
            self.servers[name] = 0
            self.beat(name)
        else:
            self.evacuated = not self.evacuated
            self.store.put("evac/gasabo", b"" if self.evacuated else None)

    def interleave(self):
        """Let something happen between two pages of a list."""
        if self.rng.random() < 0.1:
            self.restore()
        elif self.rng.random() < 0.5:
            self.change()

    def restore(self):
        """Restore the store from a copy, unless one was just restored."""
        if self.now - self.restored_at > 3.0 and len(self.store.copies) > 1:
            self.store.restore(self.rng)
            self.restored_at = self.now

    async def step(self, is_calm=False):
        """Advance the time, and let something happen unless it is calm."""
        self.now += STEP_S
        if not is_calm:
            self.disturb()
        if 0 < self.now - self.restored_at - REPUBLISH_S <= STEP_S:
            self.publish_all()
        self.store.save()
        for name in list(self.nodes):
            await self.update(self.nodes[name])

    def disturb(self):
        """Cut, heal, freeze, restart and restore at random."""
        for _ in range(self.rng.randrange(3)):
            if self.now - self.restored_at > REPUBLISH_S:
                self.change()
        draw = self.rng.random()
        names = self.rng.sample(list(self.nodes), 2)
        node = self.nodes[names[0]]
        if draw < 0.04:
            self.restore()
        elif draw < 0.08:
            node.source.is_reachable = not node.source.is_reachable
        elif draw < 0.12:
            self.cuts ^= {frozenset(names)}
        elif draw < 0.15:
            node.is_frozen = not node.is_frozen
        elif draw < 0.17:
            self.nodes[names[0]] = StubNode(self, names[0])

    async def update(self, node):
        """Let a node read the store and its peers, and check it."""
        if node.is_frozen:
            return
        if node.state.routes is None:
            await node.watcher.read_first_peer()
        await node.watcher.update()
        source = node.watcher.find_peer_source(self.now)
        if source is not None:
            await node.watcher.read_peer(source)
        node.state.registry.remove_expired_entries(self.now)
        self.check(node)

    def check(self, node):
        """Check what must hold at any time."""
        assert node.state.position >= node.position
        assert node.version >= node.seen_version
        node.position = node.state.position
        node.seen_version = node.version
        for key, version in self.withdrawn.items():
            if node.version >= version:
                assert node.state.routes.find_workspace(key) is None

    def calm(self):
        """End all cuts and freezes."""
        self.cuts.clear()
        for node in self.nodes.values():
            node.is_frozen = False
            node.source.is_reachable = True


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
