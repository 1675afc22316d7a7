"""A burst at several forwarders that serve on-time requests first."""

from functools import cache

import pytest

from catkinfork.balancing._on_time_order import LATE_PRIORITY
from catkinfork.balancing.tests.burst_load import STEP_S, BurstLoad, compute_share
from catkinfork.peering import decode_frame
from catkinfork.peering.tests.nodes import build_nodes, run

BURST = 1.7
BURST_S = 3.0
SEEDS = (0, 1)
N_NODES = 4
# Many workspaces at few engines: each forwarder has hardly more than one queued request
# of a workspace.
MANY = tuple((f"w{number}", 1.0 / (1 + number % 5)) for number in range(40))
# All requests of "a" reach one forwarder, and those of "b", which asks for as much,
# reach all.
ONE_HOST = (
    ("a", 1.0),
    ("b", 1.0),
    *((f"w{number}", 1.0 / (1 + number % 5)) for number in range(22)),
)


class FleetLoad(BurstLoad):
    """Forwarders that exchange their state, and the engines that they share.

    ``starts_at`` is the time at which the burst begins, seconds.
    """

    def __init__(self, is_on_time_first, n_engines, demands, seed, hosts):
        self.nodes = build_nodes(
            N_NODES,
            on_time_first=is_on_time_first,
            tokens_per_s=0.0,
            workspaces=list(demands),
        )
        balancers = [node.balancer for node in self.nodes.values()]
        super().__init__(balancers, n_engines, demands, seed, hosts)
        self.now = run(self.nodes, 0.0, 2.0)
        self.drive(3.0, 0.9)
        self.starts_at = self.now
        self.drive(BURST_S, BURST)
        self.drive(4.0, 0.7)

    def exchange(self):
        self.now = run(self.nodes, self.now, self.now + STEP_S, step=STEP_S)

    def list_since_burst(self, start_s, end_s):
        """Return the outcomes of a span that counts from the begin of the burst."""
        return self.list_arrived(self.starts_at + start_s, self.starts_at + end_s)


@cache
def replay(is_on_time_first, n_engines=2, demands=MANY, host=None):
    """Return one :class:`FleetLoad` for each seed.

    :param host: index of the forwarder that has all requests of "a", or None.
    """
    hosts = {} if host is None else {"a": host}
    return [
        FleetLoad(is_on_time_first, n_engines, dict(demands), seed, hosts)
        for seed in SEEDS
    ]


def list_outcomes(fleets, start_s, end_s):
    """Return the outcomes of a span of all replays."""
    return [one for fleet in fleets for one in fleet.list_since_burst(start_s, end_s)]


def is_on_time(outcome):
    """Return whether a request was on time."""
    return outcome.is_on_time


def test_forwarders_agree_that_on_time_requests_go_first():
    """Guards against late jobs of one forwarder that delay on-time ones of another.

    Load pattern: 1.7 times the capacity for 3 s, in waves of 55 %, three kinds of
    requests of many workspaces of unequal size, at all forwarders.
    """
    with_order = list_outcomes(replay(True), 0.0, BURST_S)
    without = list_outcomes(replay(False), 0.0, BURST_S)
    assert compute_share(with_order, is_on_time) >= 1.5 * compute_share(
        without, is_on_time
    )
    served = [one for one in with_order if one.is_served]
    assert compute_share(served, is_on_time) >= 0.55
    served = [one for one in without if one.is_served]
    assert compute_share(served, is_on_time) <= 0.4


def test_fleet_meets_its_targets_soon_after_a_burst():
    """Guards against a backlog at one forwarder that makes all others late."""
    fleets = replay(True, 4, ONE_HOST, 0)
    # Requests of the last 0.5 s may not have had their first event.
    after = list_outcomes(fleets, BURST_S + 2.0, BURST_S + 3.5)
    assert compute_share(after, is_on_time) >= 0.9


def test_workspace_at_one_forwarder_keeps_its_share():
    """Guards against a workspace whose late jobs all wait at one forwarder.

    Load pattern: the others' requests reach all forwarders, each of which mostly has
    on-time ones.
    """
    for fleet in replay(True, 4, ONE_HOST, 0):
        for start_s in (0.0, 1.0, 2.0):
            start = fleet.starts_at + start_s
            assert fleet.compute_fairness(start, start + 4.0) >= 0.5
        received = fleet.count_received(fleet.starts_at, fleet.starts_at + 4.0)
        assert received["a"] >= 0.5 * received["b"]


@pytest.mark.parametrize("priority", [0.0, 5_000.0, LATE_PRIORITY + 3e9])
def test_priority_of_late_jobs_reaches_peers(priority):
    """Guards against frames that drop the priority of late jobs as out of range."""
    nodes = build_nodes(2, on_time_first=True)
    now = run(nodes, 0.0, 2.0)
    first, second = nodes.values()
    pool = first.balancer.pools["s"]
    pool.priority = priority
    pool.queue.n_jobs = 1
    for _ in range(20):
        for address, data in first.exchange.tick(now):
            if address == second.address:
                second.exchange.handle_frame(decode_frame(data), now)
        now += 0.01
    assert second.balancer.pools["s"].peer_priorities == {first.address: priority}
