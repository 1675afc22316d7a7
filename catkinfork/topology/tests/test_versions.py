"""What is known of the versions that served recently."""

from math import inf

import pytest

from catkinfork.topology import BackendRegistry
from catkinfork.topology._versions import MAX_LIST_GAP_S, MAX_READ_GAP_S
from catkinfork.topology.tests.samples import build_entry


def build_registry(*versions, read_until=100.0):
    """Return a registry with one backend server of each version, read for a time."""
    registry = BackendRegistry(lambda event: None)
    for number, version in enumerate(versions):
        entry = build_entry(f"b{number}", version=version)
        registry.apply_entry(entry, 0.0, "test")
    read(registry, 0.0, read_until)
    return registry


def read(registry, start, end):
    """Let the store be read once a second."""
    now = start
    while now <= end:
        registry.versions.record_read(now)
        now += 1.0


def test_single_version_is_found():
    """Guards against streams that are refused although one version serves."""
    registry = build_registry("v1", "v1")
    assert registry.find_only_version("read", 40.0, 100.0) == "v1"


def test_read_shows_nothing_that_was_published_after_its_start():
    """Guards against a response that waited while another version joined.

    The process was paused, or the network held the response back.
    """
    registry = build_registry("v1")
    registry.versions.record_read(103.0, 101.0)
    assert registry.find_only_version("read", 40.0, 101.0) == "v1"
    assert registry.find_only_version("read", 40.0, 101.1) is None
    assert registry.find_only_version("read", 40.0, 103.0) is None


def test_late_response_does_not_take_a_newer_read_back():
    """Guards against streams that are refused as a watch ends after a later read."""
    registry = build_registry("v1")
    registry.versions.record_read(101.0, 101.0)
    registry.versions.record_read(101.5, 100.5)
    assert registry.find_only_version("read", 40.0, 101.0) == "v1"


def test_time_without_entries_counts_from_the_start_of_a_read():
    """Guards against streams that count for the former version of a restarted server.

    The response of a read was applied long after it had been composed.
    """
    registry = build_registry("v1")
    registry.versions.record_read(103.0, 100.5)
    registry.versions.record_read(103.2, 103.1)
    assert registry.versions.gap_s == pytest.approx(2.7)


def test_two_versions_leave_none():
    """Guards against a guess between two versions."""
    registry = build_registry("v1", "v2")
    assert registry.find_only_version("read", 40.0, 100.0) is None


def test_version_that_left_counts_until_its_streams_have_ended():
    """Guards against the newer version for streams of one that has just left."""
    registry = build_registry("v1", "v2")
    registry.remove("b0", 80.0, 80.0)
    assert registry.find_only_version("read", 40.0, 100.0) is None
    read(registry, 100.0, 150.0)
    assert registry.find_only_version("read", 90.0, 150.0) == "v2"


def test_backend_that_starts_again_with_another_version_counts_with_both():
    """Guards against a version that is forgotten as its server keeps its id."""
    registry = build_registry("v1")
    entry = build_entry("b0", version="v2", started_ms=2000)
    registry.apply_entry(entry, 80.0, "test")
    assert registry.find_only_version("read", 40.0, 100.0) is None


def test_other_services_do_not_count():
    """Guards against versions of another service."""
    registry = build_registry("v1")
    entry = build_entry("other", service="write", version="v2")
    registry.apply_entry(entry, 0.0, "test")
    assert registry.find_only_version("read", 40.0, 100.0) == "v1"


def test_nothing_is_known_of_the_time_before_the_start():
    """Guards against a forwarder that concludes from the list it starts with."""
    registry = build_registry("v1", read_until=30.0)
    assert registry.find_only_version("read", -30.0, 30.0) is None


def test_nothing_is_known_of_an_outage_of_the_store():
    """Guards against a version that came and went while the store was down."""
    registry = build_registry("v1", read_until=100.0)
    end = 101.0 + MAX_READ_GAP_S
    assert registry.find_only_version("read", 40.0, end) is None
    read(registry, end, 120.0)
    assert registry.find_only_version("read", 60.0, 120.0) is None
    read(registry, 121.0, 200.0)
    assert registry.find_only_version("read", 140.0, 200.0) == "v1"


def test_list_shows_no_version_that_came_and_went_before_it():
    """Guards against a history that counts as complete after it was lost in part.

    A list names the servers of now, while changes tell those that have left as well.
    """
    registry = build_registry("v1")
    for gap_s, is_known in (
        (MAX_LIST_GAP_S - 0.1, True),
        (MAX_LIST_GAP_S + 0.1, False),
    ):
        now = registry.versions.asked_at + gap_s
        registry.versions.record_list(now)
        registry.versions.record_read(now, now)
        found = registry.find_only_version("read", 40.0, now)
        assert found == ("v1" if is_known else None)


def test_list_that_may_lack_servers_is_not_certain():
    """Guards against a version whose entries the store has lost for a moment."""
    registry = build_registry("v1")
    registry.versions.record_list(101.0, 103.5)
    for now, asked_at in ((101.0, 101.0), (103.4, 103.4), (103.6, 103.4)):
        registry.versions.record_read(now, asked_at)
        assert registry.find_only_version("read", 40.0, 101.0) is None
    registry.versions.record_read(103.6, 103.5)
    assert registry.find_only_version("read", 40.0, 103.5) == "v1"


def test_list_before_the_first_read_completes_nothing():
    """Guards against a process that has only heard of the servers by a peer."""
    registry = BackendRegistry(lambda event: None)
    registry.versions.record_list(10.0)
    assert registry.versions.known_since == inf
