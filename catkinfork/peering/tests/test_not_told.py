"""What a forwarder that restarts does without: state that no peer tells it.

The table in docs/new-machines.md, section 2, has all of it.
"""

from math import inf
from typing import NamedTuple

import pytest

from catkinfork.balancing import (
    CONNECTION_REFUSED,
    REJECTED,
    SERVED,
    Placement,
    Refusal,
    StopPlan,
)
from catkinfork.balancing.tests.support import PLAIN, build_job, build_route
from catkinfork.peering.tests.joining import JoiningFleet
from catkinfork.topology import Service

SERVICE = "s"
STEP_S = 0.02
ANSWER_S = 0.06
PAUSE_S = 6.0
# Requests that may reach a server from one host between half a second after it has
# asked that host for a pause and the end of the pause.
MAX_SENT_IN_PAUSE = 2
PAUSE_CONTACT_S = 0.5
# Requests a second that all forwarders together may send a cold server.
COLD_RATE = 16.0
ROUTE = build_route()


class Sent(NamedTuple):
    """A request that reached the server that asks for pauses.

    :param process: address and incarnation of the forwarder that sent it.
    :param at: time, seconds.
    """

    process: tuple
    at: float


class PausingFleet(JoiningFleet):
    """Forwarders of which each is asked by ``b0`` for a pause whenever it sends there.

    ``sent`` has each :class:`Sent`, ``asked_at`` the time at which each process was
    first asked for a pause, and ``outcomes`` the last outcomes of all requests.
    """

    def __init__(self, n_nodes):
        super().__init__(n_nodes)
        self.sent = []
        self.asked_at = {}
        self.outcomes = []
        self.running = []

    def load(self, duration_s):
        """Submit requests at all forwarders for a time, seconds."""
        ends_at = self.now + duration_s
        while self.now < ends_at:
            for node in list(self.nodes.values()):
                job = build_job(self.now, ROUTE, n_prompt=10)
                self.follow(node, node.balancer.submit(job, self.now))
            self.run(STEP_S)
            self.answer()

    def follow(self, node, decision):
        """Send a request that was placed."""
        if isinstance(decision, Placement):
            if decision.backend.name == "b0":
                process = (node.address, node.exchange.incarnation)
                self.sent.append(Sent(process, self.now))
            self.running.append((self.now + ANSWER_S, node, decision))
        elif isinstance(decision, Refusal):
            self.outcomes.append(decision.reason)

    def answer(self):
        """Let servers answer."""
        due = [one for one in self.running if one[0] <= self.now]
        self.running = [one for one in self.running if one[0] > self.now]
        for _, node, placement in due:
            balancer = node.balancer
            if placement.backend.name != "b0":
                balancer.record_first_event(placement, self.now)
                balancer.handle_attempt_end(placement, SERVED, self.now)
                self.outcomes.append(SERVED)
                continue
            balancer.registry.throttle(placement.backend, PAUSE_S, "6", self.now)
            process = (node.address, node.exchange.incarnation)
            self.asked_at.setdefault(process, self.now)
            balancer.handle_attempt_end(placement, REJECTED, self.now)
            decision = balancer.resubmit(placement.job, self.now)
            self.follow(node, decision)

    def count_most(self, since_s, until_s):
        """Return the most requests that one process sent ``b0`` around its pause.

        :param since_s: first time that counts, after the first answer there, seconds.
        :param until_s: last one, seconds.
        """
        return max(
            sum(
                one.process == process
                and asked_at + since_s < one.at < asked_at + until_s
                for one in self.sent
            )
            for process, asked_at in self.asked_at.items()
        )


def test_host_that_starts_within_a_pause_is_asked_once_more():
    """Guards against more than two requests in a pause from a host that has started.

    Load pattern: a server near its limit asks each host for a pause, and the hosts are
    restarted in turn within it. No peer tells a pause, as the server asks single hosts.
    The rule excuses a restart. A host that starts sends no more than comes in until it
    is asked again, the pauses of the others go on, and each request is served.
    """
    fleet = PausingFleet(4)
    fleet.run(2.0)
    fleet.load(0.4)
    assert len(fleet.asked_at) == 4
    for address in fleet.addresses:
        n_pauses = len(fleet.asked_at)
        others = [
            node.balancer.registry.backends["b0"].throttled_until
            for other, node in fleet.nodes.items()
            if other != address
        ]
        fleet.restart([address], down_s=0.1)
        started = fleet.nodes[address].balancer.registry.backends["b0"]
        assert not started.is_throttled(fleet.now)
        assert others == [
            node.balancer.registry.backends["b0"].throttled_until
            for other, node in fleet.nodes.items()
            if other != address
        ]
        fleet.load(0.8)
        assert len(fleet.asked_at) >= n_pauses + 1
        assert started.is_throttled(fleet.now)
    assert fleet.count_most(PAUSE_CONTACT_S, PAUSE_S) <= MAX_SENT_IN_PAUSE
    assert fleet.count_most(-inf, PAUSE_S) <= ANSWER_S / STEP_S + 1
    assert set(fleet.outcomes) == {SERVED}


def wait_for_long_stream(node, now, duration_s):
    """Let a forwarder serve one stream of a duration, seconds."""
    placement = node.balancer.submit(build_job(now, ROUTE), now)
    node.balancer.record_first_event(placement, now)
    node.balancer.handle_attempt_end(placement, SERVED, now + duration_s)


def test_durations_are_known_again_with_the_first_answer():
    """Guards against streams that a host cuts as it is stopped soon after its start.

    Durations are not told. A host that is stopped before it has served a request sends
    none that comes late, and from the first answer on none that lasts too long.
    """
    fleet = JoiningFleet(3)
    fleet.run(2.0)
    for node in fleet.nodes.values():
        wait_for_long_stream(node, fleet.now, 6.0)
    for address in fleet.addresses:
        fleet.restart([address])
        node = fleet.nodes[address]
        pool = node.balancer.pools[SERVICE]
        assert pool.durations.estimate_bound(ROUTE, 0.0) is None
        plan = StopPlan(late_from=fleet.now + 1.0, ends_at=fleet.now + 5.0)
        for route in (ROUTE, PLAIN):
            late = build_job(fleet.now + 1.0, route)
            assert not plan.allows(late, pool.durations, late.arrived_at)
        wait_for_long_stream(node, fleet.now, 6.0)
        job = build_job(fleet.now, ROUTE)
        assert not plan.allows(job, pool.durations, fleet.now)


def fill(node, now):
    """Submit requests until one has to wait; return its decision and the job."""
    decision = True
    while isinstance(decision, Placement) or decision is True:
        job = build_job(now, ROUTE, n_prompt=20_000)
        decision = node.balancer.submit(job, now)
    return decision, job


def test_waiting_request_is_admitted_without_known_durations():
    """Guards against refusals, or waits without an end, at a host that has started.

    Without durations a request counts as one that meets its deadline: it is queued, not
    refused, and gets its final answer once the deadline cannot be met any more.
    """
    fleet = JoiningFleet(3)
    fleet.run(2.0)
    for address in fleet.addresses:
        fleet.restart([address])
        node = fleet.nodes[address]
        decision, job = fill(node, fleet.now)
        assert decision is None
        decided = []
        while not decided and fleet.now < job.deadline_at + 1.0:
            fleet.run(0.1)
            decided = [
                outcome
                for one, outcome in node.balancer.dispatch_queued(fleet.now)
                if one is job
            ]
        assert isinstance(decided[0], Refusal)
        assert fleet.now <= job.deadline_at + 0.2


class ColdFleet(JoiningFleet):
    """Forwarders with more work than a cold backend server may get.

    :param cold_s: time until it is warm, seconds.

    ``sent_at`` has the times at which requests were sent there, by all forwarders.
    """

    def __init__(self, n_nodes, cold_s):
        super().__init__(n_nodes)
        self.run(2.0)
        self.cold_until = self.now + cold_s
        self.sent_at = []
        for node in self.nodes.values():
            self.turn_cold(node)

    def turn_cold(self, node):
        """Let a forwarder read the only entry, which says for how long it is cold."""
        balancer = node.balancer
        service = Service(SERVICE, max_connections=1000, cold_rate=COLD_RATE)
        balancer.pools[SERVICE].update(service, balancer.settings)
        balancer.registry.remove("b1", self.now, self.now)
        entry = balancer.registry.backends["b0"].entry
        left_s = max(0.0, self.cold_until - self.now)
        entry = entry._replace(cold_s=left_s, sequence=2)
        balancer.registry.apply_entry(entry, self.now, "test")

    def start(self, address):
        """Start a forwarder with empty state, which reads the store."""
        node = super().start(address)
        if self.now:
            self.turn_cold(node)
        return node

    def send(self, duration_s):
        """Let all forwarders send what they may for a time, seconds."""
        ends_at = self.now + duration_s
        while self.now < ends_at:
            for node in self.nodes.values():
                self.send_next(node.balancer)
            self.run(0.01)

    def send_next(self, balancer):
        """Dispatch the waiting request of a forwarder, or submit another one."""
        decisions = [one for _, one in balancer.dispatch_queued(self.now)]
        if not balancer.has_waiting():
            job = build_job(self.now, ROUTE, n_prompt=1)
            decisions.append(balancer.submit(job, self.now))
        for decision in decisions:
            if isinstance(decision, Placement):
                self.sent_at.append(self.now)
                balancer.handle_attempt_end(decision, SERVED, self.now)


@pytest.mark.parametrize("n_at_once", [1, 2, 4])
def test_cold_server_gets_no_more_while_all_hosts_restart(n_at_once):
    """Guards against hosts that start amid the cold time of a server and fill it.

    Load pattern: a server turns cold as the hosts are restarted in turn, or several of
    them at once, and each has work for it all the time. Which requests others have sent
    is not told; the entry says how long the server is cold, and each host keeps to its
    share of the rate.
    """
    fleet = ColdFleet(4, cold_s=12.0)
    fleet.send(1.0)
    for first in range(0, 4, n_at_once):
        addresses = fleet.addresses[first : first + n_at_once]
        for address in addresses:
            fleet.stop(address)
        fleet.send(0.3)
        for address in addresses:
            fleet.start(address)
        fleet.send(1.5)
    times = fleet.sent_at
    assert len(times) > 10
    most = max(sum(at <= one < at + 1.0 for one in times) for at in times)
    assert most <= 1.5 * COLD_RATE + 5


def test_server_that_is_gone_costs_a_new_host_one_attempt():
    """Guards against a host that fails requests at a server that others leave out.

    Which servers fail is not told. The first refused connection takes such a server
    out, and its request goes on at another one.
    """
    fleet = JoiningFleet(3)
    fleet.run(2.0)
    for address in fleet.addresses:
        fleet.restart([address])
        balancer = fleet.nodes[address].balancer
        n_refused = 0
        for _ in range(10):
            decision = balancer.submit(build_job(fleet.now, ROUTE), fleet.now)
            if decision.backend.name == "b0":
                n_refused += 1
                balancer.handle_attempt_end(decision, CONNECTION_REFUSED, fleet.now)
                decision = balancer.resubmit(decision.job, fleet.now)
            assert decision.backend.name == "b1"
            balancer.record_first_event(decision, fleet.now)
            balancer.handle_attempt_end(decision, SERVED, fleet.now)
        assert n_refused == 1
