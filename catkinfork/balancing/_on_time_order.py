"""Order in which jobs that can still be on time go before late ones."""

from math import exp, inf
from operator import attrgetter

from catkinfork.balancing._events import LATE_QUEUED
from catkinfork.balancing._jobs import count_queue_tokens
from catkinfork.balancing._late_share import LateShare
from catkinfork.balancing._order import BaseQueueOrder, ShareOrder, Turn
from catkinfork.balancing._refusals import ReturnPlanner
from catkinfork.balancing._waits import LateRate, estimate_late_wait, estimate_wait
from catkinfork.balancing._windows import DecayingSum
from catkinfork.observability import log_event

ARRIVED_AT = attrgetter("arrived_at")
# Added to the priority of late jobs. It is above any service that a workspace receives
# within the window, and below the largest priority that a frame may have.
LATE_PRIORITY = 1e15
# Deviations of the time to the first event that are allowed for.
N_DEVIATIONS = 1.0
# Largest fraction of the latency target that is allowed for the first event. Load
# pattern: a route whose requests mostly miss their target. All of them would count as
# late on arrival, although some are fast enough.
MAX_ALLOWANCE_SHARE = 0.75
# Late jobs that a pass tries before the others while they are owed service.
MAX_OWED_TRIES = 4
# Time constant of the rate at which late jobs are placed, seconds.
LATE_RATE_WINDOW_S = 1.0
# Time without an estimate after which contention counts as new, seconds: no job was
# queued meanwhile.
MAX_PAUSE_S = 0.5
# Time for which contention is expected to last at least, seconds: that of a burst. One
# that has lasted longer is expected to last as long again.
MIN_HORIZON_S = 3.0
# Time between two events of one service, seconds, and routes that one names at most.
REPORT_INTERVAL_S = 1.0
MAX_REPORTED_ROUTES = 8


class OnTimeFirstOrder(BaseQueueOrder):
    """Serves the jobs that can still be on time before late ones, in all workspaces.

    Load pattern: a burst of 1.7 times the capacity. In the order of their targets, each
    job is sent as it can no longer be on time, so that nearly all are late.

    Late jobs use the remaining capacity and a fixed part of it (:class:`LateShare`).
    Those of a workspace that receives far less than others keep its priority.

    :param durations: :class:`RouteDurations` from the placement to the first event.
    :param late_share: :class:`LateShare`.

    ``n_placed_on_time`` and ``n_placed_late`` count the queued jobs that were placed,
    and ``n_refused`` those that were refused for want of capacity. ``late_since`` is
    the monotonic time since which late jobs have been queued, without a pause.
    """

    def __init__(self, shares, durations, late_share):
        super().__init__(shares)
        self.durations = durations
        self.late_share = late_share
        self.late_tokens = DecayingSum(LATE_RATE_WINDOW_S)
        self.return_planner = ReturnPlanner()
        self.n_placed_on_time = 0
        self.n_placed_late = 0
        self.n_refused = 0
        self.next_report_at = 0.0
        self.late_since = -inf
        self.late_seen_at = -inf

    def compute_allowance_s(self, route):
        """Return the time that a request needs from its placement to the first event.

        It is 0 while nothing is known of its route.
        """
        bound_s = self.durations.estimate_bound(route, N_DEVIATIONS) or 0.0
        return min(bound_s, MAX_ALLOWANCE_SHARE * route.latency_target_s)

    def compute_start_by(self, job):
        return job.latency_target_at - self.compute_allowance_s(job.route)

    def list_on_time(self, queue):
        """Return the newest first while others are late (adaptive LIFO).

        Those that are served then have time to spare.
        """
        jobs = queue.list_on_time()
        if queue.n_late:
            jobs.sort(key=ARRIVED_AT, reverse=True)
        return jobs

    def compute_job_priority(self, job, now):
        priority = self.shares.read_counted(job.workspace, now)
        if is_on_time(job, now) or self.shares.lacks_service(job.workspace, now):
            return priority
        return LATE_PRIORITY + priority

    def precedes_all(self, queue, job, now):
        """Return whether no queued job is on time, or has the priority of such jobs.

        Late jobs would otherwise hold up a new one until the next pass.
        """
        if not queue.n_jobs:
            return True
        if queue.n_bound or not is_on_time(job, now):
            return False
        if self.late_share.is_owed(now):
            return False
        return not any(
            queue.has_on_time(workspace, now)
            or self.shares.lacks_service(workspace, now)
            for workspace in queue.by_workspace
        )

    def list_turns(self, queue, now):
        priorities = queue.list_priorities(now)
        yield from self.list_owed_turns(queue, priorities, now)
        for priority, workspace in priorities:
            if workspace not in queue.by_workspace:
                continue
            *others, (_, jobs) = queue.list_split_groups(workspace, now)
            for version, group in others:
                yield Turn(priority, version, group)
            if jobs and self.shares.lacks_service(workspace, now):
                yield Turn(priority, None, jobs, is_late=True)

    def list_owed_turns(self, queue, priorities, now):
        """Yield late jobs one by one while they are owed service.

        Those of the workspace with least service come first.
        """
        n_tries = 0
        for priority, workspace in priorities:
            if not self.late_share.is_owed(now):
                return
            for job in queue.list_late(workspace, now):
                if n_tries == MAX_OWED_TRIES or not self.late_share.is_owed(now):
                    return
                n_tries += 1
                yield Turn(priority, None, [job], is_late=True)

    def list_late_turns(self, queue, now):
        for priority, workspace in queue.list_priorities(now):
            jobs = queue.list_late(workspace, now)
            if jobs and not self.shares.lacks_service(workspace, now):
                yield Turn(LATE_PRIORITY + priority, None, jobs, is_late=True)

    def list_waits(self, pool, now):
        totals = pool.queue.count_late(now)
        rate = self.estimate_late_rate(pool, totals, now)
        for workspace in pool.queue.by_workspace:
            *others, (_, late) = pool.queue.list_split_groups(workspace, now)
            wait = estimate_wait(pool, workspace, now)
            for _, jobs in others:
                yield wait, jobs
            if late:
                yield estimate_late_wait(pool, workspace, totals, rate, now), late

    def estimate_late_rate(self, pool, totals, now):
        """Return the :class:`LateRate`.

        Load pattern: a moment of contention at ordinary load. No late job has been
        placed recently, but soon there will be capacity left for all of them.

        :param pool: :class:`ServicePool`.
        :param totals: :class:`LateTotals`.
        """
        if not totals.n_jobs or now > self.late_seen_at + MAX_PAUSE_S:
            self.late_since = now
        self.late_seen_at = now
        lasted_s = now - self.late_since
        rate = self.late_tokens.read(now) / LATE_RATE_WINDOW_S
        s_per_token = pool.compute_s_per_token(now)
        if s_per_token:
            expected_rate = exp(-lasted_s / LATE_RATE_WINDOW_S) / s_per_token
            rate = max(rate, self.late_share.tokens_per_s, expected_rate)
        is_lasting = lasted_s > MIN_HORIZON_S
        return LateRate(rate, max(MIN_HORIZON_S, lasted_s), is_lasting)

    def estimate_new_wait(self, pool, job, now):
        """Return the wait of a new job.

        One that can still be on time is tried before those that it precedes.
        """
        queue = pool.queue.by_workspace.get(job.workspace)
        if is_on_time(job, now):
            wait = estimate_wait(pool, job.workspace, now)
            if queue is not None and queue.n_late and job.version is None:
                return wait.compute(0, job)
            return wait.compute(pool.queue.count_tokens_ahead(job, now), job)
        totals = pool.queue.count_late(now)
        rate = self.estimate_late_rate(pool, totals, now)
        wait = estimate_late_wait(pool, job.workspace, totals, rate, now)
        return wait.compute(0 if queue is None else queue.n_late_tokens, job)

    def plan_return(self, pool, job, wait_s, now):
        self.n_refused += 1
        return self.return_planner.plan(pool, job, wait_s, now)

    def record_placement(self, turn, job, now):
        if not turn.is_late:
            self.n_placed_on_time += 1
            return
        self.n_placed_late += 1
        n_tokens = count_queue_tokens(job)
        self.late_tokens.add(n_tokens, now)
        self.late_share.record_service(n_tokens)

    def build_event(self, pool, now):
        if now < self.next_report_at:
            return None
        totals = pool.queue.count_late(now)
        if not totals.n_jobs:
            return None
        self.next_report_at = now + REPORT_INTERVAL_S
        s_per_token = pool.compute_s_per_token(now)
        return log_event(
            LATE_QUEUED,
            service=pool.service.name,
            n_queued=pool.queue.n_jobs,
            n_queued_tokens=pool.queue.n_tokens,
            n_late=totals.n_jobs,
            n_late_tokens=totals.n_tokens,
            n_placed_on_time=self.n_placed_on_time,
            n_placed_late=self.n_placed_late,
            n_refused=self.n_refused,
            tokens_per_s=round(1.0 / s_per_token) if s_per_token else 0,
            late_tokens_per_s=round(self.late_tokens.read(now) / LATE_RATE_WINDOW_S),
            owed_tokens_per_s=round(self.late_share.tokens_per_s),
            n_owed_tokens=round(self.late_share.n_tokens),
            backlog_s=round(self.return_planner.estimate_backlog_s(pool, now), 3),
            allowances=self.describe_allowances(),
        )

    def describe_allowances(self):
        """Return the time to the first event of each route for the log, seconds.

        It is before the limit by latency target.
        """
        means = self.durations.means
        deviations = self.durations.deviations
        return " ".join(
            f"{name}:{means[name] + N_DEVIATIONS * deviations[name]:.3f}"
            for name in sorted(means)[:MAX_REPORTED_ROUTES]
        )

    def list_gauges(self, queue, now):
        yield (
            "waiting_late",
            "Requests that wait and can no longer be on time",
            queue.count_late(now).n_jobs,
        )
        yield (
            "placed_on_time",
            "Requests placed after a wait while they could be on time, since the start",
            self.n_placed_on_time,
        )
        yield (
            "placed_late",
            "Requests placed after they could be on time, since the start",
            self.n_placed_late,
        )


def is_on_time(job, now):
    """Return whether a job goes before late ones, as streams that broke off do."""
    return job.version is not None or now < job.start_by_at


def is_late_priority(priority):
    """Return whether a priority is that of jobs that only use remaining capacity."""
    return priority >= LATE_PRIORITY


def build_queue_order(settings, pool):
    """Return the order of the queue of a service.

    :param settings: :class:`BalancerSettings`.
    :param pool: :class:`ServicePool`.
    """
    if not settings.on_time_first:
        return ShareOrder(pool.shares)
    late_share = LateShare(pool.shares, pool.placed_tokens)
    return OnTimeFirstOrder(pool.shares, pool.first_event_durations, late_share)
