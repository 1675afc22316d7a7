"""A burst of three kinds of requests at engines that read prompts one after the other.

The figures are those of Swanbourne in docs/hard-load.md.
"""

import random
from heapq import heappop, heappush
from math import pi, sin
from typing import NamedTuple

from catkinfork.balancing import SERVED, Placement
from catkinfork.balancing.tests.support import add_backend, build_job, build_route
from catkinfork.topology import Route

STEP_S = 0.005
# Uncached prompt tokens that an engine reads per second. The median time from placement
# to the first event is then about that of the page.
READING_RATE = 80_000.0
# Time from the first event of a request to its end, and of the step until the first
# event, seconds.
GENERATION_S = 0.6
DECODING_STEP_S = 0.0036
# Traffic varies by this fraction, with this period, seconds.
WAVE = 0.55
WAVE_PERIOD_S = 1.0
N_OUTPUT_TOKENS = 100
# Sizes of the own part of prompts vary evenly by this fraction.
SIZE_SPREAD = 0.6


class Kind(NamedTuple):
    """A kind of requests.

    :param n_shared: tokens of the part of the prompt that its workspace repeats.
    :param n_own: mean tokens of the rest.
    :param rate: requests per second over 25 engines.
    """

    name: str
    n_shared: int
    n_own: int
    rate: float
    route: Route


def build_kind_route(name, target_s, deadline_s, **options):
    """Return the route of one kind of requests."""
    route = build_route(
        latency_target_s=target_s,
        timeout_s=deadline_s,
        caller_idle_timeout_s=deadline_s,
        **options,
    )
    return route._replace(name=name)


KINDS = (
    Kind(
        "long",
        5_382,
        6_610,
        162.0,
        build_kind_route("long", 0.401, 12.018, max_attempts=1, is_resumable=False),
    ),
    Kind("chat", 198, 628, 188.0, build_kind_route("chat", 0.300, 10.008)),
    Kind("short", 568, 1_800, 297.0, build_kind_route("short", 0.300, 2.502)),
)
# Mean uncached tokens of a request once the shared parts are cached.
MEAN_OWN = sum(one.n_own * one.rate for one in KINDS) / sum(one.rate for one in KINDS)


class Outcome:
    """What became of one request.

    ``first_s`` is the time from its arrival to its first event, seconds, or None, and
    ``return_at`` the monotonic time at which its caller may return if it was refused.
    """

    __slots__ = (
        "arrived_at",
        "first_s",
        "kind",
        "n_own",
        "refusal",
        "return_at",
        "workspace",
    )

    def __init__(self, kind, workspace, n_own, arrived_at):
        self.kind = kind
        self.workspace = workspace
        self.n_own = n_own
        self.arrived_at = arrived_at
        self.first_s = None
        self.refusal = None
        self.return_at = None

    @property
    def is_served(self):
        """Return whether it had its first event."""
        return self.first_s is not None

    @property
    def is_large(self):
        """Return whether its prompt is in the largest tenth of its kind."""
        return self.n_own >= (1.0 + 0.8 * SIZE_SPREAD) * self.kind.n_own

    @property
    def n_service_tokens(self):
        """Return the service tokens for which it counts in the fair shares."""
        return self.kind.n_shared + self.n_own + 2 * N_OUTPUT_TOKENS

    @property
    def is_on_time(self):
        """Return whether its first event met the latency target."""
        return (
            self.first_s is not None
            and self.first_s <= self.kind.route.latency_target_s
        )


class BurstLoad:
    """Balancers and the engines that they share.

    :param balancers: list of :class:`Balancer`.
    :param n_engines: number of engines; ``b0`` and so on are added where missing.
    :param demands: weight of each workspace by name.
    :param hosts: index of the balancer that has all requests of a workspace, by name of
        the workspace; those of others are spread.
    :param targets: latency targets by workspace that replace those of the kinds.
    """

    def __init__(self, balancers, n_engines, demands, seed, hosts=None, targets=None):
        self.balancers = balancers
        self.demands = demands
        self.hosts = hosts or {}
        self.targets = targets or {}
        self.rng = random.Random(seed)
        names = [f"b{number}" for number in range(n_engines)]
        for balancer in balancers:
            for name in names:
                add_backend(balancer, name, 48)
                balancer.pools["s"].find(name)
        self.capacity = n_engines * READING_RATE / MEAN_OWN
        self.free_at = dict.fromkeys(names, 0.0)
        self.events = []
        self.outcomes = []
        self.outcomes_by_job = {}
        self.n_jobs = 0
        self.n_events = 0
        self.now = 0.0

    def drive(self, duration_s, load):
        """Submit requests in waves.

        :param load: mean rate as a fraction of the capacity.
        """
        end = self.now + duration_s
        while self.now < end - STEP_S / 2:
            wave = 1.0 + WAVE * sin(2 * pi * self.now / WAVE_PERIOD_S)
            n_left = load * wave * self.capacity * STEP_S
            while n_left > 0:
                if self.rng.random() < n_left:
                    self.submit()
                n_left -= 1.0
            self.advance()

    def submit(self):
        """Submit a request of a random kind and workspace."""
        (kind,) = self.rng.choices(KINDS, [one.rate for one in KINDS])
        (workspace,) = self.rng.choices(list(self.demands), self.demands.values())
        n_own = int(kind.n_own * self.rng.uniform(1 - SIZE_SPREAD, 1 + SIZE_SPREAD))
        self.n_jobs += 1
        shared = 1000 * (1 + KINDS.index(kind)) + list(self.demands).index(workspace)
        parts = [(shared, kind.n_shared), (1_000_000 + self.n_jobs, n_own)]
        target_s = self.targets.get(workspace, kind.route.latency_target_s)
        job = build_job(
            self.now,
            route=kind.route._replace(latency_target_s=target_s),
            workspace=workspace,
            n_prompt=kind.n_shared + n_own,
            n_output=N_OUTPUT_TOKENS,
            parts=parts,
        )
        job.fingerprint = self.n_jobs
        outcome = Outcome(kind, workspace, n_own, self.now)
        self.outcomes.append(outcome)
        self.outcomes_by_job[job] = outcome
        number = self.hosts.get(workspace)
        if number is None:
            number = self.rng.randrange(len(self.balancers))
        balancer = self.balancers[number]
        self.handle(balancer, job, balancer.submit(job, self.now))

    def handle(self, balancer, job, decision):
        """Let an engine run a request that was placed, or record its refusal."""
        if decision is None:
            return
        if not isinstance(decision, Placement):
            outcome = self.outcomes_by_job.pop(job)
            outcome.refusal = decision
            outcome.return_at = self.now + decision.retry_after_s
            return
        name = decision.backend.name
        starts_at = max(self.free_at[name], self.now)
        read_at = starts_at + decision.n_missing_tokens / READING_RATE
        self.free_at[name] = read_at
        first_at = read_at + DECODING_STEP_S
        self.push(first_at, False, balancer, decision)
        self.push(first_at + GENERATION_S, True, balancer, decision)

    def push(self, at, is_end, balancer, placement):
        """Add an event of an attempt; equal times are in the order of addition."""
        self.n_events += 1
        heappush(self.events, (at, self.n_events, is_end, balancer, placement))

    def exchange(self):
        """Let one step pass."""
        self.now += STEP_S

    def advance(self):
        """Let one step pass, and handle what has happened in it."""
        self.exchange()
        while self.events and self.events[0][0] <= self.now:
            _, _, is_end, balancer, placement = heappop(self.events)
            if is_end:
                balancer.handle_attempt_end(placement, SERVED, self.now)
            else:
                balancer.record_first_event(placement, self.now)
                outcome = self.outcomes_by_job.pop(placement.job)
                outcome.first_s = self.now - outcome.arrived_at
        for balancer in self.balancers:
            for job, decision in balancer.dispatch_queued(self.now):
                self.handle(balancer, job, decision)

    def list_arrived(self, start, end):
        """Return the outcomes of the requests that arrived in a span of time."""
        return [one for one in self.outcomes if start <= one.arrived_at < end]

    def count_received(self, start, end):
        """Return the service tokens of first events in a span of time by workspace."""
        received = dict.fromkeys(self.demands, 0)
        for one in self.outcomes:
            if one.is_served and start <= one.arrived_at + one.first_s < end:
                received[one.workspace] += one.n_service_tokens
        return received

    def compute_fairness(self, start, end):
        """Return the smallest ratio of what a workspace received to what it is owed.

        It is owed its demand, or the service of the best served workspace if that is
        smaller. The rule allows three of the largest requests less.
        """
        demands = dict.fromkeys(self.demands, 0)
        received = self.count_received(start, end)
        n_largest = 0
        for one in self.outcomes:
            if start <= one.arrived_at < end:
                demands[one.workspace] += one.n_service_tokens
                n_largest = max(n_largest, one.n_service_tokens)
        most = max(received.values())
        return min(
            (received[name] + 3 * n_largest) / min(demand, most)
            for name, demand in demands.items()
            if demand
        )


def compute_share(outcomes, has_property):
    """Return the fraction of the requests that have a property."""
    return sum(has_property(one) for one in outcomes) / len(outcomes)
