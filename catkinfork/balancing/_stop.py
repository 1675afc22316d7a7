"""Which requests a host still sends to backend servers while it is stopping."""

from catkinfork.topology import STREAMING

# Mean deviations above the mean duration of a route within which nearly all of its
# requests end.
N_DEVIATIONS = 4.0


class StopPlan:
    """Decides whether a request can end before a planned stop does.

    Load pattern: streams of some seconds at a host that is stopped, in a burst in which
    they last several times as long as those before. New requests reach the host until
    the load balancer has taken it out, and some arrive later: from slow uploads,
    connections that waited to be accepted, and behind other requests. Others wait for
    room. One that is cut at the end may have run, and may not be allowed to run again;
    one that is refused is served by another host at once.

    Up to ``late_from``, a request is sent if it is expected to end in time, and from
    then on only if nearly all requests of its route would. A stream that arrives after
    it is sent only if its deadline is within the stop: an estimate may be wrong, and a
    response that has begun cannot be replaced by an error.

    :param late_from: monotonic time from which requests count as late, seconds.
    :param ends_at: monotonic time at which requests in progress are ended, seconds.
    """

    def __init__(self, late_from, ends_at):
        self.late_from = late_from
        self.ends_at = ends_at

    def allows(self, job, durations, now):
        """Return whether a request may be sent now.

        One of a route without known durations may take until its deadline.

        :param job: :class:`Job`.
        :param durations: :class:`RouteDurations` of its service.
        :param now: monotonic time, seconds.
        """
        if job.deadline_at <= self.ends_at:
            return True
        if job.route.kind == STREAMING and self.may_cut(job):
            return False
        is_late = now >= self.late_from
        duration_s = durations.estimate_bound(job.route, N_DEVIATIONS * is_late)
        if duration_s is None:
            return not is_late and now < self.ends_at
        return now + duration_s <= self.ends_at

    def may_cut(self, job):
        """Return whether the stop may end a request that has arrived late.

        Its response is held back until it is whole, as the estimate on which it was
        sent may be wrong.
        """
        return job.arrived_at >= self.late_from and job.deadline_at > self.ends_at

    def allows_pending(self, job, durations, now):
        """Return whether a request may be sent that is new, waits or is sent once more.

        A stream that broke off here waits up to the end: refused, its caller would lose
        what it has received no later. So does a request that may have run, as it cannot
        be refused but only fail, if its response is sent as a whole.

        :param job: :class:`Job`.
        :param durations: :class:`RouteDurations` of its service.
        :param now: monotonic time, seconds.
        """
        if job.version is not None and job.tried_backends:
            return True
        if job.n_runs and job.route.kind != STREAMING:
            return now < self.ends_at
        return self.allows(job, durations, now)
