"""Fair queue of the jobs of one service."""


class WaitingQueue:
    """Queued jobs by workspace.

    The workspace that has recently received the least service over all forwarders goes
    first; this service in tokens is the priority value of its jobs. Within a workspace,
    jobs before their latency target go ahead of late ones, ordered by target. Lateness
    does not count between workspaces: one whose jobs are all late would starve behind
    those that always have new jobs.

    :param shares: :class:`FairShares`.
    """

    def __init__(self, shares):
        self.shares = shares
        self.by_workspace = {}
        self.n_jobs = 0
        self.n_tokens = 0

    def add(self, job):
        """Add a job to the queue."""
        self.by_workspace.setdefault(job.workspace, []).append(job)
        self.n_jobs += 1
        self.n_tokens += job.n_service_tokens

    def remove(self, job):
        """Remove a job from the queue.

        :returns: whether it was queued.
        """
        jobs = self.by_workspace.get(job.workspace, [])
        if job not in jobs:
            return False
        jobs.remove(job)
        if not jobs:
            del self.by_workspace[job.workspace]
        self.n_jobs -= 1
        self.n_tokens -= job.n_service_tokens
        return True

    def count_tokens_ahead(self, job, now):
        """Return the queued service tokens of its workspace ahead of a new job."""
        jobs = self.by_workspace.get(job.workspace, ())
        return sum(
            max(1, one.n_service_tokens) for one in jobs if now < one.latency_target_at
        )

    def list_by_priority(self, now):
        """Return pairs of priority and queued job, the next one first."""
        priorities = [
            (self.compute_priority(workspace, now), workspace)
            for workspace in self.by_workspace
        ]
        return [
            (priority, job)
            for priority, workspace in sorted(priorities)
            for job in self.sort_jobs(self.by_workspace[workspace], now)
        ]

    def sort_jobs(self, jobs, now):
        """Return the jobs of one workspace in queue order."""
        return sorted(
            jobs, key=lambda job: (now >= job.latency_target_at, job.latency_target_at)
        )

    def compute_priority(self, workspace, now):
        """Return the priority of a workspace's jobs; lower values go first."""
        return self.shares.read_received(workspace, now)
