"""Estimates of queueing times."""

from math import inf
from typing import NamedTuple

from catkinfork.balancing._jobs import count_queue_tokens

# Wait of a late job with no other one ahead of it that counts at most, seconds. A
# forwarder with few requests knows the rate of late service only roughly.
MAX_OWN_WAIT_S = 0.5


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
    :param counts_job: whether a job waits for its own service as well, as late jobs do:
        they are served at a low rate even if none is ahead of them.
    """

    rate_s_per_token: float
    share_s_per_token: float
    n_entitled_tokens: float
    n_all_tokens: int
    n_workspaces: int
    counts_job: bool = False

    def compute(self, n_tokens_ahead, job):
        """Return the wait of a job behind tokens of the same workspace, seconds.

        The result is the lower of two estimates, since each can be too high: the one by
        placement rate while the workspace is below its fair share, the one by fair
        share after a burst of its requests.
        """
        n_ahead = min(n_tokens_ahead * self.n_workspaces, self.n_all_tokens)
        by_rate_s = n_ahead * self.rate_s_per_token
        if self.counts_job:
            own_s = count_queue_tokens(job) * self.rate_s_per_token
            by_rate_s += min(MAX_OWN_WAIT_S, own_s)
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


def estimate_late_wait(pool, workspace, totals, tokens_per_s, now):
    """Return the :class:`WaitEstimate` for the late jobs of a workspace.

    They wait behind the on-time jobs that keep arriving. A workspace that lacks service
    is estimated as without them, since its late jobs keep its priority.

    :param pool: :class:`ServicePool`.
    :param totals: :class:`LateTotals`.
    :param tokens_per_s: rate at which late jobs are served, service tokens per second.
    """
    wait = estimate_wait(pool, workspace, now)
    if pool.shares.lacks_service(workspace, now) or not tokens_per_s:
        return wait
    own = pool.queue.by_workspace.get(workspace)
    has_late = own is not None and own.n_late > 0
    n_on_time_tokens = 0 if own is None else own.n_on_time_tokens
    return wait._replace(
        rate_s_per_token=1.0 / tokens_per_s,
        n_entitled_tokens=wait.n_entitled_tokens - n_on_time_tokens,
        n_all_tokens=totals.n_tokens,
        n_workspaces=totals.n_workspaces + (not has_late),
        counts_job=True,
    )


def list_infeasible(pool, now, share):
    """Return the queued jobs that cannot meet their deadlines, and their waits.

    Streams that broke off do not count ahead of other jobs: while their version is
    full, others find room.

    :param share: fraction of the estimated wait and duration to allow for.
    :returns: pairs of :class:`Job` and estimated wait, seconds.
    """
    infeasible = []
    for wait, jobs in pool.queue.order.list_waits(pool, now):
        n_tokens_ahead = 0
        for job in jobs:
            wait_s = wait.compute(n_tokens_ahead, job)
            if pool.can_meet_deadline(job, now + share * wait_s, share):
                n_tokens_ahead += count_queue_tokens(job)
            else:
                infeasible.append((job, wait_s))
    return infeasible
