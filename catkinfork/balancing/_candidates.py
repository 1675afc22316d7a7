"""Selection of the backend server for a job."""

from typing import NamedTuple

from catkinfork.topology import Backend


class Candidate(NamedTuple):
    """A backend server that may run a job.

    :param n_missing_tokens: uncached prompt tokens that it would have to process.
    :param cost: cost of the job there, in the unit of the load model.
    :param has_room: whether it has capacity for the job now.
    """

    backend: Backend
    n_missing_tokens: int
    cost: float
    has_room: bool


def list_eligible(registry, pool, job, now):
    """Return the backend servers that may run a job, including full ones.

    If all are ejected, those not marked as unreachable are returned.

    :param registry: :class:`BackendRegistry`.
    :param pool: :class:`ServicePool` of the job's service.
    """
    ready = [
        backend
        for backend in registry.list_ready(pool.service.name)
        if backend.name not in job.tried_backends
    ]
    healthy = [
        backend
        for backend in ready
        if not pool.find(backend.name).health.is_ejected(now)
    ]
    if healthy:
        return healthy
    return [
        backend
        for backend in ready
        if pool.find(backend.name).health.unreachable_at is None
    ]


def choose_candidate(pool, job, eligible, reserved, n_peers_ahead, now):
    """Return the :class:`Candidate` with the lowest cost, or None.

    :param eligible: backend servers that may run the job.
    :param reserved: prompt tokens that queued jobs will add, by backend server.
    :param n_peers_ahead: peers with a queued job of higher priority.
    """
    best = None
    for backend in eligible:
        state = pool.find(backend.name)
        if backend.is_cold(now) and not state.limiter.allows(now):
            continue
        load = state.load
        n_missing_tokens = pool.model.estimate_missing_tokens(job, load)
        cost = pool.model.estimate_cost(job, backend, load, n_missing_tokens)
        cost += reserved.get(backend.name, 0)
        if best is None or cost < best.cost:
            has_room = pool.model.has_room(
                job, backend, load, n_missing_tokens, n_peers_ahead
            )
            best = Candidate(backend, n_missing_tokens, cost, has_room)
    return best
