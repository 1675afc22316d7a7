"""Tests of transfers that fail or succeed after others have changed the backoff."""

from catkinfork.balancing import BROKEN
from catkinfork.balancing._transfers import ServiceTransfers
from catkinfork.balancing.tests.transfer_world import (
    ENGINE,
    add_engine,
    build_fleet,
    check_until,
    find_source,
    forget,
    hold,
    load,
    place,
    start,
)
from catkinfork.topology import Service


def build_held_fleet():
    """Return a balancer whose engine 0 has the shared part and is loaded."""
    balancer = build_fleet(12)
    hold(balancer, 0)
    load(balancer, 0)
    return balancer


def test_late_first_event_is_no_transfer_on_time():
    """Guards against a slow source whose late transfers end its own exclusion."""
    balancer = build_held_fleet()
    placement = start(balancer)
    check_until(balancer, 0.0, 1.0)
    balancer.record_first_event(placement, 1.0)
    transfers = balancer.pools["s"].transfers
    assert (transfers.n_late_transfers, transfers.n_tokens) == (1, 0)
    assert transfers.failure_rate > 0.09


def test_transfer_from_before_an_exclusion_does_not_reset_it():
    """Guards against a source that is trusted again for what it sent before its fault.

    Load pattern: of four requests that fetch from an engine, some fail and others have
    their first event a moment later.
    """
    balancer = build_held_fleet()
    sound = start(balancer, own=2)
    forget(balancer, *range(1, 12))
    failed = start(balancer, own=3)
    balancer.handle_attempt_end(failed, BROKEN, 0.1)
    balancer.record_first_event(sound, 0.2)
    backoff = find_source(balancer, 0).backoff
    assert backoff.is_excluded(0.2)
    assert backoff.is_on_trial


def test_failures_from_before_a_stop_do_not_prolong_it():
    """Guards against a service that stops for 8 s as many transfers fail together."""
    settings = build_fleet(1).settings
    transfers = ServiceTransfers(Service("s", engine=ENGINE), settings)
    pauses = [transfers.record_outcome(True, 0.0, 1.0) for _ in range(30)]
    assert [one for one in pauses if one is not None] == [0.5]
    assert transfers.record_outcome(True, 1.6, 1.7) == 1.0


def test_attempt_at_a_former_start_reads_nothing_for_the_new_one():
    """Guards against a part that counts as read while a new engine processes it.

    Load pattern: an engine starts again while requests run at it, and their connections
    end late.
    """
    balancer = build_fleet(4)
    load(balancer, 1, 2, 3, n_pending=100)
    former = place(balancer, own=1)
    assert former.backend.name == "e0"
    add_engine(balancer, 0, started_ms=9000)
    load(balancer, 1, 2, 3)
    assert place(balancer, own=2).backend.name == "e0"
    balancer.handle_attempt_end(former, BROKEN, 0.1)
    load(balancer, 0)
    load(balancer, 1, 2, 3, n_pending=100)
    third = place(balancer, 0.1, own=3)
    assert third.backend.name != "e0"
    assert third.transfer is None
