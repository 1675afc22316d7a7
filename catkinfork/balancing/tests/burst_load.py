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

    ``first_s`` is the time from its arrival to its first event, seconds, or None.
    """

    __slots__ = (
        "arrived_at",
        "first_s",
        "kind",
        "n_own",
        "placed_late",
        "refusal",
        "wait",
        "miss",
        "prio",
        "workspace",
    )

    def __init__(self, kind, workspace, n_own, arrived_at):
        self.kind = kind
        self.workspace = workspace
        self.n_own = n_own
        self.arrived_at = arrived_at
        self.first_s = None
        self.refusal = None

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
    """

    def __init__(self, balancers, n_engines, demands, seed, hosts=None):
        self.balancers = balancers
        self.demands = demands
        self.hosts = hosts or {}
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
        job = build_job(
            self.now,
            route=kind.route,
            workspace=workspace,
            n_prompt=kind.n_shared + n_own,
            n_output=100,
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
            self.outcomes_by_job.pop(job).refusal = decision
            return
        name = decision.backend.name
        starts_at = max(self.free_at[name], self.now)
        read_at = starts_at + decision.n_missing_tokens / READING_RATE
        self.free_at[name] = read_at
        first_at = read_at + DECODING_STEP_S
        self.push(first_at, False, balancer, decision)
        self.push(first_at + GENERATION_S, True, balancer, decision)

    def push(self, at, is_end, balancer, placement):
        """Add an event of an attempt."""
        self.events.append(None)
        self.events.pop()
        heappush(self.events, (at, id(placement), is_end, balancer, placement))

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
