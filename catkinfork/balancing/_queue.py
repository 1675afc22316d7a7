"""Fair queue of the jobs of one service."""

from bisect import bisect_left, insort
from math import inf
from operator import attrgetter
from typing import NamedTuple

from catkinfork.balancing._jobs import count_queue_tokens
from catkinfork.balancing._order import ShareOrder

START_BY = attrgetter("start_by_at")


class LateTotals(NamedTuple):
    """Late jobs of one service at this forwarder.

    :param n_tokens: their service tokens.
    :param n_workspaces: workspaces that have some.
    """

    n_jobs: int
    n_tokens: int
    n_workspaces: int


class BoundJobs:
    """Queued streams of one workspace that go on at one version, in order of arrival.

    ``n_tokens`` is the sum of their service tokens.
    """

    __slots__ = ("jobs", "n_tokens")

    def __init__(self):
        self.jobs = []
        self.n_tokens = 0

    def add(self, job):
        """Add a job."""
        self.jobs.append(job)
        self.n_tokens += count_queue_tokens(job)

    def remove(self, job):
        """Remove a job.

        :returns: whether it was queued.
        """
        if job not in self.jobs:
            return False
        self.jobs.remove(job)
        self.n_tokens -= count_queue_tokens(job)
        return True


class WorkspaceQueue:
    """Queued jobs of one workspace: streams that go on first, then by ``start_by_at``.

    Load pattern: under a flood, some hundred jobs wait and each request asks for the
    tokens ahead of it. These are therefore kept as sums.

    ``bound`` has the streams that broke off by version: those of a full one do not hold
    up others. Of ``jobs``, the late ones come first in the list; ``n_late`` is their
    number and ``late_until`` the monotonic time for which it holds, seconds.
    """

    __slots__ = (
        "bound",
        "jobs",
        "late_until",
        "n_late",
        "n_late_tokens",
        "n_on_time_tokens",
    )

    def __init__(self):
        self.bound = {}
        self.jobs = []
        self.n_late = 0
        self.n_late_tokens = 0
        self.late_until = -inf
        self.n_on_time_tokens = 0

    @property
    def is_empty(self):
        """Return whether no job is queued."""
        return not self.jobs and not self.bound

    def add(self, job):
        """Add a job."""
        if job.version is not None:
            self.bound.setdefault(job.version, BoundJobs()).add(job)
            return
        insort(self.jobs, job, key=START_BY)
        if job.start_by_at <= self.late_until:
            self.n_late += 1
            self.n_late_tokens += count_queue_tokens(job)
        else:
            self.n_on_time_tokens += count_queue_tokens(job)

    def remove(self, job):
        """Remove a job.

        :returns: whether it was queued.
        """
        if job.version is not None:
            return self.remove_bound(job)
        start_by_at = job.start_by_at
        index = bisect_left(self.jobs, start_by_at, key=START_BY)
        try:
            del self.jobs[self.jobs.index(job, index)]
        except ValueError:
            return False
        if start_by_at <= self.late_until:
            self.n_late -= 1
            self.n_late_tokens -= count_queue_tokens(job)
        else:
            self.n_on_time_tokens -= count_queue_tokens(job)
        return True

    def remove_bound(self, job):
        """Remove a stream that broke off.

        :returns: whether it was queued.
        """
        bound = self.bound.get(job.version)
        if bound is None or not bound.remove(job):
            return False
        if not bound.jobs:
            del self.bound[job.version]
        return True

    def advance(self, now):
        """Move the jobs that can no longer be on time to the late ones."""
        self.late_until = now
        while self.n_late < len(self.jobs):
            job = self.jobs[self.n_late]
            if now < job.start_by_at:
                return
            self.n_late += 1
            self.n_late_tokens += count_queue_tokens(job)
            self.n_on_time_tokens -= count_queue_tokens(job)

    def count_tokens_ahead(self, job, now):
        """Return the service tokens of the jobs of its kind ahead of a new job.

        Streams that broke off delay other jobs only while their version has room.
        """
        if job.version is not None:
            bound = self.bound.get(job.version)
            return 0 if bound is None else bound.n_tokens
        self.advance(now)
        return self.n_on_time_tokens

    def list_all(self):
        """Return all jobs."""
        bound = [job for one in self.bound.values() for job in one.jobs]
        return [*bound, *self.jobs]

    def list_on_time(self):
        """Return the jobs that are not late, by ``start_by_at``."""
        return self.jobs[self.n_late :]

    def list_late(self):
        """Return the late jobs, by ``start_by_at``."""
        return self.jobs[: self.n_late]

    def list_split_groups(self, order, now):
        """Return the streams that broke off by version, the on-time jobs, and the late.

        :param order: :class:`BaseQueueOrder` of the on-time jobs.
        :returns: pairs of version, or None, and list of jobs.
        """
        self.advance(now)
        groups = [(version, list(one.jobs)) for version, one in self.bound.items()]
        return [*groups, (None, order.list_on_time(self)), (None, self.list_late())]


class WaitingQueue:
    """Queued jobs by workspace.

    The workspace that has recently received the least service over all forwarders goes
    first; this service in tokens, as far as it counts, is the priority value of its
    jobs. Within a workspace, streams that broke off go first, since what their callers
    received would be lost, then jobs before their latency target, ordered by target,
    and late ones. By default, lateness does not count between workspaces: one whose
    jobs are all late would starve behind those that always have new jobs.

    :param shares: :class:`FairShares`.
    :param order: :class:`BaseQueueOrder`, None for the default.

    ``n_bound`` is the number of jobs that have to run at a certain version.
    """

    def __init__(self, shares, order=None):
        self.n_bound = 0
        self.shares = shares
        self.order = order or ShareOrder(shares)
        self.by_workspace = {}
        self.n_jobs = 0
        self.n_tokens = 0

    def add(self, job):
        """Add a job to the queue."""
        job.start_by_at = self.order.compute_start_by(job)
        queue = self.by_workspace.get(job.workspace)
        if queue is None:
            queue = self.by_workspace[job.workspace] = WorkspaceQueue()
        queue.add(job)
        self.n_jobs += 1
        self.n_bound += job.version is not None
        self.n_tokens += job.n_service_tokens

    def remove(self, job):
        """Remove a job from the queue.

        :returns: whether it was queued.
        """
        queue = self.by_workspace.get(job.workspace)
        if queue is None or not queue.remove(job):
            return False
        if queue.is_empty:
            del self.by_workspace[job.workspace]
        self.n_jobs -= 1
        self.n_bound -= job.version is not None
        self.n_tokens -= job.n_service_tokens
        return True

    def set_order(self, order):
        """Put the queued jobs in another order.

        :param order: :class:`BaseQueueOrder`.
        """
        jobs = [job for queue in self.by_workspace.values() for job in queue.list_all()]
        self.order = order
        self.by_workspace = {}
        self.n_jobs = self.n_bound = self.n_tokens = 0
        for job in jobs:
            self.add(job)

    def count_late(self, now):
        """Return the :class:`LateTotals`."""
        n_jobs = n_tokens = n_workspaces = 0
        for queue in self.by_workspace.values():
            queue.advance(now)
            n_jobs += queue.n_late
            n_tokens += queue.n_late_tokens
            n_workspaces += queue.n_late > 0
        return LateTotals(n_jobs, n_tokens, n_workspaces)

    def count_tokens_ahead(self, job, now):
        """Return the queued service tokens of its workspace ahead of a new job."""
        queue = self.by_workspace.get(job.workspace)
        return 0 if queue is None else queue.count_tokens_ahead(job, now)

    def list_all(self, now):
        """Return all queued jobs."""
        return [
            job
            for workspace in self.by_workspace
            for _, jobs in self.list_groups(workspace, now)
            for job in jobs
        ]

    def list_groups(self, workspace, now):
        """Return the groups of jobs of a workspace that wait for each other.

        :returns: pairs of version, or None, and list of jobs.
        """
        *groups, (_, on_time), (_, late) = self.list_split_groups(workspace, now)
        return [*groups, (None, on_time + late)]

    def list_split_groups(self, workspace, now):
        """Return :meth:`list_groups` with the late jobs as a group of their own."""
        return self.by_workspace[workspace].list_split_groups(self.order, now)

    def list_late(self, workspace, now):
        """Return the late jobs of a workspace, which may have none."""
        queue = self.by_workspace.get(workspace)
        if queue is None:
            return []
        queue.advance(now)
        return queue.list_late()

    def has_on_time(self, workspace, now):
        """Return whether a workspace has jobs that are not late."""
        queue = self.by_workspace[workspace]
        queue.advance(now)
        return queue.n_late < len(queue.jobs)

    def precedes_all(self, job, now):
        """Return whether a new job goes before all queued ones."""
        job.start_by_at = self.order.compute_start_by(job)
        return self.order.precedes_all(self, job, now)

    def list_priorities(self, now):
        """Return pairs of priority and workspace, the next one first."""
        return sorted(
            (self.compute_priority(workspace, now), workspace)
            for workspace in self.by_workspace
        )

    def compute_priority(self, workspace, now):
        """Return the priority of a workspace's jobs; lower values go first."""
        return self.shares.read_counted(workspace, now)

    def compute_job_priority(self, job, now):
        """Return the priority of a job; lower values go first."""
        return self.order.compute_job_priority(job, now)
