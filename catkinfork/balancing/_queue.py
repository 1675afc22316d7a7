"""Jobs of one service that wait for room, in the order in which they are served."""

from typing import NamedTuple

# Under overload, a job that would be late goes after those that can still be on time.
ON_TIME = 0
LATE = 1
OVER_SHARE = 2


class Turn(NamedTuple):
    """When a job goes; lower turns go first, over all forwarders.

    :param rank: one of the ranks above.
    :param n_received: recent service of its workspace in tokens.
    """

    rank: int
    n_received: float


class WaitingQueue:
    """Waiting jobs by workspace.

    The next job is the one of highest rank: within its workspace's share and able to be
    on time, then late ones, then those beyond the share. Within a rank, the workspace
    with the least recent service comes first, and within a workspace the earliest aim.

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

    def list_jobs(self):
        """Return all waiting jobs."""
        return [job for jobs in self.by_workspace.values() for job in jobs]

    def list_ranked(self, now):
        """Return pairs of turn and waiting job, the next one first."""
        ranked = []
        for workspace, jobs in self.by_workspace.items():
            is_over = self.shares.is_over(workspace, now)
            received = self.shares.read_received(workspace, now)
            for job in jobs:
                turn = Turn(self.rank_job(job, is_over, now), received)
                ranked.append((turn, job))
        ranked.sort(key=lambda pair: (*pair[0], pair[1].aim_at))
        return ranked

    def find_turn(self, job, now):
        """Return the turn of a job."""
        is_over = self.shares.is_over(job.workspace, now)
        received = self.shares.read_received(job.workspace, now)
        return Turn(self.rank_job(job, is_over, now), received)

    def rank_job(self, job, is_over, now):
        """Return the rank of a job; lower goes first."""
        if is_over:
            return OVER_SHARE
        return LATE if now >= job.aim_at else ON_TIME
