"""What becomes of a job whose backend server has fallen silent."""

from catkinfork.balancing._jobs import SILENT


def place_elsewhere(balancer, placement, now):
    """Place a job whose attempt is silent at another backend server that has room.

    Load pattern: a sound engine pauses for a second or so while all others are full.
    The job does not wait for room, since the engine may go on meanwhile; as it has had
    its turn, it does not queue behind others either.

    :param balancer: :class:`Balancer`.
    :param placement: :class:`Placement` of the silent attempt.
    :param now: monotonic time, seconds.
    :returns: :class:`Placement`, or None.
    """
    job = placement.job
    if not balancer.can_retry(placement, SILENT, now):
        return None
    if balancer.crash_guard.check(job, now) is not None:
        return None
    job.has_arrived = True
    pool = balancer.pools[job.service]
    candidates = balancer.list_candidates(pool, now)
    priority = pool.queue.compute_priority(job.workspace, now)
    return balancer.place(pool, job, candidates, priority, now)


def may_queue(balancer, placement, now):
    """Return whether a job whose attempt is silent may wait in turn with queued jobs.

    In a planned stop that would refuse it, the attempt goes on instead.

    :param placement: :class:`Placement` of the silent attempt.
    """
    pool = balancer.pools[placement.job.service]
    if not pool.queue.n_jobs or balancer.check_stop(pool, placement.job, now):
        return False
    return balancer.can_retry(placement, SILENT, now)
