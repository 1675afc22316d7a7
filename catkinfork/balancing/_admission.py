"""Which jobs are refused on arrival."""

from catkinfork.balancing._dispatch import EXPIRY_SHARE

# Queue limit of one service at one forwarder, in jobs.
MAX_WAITING = 2000


class AdmissionControl:
    """Refuses jobs that cannot be served, or not in time.

    :param refusals: :class:`RefusalBuilder`.
    """

    def __init__(self, refusals):
        self.refusals = refusals

    def check_throttled(self, candidates):
        """Return a refusal if all backend servers have asked for a pause.

        :param candidates: :class:`CandidateList`.
        """
        pause_s = candidates.compute_pause_s()
        if pause_s is None:
            return None
        return self.refusals.refuse_throttled(pause_s)

    def check_without_candidate(self, job, candidates):
        """Return a refusal of a job that no backend server may run now, or None.

        An answer that broke off waits if all servers of its version have only asked for
        a pause; refused, it would be lost.

        :param candidates: :class:`CandidateList`.
        """
        pause_s = None
        if job.version is not None:
            pause_s = candidates.compute_pause_s(job.version)
        if pause_s is None:
            return self.refusals.refuse_without_backend()
        return None if job.tried_backends else self.refusals.refuse_throttled(pause_s)

    def check_wait(self, pool, job, now):
        """Return a refusal if a job cannot meet its deadline behind the queued jobs.

        What the caller of a stream that broke off has received is lost if it is
        refused, so that a fair chance is enough.

        :param pool: :class:`ServicePool`.
        """
        queue = pool.queue
        if queue.n_jobs >= MAX_WAITING:
            window = queue.order.plan_return(pool, job, 0.0, now)
            return self.refusals.refuse_full_queue(queue.n_jobs, window)
        wait_s = queue.order.estimate_new_wait(pool, job, now)
        share = 1.0 if job.version is None else EXPIRY_SHARE
        if pool.can_meet_deadline(job, now + share * wait_s, share):
            return None
        window = queue.order.plan_return(pool, job, wait_s, now)
        return self.refusals.refuse_long_wait(wait_s, queue.n_jobs, window)
