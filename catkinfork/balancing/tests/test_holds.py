"""Tests of the record of what holds a workspace that lacks service."""

import pytest

from catkinfork.balancing import LoadFigures
from catkinfork.balancing._events import WORKSPACE_HELD
from catkinfork.balancing.tests.support import build_balancer, submit

N_PROMPT = 10_000


def list_held(events):
    """Return the values of the events that tell what holds a workspace."""
    return [
        dict(zip(one.event.fields, one.values, strict=True))
        for one in events
        if one.event is WORKSPACE_HELD
    ]


def build_starved(load, **options):
    """Return a balancer with a workspace that waits while another one was served.

    :param load: :class:`LoadFigures` of a peer at each engine.
    """
    balancer = build_balancer(**options)
    pool = balancer.pools["s"]
    for name in list(balancer.registry.backends):
        pool.find(name).load.set_peer_load("10.0.0.2", load)
    pool.shares.record_peer_usage("b", 900_000, 900_000, 0.0)
    for _ in range(20):
        assert submit(balancer, 0.0, workspace="a", n_prompt=N_PROMPT) is None
    return balancer


def dispatch(balancer, start, end, step=0.02):
    """Dispatch at an interval and return the events that tell what holds it."""
    del balancer.write_log.__self__[:]
    for number in range(round((end - start) / step)):
        balancer.dispatch_queued(start + number * step)
    return list_held(balancer.write_log.__self__)


@pytest.mark.parametrize(
    ("load", "hold"),
    [
        (LoadFigures(10, 16_000, 20_000), "pending"),
        (LoadFigures(64, 1_000, 20_000), "slots"),
        (LoadFigures(10, 1_000, 499_000), "memory"),
    ],
)
def test_event_names_the_bound_that_holds_a_starving_workspace(load, hold):
    """Guards against a break of fair service whose logs do not tell the reason."""
    balancer = build_starved(load)
    (held,) = dispatch(balancer, 0.02, 1.1)
    assert held["workspace"] == "a"
    assert held["holds"].split(":")[0] == hold
    assert held["n_with_room"] == 0
    assert held["n_queued"] == 20
    assert held["n_requested_tokens"] == held["n_placed_tokens"] == 0


def test_event_tells_a_reservation_for_peers_from_a_full_engine():
    """Guards against a record that calls an engine full that has room for others."""
    balancer = build_starved(LoadFigures(10, 12_000, 20_000))
    pool = balancer.pools["s"]
    for number in range(3, 30):
        pool.set_peer_priority(f"10.0.0.{number}", -1.0)
    (held,) = dispatch(balancer, 0.02, 1.1)
    assert held["holds"].split(":")[0] == "reserved"
    assert held["n_peers_ahead"] == 27


def test_record_is_bounded_and_silent_without_a_lack():
    """Guards against a log that grows with each pass over the queue."""
    balancer = build_starved(LoadFigures(10, 16_000, 20_000))
    assert len(dispatch(balancer, 0.02, 2.6, step=0.002)) <= 2
    for job in balancer.pools["s"].queue.list_all(2.6):
        balancer.withdraw(job)
    submit(balancer, 20.0, workspace="a", n_prompt=100)
    assert dispatch(balancer, 20.0, 23.0) == []
