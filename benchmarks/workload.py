"""Generated workload, which is the same for every policy."""

from typing import NamedTuple
from uuid import UUID

from benchmarks.shapes import (
    ENGINE_POOL,
    MODEL,
    N_ENGINE_PLACES,
    N_LARGE,
    N_ROUTERS,
    N_WORKSPACES,
)

# Kind, lowest and highest cost in service units, seconds per unit, share of arrivals.
# An engine generates about 50 tokens a second and a token counts as two units.
DRAFT = ("draft", 300, 1800, 0.01, 0.25)
QUERY = ("query", 40, 160, 0.01, 0.75)
ORDER = ("order", 20, 80, 0.001, 0.3)
LOOKUP = ("lookup", 3, 15, 0.001, 0.7)
SERVICE_REQUESTS_PER_S = 20.0
# Rate of the fault run, which gives 100,000 requests over both shapes.
FAULT_REQUESTS_PER_S = 250.0
DEADLINE_S = 60.0
# Load of each large workspace in the backlog run, as a fraction of the engines'
# capacity. Each exceeds the workspace's share, so that all of them stay backlogged.
BACKLOG_LOADS = (0.9, 0.5, 0.6, 0.45)
SMALL_LOAD = 0.012
# Loads of the service runs, as fractions of the capacity that remains while a data
# centre is out of service.
SERVICE_LOADS = (0.75, 0.95)
WALL_OFFSET_S = 1.7e9


class Job(NamedTuple):
    """One request.

    :param number: position in the order of arrival.
    :param arrives_at: seconds since the start of the run.
    :param workspace: workspace name.
    :param router: index of the router that receives it.
    :param pool: pool that serves it.
    :param target: model or service.
    :param kind: ``draft``, ``query``, ``order`` or ``lookup``.
    :param cost: service units.
    :param duration_s: time of service.
    :param key: idempotency key of an order, else empty.
    """

    number: int
    arrives_at: float
    workspace: str
    router: int
    pool: str
    target: str
    kind: str
    cost: int
    duration_s: float
    key: str

    @property
    def is_idempotent(self):
        """Whether it may run more than once."""
        return not self.key


def build_jobs(shape, loads, span, rng, service_rate=SERVICE_REQUESTS_PER_S):
    """Return the jobs of a run in the order of arrival.

    :param loads: load of each workspace as a fraction of the engines' capacity.
    :param span: start and end of the arrivals, seconds.
    :param service_rate: requests to the plain service per second.
    """
    starts_at, ends_at = span
    jobs = []
    names = [f"workspace-{number:02}" for number in range(N_WORKSPACES)]
    mean_s = sum(
        (low + high) / 2 * s_per_unit * share
        for _, low, high, s_per_unit, share in (DRAFT, QUERY)
    )
    capacity = shape.n_engines * N_ENGINE_PLACES / mean_s
    for position, name in enumerate(names):
        # The load is uneven: each workspace prefers one router.
        weights = [1] * N_ROUTERS
        weights[position % 2] = 6
        rates = [
            (loads[position] * capacity, (DRAFT, QUERY), ENGINE_POOL, MODEL),
            (
                service_rate / N_WORKSPACES,
                (ORDER, LOOKUP),
                shape.service,
                shape.service,
            ),
        ]
        for rate, kinds, pool, target in rates:
            arrives_at = starts_at + rng.expovariate(rate)
            while arrives_at < ends_at:
                kind = rng.choices(kinds, [item[4] for item in kinds])[0]
                router = rng.choices(range(N_ROUTERS), weights)[0]
                jobs.append(
                    build_job(arrives_at, name, router, pool, target, kind, rng)
                )
                arrives_at += rng.expovariate(rate)
    jobs.sort(key=lambda job: job.arrives_at)
    return [job._replace(number=number) for number, job in enumerate(jobs)]


def build_job(arrives_at, workspace, router, pool, target, kind, rng):
    """Return one job."""
    name, low, high, s_per_unit, _ = kind
    cost = rng.randint(low, high)
    key = build_key(arrives_at, rng) if name == "order" else ""
    return Job(
        0,
        arrives_at,
        workspace,
        router,
        pool,
        target,
        name,
        cost,
        cost * s_per_unit,
        key,
    )


def build_key(arrives_at, rng):
    """Return a UUID version 7 whose creation time is the time of arrival."""
    milliseconds = int((WALL_OFFSET_S + arrives_at) * 1000)
    value = milliseconds << 80 | 0x7 << 76 | rng.getrandbits(12) << 64
    return str(UUID(int=value | 0b10 << 62 | rng.getrandbits(62)))


def list_backlog_loads():
    """Return the loads of the backlog run."""
    return [*BACKLOG_LOADS, *[SMALL_LOAD] * (N_WORKSPACES - N_LARGE)]


def list_service_loads(shape, load):
    """Return uneven loads of a service run, whose sum leaves spare capacity.

    :param load: one of ``SERVICE_LOADS``.
    """
    names = [
        shape.data_centres[n % len(shape.data_centres)] for n in range(shape.n_engines)
    ]
    remaining = 1 - names.count(shape.leaving) / len(names)
    weights = [6, 4, 4, 4] + [1] * (N_WORKSPACES - N_LARGE)
    return [load * remaining * weight / sum(weights) for weight in weights]
