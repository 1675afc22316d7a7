"""A burst at several forwarders that serve on-time requests first."""

from functools import cache

import pytest

from catkinfork.balancing._on_time_order import LATE_PRIORITY
from catkinfork.balancing.tests.burst_load import STEP_S, BurstLoad, compute_share
from catkinfork.peering import PeerExchange, decode_frame
from catkinfork.peering.tests.nodes import build_nodes, run

BURST = 1.7
BURST_S = 3.0
N_NODES = 4
# All requests of the first one reach one forwarder.
DEMANDS = {"a": 3.0, **{f"w{number}": 1.0 / (1 + number % 5) for number in range(23)}}


class FleetLoad(BurstLoad):
    """Forwarders that exchange their state, and the engines that they share."""

    def __init__(self, is_on_time_first, seed, demands, hosts):
        self.nodes = build_nodes(
            N_NODES,
            on_time_first=is_on_time_first,
            tokens_per_s=0.0,
            workspaces=list(demands),
        )
        balancers = [node.balancer for node in self.nodes.values()]
        super().__init__(balancers, N_NODES, demands, seed, hosts)
        self.now = run(self.nodes, 0.0, 2.0)

    def exchange(self):
        self.now = run(self.nodes, self.now, self.now + STEP_S, step=STEP_S)


@cache
def replay(is_on_time_first):
    """Return a fleet after a burst, and the time at which the burst began."""
    fleet = FleetLoad(is_on_time_first, 0, DEMANDS, {"a": 0})
    fleet.drive(3.0, 0.9)
    starts_at = fleet.now
    fleet.drive(BURST_S, BURST)
    fleet.drive(5.0, 0.7)
    return fleet, starts_at


def is_on_time(outcome):
    """Return whether a request was on time."""
    return outcome.is_on_time


def is_served(outcome):
    """Return whether a request was served."""
    return outcome.is_served


def compute_on_time(is_on_time_first, start_s, end_s):
    """Return the part of requests on time among those of a span of the replay."""
    fleet, starts_at = replay(is_on_time_first)
    outcomes = fleet.list_arrived(starts_at + start_s, starts_at + end_s)
    return compute_share(outcomes, is_on_time)


def test_forwarders_agree_that_on_time_requests_go_first():
    """Guards against late jobs of one forwarder that delay on-time ones of another."""
    assert compute_on_time(True, 0.0, BURST_S) >= 1.15 * compute_on_time(
        False, 0.0, BURST_S
    )
    # The backlog counts from the second second on.
    end_s = BURST_S + 1.0
    assert compute_on_time(True, 1.0, end_s) >= 1.25 * compute_on_time(
        False, 1.0, end_s
    )


def test_fleet_meets_its_targets_soon_after_a_burst():
    """Guards against a backlog at one forwarder that makes all others late."""
    assert compute_on_time(True, BURST_S + 2.0, BURST_S + 4.0) >= 0.95


def test_workspace_at_one_forwarder_keeps_its_share():
    """Guards against a workspace whose late jobs all wait at one forwarder.

    Load pattern: the others' requests reach all forwarders, each of which mostly has
    on-time ones.
    """
    fleet, starts_at = replay(True)
    for start_s in (0.0, 1.0, 2.0):
        start = starts_at + start_s
        assert fleet.compute_fairness(start, start + 4.0) >= 0.5
    own = [
        one
        for one in fleet.list_arrived(starts_at, starts_at + BURST_S)
        if one.workspace == "a"
    ]
    assert len(own) >= 50
    assert compute_share(own, is_served) >= 0.4


@pytest.mark.parametrize("priority", [0.0, 5_000.0, LATE_PRIORITY + 3e9])
def test_priority_of_late_jobs_reaches_peers(priority):
    """Guards against frames that drop the priority of late jobs as out of range."""
    nodes = build_nodes(2, on_time_first=True)
    now = run(nodes, 0.0, 2.0)
    first, second = nodes.values()
    assert isinstance(first.exchange, PeerExchange)
    pool = first.balancer.pools["s"]
    pool.priority = priority
    pool.queue.n_jobs = 1
    for _ in range(20):
        for address, data in first.exchange.tick(now):
            if address == second.address:
                second.exchange.handle_frame(decode_frame(data), now)
        now += 0.01
    assert second.balancer.pools["s"].peer_priorities == {first.address: priority}
