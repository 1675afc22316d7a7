"""Transfers beside the speeds of engines and the services without engines."""

import pytest

from catkinfork.balancing.tests.support import add_backend
from catkinfork.balancing.tests.transfer_world import (
    ENGINE,
    build_fleet,
    hold,
    load,
    place,
    start,
)
from catkinfork.topology import CallerLimits, Configuration, Service


def count_attempts(balancer, placement):
    """Return the attempts that count for the speed of an engine."""
    return balancer.pools["s"].find(placement.backend.name).speed_record.totals[0]


def test_attempt_with_a_transfer_tells_no_speed():
    """Guards against an engine that looks slow or fast for the link of another."""
    balancer = build_fleet()
    balancer.apply_settings(balancer.settings._replace(speed_window_s=4.0))
    hold(balancer, 0)
    load(balancer, 0)
    fetching = start(balancer)
    balancer.record_event(fetching, 0.1)
    assert count_attempts(balancer, fetching) == 0
    other = place(balancer, 0.2, parts=())
    assert other.transfer is None
    balancer.record_event(other, 0.3)
    assert count_attempts(balancer, other) == 1


def test_rate_of_an_engine_does_not_count_plain_servers():
    """Guards against transfers that begin or end with the number of other servers."""
    balancer = build_fleet(4)
    services = {
        "s": Service("s", max_connections=1000, engine=ENGINE),
        "plain": Service("plain"),
    }
    limits = CallerLimits(tokens_per_s=100_000.0)
    balancer.apply_configuration(Configuration(3, (), services, limits, ()))
    for number in range(4):
        add_backend(balancer, f"p{number}")
        entry = balancer.registry.backends[f"p{number}"].entry
        balancer.registry.apply_entry(entry._replace(service="plain"), 0.0, "test")
    balancer.list_candidates(balancer.pools["s"], 0.0)
    transfers = balancer.pools["s"].transfers
    assert transfers.engine_tokens_per_s == pytest.approx(25_000)
