"""Request rates that backend servers name, kept by all forwarders together."""

import random
from math import inf

import pytest

from catkinfork.balancing import SERVED, Placement
from catkinfork.balancing._allowance import (
    DemandShare,
    RateAllowance,
    compute_share_interval_s,
)
from catkinfork.balancing._shares import FairShares
from catkinfork.balancing.tests.support import PLAIN, build_job
from catkinfork.peering._frames import RateLimitEntry
from catkinfork.peering._peers import Peer
from catkinfork.peering.tests.nodes import build_nodes, run

STEP_S = 0.01
SERVICE_TIME_S = 0.1
# Seconds after which all forwarders have to keep to a limit, window in which requests
# are counted, and the excess that the platform allows in it.
LEARNING_TIME_S = 3.0
WINDOW_S = 4.0
MAX_EXCESS_RATIO = 1.5
MAX_EXTRA_REQUESTS = 5


def count_most(times, window_s=WINDOW_S):
    """Return the largest number of times within any window."""
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while times[first] < at - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


class LimitedFleet:
    """Forwarders whose requests go to ``b0``, which names limits, or to ``b1``."""

    def __init__(self, n_nodes, seed):
        self.rng = random.Random(seed)
        self.nodes = build_nodes(n_nodes)
        self.running = []
        self.sent = {"b0": [], "b1": []}
        self.rate = inf
        self.is_lost = lambda: False
        self.now = run(self.nodes, 0.0, 2.0)

    def advance(self, until, rate, weights):
        """Submit requests up to a time.

        :param rate: requests per second at all forwarders.
        :param weights: fractions of the requests at each forwarder.
        """
        nodes = list(self.nodes.values())
        while self.now < until:
            self.now = run(
                self.nodes, self.now, self.now + STEP_S / 2, is_lost=self.is_lost
            )
            for _ in range(self.draw_number(rate * STEP_S)):
                node = self.rng.choices(nodes, weights)[0]
                job = build_job(self.now, route=PLAIN)
                self.start(node, node.balancer.submit(job, self.now))
            for node in nodes:
                for _, decision in node.balancer.dispatch_queued(self.now):
                    self.start(node, decision)
            self.complete()

    def draw_number(self, mean):
        """Return a random number of requests with a mean."""
        return int(mean) + (self.rng.random() < mean % 1)

    def start(self, node, decision):
        """Let a backend server run a request that was placed."""
        if isinstance(decision, Placement):
            self.sent[decision.backend.name].append(self.now)
            self.running.append((self.now + SERVICE_TIME_S, node, decision))

    def complete(self):
        """Complete the requests that are due; ``b0`` names its limit in each answer."""
        due = [one for one in self.running if one[0] <= self.now]
        self.running = [one for one in self.running if one[0] > self.now]
        for _, node, placement in due:
            if placement.backend.name == "b0":
                node.balancer.record_rate_limit(placement.backend, self.rate, self.now)
            node.balancer.handle_attempt_end(placement, SERVED, self.now)


@pytest.mark.parametrize("rate", [2.0, 10.0, 40.0])
@pytest.mark.parametrize(("n_nodes", "seed"), [(2, 1), (4, 2), (12, 3)])
@pytest.mark.parametrize("is_skewed", [False, True])
def test_limited_backend_gets_what_it_allows(n_nodes, seed, rate, is_skewed):
    """Guards against forwarders that together exceed the limit of a server (LIMIT).

    Load pattern: callers send four times as many requests as the server takes, evenly
    or mostly at one forwarder; another server takes the rest. A tenth of the frames is
    lost.
    """
    fleet = LimitedFleet(n_nodes, seed)
    fleet.is_lost = lambda: fleet.rng.random() < 0.1
    weights = [0.4 / (n_nodes - 1)] * n_nodes if is_skewed else [1.0] * n_nodes
    if is_skewed:
        weights[0] = 0.6
    demand = 8 * rate
    fleet.advance(fleet.now + 1.0, demand, weights)
    fleet.rate = rate
    limited_at = fleet.now
    fleet.advance(limited_at + 14.0, demand, weights)
    sent = [at for at in fleet.sent["b0"] if at > limited_at + LEARNING_TIME_S]
    allowed = MAX_EXCESS_RATIO * rate * WINDOW_S + MAX_EXTRA_REQUESTS
    assert count_most(sent) <= allowed
    # It is used all the same.
    assert len(sent) >= 0.75 * rate * (14.0 - LEARNING_TIME_S)


def test_forwarder_without_responses_keeps_to_a_limit():
    """Guards against a forwarder that has to be told by the server itself.

    Load pattern: one forwarder has few callers, and then many.
    """
    fleet = LimitedFleet(4, 1)
    fleet.rate = 5.0
    fleet.advance(fleet.now + 3.0, 60.0, [1.0, 1.0, 1.0, 0.0])
    node = list(fleet.nodes.values())[-1]
    backend = node.balancer.registry.backends["b0"]
    limit = node.balancer.registry.rate_limits.find(backend.entry)
    assert limit.rate == 5.0
    assert not limit.is_own
    fleet.rate = inf
    fleet.advance(fleet.now + 2.0, 60.0, [1.0, 1.0, 1.0, 0.0])
    limit = node.balancer.registry.rate_limits.find(backend.entry)
    assert limit.is_lifted


@pytest.mark.parametrize("rate", [-1.0, 0.0, float("nan"), 1e300])
def test_bad_limit_of_a_peer_is_bounded(rate):
    """Guards against a peer that takes a server out, or fixes its limit for ever."""
    fleet = LimitedFleet(2, 1)
    node = next(iter(fleet.nodes.values()))
    backend = node.balancer.registry.backends["b0"]
    name = node.exchange.compute_hash("b0")
    entry = RateLimitEntry(name, backend.entry.started_ms, rate, -(10**9))
    peer = Peer("10.0.0.2", 0.0)
    node.exchange.notices.record_rate_limits(peer, [entry], fleet.now)
    limits = node.balancer.registry.rate_limits
    assert limits.find(backend.entry).rate >= 0.5
    node.balancer.record_rate_limit(backend, 7.0, fleet.now + 0.1)
    assert limits.find(backend.entry).rate == 7.0


def test_limit_does_not_pass_to_the_next_start():
    """Guards against a new server that is held to the limit of the one before."""
    fleet = LimitedFleet(2, 1)
    fleet.rate = 1.0
    fleet.advance(fleet.now + 2.0, 40.0, [1.0, 1.0])
    node = next(iter(fleet.nodes.values()))
    registry = node.balancer.registry
    entry = registry.backends["b0"].entry
    assert registry.rate_limits.find(entry).rate == 1.0
    assert registry.rate_limits.find(entry._replace(started_ms=5)) is None


def test_load_comes_back_slowly_after_a_limit():
    """Guards against a server that gets all waiting requests as its limit is lifted."""
    fleet = LimitedFleet(4, 1)
    fleet.rate = 5.0
    fleet.advance(fleet.now + 4.0, 100.0, [1.0] * 4)
    fleet.rate = inf
    lifted_at = fleet.now
    fleet.advance(lifted_at + 1.0, 100.0, [1.0] * 4)
    assert len([at for at in fleet.sent["b0"] if at > lifted_at]) <= 2 * 2 * 5.0 + 4
    fleet.advance(lifted_at + 4.0, 100.0, [1.0] * 4)
    assert len([at for at in fleet.sent["b0"] if at > lifted_at + 2.0]) > 40


@pytest.mark.parametrize("n_forwarders", [4, 22, 68, 200])
@pytest.mark.parametrize("rate", [1.0, 20.0])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_burst_after_an_idle_time(n_forwarders, rate, seed):
    """Guards against a request of each forwarder at once.

    Load pattern: after an idle time, requests wait at all forwarders from one moment
    on. None of them knows yet of the requests of the others.
    """
    rng = random.Random(seed)
    allowances = [RateAllowance() for _ in range(n_forwarders)]
    shares = [DemandShare() for _ in range(n_forwarders)]
    interval_s = compute_share_interval_s(rate, 1 / n_forwarders)
    for allowance in allowances:
        allowance.allows(interval_s, rng, 0.0)
    sent = []
    now = 100.0
    for step in range(800):
        now = 100.0 + step * STEP_S
        for share, allowance in zip(shares, allowances, strict=True):
            if step % 20 == 0:
                share.record_request(now)
                # What the peers have told lags by 0.2 s.
                share.record_peer_requests((n_forwarders - 1) * (step > 0), now)
            part = share.compute(None, n_forwarders, n_forwarders, now)
            interval_s = compute_share_interval_s(rate, part)
            if allowance.allows(interval_s, rng, now):
                allowance.record_request(interval_s)
                sent.append(now)
    allowed = MAX_EXCESS_RATIO * rate * WINDOW_S + MAX_EXTRA_REQUESTS
    assert count_most(sent) <= allowed
    # At one request a second, chance decides how many of a few are sent.
    assert rate < 20.0 or len(sent) >= 0.75 * rate * 8.0


def test_limits_are_divided_by_fair_shares():
    """Guards against limits that go to the host of a workspace with a flood (FAIR).

    Load pattern: eight of nine requests come from one workspace at one host, and all
    backend servers together can serve a quarter of them.
    """
    shares = {"few": FairShares(4.0), "many": FairShares(4.0)}
    demands = {"few": DemandShare(), "many": DemandShare()}
    peers = {"few": "many", "many": "few"}
    for name, n_requests in (("few", 10), ("many", 80)):
        demand, peer = demands[name], peers[name]
        for _ in range(n_requests):
            shares[name].record_demand(name, 10_000, 1.0)
            shares[peer].record_peer_usage(name, 10_000, 2_500, 1.0)
            shares[name].record_service(name, 2_500, 1.0)
            demand.record_request(1.0)
            demands[peer].record_peer_requests(1, 1.0)
    parts = {
        name: demands[name].compute(one.compute_local_fraction(1.0), 2, 2, 1.0)
        for name, one in shares.items()
    }
    assert sum(parts.values()) == pytest.approx(1.0)
    # The small one asks for less than half of the capacity, and would get a ninth.
    assert parts["few"] >= 0.4
