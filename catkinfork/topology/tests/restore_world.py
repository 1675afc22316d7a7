"""A store that is restored from copies, and forwarders that follow it."""

import copy
import random

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
)
from catkinfork.topology.tests.samples import build_configuration, build_entry

STEP_S = 0.2
# Time after a restore within which live servers and the operator publish again.
REPUBLISH_S = 1.2


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
