"""Tests of the registry of backend servers."""

import pytest

from catkinfork.topology import (
    DRAINING,
    MAX_INTEGER,
    READY,
    BackendRegistry,
    Departure,
)
from catkinfork.topology._registry import (
    MAX_DEPARTED,
    MAX_PAUSE_S,
    N_SUCCESSIVE_ENTRIES,
)
from catkinfork.topology.tests.samples import build_entry


@pytest.fixture
def events():
    return []


@pytest.fixture
def registry(events):
    return BackendRegistry(events.append)


def list_names(registry):
    """Return the names of the ready backend servers."""
    return [backend.name for backend in registry.list_ready("read")]


def test_draining_backend_receives_no_new_requests(registry, events):
    """Guards against new requests to a draining backend server."""
    registry.apply_entry(build_entry(), 0.0, "test")
    registry.apply_entry(build_entry(state=DRAINING, sequence=2), 1.0, "test")
    assert list_names(registry) == []
    assert events[-1].event.name == "backend_leaving"


def test_older_entry_is_ignored(registry):
    """Guards against a delayed write that puts a draining backend server back."""
    registry.apply_entry(build_entry(state=DRAINING, sequence=5), 0.0, "test")
    registry.apply_entry(build_entry(sequence=4), 1.0, "test")
    assert list_names(registry) == []


@pytest.mark.parametrize(
    "wrong", [{"started_ms": MAX_INTEGER}, {"sequence": MAX_INTEGER}]
)
def test_entry_that_cannot_be_right_is_followed_by_those_of_the_server(registry, wrong):
    """Guards against a server that is used as of a wrong entry for as long as it lives.

    Another writer, or a clock that was ahead, left a far too large start or sequence.
    The server drains, and starts again under its id as another version.
    """
    registry.apply_entry(build_entry(version="v1", **wrong), 0.0, "test")
    for sequence in range(2, 2 + N_SUCCESSIVE_ENTRIES):
        entry = build_entry(version="v1", state=DRAINING, sequence=sequence)
        registry.apply_entry(entry, 0.0, "test")
    assert list_names(registry) == []
    restarted = build_entry(version="v2", started_ms=2000)
    registry.apply_entry(restarted, 0.0, "test")
    assert registry.list_versions() == {"b1": "v2"}


def test_delayed_writes_of_other_times_do_not_add_up(registry):
    """Guards against a draining server that is used again after single late writes."""
    registry.apply_entry(build_entry(state=DRAINING, sequence=9), 0.0, "test")
    for sequence in (5, 6, 10, 7, 8, 11, 9, 8, 7):
        state = DRAINING if sequence > 9 else READY
        entry = build_entry(state=state, sequence=sequence)
        registry.apply_entry(entry, 0.0, "test")
        assert list_names(registry) == []


def test_version_of_an_ignored_entry_may_serve(registry):
    """Guards against the only version of a host that ignores what others use.

    They started later, and know the ignored entry alone.
    """
    registry.apply_entry(build_entry(version="v1", started_ms=5000), 0.0, "test")
    registry.versions.record_read(0.0)
    registry.versions.record_read(3.0)
    assert registry.find_only_version("read", 1.0, 3.0) == "v1"
    registry.apply_entry(build_entry(version="v2", sequence=7), 3.0, "test")
    assert registry.find_only_version("read", 1.0, 3.0) is None


def test_entry_of_a_restarted_backend_is_newer(registry):
    """Guards against ignoring a restarted backend server, whose sequence is lower."""
    registry.apply_entry(build_entry(state=DRAINING, sequence=5), 0.0, "test")
    registry.apply_entry(build_entry(sequence=1, started_ms=2000), 1.0, "test")
    assert list_names(registry) == ["b1"]


def test_backend_is_removed_at_once_if_the_store_is_healthy(registry):
    """Guards against requests to a backend server that has stopped."""
    registry.apply_entry(build_entry(), 0.0, "test")
    registry.remove("b1", 1.0, expires_at=1.0)
    assert list_names(registry) == []


def test_entry_that_expired_in_an_outage_may_reappear(registry):
    """Guards against removing all backend servers after a store outage."""
    registry.apply_entry(build_entry(), 0.0, "test")
    registry.remove("b1", 1.0, expires_at=3.0)
    assert list_names(registry) == ["b1"]
    registry.apply_entry(build_entry(sequence=2), 2.0, "test")
    registry.remove_expired_entries(10.0)
    assert list_names(registry) == ["b1"]


def test_backend_is_removed_if_its_entry_stays_missing(registry):
    """Guards against requests to a backend server that stopped during an outage."""
    registry.apply_entry(build_entry(), 0.0, "test")
    registry.remove("b1", 1.0, expires_at=3.0)
    registry.remove_expired_entries(2.9)
    assert list_names(registry) == ["b1"]
    registry.remove_expired_entries(3.0)
    assert list_names(registry) == []


def test_departures_told_by_peers_are_bounded(registry):
    """Guards against memory that grows with the departures that peers know."""
    for start in range(0, 3 * MAX_DEPARTED, 100):
        names = [f"b{number}" for number in range(start, start + 100)]
        registry.add_departures([Departure(name, 1000, 1) for name in names])
    assert len(registry.departed) == MAX_DEPARTED
    assert registry.has_departed(build_entry(name=names[-1], started_ms=1000))


def test_older_departure_of_a_peer_is_ignored(registry):
    """Guards against a server that is gone and that an outdated peer lets back in."""
    registry.add_departures([Departure("b1", 2000, 5)])
    registry.add_departures([Departure("b1", 1000, 9)])
    assert registry.has_departed(build_entry(sequence=5, started_ms=2000))


def test_evacuated_data_centre_receives_no_requests(registry):
    """Guards against requests to an evacuated data centre."""
    registry.apply_entry(build_entry(), 0.0, "test")
    registry.set_evacuated({"gasabo"})
    assert list_names(registry) == []
    registry.apply_entry(build_entry("b2"), 1.0, "test")
    assert list_names(registry) == []
    registry.set_evacuated(set())
    assert sorted(list_names(registry)) == ["b1", "b2"]


def test_backend_can_change_its_service(registry):
    """Guards against sending requests to a backend server of another service."""
    registry.apply_entry(build_entry(), 0.0, "test")
    registry.apply_entry(build_entry(service="order", sequence=2), 1.0, "test")
    assert list_names(registry) == []
    assert len(registry.list_ready("order")) == 1


def test_leaving_backend_is_not_ready_until_it_starts_again(registry, events):
    """Guards against a server that says that it leaves and has a live entry."""
    registry.apply_entry(build_entry(), 0.0, "test")
    assert registry.mark_leaving("b1", 1000, "response")
    assert not registry.mark_leaving("b1", 1000, "10.0.0.2")
    assert list_names(registry) == []
    registry.apply_entry(build_entry(sequence=2), 1.0, "test")
    assert list_names(registry) == []
    registry.remove("b1", 2.0, expires_at=2.0)
    registry.apply_entry(build_entry(sequence=3), 3.0, "test")
    assert list_names(registry) == []
    registry.apply_entry(build_entry(sequence=1, started_ms=2000), 4.0, "test")
    assert list_names(registry) == ["b1"]


def test_leaving_of_an_earlier_start_is_ignored(registry):
    """Guards against a server that is left out for what its predecessor said."""
    registry.apply_entry(build_entry(started_ms=2000), 0.0, "test")
    registry.mark_leaving("b1", 1000, "10.0.0.2")
    assert list_names(registry) == ["b1"]


def test_evacuated_backend_that_changes_its_service_is_not_ready(registry):
    """Guards against requests to an evacuated data centre after such a change."""
    registry.apply_entry(build_entry(), 0.0, "test")
    registry.set_evacuated({"gasabo"})
    registry.apply_entry(build_entry(service="order", sequence=2), 1.0, "test")
    assert not registry.list_ready("order")


def test_throttled_backend_holds_the_longest_pause(registry):
    """Guards against a pause that ends early, or outlives a restart."""
    registry.apply_entry(build_entry(), 0.0, "test")
    backend = registry.backends["b1"]
    registry.throttle(backend, 3.0, "3", 10.0)
    registry.throttle(backend, 0.5, "0.5", 11.0)
    assert backend.is_throttled(12.9)
    assert not registry.is_usable(backend, 12.9)
    assert not backend.is_throttled(13.0)
    assert backend.is_recovering(13.0)
    registry.remove("b1", 12.0, expires_at=12.0)
    registry.apply_entry(build_entry(sequence=2), 12.0, "test")
    assert registry.backends["b1"].is_throttled(12.9)
    registry.apply_entry(build_entry(sequence=1, started_ms=2000), 12.0, "test")
    assert not registry.backends["b1"].is_throttled(12.5)


def test_pause_is_bounded(registry, events):
    """Guards against a value that takes a server out for ever."""
    registry.apply_entry(build_entry(), 0.0, "test")
    backend = registry.backends["b1"]
    registry.throttle(backend, 1e9, "1000000000", 0.0)
    assert not backend.is_throttled(MAX_PAUSE_S)
    assert events[-1].event.name == "backend_throttled"


@pytest.mark.parametrize("now", [0.0, 0.5, 5.0])
def test_new_backend_is_not_recovering(registry, now):
    """Guards against a limited rate right after the host has booted."""
    registry.apply_entry(build_entry(), now, "test")
    assert not registry.backends["b1"].is_recovering(now)
