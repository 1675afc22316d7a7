"""Jobs of one service that wait for room, in the order in which they are served."""


class WaitingQueue:
    """Waiting jobs by workspace.

    The workspace with the least recent service comes first, over all forwarders; its
    service in tokens is the turn of its jobs. Within a workspace, jobs that can still
    be on time go before late ones, and then the earliest aim. Lateness does not count
    between workspaces: one that waits all through would stay behind those that always
    have fresh jobs.

    :param shares: :class:`FairShares`.
    """

    def __init__(self, shares):
        self.shares = shares
        self.by_workspace = {}
        self.n_jobs = 0
        self.n_tokens = 0

    def add(self, job):
        """Add a job."""
        self.by_workspace.setdefault(job.workspace, []).append(job)
        self.n_jobs += 1
        self.n_tokens += job.n_service_tokens

    def remove(self, job):
        """Remove a job.

        :returns: whether it was waiting.
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

    def count_ahead(self, job, now):
        """Return the service tokens of its workspace that go before a new job."""
        jobs = self.by_workspace.get(job.workspace, ())
        return sum(max(1, one.n_service_tokens) for one in jobs if now < one.aim_at)

    def list_ranked(self, now):
        """Return pairs of turn and waiting job, the next one first."""
        turns = [
            (self.find_turn(workspace, now), workspace)
            for workspace in self.by_workspace
        ]
        return [
            (turn, job)
            for turn, workspace in sorted(turns)
            for job in self.sort_jobs(self.by_workspace[workspace], now)
        ]

    def sort_jobs(self, jobs, now):
        """Return the jobs of one workspace in the order in which they go."""
        return sorted(jobs, key=lambda job: (now >= job.aim_at, job.aim_at))

    def find_turn(self, workspace, now):
        """Return the turn of a workspace's jobs; lower ones go first."""
        return self.shares.read_received(workspace, now)
