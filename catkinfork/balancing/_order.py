"""Order in which the queued jobs of one service are tried."""

from abc import ABC, abstractmethod
from typing import Any, NamedTuple

from catkinfork.balancing._waits import estimate_wait


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
    def list_waits(self, pool, now):
        """Yield :class:`WaitEstimate` and jobs of each group that waits for each other.

        :param pool: :class:`ServicePool`.
        """

    @abstractmethod
    def estimate_new_wait(self, pool, job, now):
        """Return the estimated wait of a job that is not queued yet, seconds.

        :param pool: :class:`ServicePool`.
        """

    @abstractmethod
    def plan_return(self, pool, job, wait_s, now):
        """Return the :class:`ReturnWindow` of a refused job, or None for the default.

        :param pool: :class:`ServicePool`.
        :param wait_s: estimated wait of a job like it, seconds.
        """

    @abstractmethod
    def record_placement(self, turn, job, now):
        """Record that a queued job has been placed in a turn."""

    @abstractmethod
    def build_event(self, pool, now):
        """Return the :class:`LogEvent` on the state of the queue if it is due, or None.

        :param pool: :class:`ServicePool`.
        """

    @abstractmethod
    def list_gauges(self, queue, now):
        """Yield name, help text and value of each gauge.

        :param queue: :class:`WaitingQueue`.
        """


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

    def list_waits(self, pool, now):
        for workspace in pool.queue.by_workspace:
            wait = estimate_wait(pool, workspace, now)
            for _, jobs in pool.queue.list_groups(workspace, now):
                yield wait, jobs

    def estimate_new_wait(self, pool, job, now):
        wait = estimate_wait(pool, job.workspace, now)
        return wait.compute(pool.queue.count_tokens_ahead(job, now), job)

    def plan_return(self, pool, job, wait_s, now):
        return None

    def record_placement(self, turn, job, now):
        """Do nothing, as late jobs have no part of their own."""

    def build_event(self, pool, now):
        return None

    def list_gauges(self, queue, now):
        return ()
