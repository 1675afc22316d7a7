"""Load models: cost of a job at a backend server, and capacity checks."""

from abc import ABC, abstractmethod
from typing import NamedTuple

# Cost of an uncached prompt token. It is above 1 because prefill also delays all other
# requests that run on the engine.
MISSING_TOKEN_WEIGHT = 3.0
# Cost of one request in flight, in prompt tokens: each one slows every decoding step.
IN_FLIGHT_COST_TOKENS = 100.0
# Cost of a remote data centre for an engine, in prompt tokens; traffic between data
# centres is not free.
REMOTE_COST_TOKENS = 150.0
# Limit of pending prompt tokens at an engine. It keeps an engine busy until all
# forwarders have learned of first events; further jobs are queued at the forwarders.
MAX_PENDING_TOKENS = 15_000
# Up to this number of pending tokens, an engine accepts a prompt of any length.
MIN_PENDING_TOKENS = 4_000
# Largest number of uncached tokens for which the prompt of a starving job needs room.
# Short prompts would otherwise take the room as it becomes free.
MAX_STARVING_CLAIM_TOKENS = 2_500
# Fraction of an engine's memory that requests may use; above it, the engine preempts
# requests.
MAX_MEMORY_SHARE = 0.95
# Requests beyond the slots of a plain backend server, which keep a slot from idling
# between two requests.
EXTRA_REQUESTS = 2
# Fractions of the pending tokens and of the slots that are reserved for jobs of higher
# priority, indexed by the number of peers that have such jobs queued. Any job may use
# the remainder, so that no capacity idles while the peers learn of it.
RESERVED_TOKEN_SHARES = (0.0, 0.25, 0.3, 0.35)
# Additional fraction of the pending tokens for each further peer, and its limit. In a
# large fleet, the forwarder with most requests of a workspace that has received much
# service would otherwise fill the engines before the others see that room is free.
RESERVED_TOKEN_SHARE_PER_PEER = 0.02
MAX_RESERVED_TOKEN_SHARE = 0.6
RESERVED_SLOT_SHARES = (0.0, 0.0625, 0.1, 0.125)
# Fractions that are reserved from a workspace that has received twice as much as one
# that is underserved, and this lead of it. Load pattern: all requests of a workspace
# reach a few hosts, while another one finds whatever room becomes free through all.
FULL_LEAD = 0.5
RESERVED_TOKEN_SHARE_AT_FULL_LEAD = 0.75
RESERVED_SLOT_SHARE_AT_FULL_LEAD = 0.25
# Fraction of a backend server's connections that requests may use, one each; the rest
# covers idle connections and those that peers have opened but not yet reported.
CONNECTION_SHARE = 0.8
# Cost of a remote data centre for a plain service, in requests.
REMOTE_COST_REQUESTS = 0.25


class QueueRank(NamedTuple):
    """Place of a job in the order of the queues of all forwarders.

    :param n_peers_ahead: peers with a queued job of higher priority; a fraction of the
        capacity is reserved for them.
    :param lead: fraction of the service of its workspace by which this one is ahead of
        the worst served one, 0 to 1.
    :param is_starving: whether its workspace receives far less than others.
    """

    n_peers_ahead: int
    is_starving: bool
    lead: float = 0.0


class BaseLoadModel(ABC):
    """Load model of one kind of service.

    :param data_centre: data centre of this forwarder.
    :param service: :class:`Service`.

    ``missing_token_weight`` is the cost of an uncached prompt token, and
    ``request_cost`` that of one request in flight.
    """

    missing_token_weight = 0.0
    request_cost = 1.0

    def __init__(self, data_centre, service):
        self.data_centre = data_centre
        self.engine = service.engine
        self.has_event_size = bool(service.engine and service.engine.n_event_tokens)
        self.n_connections = int(CONNECTION_SHARE * service.max_connections)

    @abstractmethod
    def estimate_missing_tokens(self, job, load):
        """Return the uncached prompt tokens of a job at a backend server."""

    def compute_missing_token_weight(self, speed):
        """Return the cost of an uncached prompt token at a backend server.

        :param speed: its speed, see :class:`SpeedTable`.
        """
        return self.missing_token_weight

    @abstractmethod
    def compute_load(self, load):
        """Return the work that waits at a backend server, in the unit of the costs."""

    @abstractmethod
    def estimate_base_cost(self, backend, load, speed=1.0):
        """Return the cost of any job at a backend server.

        The uncached prompt tokens of a job are added to it; the lowest sum wins.

        :param speed: speed of the backend server, see :class:`SpeedTable`.
        """

    @abstractmethod
    def compute_room(self, job, backend, load, n_missing_tokens, rank, speed=1.0):
        """Return the number of jobs like this one for which there is capacity now.

        :param rank: :class:`QueueRank` of the job.
        :param speed: speed of the backend server, see :class:`SpeedTable`.
        :returns: number with a fraction; below 1 the job has to wait.
        """


class EngineLoadModel(BaseLoadModel):
    """Load model of a model engine; costs are in prompt tokens at speed 1."""

    missing_token_weight = MISSING_TOKEN_WEIGHT
    request_cost = IN_FLIGHT_COST_TOKENS

    def estimate_missing_tokens(self, job, load):
        return max(
            0, job.n_prompt_tokens - load.prefixes.count_cached_tokens(job.parts)
        )

    def compute_load(self, load):
        return load.n_all_pending_tokens

    def compute_missing_token_weight(self, speed):
        # Its own prefill takes longer at a slow engine. The rest of the weight stands
        # for the delay of others, of which a slow engine has fewer.
        return self.missing_token_weight - 1.0 + 1.0 / speed

    def estimate_base_cost(self, backend, load, speed=1.0):
        # Requests stay longer at a slow engine, so their number follows its speed.
        cost = load.n_all_pending_tokens / speed
        cost += IN_FLIGHT_COST_TOKENS * load.n_all_in_flight
        if backend.data_centre != self.data_centre:
            cost += REMOTE_COST_TOKENS
        return cost

    def compute_room(self, job, backend, load, n_missing_tokens, rank, speed=1.0):
        n_slots = backend.entry.n_slots
        n_slots -= int(compute_reserved_slot_share(rank) * n_slots)
        n_free_slots = min(n_slots, self.n_connections) - load.n_all_in_flight
        if n_free_slots < 1:
            return 0.0
        n_memory = load.n_all_memory_tokens + job.n_prompt_tokens + job.n_output_tokens
        limit = MAX_MEMORY_SHARE * self.engine.n_memory_tokens
        if n_memory > limit and load.n_all_in_flight:
            return 0.0
        n_claimed = n_missing_tokens
        if rank.is_starving:
            n_claimed = min(n_claimed, MAX_STARVING_CLAIM_TOKENS)
        n_pending_limit = (
            speed * MAX_PENDING_TOKENS * (1.0 - compute_reserved_token_share(rank))
        )
        n_pending = load.n_all_pending_tokens
        room = (n_pending_limit - n_pending) / max(1, n_claimed)
        if n_pending <= speed * MIN_PENDING_TOKENS:
            room = max(1.0, room)
        return min(n_free_slots, room)


class PlainLoadModel(BaseLoadModel):
    """Load model of a plain backend server; costs are in requests."""

    def estimate_missing_tokens(self, job, load):
        return 0

    def compute_load(self, load):
        return load.n_all_in_flight

    def estimate_base_cost(self, backend, load, speed=1.0):
        cost = float(load.n_all_in_flight)
        if backend.data_centre != self.data_centre:
            cost += REMOTE_COST_REQUESTS
        return cost

    def compute_room(self, job, backend, load, n_missing_tokens, rank, speed=1.0):
        n_extra = 0 if rank.n_peers_ahead else EXTRA_REQUESTS
        n_requests = min(backend.entry.n_slots + n_extra, self.n_connections)
        return n_requests - load.n_all_in_flight


def build_load_model(service, data_centre):
    """Return the load model of a service.

    :param service: :class:`Service`.
    :param data_centre: data centre of this forwarder.
    """
    if service.engine is None:
        return PlainLoadModel(data_centre, service)
    return EngineLoadModel(data_centre, service)


def compute_reserved_token_share(rank):
    """Return the fraction of the pending tokens reserved for jobs of higher priority.

    :param rank: :class:`QueueRank` of the job that they are reserved from.
    """
    n_listed = len(RESERVED_TOKEN_SHARES)
    if rank.n_peers_ahead < n_listed:
        share = RESERVED_TOKEN_SHARES[rank.n_peers_ahead]
    else:
        share = RESERVED_TOKEN_SHARES[-1]
        share += RESERVED_TOKEN_SHARE_PER_PEER * (rank.n_peers_ahead - n_listed + 1)
        share = min(MAX_RESERVED_TOKEN_SHARE, share)
    return raise_by_lead(share, RESERVED_TOKEN_SHARE_AT_FULL_LEAD, rank)


def compute_reserved_slot_share(rank):
    """Return the fraction of the slots reserved for jobs of higher priority.

    :param rank: as for :func:`compute_reserved_token_share`.
    """
    n_peers_ahead = min(rank.n_peers_ahead, len(RESERVED_SLOT_SHARES) - 1)
    share = RESERVED_SLOT_SHARES[n_peers_ahead]
    return raise_by_lead(share, RESERVED_SLOT_SHARE_AT_FULL_LEAD, rank)


def raise_by_lead(share, share_at_full_lead, rank):
    """Return a reserved fraction, raised by the lead of the workspace of a job."""
    if not rank.n_peers_ahead:
        return share
    return share + (share_at_full_lead - share) * min(1.0, rank.lead / FULL_LEAD)
