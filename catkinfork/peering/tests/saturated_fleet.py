"""A simulated fleet whose engines are always asked for more than they can read."""

import random

from catkinfork.balancing import SERVED, Placement
from catkinfork.balancing.tests.support import add_backend, build_job, build_route
from catkinfork.peering.tests.nodes import build_nodes, run

STEP_S = 0.01
# Prompt tokens that an engine reads per second.
READING_RATE = 50_000.0
# Time from the first event of a request to its end, seconds.
GENERATION_S = 0.6
N_PROMPT_TOKENS = 4_000
N_OUTPUT_TOKENS = 100
ROUTE = build_route(caller_idle_timeout_s=2.0)


class SaturatedFleet:
    """Forwarders and engines that read prompts one after the other.

    :param n_nodes: number of forwarders.
    :param n_engines: number of engines.
    :param cold_rate: requests per second that a cold engine can handle, 0 for no limit.

    ``placed`` has the engine and the time of each placement.
    """

    def __init__(self, n_nodes, n_engines, seed, cold_rate=0.0):
        self.placed = []
        self.rng = random.Random(seed)
        self.nodes = build_nodes(n_nodes)
        names = [f"b{number}" for number in range(n_engines)]
        for node in self.nodes.values():
            for name in names:
                add_backend(node.balancer, name)
                pool = node.balancer.pools["s"]
                pool.find(name)
                pool.service = pool.service._replace(cold_rate=cold_rate)
        self.free_at = dict.fromkeys(names, 0.0)
        self.events = []
        self.starts = []
        self.pass_intervals_s = {}
        self.next_pass_at = dict.fromkeys(self.nodes, 0.0)
        self.n_jobs = 0
        self.now = run(self.nodes, 0.0, 3.0)

    def submit(self, workspace, address):
        """Submit a request at a forwarder."""
        self.n_jobs += 1
        node = self.nodes[address]
        parts = [(0xA0, 200), (0x10000 + self.n_jobs, N_PROMPT_TOKENS - 200)]
        job = build_job(
            self.now,
            route=ROUTE,
            workspace=workspace,
            n_prompt=N_PROMPT_TOKENS,
            n_output=N_OUTPUT_TOKENS,
            parts=parts,
        )
        job.fingerprint = self.n_jobs
        self.start(node, node.balancer.submit(job, self.now))

    def start(self, node, decision):
        """Let an engine run a request that was placed."""
        if not isinstance(decision, Placement):
            return
        name = decision.backend.name
        self.placed.append((name, self.now))
        starts_at = max(self.free_at[name], self.now)
        read_at = starts_at + decision.n_missing_tokens / READING_RATE
        self.free_at[name] = read_at
        self.events.append((read_at, False, node, decision))
        self.events.append((read_at + GENERATION_S, True, node, decision))
        self.starts.append((starts_at, decision.job.workspace))

    def advance(self):
        """Let one step pass."""
        self.now = run(self.nodes, self.now, self.now + STEP_S, step=STEP_S)
        due = [event for event in self.events if event[0] <= self.now]
        self.events = [event for event in self.events if event[0] > self.now]
        for _, is_end, node, placement in sorted(due, key=lambda event: event[0]):
            if is_end:
                node.balancer.handle_attempt_end(placement, SERVED, self.now)
            else:
                node.balancer.record_first_event(placement, self.now)
        for address, node in self.nodes.items():
            if self.now < self.next_pass_at[address]:
                continue
            interval_s = self.pass_intervals_s.get(address, 0.0)
            self.next_pass_at[address] = self.now + interval_s
            for _, decision in node.balancer.dispatch_queued(self.now):
                self.start(node, decision)

    def drive(self, end, capacity, demands):
        """Submit requests at random until a time.

        :param capacity: requests per second that all engines can read.
        :param demands: workspaces, their demands as fractions of the capacity, and the
            addresses of the forwarders that they use.
        """
        while self.now < end:
            for workspace, share, hosts in demands:
                if self.rng.random() < share * capacity * STEP_S:
                    self.submit(workspace, self.rng.choice(hosts))
            self.advance()

    def remove_engine(self, name):
        """Let an engine leave; it ends the requests that it has."""
        for node in self.nodes.values():
            node.balancer.registry.remove(name, 0.0, 0.0)

    def replace_engines(self, cold_s):
        """Replace all engines at once by cold ones; the old ones end their requests.

        :param cold_s: time for which the new ones are cold, seconds.
        """
        n_engines = len(self.free_at)
        for name in list(self.free_at):
            self.remove_engine(name)
        for number in range(n_engines):
            name = f"new{number}"
            self.free_at[name] = self.now
            for node in self.nodes.values():
                add_backend(node.balancer, name, cold_s=cold_s, at=self.now)
                node.balancer.pools["s"].find(name)

    def count_most_placed_in_1_s(self, start):
        """Return the most requests that one engine was sent within a second.

        :param start: time from which on they count, seconds.
        """
        times = {}
        for name, at in self.placed:
            if at >= start:
                times.setdefault(name, []).append(at)
        return max(
            sum(first <= at < first + 1.0 for at in one)
            for one in times.values()
            for first in one
        )

    def count_starts(self, workspace, start, end):
        """Return how many requests of a workspace began to run in a span of time."""
        return sum(name == workspace and start <= at < end for at, name in self.starts)
