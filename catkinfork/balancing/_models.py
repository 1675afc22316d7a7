"""What a job costs at a backend server, and whether it has room."""

from abc import ABC, abstractmethod

# The weight covers the delay that reading tokens causes to all requests that run there.
MISSING_TOKEN_WEIGHT = 3.0
# Cost of one request in flight, in prompt tokens: each one slows every step a little.
TOKENS_PER_REQUEST = 100.0
# Cost of another data centre, in prompt tokens; the bytes between them are not free.
REMOTE_TOKENS = 150.0
# Prompt tokens that may be pending at an engine. It covers the time in which news of
# the first events reach all forwarders, so that no engine runs dry; the rest waits at
# the forwarders.
MAX_PENDING_TOKENS = 15_000
# A prompt of any length may join so few pending tokens.
MIN_PENDING_TOKENS = 4_000
# Share of an engine's memory that requests may hold; above it, the engine interrupts
# requests to make room.
MAX_MEMORY_SHARE = 0.95
# Requests beyond the slots of a plain backend server that keep it busy between two.
EXTRA_REQUESTS = 2
# Shares of the pending tokens and of the slots that a job leaves to those before it, by
# the number of other forwarders at which such jobs wait. What lies below is used by any
# job, so that nothing idles while the news of it travels.
LEFT_TOKEN_SHARES = (0.0, 0.25, 0.3, 0.35)
LEFT_SLOT_SHARES = (0.0, 0.0625, 0.1, 0.125)
# Share of a backend server's connections that requests use, as each one needs one; the
# rest covers idle ones and those that peers have opened and not yet told of.
CONNECTION_SHARE = 0.8
# Cost of another data centre for a plain service, in requests.
REMOTE_REQUESTS = 0.25


class BaseLoadModel(ABC):
    """Costs of one kind of service.

    :param data_centre: data centre of this forwarder.
    :param service: :class:`Service`.
    """

    def __init__(self, data_centre, service):
        self.data_centre = data_centre
        self.engine = service.engine
        self.n_connections = int(CONNECTION_SHARE * service.max_connections)

    @abstractmethod
    def estimate_missing(self, job, load):
        """Return the prompt tokens that the backend server would have to read."""

    @abstractmethod
    def estimate_cost(self, job, backend, load, n_missing):
        """Return the cost of the job at a backend server; the least one wins."""

    @abstractmethod
    def has_room(self, job, backend, load, n_missing, n_before):
        """Return whether the backend server takes the job now.

        :param n_before: other forwarders that hold a job that goes before this one; a
            share of the room is left to them.
        """


class EngineLoadModel(BaseLoadModel):
    """Costs in prompt tokens at a model engine."""

    def estimate_missing(self, job, load):
        return max(0, job.n_prompt_tokens - load.prefixes.count_kept(job.parts))

    def estimate_cost(self, job, backend, load, n_missing):
        cost = (
            load.n_all_pending
            + MISSING_TOKEN_WEIGHT * n_missing
            + TOKENS_PER_REQUEST * load.n_all_in_flight
        )
        if backend.data_centre != self.data_centre:
            cost += REMOTE_TOKENS
        return cost

    def has_room(self, job, backend, load, n_missing, n_before):
        n_before = min(n_before, len(LEFT_SLOT_SHARES) - 1)
        n_slots = backend.entry.n_slots
        n_slots -= int(LEFT_SLOT_SHARES[n_before] * n_slots)
        n_pending_limit = MAX_PENDING_TOKENS * (1.0 - LEFT_TOKEN_SHARES[n_before])
        if load.n_all_in_flight >= min(n_slots, self.n_connections):
            return False
        n_pending = load.n_all_pending
        if n_pending > MIN_PENDING_TOKENS and n_pending + n_missing > n_pending_limit:
            return False
        n_memory = load.n_all_memory + job.n_prompt_tokens + job.n_output_tokens
        limit = MAX_MEMORY_SHARE * self.engine.n_memory_tokens
        return n_memory <= limit or not load.n_all_in_flight


class PlainLoadModel(BaseLoadModel):
    """Costs in requests at a plain backend server."""

    def estimate_missing(self, job, load):
        return 0

    def estimate_cost(self, job, backend, load, n_missing):
        cost = float(load.n_all_in_flight)
        if backend.data_centre != self.data_centre:
            cost += REMOTE_REQUESTS
        return cost

    def has_room(self, job, backend, load, n_missing, n_before):
        n_extra = 0 if n_before else EXTRA_REQUESTS
        n_requests = min(backend.entry.n_slots + n_extra, self.n_connections)
        return load.n_all_in_flight < n_requests


def build_load_model(service, data_centre):
    """Return the load model of a service.

    :param service: :class:`Service`.
    :param data_centre: data centre of this forwarder.
    """
    if service.engine is None:
        return PlainLoadModel(data_centre, service)
    return EngineLoadModel(data_centre, service)
