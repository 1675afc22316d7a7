"""What holds the queued jobs of a workspace that lacks service."""

from collections import Counter

from catkinfork.balancing._events import WORKSPACE_HELD
from catkinfork.balancing._models import (
    MIN_PENDING_TOKENS,
    QueueRank,
)
from catkinfork.balancing._shares import MIN_EVEN_SHARE, MIN_SHORTFALL_TOKENS
from catkinfork.observability import log_event

# Time between two events of one service, seconds.
REPORT_INTERVAL_S = 1.0
# Time without a pass after which samples are dropped, seconds: nothing was queued.
MAX_PAUSE_S = 2.0
# Time between two samples, seconds. A sample visits every backend server once.
SAMPLE_INTERVAL_S = 0.05

# Bounds that hold the first queued job of a workspace.
RATES = "rates"
RESERVED = "reserved"
SLOTS = "slots"
PENDING = "pending"
MEMORY = "memory"
TURN = "turn"
NOTHING_QUEUED = "nothing_queued"


class HoldSums:
    """Samples of one workspace since the latest event of a service.

    ``passes`` counts the passes over the queue, and ``longest_gap_s`` is the longest
    time between two of them.
    """

    def __init__(self, workspace, use, now):
        self.workspace = workspace
        self.started_at = self.passed_at = now
        self.n_requested_tokens = use.n_requested_tokens
        self.n_received_tokens = use.n_received_tokens
        self.next_sample_at = now
        self.n_passes = 0
        self.longest_gap_s = 0.0
        self.holds = Counter()
        self.n_with_room = 0
        self.n_limited = 0
        self.n_peers_ahead = 0

    def record_pass(self, now):
        """Count a pass over the queue."""
        self.n_passes += 1
        self.longest_gap_s = max(self.longest_gap_s, now - self.passed_at)
        self.passed_at = now


class HoldMonitor:
    """Records which bound holds the workspace that lacks most service.

    It reads the state of the balancer after each pass, and changes no decision.

    Load pattern: a workspace starves at one of many forwarders. Its share, the state of
    peers, the servers and the passes of that forwarder may each be the reason.

    :param balancer: :class:`Balancer`.
    """

    def __init__(self, balancer):
        self.balancer = balancer
        self.sums = {}

    def observe(self, pool, now):
        """Take a sample after a pass over the queue, and write an event if it is due.

        :param pool: :class:`ServicePool`.
        """
        name = pool.service.name
        sums = self.sums.get(name)
        if sums is None or now > sums.passed_at + MAX_PAUSE_S:
            self.sums.pop(name, None)
            workspace = find_lacking(pool, now)
            if workspace is None:
                return
            use = pool.shares.find(workspace)
            sums = self.sums[name] = HoldSums(workspace, use, now)
        sums.record_pass(now)
        if now >= sums.next_sample_at:
            sums.next_sample_at = now + SAMPLE_INTERVAL_S
            self.sample(pool, sums, now)
        if now >= sums.started_at + REPORT_INTERVAL_S:
            del self.sums[name]
            self.balancer.write_log(self.build_event(pool, sums, now))

    def sample(self, pool, sums, now):
        """Record what holds the first queued job."""
        if sums.workspace not in pool.queue.by_workspace:
            sums.holds[NOTHING_QUEUED] += 1
            return
        groups = pool.queue.list_groups(sums.workspace, now)
        job = next(job for _, jobs in groups for job in jobs)
        priority = pool.queue.compute_job_priority(job, now)
        rank = self.balancer.compute_rank(pool, job, priority, now)
        candidates = self.balancer.list_candidates(pool, now)
        sums.n_peers_ahead += rank.n_peers_ahead
        for entry in list_with_room(pool.model, candidates, job, rank):
            if candidates.allows(entry):
                sums.n_with_room += 1
            else:
                sums.n_limited += 1
        sums.holds[find_hold(pool, candidates, job, rank)] += 1

    def build_event(self, pool, sums, now):
        """Return the event with the samples of one workspace."""
        jobs = []
        if sums.workspace in pool.queue.by_workspace:
            groups = pool.queue.list_groups(sums.workspace, now)
            jobs = [job for _, group in groups for job in group]
        shares = pool.shares
        use = shares.find(sums.workspace)
        n_samples = max(1, sum(sums.holds.values()))
        peers = self.balancer.peers
        return log_event(
            WORKSPACE_HELD,
            service=pool.service.name,
            workspace=sums.workspace,
            n_queued=len(jobs),
            n_queued_tokens=sum(job.n_service_tokens for job in jobs),
            waited_s=round(now - min((job.arrived_at for job in jobs), default=now), 3),
            n_requested_tokens=use.n_requested_tokens - sums.n_requested_tokens,
            n_placed_tokens=use.n_received_tokens - sums.n_received_tokens,
            n_demand_tokens=int(use.demand.read(now)),
            n_local_demand_tokens=int(use.local_demand.read(now)),
            n_received_tokens=int(use.received.read(now)),
            n_counted_tokens=int(use.counted.read(now)),
            n_most_received_tokens=int(shares.most_received),
            holds=" ".join(f"{name}:{n}" for name, n in sorted(sums.holds.items())),
            n_with_room=round(sums.n_with_room / n_samples, 1),
            n_limited=round(sums.n_limited / n_samples, 1),
            n_peers_ahead=round(sums.n_peers_ahead / n_samples, 1),
            n_passes=sums.n_passes,
            longest_gap_s=round(sums.longest_gap_s, 3),
            n_fresh=peers.count_fresh(now),
            n_forwarders=peers.count_forwarders(now),
            news_age_s=round(peers.compute_state_age_s(now), 3),
        )


def find_lacking(pool, now):
    """Return the queued workspace that lacks most service, or None.

    :param pool: :class:`ServicePool`.
    """
    lacking = None
    n_most = MIN_SHORTFALL_TOKENS
    for workspace in pool.queue.by_workspace:
        use = pool.shares.find(workspace)
        n_tokens = pool.shares.compute_shortfall(use, MIN_EVEN_SHARE, now)
        if n_tokens > n_most:
            lacking, n_most = workspace, n_tokens
    return lacking


def list_with_room(model, candidates, job, rank):
    """Return the backend servers that have room for a job, whatever their rates.

    :param candidates: :class:`CandidateList`.
    """
    entries = []
    for entry in candidates.list_eligible(job):
        state = entry.state
        n_missing = model.estimate_missing_tokens(job, state.load)
        room = model.compute_room(
            job, entry.backend, state.load, n_missing, rank, state.speed
        )
        if room >= 1:
            entries.append(entry)
    return entries


def find_hold(pool, candidates, job, rank):
    """Return the bound that holds a job at the backend server with the lowest cost.

    ``TURN`` stands for room that it did not take: it lost a draw, or the pass ended
    before it.
    """
    best = candidates.choose(job, rank)
    if best is None:
        return RATES
    if best.room >= 1:
        return TURN
    state = pool.find(best.backend.name)
    load = state.load
    first = QueueRank(0, rank.is_starving)
    room = pool.model.compute_room(
        job, best.backend, load, best.n_missing_tokens, first, state.speed
    )
    if room >= 1:
        return RESERVED
    n_slots = min(best.backend.entry.n_slots, pool.model.n_connections)
    if load.n_all_in_flight >= n_slots or pool.service.engine is None:
        return SLOTS
    n_pending_limit = state.speed * MIN_PENDING_TOKENS
    return PENDING if load.n_all_pending_tokens > n_pending_limit else MEMORY
