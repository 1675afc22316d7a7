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
    """

    rate_s_per_token: float
    share_s_per_token: float
    n_entitled_tokens: float
    n_all_tokens: int
    n_workspaces: int

    def count_ahead(self, n_tokens_ahead):
        """Return the tokens of all workspaces behind which a job waits.

        :param n_tokens_ahead: those of its own workspace.
        """
        return min(n_tokens_ahead * self.n_workspaces, self.n_all_tokens)

    def compute(self, n_tokens_ahead, job):
        """Return the wait of a job behind tokens of the same workspace, seconds."""
        by_rate_s = self.count_ahead(n_tokens_ahead) * self.rate_s_per_token
        return self.limit_by_share(by_rate_s, n_tokens_ahead)

    def limit_by_share(self, by_rate_s, n_tokens_ahead):
        """Return the lower of two estimates, since each can be too high, seconds.

        The one by placement rate is too high while the workspace is below its fair
        share, the one by fair share after a burst of its requests.
        """
        if self.share_s_per_token == inf:
            return by_rate_s
        n_behind_share = self.count_behind_share(n_tokens_ahead)
        return min(by_rate_s, n_behind_share * self.share_s_per_token)

    def count_behind_share(self, n_tokens_ahead):
        """Return the tokens of the workspace ahead of a job beyond its fair share."""
        if self.share_s_per_token == inf:
            return n_tokens_ahead
        return max(0.0, n_tokens_ahead - self.n_entitled_tokens)


class LateWaitEstimate(NamedTuple):
    """Inputs of the queueing time of a workspace's late jobs.

    They wait behind the on-time jobs that keep arriving, as long as contention lasts.

    :param usual: :class:`WaitEstimate` after the contention, of late jobs alone.
    :param s_per_token: seconds per service token of late jobs during the contention.
    :param horizon_s: time for which it is expected to last, seconds.
    :param is_lasting: whether it has lasted longer than a burst.
    """

    usual: WaitEstimate
    s_per_token: float
    horizon_s: float
    is_lasting: bool

    def compute(self, n_tokens_ahead, job):
        """Return the wait of a job behind late tokens of the same workspace, seconds.

        It includes the wait for its own turn: late jobs are served at a low rate, even
        if none is ahead of them. In lasting contention, the rate of the fair share is
        no measure, as on-time jobs of the same workspace use it up.
        """
        n_behind_share = self.usual.count_behind_share(n_tokens_ahead)
        by_rate_s = self.usual.count_ahead(n_behind_share) * self.s_per_token
        by_rate_s += min(MAX_OWN_WAIT_S, count_queue_tokens(job) * self.s_per_token)
        excess_s = by_rate_s - self.horizon_s
        if excess_s > 0:
            ratio = self.usual.rate_s_per_token / self.s_per_token
            by_rate_s = self.horizon_s + ratio * excess_s
        if self.is_lasting:
            return by_rate_s
        return self.usual.limit_by_share(by_rate_s, n_tokens_ahead)


class LateRate(NamedTuple):
    """Rate of late service during contention.

    :param tokens_per_s: service tokens per second.
    :param horizon_s: time for which the contention is expected to last, seconds.
    :param is_lasting: whether it has lasted longer than a burst.
    """

    tokens_per_s: float
    horizon_s: float
    is_lasting: bool


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


def estimate_late_wait(pool, workspace, totals, rate, now):
    """Return the wait estimate for the late jobs of a workspace.

    A workspace that lacks service is estimated as without on-time jobs of others, since
    its late jobs keep its priority.

    :param pool: :class:`ServicePool`.
    :param totals: :class:`LateTotals`.
    :param rate: :class:`LateRate`.
    :returns: :class:`WaitEstimate` or :class:`LateWaitEstimate`.
    """
    wait = estimate_wait(pool, workspace, now)
    if pool.shares.lacks_service(workspace, now) or not rate.tokens_per_s:
        return wait
    own = pool.queue.by_workspace.get(workspace)
    has_late = own is not None and own.n_late > 0
    n_on_time_tokens = 0 if own is None else own.n_on_time_tokens
    usual = wait._replace(
        n_entitled_tokens=wait.n_entitled_tokens - n_on_time_tokens,
        n_all_tokens=totals.n_tokens,
        n_workspaces=totals.n_workspaces + (not has_late),
    )
    return LateWaitEstimate(
        usual, 1.0 / rate.tokens_per_s, rate.horizon_s, rate.is_lasting
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
