"""Fair queue of the jobs of one service."""

from bisect import bisect_left, insort
from math import inf
from operator import attrgetter

LATENCY_TARGET = attrgetter("latency_target_at")


class WorkspaceQueue:
    """Queued jobs of one workspace, by latency target.

    Load pattern: under a flood, some hundred jobs wait and each request asks for the
    tokens ahead of it. These are therefore kept as a sum.

    ``jobs`` has the late jobs first, ``n_late`` is their number and ``late_until`` the
    monotonic time for which it holds, seconds.
    """

    __slots__ = ("jobs", "late_until", "n_late", "n_on_time_tokens")

    def __init__(self):
        self.jobs = []
        self.n_late = 0
        self.late_until = -inf
        self.n_on_time_tokens = 0

    def add(self, job):
        """Add a job."""
        insort(self.jobs, job, key=LATENCY_TARGET)
        if job.latency_target_at <= self.late_until:
            self.n_late += 1
        else:
            self.n_on_time_tokens += count_queue_tokens(job)

    def remove(self, job):
        """Remove a job.

        :returns: whether it was queued.
        """
        target_at = job.latency_target_at
        index = bisect_left(self.jobs, target_at, key=LATENCY_TARGET)
        try:
            del self.jobs[self.jobs.index(job, index)]
        except ValueError:
            return False
        if target_at <= self.late_until:
            self.n_late -= 1
        else:
            self.n_on_time_tokens -= count_queue_tokens(job)
        return True

    def advance(self, now):
        """Move the jobs whose latency target has passed to the late ones."""
        self.late_until = now
        while self.n_late < len(self.jobs):
            job = self.jobs[self.n_late]
            if now < job.latency_target_at:
                return
            self.n_late += 1
            self.n_on_time_tokens -= count_queue_tokens(job)

    def count_on_time_tokens(self, now):
        """Return the service tokens of the jobs before their latency target."""
        self.advance(now)
        return self.n_on_time_tokens

    def list_in_order(self, now):
        """Return the jobs in queue order: those that are late come last."""
        self.advance(now)
        return self.jobs[self.n_late :] + self.jobs[: self.n_late]


class WaitingQueue:
    """Queued jobs by workspace.

    The workspace that has recently received the least service over all forwarders goes
    first; this service in tokens, as far as it counts, is the priority value of its
    jobs. Within a workspace, jobs before their latency target go ahead of late ones,
    ordered by target. Lateness does not count between workspaces: one whose jobs are
    all late would starve behind those that always have new jobs.

    :param shares: :class:`FairShares`.
    """

    def __init__(self, shares):
        self.shares = shares
        self.by_workspace = {}
        self.n_jobs = 0
        self.n_tokens = 0

    def add(self, job):
        """Add a job to the queue."""
        queue = self.by_workspace.get(job.workspace)
        if queue is None:
            queue = self.by_workspace[job.workspace] = WorkspaceQueue()
        queue.add(job)
        self.n_jobs += 1
        self.n_tokens += job.n_service_tokens

    def remove(self, job):
        """Remove a job from the queue.

        :returns: whether it was queued.
        """
        queue = self.by_workspace.get(job.workspace)
        if queue is None or not queue.remove(job):
            return False
        if not queue.jobs:
            del self.by_workspace[job.workspace]
        self.n_jobs -= 1
        self.n_tokens -= job.n_service_tokens
        return True

    def count_tokens_ahead(self, job, now):
        """Return the queued service tokens of its workspace ahead of a new job."""
        queue = self.by_workspace.get(job.workspace)
        return 0 if queue is None else queue.count_on_time_tokens(now)

    def list_by_workspace(self, now):
        """Return pairs of workspace and its jobs in queue order."""
        return [
            (workspace, queue.list_in_order(now))
            for workspace, queue in self.by_workspace.items()
        ]

    def list_jobs(self, workspace, now):
        """Return the jobs of a workspace in queue order."""
        return self.by_workspace[workspace].list_in_order(now)

    def list_priorities(self, now):
        """Return pairs of priority and workspace, the next one first."""
        return sorted(
            (self.compute_priority(workspace, now), workspace)
            for workspace in self.by_workspace
        )

    def compute_priority(self, workspace, now):
        """Return the priority of a workspace's jobs; lower values go first."""
        return self.shares.read_counted(workspace, now)


def count_queue_tokens(job):
    """Return the service tokens for which a job counts in the queue."""
    return max(1, job.n_service_tokens)
