"""Estimates of queueing times."""

from math import inf
from typing import NamedTuple

from catkinfork.balancing._jobs import count_queue_tokens


class WaitEstimate(NamedTuple):
    """Inputs of the queueing time of a workspace's jobs.

    :param rate_s_per_token: seconds per service token at the placement rate of this
        forwarder, which is low while other forwarders occupy the capacity.
    :param share_s_per_token: seconds per service token at the fair share of the
        workspace over all forwarders; infinite if all demands fit.
    :param n_entitled_tokens: service tokens of its fair share that the workspace has
        yet to receive, which are served first.
    :param n_all_tokens: service tokens of all jobs queued here.
    :param n_workspaces: workspaces with queued jobs, which are served in turn.
    """

    rate_s_per_token: float
    share_s_per_token: float
    n_entitled_tokens: float
    n_all_tokens: int
    n_workspaces: int

    def compute(self, n_tokens_ahead):
        """Return the wait behind a number of tokens of the same workspace, seconds.

        The result is the lower of two estimates, since each can be too high: the one by
        placement rate while the workspace is below its fair share, the one by fair
        share after a burst of its requests.
        """
        n_ahead = min(n_tokens_ahead * self.n_workspaces, self.n_all_tokens)
        by_rate_s = n_ahead * self.rate_s_per_token
        if self.share_s_per_token == inf:
            return by_rate_s
        n_behind_share = max(0.0, n_tokens_ahead - self.n_entitled_tokens)
        return min(by_rate_s, n_behind_share * self.share_s_per_token)


def estimate_wait(pool, workspace, now):
    """Return the :class:`WaitEstimate` for a workspace at this forwarder.

    :param pool: :class:`ServicePool`.
    """
    queue = pool.queue
    entitlement = pool.shares.compute_entitlement(workspace, now)
    return WaitEstimate(
        rate_s_per_token=pool.compute_s_per_token(now),
        share_s_per_token=entitlement.s_per_token,
        n_entitled_tokens=entitlement.n_tokens,
        n_all_tokens=max(queue.n_tokens, queue.n_jobs),
        n_workspaces=len(queue.by_workspace.keys() | {workspace}),
    )


def list_infeasible(pool, now, share):
    """Return the queued jobs that cannot meet their deadlines.

    Streams that broke off do not count ahead of other jobs: while their version is
    full, others find room.

    :param share: fraction of the estimated wait and duration to allow for.
    """
    infeasible = []
    for workspace in pool.queue.by_workspace:
        wait = estimate_wait(pool, workspace, now)
        for _, jobs in pool.queue.list_groups(workspace, now):
            n_tokens_ahead = 0
            for job in jobs:
                placed_at = now + share * wait.compute(n_tokens_ahead)
                if pool.can_meet_deadline(job, placed_at, share):
                    n_tokens_ahead += count_queue_tokens(job)
                else:
                    infeasible.append(job)
    return infeasible
