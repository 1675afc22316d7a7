"""Selection of the backend server for a job."""

from operator import attrgetter
from typing import NamedTuple

from catkinfork.balancing._pauses import compute_late_chance
from catkinfork.balancing._selection import LOWEST_COST
from catkinfork.balancing._transfers import Transfer
from catkinfork.topology import Backend

BASE_COST = attrgetter("base_cost")


class Candidate(NamedTuple):
    """A backend server that may run a job.

    :param n_missing_tokens: uncached prompt tokens that it would have to process.
    :param cost: cost of the job there, in the unit of the load model.
    :param room: number of jobs like this one for which it has capacity now.
    :param transfer: :class:`Transfer`, or None.
    """

    backend: Backend
    n_missing_tokens: int
    cost: float
    room: float
    transfer: Transfer | None = None


class CandidateEntry:
    """A backend server in a :class:`CandidateList`.

    :param backend: :class:`Backend`.
    :param state: its :class:`BackendState`.
    :param base_cost: cost of any job there, without its uncached prompt tokens.
    :param is_limited: whether the rate of requests to it is limited.
    """

    __slots__ = ("backend", "base_cost", "is_limited", "state")

    def __init__(self, backend, state, base_cost, is_limited):
        self.backend = backend
        self.state = state
        self.base_cost = base_cost
        self.is_limited = is_limited


class Offer(NamedTuple):
    """What a job would cost at one backend server.

    :param entry: :class:`CandidateEntry`.
    :param n_missing_tokens: uncached prompt tokens that it would have to process. Those
        that it would fetch count in proportion to their cost.
    :param cost: cost of the job there, in the unit of the load model.
    :param transfer: :class:`Transfer` of cached tokens, or None.
    """

    entry: CandidateEntry
    n_missing_tokens: int
    cost: float
    transfer: Transfer | None = None


class CandidateList:
    """Backend servers that may run the jobs of one service, by ascending base cost.

    It is built once for a pass over the queue: under a flood, a pass considers many
    jobs, and visiting every backend server for each of them would hold up the event
    loop.

    :param registry: :class:`BackendRegistry`.
    :param pool: :class:`ServicePool`.
    :param rates: :class:`SendRates`.
    :param now: monotonic time, seconds.
    :param selection: :class:`BaseSelection` that chooses among the offers.

    ``awaited`` has the names of those that were full for a job of the pass.
    ``plan`` is the :class:`TransferPlan` of the job that is being placed, or None.
    ``is_drawn`` states whether the latest choice was drawn among several offers.
    """

    def __init__(self, registry, pool, rates, now, selection=LOWEST_COST):
        self.pool = pool
        self.selection = selection
        self.rates = rates
        self.now = now
        self.weighs_pauses = pool.weighs_pauses
        self.shared_addresses = registry.shared_addresses
        self.plan = None
        self.unseen_cost = None
        self.is_drawn = False
        self.healthy = []
        self.ejected = []
        self.throttled = []
        self.awaited = set()
        for backend in registry.list_ready(pool.service.name):
            if backend.is_throttled(now):
                self.throttled.append(backend)
                continue
            state = pool.find(backend.name)
            state.follow_entry(backend.entry)
            base_cost = pool.model.estimate_base_cost(backend, state.load, state.speed)
            is_limited = rates.start_period(backend, state)
            entry = CandidateEntry(backend, state, base_cost, is_limited)
            if not state.health.is_ejected(now):
                self.healthy.append(entry)
            elif state.health.unreachable_at is None:
                self.ejected.append(entry)
        self.healthy.sort(key=BASE_COST)
        self.ejected.sort(key=BASE_COST)
        self.versions = {
            one.backend.entry.version for one in [*self.healthy, *self.ejected]
        }

    def compute_pause_s(self, version=None):
        """Return the time until a backend server may be used, if all are throttled.

        :param version: version that counts alone, or None for all.
        :returns: seconds, or None.
        """
        throttled = [
            one.throttled_until
            for one in self.throttled
            if version in (None, one.entry.version)
        ]
        is_usable = self.versions if version is None else version in self.versions
        return None if is_usable or not throttled else min(throttled) - self.now

    def estimate_unseen_cost(self):
        """Return the cost that peers are expected to have placed unseen.

        It grows with their request rate and with the age of what they have told.
        """
        if self.unseen_cost is None:
            self.unseen_cost = self.pool.estimate_unseen_cost(
                self.rates.peers, self.now
            )
        return self.unseen_cost

    def list_eligible(self, job):
        """Return the entries that may run a job, including full ones.

        If all are ejected, those not marked as unreachable are returned.
        """
        if not job.tried_backends and job.version is None:
            return self.healthy or self.ejected
        return select_eligible(self.healthy, job) or select_eligible(self.ejected, job)

    def allows(self, entry):
        """Return whether the rates of a backend server allow a request now.

        :param entry: :class:`CandidateEntry`.
        """
        return not entry.is_limited or self.rates.allows(entry.backend, entry.state)

    def price(self, job, entry):
        """Return the :class:`Offer` of a backend server for a job.

        :param entry: :class:`CandidateEntry`.
        """
        model = self.pool.model
        base_cost = entry.base_cost
        if self.weighs_pauses and entry.state.pauses.excess:
            base_cost += self.compute_pause_cost(job, entry)
        weight = model.compute_missing_token_weight(entry.state.speed)
        plan = self.plan
        if plan is None or plan.job is not job:
            n_missing_tokens = model.estimate_missing_tokens(job, entry.state.load)
            cost = base_cost + weight * n_missing_tokens
            return Offer(entry, n_missing_tokens, cost)
        n_missing_tokens, n_pending_tokens, transfer_cost, transfer = plan.estimate(
            entry
        )
        cost = base_cost + weight * n_missing_tokens + transfer_cost
        return Offer(entry, n_pending_tokens, cost, transfer)

    def compute_pause_cost(self, job, entry):
        """Return the cost of the pauses that a stream has to expect.

        It is 0 on a route without a target for pauses.

        :param entry: :class:`CandidateEntry`.
        """
        if not job.route.max_event_gap_s:
            return 0.0
        n_events = job.n_output_tokens / self.pool.model.engine.n_event_tokens
        chance = compute_late_chance(entry.state.pauses.excess, n_events)
        return self.pool.pause_cost * chance

    def choose(self, job, rank):
        """Return the :class:`Candidate` that the selection prefers, or None.

        :param rank: :class:`QueueRank` of the job.
        """
        transfers = self.pool.transfers
        self.plan = transfers.build_plan(job, self) if transfers.is_enabled else None
        offer = self.selection.select(self, job)
        if offer is None:
            return None
        entry = offer.entry
        room = self.pool.model.compute_room(
            job,
            entry.backend,
            entry.state.load,
            offer.n_missing_tokens,
            rank,
            entry.state.speed,
        )
        return Candidate(
            entry.backend, offer.n_missing_tokens, offer.cost, room, offer.transfer
        )

    def compute_total_room(self, job, rank):
        """Return the number of jobs like this one for which all servers have room.

        Room that rates hold back counts as well: they bind each placement anyway.

        :param rank: :class:`QueueRank` of the job.
        """
        model = self.pool.model
        rooms = [
            model.compute_room(
                job,
                one.backend,
                one.state.load,
                model.estimate_missing_tokens(job, one.state.load),
                rank,
                one.state.speed,
            )
            for one in self.list_eligible(job)
        ]
        return sum(room for room in rooms if room >= 1)

    def add_cost(self, backend, n_missing_tokens, request_cost=0.0):
        """Raise the base cost of a backend server during the pass.

        :param n_missing_tokens: uncached prompt tokens of a job that was placed, or
            that waits for it.
        :param request_cost: cost of the request in flight, if it was placed.
        """
        for entries in (self.healthy, self.ejected):
            for entry in entries:
                if entry.backend is backend:
                    entry.base_cost += n_missing_tokens / entry.state.speed
                    entry.base_cost += request_cost
                    entries.sort(key=BASE_COST)
                    return


def select_eligible(entries, job):
    """Return the entries of untried backend servers whose version fits a job."""
    tried = job.tried_backends
    return [
        one
        for one in entries
        if one.backend.name not in tried and job.accepts(one.backend)
    ]
