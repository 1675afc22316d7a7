"""Order in which the queued jobs of one service are tried."""

from abc import ABC, abstractmethod
from operator import attrgetter
from typing import Any, NamedTuple

from catkinfork.balancing._jobs import count_queue_tokens
from catkinfork.balancing._late_share import LateShare

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


class Turn(NamedTuple):
    """Queued jobs of one workspace that are tried one after the other.

    :param priority: priority of the jobs; lower values go first.
    :param version: version to which all of them are bound, or None.
    :param jobs: list of :class:`Job`.
    :param is_late: whether they count as late.
    """

    priority: float
    version: Any
    jobs: list
    is_late: bool = False


class BaseQueueOrder(ABC):
    """Order of the queued jobs of one service.

    :param shares: :class:`FairShares`.
    """

    def __init__(self, shares):
        self.shares = shares

    @abstractmethod
    def compute_start_by(self, job):
        """Return the monotonic time from which on a job counts as late, seconds."""

    @abstractmethod
    def list_on_time(self, queue):
        """Return the jobs of a workspace that are not late, the next one first.

        :param queue: :class:`WorkspaceQueue`.
        """

    @abstractmethod
    def compute_job_priority(self, job, now):
        """Return the priority of a job; lower values go first."""

    @abstractmethod
    def precedes_all(self, queue, job, now):
        """Return whether a new job goes before all queued ones.

        :param queue: :class:`WaitingQueue`.
        """

    @abstractmethod
    def list_turns(self, queue, now):
        """Yield each :class:`Turn` of a pass over the queue, the next one first.

        Jobs may be removed from the queue meanwhile.

        :param queue: :class:`WaitingQueue`.
        """

    @abstractmethod
    def list_late_turns(self, queue, now):
        """Yield each :class:`Turn` that uses only the capacity that others leave.

        :param queue: :class:`WaitingQueue`.
        """

    @abstractmethod
    def record_placement(self, turn, job):
        """Record that a queued job has been placed in a turn."""


class ShareOrder(BaseQueueOrder):
    """Serves the workspace with least service, and its late jobs after the others."""

    def compute_start_by(self, job):
        return job.latency_target_at

    def list_on_time(self, queue):
        return queue.list_on_time()

    def compute_job_priority(self, job, now):
        return self.shares.read_counted(job.workspace, now)

    def precedes_all(self, queue, job, now):
        return not queue.n_jobs

    def list_turns(self, queue, now):
        for priority, workspace in queue.list_priorities(now):
            for version, jobs in queue.list_groups(workspace, now):
                yield Turn(priority, version, jobs)

    def list_late_turns(self, queue, now):
        return ()

    def record_placement(self, turn, job):
        """Do nothing, as late jobs have no part of their own."""


class OnTimeFirstOrder(BaseQueueOrder):
    """Serves the jobs that can still be on time before late ones, in all workspaces.

    Load pattern: a burst of 1.7 times the capacity. In the order of their targets, each
    job is sent as it can no longer be on time, so that nearly all are late.

    Late jobs use the remaining capacity and a fixed part of it (:class:`LateShare`).
    Those of a workspace that receives far less than others keep its priority.

    :param durations: :class:`RouteDurations` from the placement to the first event.
    :param late_share: :class:`LateShare`.
    """

    def __init__(self, shares, durations, late_share):
        super().__init__(shares)
        self.durations = durations
        self.late_share = late_share

    def compute_start_by(self, job):
        allowance_s = self.durations.estimate_bound(job.route, N_DEVIATIONS) or 0.0
        target_s = job.route.latency_target_s
        return job.latency_target_at - min(allowance_s, MAX_ALLOWANCE_SHARE * target_s)

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

    def list_late_turns(self, queue, now):
        for priority, workspace in queue.list_priorities(now):
            jobs = queue.list_late(workspace, now)
            if jobs and not self.shares.lacks_service(workspace, now):
                yield Turn(LATE_PRIORITY + priority, None, jobs, is_late=True)

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

    def record_placement(self, turn, job):
        if turn.is_late:
            self.late_share.record_service(count_queue_tokens(job))


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
