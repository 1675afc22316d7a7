"""Which backend servers may run a job, and which one costs least."""

from typing import NamedTuple

from catkinfork.topology import Backend


class Candidate(NamedTuple):
    """A backend server that may run a job.

    :param n_missing_tokens: prompt tokens that it would have to read.
    :param cost: cost of the job there.
    :param has_room: whether it takes the job now.
    """

    backend: Backend
    n_missing_tokens: int
    cost: float
    has_room: bool


def list_usable(registry, pool, job, now):
    """Return the backend servers that may run a job, full ones included.

    :param registry: :class:`BackendRegistry`.
    :param pool: :class:`ServicePool` of the job's service.
    """
    ready = [
        backend
        for backend in registry.list_ready(pool.service.name)
        if backend.name not in job.tried
    ]
    sound = [
        backend
        for backend in ready
        if not pool.find(backend.name).health.is_left_out(now)
    ]
    if sound:
        return sound
    return [
        backend
        for backend in ready
        if pool.find(backend.name).health.unreachable_at is None
    ]


def choose_candidate(pool, job, usable, reserved, n_before, now):
    """Return the :class:`Candidate` with the least cost, or None.

    :param usable: backend servers that may run the job.
    :param reserved: tokens that other waiting jobs will add, by backend server.
    :param n_before: other forwarders that hold a job that goes before this one.
    """
    best = None
    for backend in usable:
        state = pool.find(backend.name)
        if backend.is_cold(now) and not state.limiter.allows(now):
            continue
        load = state.load
        n_missing = pool.model.estimate_missing(job, load)
        cost = pool.model.estimate_cost(job, backend, load, n_missing)
        cost += reserved.get(backend.name, 0)
        if best is None or cost < best.cost:
            has_room = pool.model.has_room(job, backend, load, n_missing, n_before)
            best = Candidate(backend, n_missing, cost, has_room)
    return best
