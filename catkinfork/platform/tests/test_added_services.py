"""Services that a configuration names after their servers have registered."""

import json

import pytest

from catkinfork.platform import PlatformDecoder
from catkinfork.platform.tests.standins import build_config, run_platform, wait_until
from catkinfork.platform.tests.test_documents import ENTRY
from catkinfork.topology import (
    BackendRegistry,
    Changes,
    Item,
    TopologyState,
)

ADDED = "added"
# Time within which a configuration is in force, seconds (config_ms).
CONFIG_S = 2.0


@pytest.fixture
def events():
    return []


@pytest.fixture
def state(events):
    """Return a state with a configuration that names the service of ``i-0`` only."""
    state = build_state(events)
    apply(state, configure(1), register("i-0", 2, service="ledger"), is_full=True)
    return state


def build_state(events):
    """Return an empty state."""
    registry = BackendRegistry(events.append)
    return TopologyState(registry, PlatformDecoder(), lambda _: None, events.append)


def configure(revision, *added):
    """Return an item with a configuration that names further services."""
    config = build_config(revision)
    (service,) = config["services"]
    config["services"] += [service | {"name": name} for name in added]
    return Item("op/config", json.dumps(config).encode(), revision)


def register(name, revision, service=ADDED, **fields):
    """Return an item with an entry of a server."""
    entry = ENTRY | {"service": service, "sequence": revision} | fields
    entry |= {"address": f"10.0.0.1:{8000 + int(name[2:])}"}
    return Item(f"servers/{name}", json.dumps(entry).encode(), revision)


def apply(state, *items, is_full=False, era=0, now=0.0):
    """Apply items that were read at the revision of the last one."""
    revision = items[-1].revision
    state.apply(Changes(items, revision, is_full, era), "test", now, now)


def list_names(state, service=ADDED):
    """Return the names of the servers that are ready."""
    return sorted(one.name for one in state.registry.list_ready(service))


def test_servers_that_registered_before_a_configuration_names_them_are_used(state):
    """Guards against an added route that is never served.

    Entries that do not change are not read again.
    """
    apply(state, register("i-1", 3), register("i-2", 4))
    assert not list_names(state)
    apply(state, configure(5, ADDED))
    assert list_names(state) == ["i-1", "i-2"]
    assert list_names(state, "ledger") == ["i-0"]


def test_servers_that_a_restarted_host_lists_before_the_configuration_are_used(events):
    """Guards against the same in a full list, and at a host that reads from a peer."""
    state = build_state(events)
    apply(state, configure(1), register("i-1", 3), is_full=True)
    newer = Changes([configure(5, ADDED)], 5, True)
    state.offer_configuration(newer, "peer")
    assert list_names(state) == ["i-1"]


def test_servers_that_change_while_their_service_is_left_out_are_used(state):
    """Guards against a service that is lost though a configuration takes it back."""
    apply(state, configure(3, ADDED), register("i-1", 4), register("i-2", 5))
    apply(state, configure(6), register("i-1", 7, cold_remaining_ms=0))
    assert list_names(state) == ["i-2"]
    apply(state, configure(8, ADDED))
    assert list_names(state) == ["i-1", "i-2"]
    assert state.registry.backends["i-1"].entry.sequence == 7


@pytest.mark.parametrize("n_changes", [1, 2])
def test_latest_entry_counts_once_the_service_is_named(state, n_changes):
    """Guards against a server that leaves before its service is named, and is used."""
    later = [
        register("i-1", 4, state="draining"),
        Item("servers/i-1", None, 5),
    ]
    apply(state, register("i-1", 3), *later[:n_changes])
    apply(state, configure(6, ADDED))
    assert not list_names(state)


@pytest.mark.parametrize("value", [b"{", b"", b'{"service": 7}'])
def test_entry_that_becomes_unreadable_names_no_server(state, value):
    """Guards against the entry before an unreadable one, taken up later."""
    apply(state, register("i-1", 3), Item("servers/i-1", value, 4))
    apply(state, configure(5, ADDED))
    assert not list_names(state)


def test_server_that_moves_to_another_service_is_of_that_one(state):
    """Guards against a server that gets requests of a service that it left."""
    apply(state, register("i-1", 3), register("i-1", 4, service="ledger"))
    apply(state, configure(5, ADDED))
    assert not list_names(state)
    assert list_names(state, "ledger") == ["i-0", "i-1"]


def test_server_whose_service_is_not_named_is_not_used(state, events):
    """Guards against requests to an entry of another writer."""
    apply(state, register("i-0", 3, service="elsewhere"))
    apply(state, configure(4, ADDED))
    assert not list_names(state, "ledger")
    assert not list_names(state, "elsewhere")
    (ignored,) = [e for e in events if e.event.name == "entry_ignored"]
    assert "service 'elsewhere' is not configured" in ignored.values


@pytest.mark.parametrize("is_registered_before", [True, False])
def test_servers_of_a_service_that_only_a_route_names_are_used(
    state, is_registered_before
):
    """Guards against a route whose service has default values and no servers."""
    config = build_config(4)
    config["routes"].append(config["routes"][0] | {"prefix": "/a/", "service": ADDED})
    items = [Item("op/config", json.dumps(config).encode(), 4), register("i-1", 5)]
    if is_registered_before:
        items.insert(0, register("i-1", 3))
        del items[2]
    apply(state, *items)
    assert list_names(state) == ["i-1"]


def test_warm_up_counts_from_the_entry(state):
    """Guards against a server that is spared as cold long after it has warmed up."""
    apply(state, register("i-1", 3, cold_remaining_ms=4000), now=100.0)
    apply(state, configure(4, ADDED), now=103.0)
    backend = state.registry.backends["i-1"]
    assert backend.is_cold(103.9)
    assert not backend.is_cold(104.1)


def test_entries_that_a_restored_store_lacks_are_forgotten(state):
    """Guards against a server that was restored away, and one that had left."""
    apply(state, register("i-1", 3), register("i-2", 4), Item("servers/i-2", None, 5))
    copied = [configure(1), register("i-2", 4)]
    apply(state, *copied, is_full=True, era=1)
    apply(state, configure(6, ADDED), era=1)
    assert not list_names(state)
    apply(state, register("i-1", 7), register("i-2", 8), era=1)
    assert list_names(state) == ["i-1", "i-2"]


@pytest.mark.processes
def test_added_route_is_served_by_servers_that_registered_before(tmp_path):
    """Guards against callers who get 503 on an added route for good."""

    async def test(platform):
        platform.store.put("op/config", build_config())
        await platform.add_runner("i-1")
        runner = await platform.add_runner("i-2")
        platform.store.put("servers/i-2", runner.build_entry(service=ADDED))
        await platform.add_forwarders(2)
        await platform.wait_ready()
        for forwarder in platform.forwarders:
            await wait_until(lambda f=forwarder: f.list_events("entry_ignored"))
        config = build_config(2, prefixes=("/read/", "/added/"))
        config["routes"][1]["service"] = ADDED
        config["services"].append(config["services"][0] | {"name": ADDED})
        platform.store.put("op/config", config)
        for forwarder in platform.forwarders:

            async def is_served(forwarder=forwarder):
                return await forwarder.call("/added/") == (200, b"i-2")

            assert await wait_until(is_served) < CONFIG_S
            assert await forwarder.call() == (200, b"i-1")

    run_platform(test, tmp_path)
