"""Which requests a host still sends to backend servers while it is stopping."""

# Mean deviations above the mean duration of a route within which nearly all of its
# requests end.
N_DEVIATIONS = 4.0


class StopPlan:
    """Decides whether a new request can end before a planned stop does.

    Load pattern: streams of some seconds at a host that is stopped. New requests reach
    it until the load balancer has taken it out, and some arrive later: from slow
    uploads, connections that waited to be accepted, and behind other requests. One that
    is cut at the end may have run, and may not be allowed to run again; one that is
    refused is served by another host at once.

    Up to ``late_from``, a request is sent if it is expected to end in time. A later one
    is sent only if nearly all requests of its route would end in time.

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
        is_late = now >= self.late_from
        duration_s = durations.estimate_bound(job.route, N_DEVIATIONS * is_late)
        if duration_s is None:
            return not is_late and now < self.ends_at
        return now + duration_s <= self.ends_at
