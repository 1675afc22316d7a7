"""Workload of the load measurements: three kinds of prompts with shared parts."""

import random
from typing import NamedTuple

from catkinfork.balancing.tests.support import build_job, build_route

# Times of the kinds of request on Mahlzeit, seconds.
NEXT_EVENT_TIMEOUT_S = 4.0
MAX_OUTPUT_TOKENS = 250
MIN_OUTPUT_TOKENS = 50
# Amplitude of the waves in traffic, and their period, seconds.
WAVE = 0.55
WAVE_S = 4.0
BURST = 1.7
# Time in which traffic is low, as the forwarders learn of each other, seconds.
WARM_UP_S = 1.5
WARM_UP_FACTOR = 0.1


class PromptKind(NamedTuple):
    """A kind of request.

    :param n_shared_tokens: tokens of the part that other requests have too.
    :param n_own_tokens: tokens of the part that belongs to one request.
    :param rate: requests per second at :data:`N_RATED_ENGINES` engines.
    :param n_parts: number of different shared parts.
    :param target_s: time to first event that is promised, seconds.
    :param deadline_s: deadline of the response, seconds.
    """

    name: str
    n_shared_tokens: int
    n_own_tokens: int
    rate: float
    n_parts: int
    target_s: float
    deadline_s: float


N_RATED_ENGINES = 26
KINDS = (
    PromptKind("long", 5_382, 6_610, 160.0, 150, 0.8, 12.0),
    PromptKind("chat", 198, 628, 130.0, 150, 0.4, 12.0),
    PromptKind("short", 568, 1_800, 277.0, 100, 0.4, 3.0),
)


class Workload:
    """Requests of all kinds in waves, with a burst.

    :param n_engines: number of engines to which the rates are scaled.
    :param load: multiple of the rates.
    :param burst: monotonic times at which a burst begins and ends, seconds.
    :param seed: seed of all draws.
    """

    def __init__(self, n_engines, load, burst, seed):
        self.rng = random.Random(seed)
        self.scale = load * n_engines / N_RATED_ENGINES
        self.burst = burst
        self.n_jobs = 0
        self.routes = {
            kind: build_route(
                timeout_s=kind.deadline_s,
                latency_target_s=kind.target_s,
                caller_idle_timeout_s=NEXT_EVENT_TIMEOUT_S,
                max_attempts=1,
            )
            for kind in KINDS
        }

    def compute_factor(self, now):
        """Return the traffic at a time as a multiple of the mean."""
        if now < WARM_UP_S:
            return WARM_UP_FACTOR
        phase = (now % WAVE_S) / WAVE_S
        factor = 1.0 + WAVE * (4.0 * abs(phase - 0.5) - 1.0)
        return factor * BURST if self.burst[0] <= now < self.burst[1] else factor

    def draw_pause_s(self):
        """Return the time to the next arrival at the highest rate, seconds."""
        peak = (1.0 + WAVE) * BURST * self.scale * sum(one.rate for one in KINDS)
        return self.rng.expovariate(peak)

    def draw_job(self, now):
        """Return the request that arrives, or None if the traffic is lower now.

        Arrivals at the highest rate are thinned to the present one.
        """
        if self.rng.random() * (1.0 + WAVE) * BURST >= self.compute_factor(now):
            return None
        kind = self.rng.choices(KINDS, [one.rate for one in KINDS])[0]
        self.n_jobs += 1
        n_prompt = kind.n_shared_tokens + kind.n_own_tokens
        number = self.rng.randrange(kind.n_parts)
        shared = 1_000 * (1 + KINDS.index(kind)) + number
        job = build_job(
            now,
            route=self.routes[kind],
            workspace=self.rng.choice("abcdefgh"),
            n_prompt=n_prompt,
            n_output=self.rng.randint(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS),
            parts=[
                (shared, kind.n_shared_tokens),
                (0x100000 + self.n_jobs, kind.n_own_tokens),
            ],
        )
        job.request_id = f"r{self.n_jobs}"
        job.fingerprint = self.n_jobs
        return job
