"""How long the jobs of a workspace wait."""

from math import inf
from typing import NamedTuple


class WaitEstimate(NamedTuple):
    """What the wait of a workspace's jobs is computed from.

    :param rate_s_per_token: at the rate at which this forwarder places jobs; low where
        other forwarders hold the room.
    :param share_s_per_token: at the even share of the workspace over all forwarders;
        infinite if there is enough for all demands.
    :param n_due_tokens: service tokens that the workspace has not received of its even
        share, so that they go first.
    :param n_all_tokens: service tokens of all jobs that wait here.
    :param n_workspaces: workspaces that wait here and take turns.
    """

    rate_s_per_token: float
    share_s_per_token: float
    n_due_tokens: float
    n_all_tokens: int
    n_workspaces: int

    def compute(self, n_tokens_ahead):
        """Return the wait behind so many tokens of the same workspace, seconds.

        It is the lower one of two estimates, as each is too high at times: the rate of
        this forwarder while its workspace is due, the even share after a flood.
        """
        n_ahead = min(n_tokens_ahead * self.n_workspaces, self.n_all_tokens)
        by_rate_s = n_ahead * self.rate_s_per_token
        if self.share_s_per_token == inf:
            return by_rate_s
        n_behind_share = max(0.0, n_tokens_ahead - self.n_due_tokens)
        return min(by_rate_s, n_behind_share * self.share_s_per_token)


def estimate_wait(pool, workspace, now):
    """Return the :class:`WaitEstimate` of a workspace at this forwarder.

    :param pool: :class:`ServicePool`.
    """
    queue = pool.queue
    due = pool.shares.find_due(workspace, now)
    return WaitEstimate(
        rate_s_per_token=pool.read_placing_time(now),
        share_s_per_token=due.s_per_token,
        n_due_tokens=due.n_tokens,
        n_all_tokens=max(queue.n_tokens, queue.n_jobs),
        n_workspaces=len(queue.by_workspace.keys() | {workspace}),
    )


def list_hopeless(pool, now, share):
    """Return the waiting jobs that cannot be served in time.

    :param share: part of the expected wait and duration that is allowed for.
    """
    hopeless = []
    for workspace, jobs in pool.queue.by_workspace.items():
        wait = estimate_wait(pool, workspace, now)
        n_tokens_ahead = 0
        for job in pool.queue.sort_jobs(jobs, now):
            placed_at = now + share * wait.compute(n_tokens_ahead)
            if pool.is_in_time(job, placed_at, share):
                n_tokens_ahead += max(1, job.n_service_tokens)
            else:
                hopeless.append(job)
    return hopeless
