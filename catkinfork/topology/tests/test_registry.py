"""Which backend servers take new requests."""

import pytest

from catkinfork.topology import DRAINING, BackendRegistry
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


def test_draining_backend_takes_no_new_requests(registry, events):
    """Guards against requests to a backend server that leaves."""
    registry.note_entry(build_entry(), 0.0, "test")
    registry.note_entry(build_entry(state=DRAINING, sequence=2), 1.0, "test")
    assert list_names(registry) == []
    assert events[-1].event.name == "backend_leaving"


def test_older_entry_is_ignored(registry):
    """Guards against a late write that takes a leaving backend server back."""
    registry.note_entry(build_entry(state=DRAINING, sequence=5), 0.0, "test")
    registry.note_entry(build_entry(sequence=4), 1.0, "test")
    assert list_names(registry) == []


def test_new_start_under_the_same_id_counts_anew(registry):
    """Guards against ignoring a restarted backend server, whose sequence is lower."""
    registry.note_entry(build_entry(state=DRAINING, sequence=5), 0.0, "test")
    registry.note_entry(build_entry(sequence=1, started_ms=2000), 1.0, "test")
    assert list_names(registry) == ["b1"]


def test_removed_entry_is_gone_at_once_if_the_store_is_well(registry):
    """Guards against requests to a backend server that has left."""
    registry.note_entry(build_entry(), 0.0, "test")
    registry.remove("b1", 1.0, gone_at=1.0)
    assert list_names(registry) == []


def test_entry_that_lapsed_in_an_outage_may_come_back(registry):
    """Guards against an empty fleet after an outage of the store."""
    registry.note_entry(build_entry(), 0.0, "test")
    registry.remove("b1", 1.0, gone_at=3.0)
    assert list_names(registry) == ["b1"]
    registry.note_entry(build_entry(sequence=2), 2.0, "test")
    registry.drop_missing(10.0)
    assert list_names(registry) == ["b1"]


def test_entry_that_stays_missing_is_gone(registry):
    """Guards against requests to a backend server that an outage has hidden."""
    registry.note_entry(build_entry(), 0.0, "test")
    registry.remove("b1", 1.0, gone_at=3.0)
    registry.drop_missing(2.9)
    assert list_names(registry) == ["b1"]
    registry.drop_missing(3.0)
    assert list_names(registry) == []


def test_evacuated_data_centre_gets_nothing(registry):
    """Guards against requests to a data centre that is taken out of service."""
    registry.note_entry(build_entry(), 0.0, "test")
    registry.evacuate({"gasabo"})
    assert list_names(registry) == []
    registry.note_entry(build_entry("b2"), 1.0, "test")
    assert list_names(registry) == []
    registry.evacuate(set())
    assert sorted(list_names(registry)) == ["b1", "b2"]


def test_backend_that_changes_its_service_moves(registry):
    """Guards against requests of one service that reach another one's backend."""
    registry.note_entry(build_entry(), 0.0, "test")
    registry.note_entry(build_entry(service="order", sequence=2), 1.0, "test")
    assert list_names(registry) == []
    assert len(registry.list_ready("order")) == 1
