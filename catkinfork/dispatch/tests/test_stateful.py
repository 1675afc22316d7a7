"""Stateful property test of the dispatcher under random load and faults."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from catkinfork.dispatch.tests.builders import MAX_COST, make_view
from catkinfork.dispatch.tests.simulation import SimulatedFleet
from catkinfork.fairness import BoundTerms

SHARES = {"a": 1.0, "b": 2.0, "c": 0.5}
SERVERS = {"s1": ["m"], "s2": ["m"]}
ROUTERS = ["r1:1", "r2:1"]
N_PLACES = 8
# Upper limit of the time between two scans for lost grants.
SCAN_S = 0.06


class DispatcherMachine(RuleBasedStateMachine):
    """Fleet whose backlog, faults and processes change at any time."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed):
        """Create the fleet."""
        view = make_view(SERVERS, SHARES)
        self.fleet = SimulatedFleet(view, random.Random(seed), ROUTERS, {})
        terms = BoundTerms(MAX_COST, N_PLACES, 1000 * N_PLACES, 0.25)
        self.bound = terms.compute(min(SHARES.values()))
        self.baselines = {}
        self.idle_since = {}

    @rule(
        name=st.sampled_from(sorted(SHARES)), n_waiting=st.sampled_from([0, 1, 8, 40])
    )
    def change_backlog(self, name, n_waiting):
        """Change the backlog of a workspace between idle and overload."""
        self.fleet.backlog[name] = n_waiting

    @rule(name=st.sampled_from(sorted(SHARES)), largest=st.sampled_from([3, 30, 100]))
    def change_cost(self, name, largest):
        """Change the largest cost of a workspace's requests."""
        self.fleet.costs[name] = (1, largest)

    @rule(
        loss=st.sampled_from([0.0, 0.0, 0.1, 0.5]),
        doubling=st.sampled_from([0.0, 0.3]),
        delay_s=st.sampled_from([0.0, 0.002, 0.05, 0.4]),
        mix=st.booleans(),
    )
    def change_faults(self, **faults):
        """Change the rates of lost, duplicated, delayed and reordered messages."""
        self.fleet.faults |= faults

    @rule(server=st.sampled_from(sorted(SERVERS)))
    def restart_agent(self, server):
        """Restart an agent."""
        self.fleet.restart_agent(server)

    @rule(name=st.sampled_from(ROUTERS))
    def restart_router(self, name):
        """Restart a router and its dispatcher, which may reset the gap."""
        self.fleet.restart_router(name)
        self.baselines.clear()

    @rule(server=st.sampled_from(sorted(SERVERS)), name=st.sampled_from(ROUTERS))
    def change_dispatcher(self, server, name):
        """Let an agent report to any router, so that two may be dispatchers."""
        self.fleet.report_to[f"{server}:7100"] = name
        self.baselines.clear()

    @rule(out=st.sets(st.sampled_from(sorted(SERVERS))))
    def change_document(self, out):
        """Take servers out of service or put them back."""
        self.fleet.adopt(make_view(SERVERS, SHARES, out))
        self.baselines.clear()

    @rule(n_steps=st.sampled_from([1, 10, 60, 120]))
    def run_steps(self, n_steps):
        """Advance the simulation and check fairness and work conservation."""
        for _ in range(n_steps):
            self.fleet.step()
            self.check_gap()
            self.check_work_conservation()

    def check_gap(self):
        """Check the gap in delivered service of pairs that stay backlogged."""
        active = [item for item in self.fleet.dispatchers.values() if item.is_active]
        served = {name: self.fleet.delivered[name] / SHARES[name] for name in SHARES}
        for ahead in SHARES:
            for behind in SHARES:
                pair = (ahead, behind)
                if not active or not all(
                    set(pair) <= set(d.order.usable_servers) for d in active
                ):
                    self.baselines.pop(pair, None)
                    continue
                gap = served[ahead] - served[behind]
                smallest = min(gap, self.baselines.get(pair, gap))
                self.baselines[pair] = smallest
                assert gap - smallest <= self.bound, (pair, gap - smallest)

    def check_work_conservation(self):
        """Check that no dispatcher leaves a ticket open while a request waits."""
        for name, dispatcher in self.fleet.dispatchers.items():
            n_waiting = sum(
                max(0, item.n_waiting - item.n_unconfirmed)
                for router in dispatcher.demand.routers.values()
                for item in router.classes.values()
            )
            now = self.fleet.now
            idle = [
                (agent.address, number)
                for agent in dispatcher.agents.agents.values()
                if now - agent.heard_at < 1.5
                and self.fleet.view.is_in_service(agent.name)
                for number, issued_at in agent.issued_at.items()
                if number not in agent.granted and now - issued_at < 0.95
            ]
            if not (dispatcher.is_active and n_waiting and idle):
                self.idle_since.pop(name, None)
                continue
            since = self.idle_since.setdefault(name, now)
            assert now - since <= SCAN_S, (idle, n_waiting)

    @invariant()
    def check_tickets_and_assertions(self):
        """Check that all grants are valid and the dispatcher saw no violation."""
        if hasattr(self, "fleet"):
            assert self.fleet.n_duplicate_grants == 0
            assert self.fleet.n_out_of_service_grants == 0
            assert self.fleet.count_violations() == 0


TestDispatcher = DispatcherMachine.TestCase
TestDispatcher.settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
    stateful_step_count=30,
)
