"""Slow start: rate limit for requests to a cold backend server."""

# Fraction of a cold backend server's rate that all forwarders use together; the rest
# covers requests that peers have sent but not yet reported.
RATE_UTILIZATION = 0.8
# Change of the end of a cold period that counts as a new period, seconds. Heartbeats
# repeat the remaining time with some delay.
PERIOD_TOLERANCE_S = 0.5


class SlowStartLimiter:
    """Spaces the requests from one forwarder to one cold backend server.

    Load pattern: a backend server turns cold while many forwarders have work for it.
    Each forwarder uses at most its own share of the rate, so the limit holds even
    without messages from the peers. The first request of a cold period is delayed by a
    random part of the interval; otherwise all forwarders would send theirs at once.
    """

    __slots__ = ("next_request_at", "period_ends_at")

    def __init__(self):
        self.next_request_at = 0.0
        self.period_ends_at = 0.0

    def start_period(self, ends_at, interval_s, rng, now):
        """Delay the first request if a new cold period has started.

        :param ends_at: monotonic time at which the backend server is warm, seconds.
        :param interval_s: interval between requests of this forwarder, seconds.
        :param rng: ``random.Random``.
        """
        if ends_at > self.period_ends_at + PERIOD_TOLERANCE_S:
            self.period_ends_at = ends_at
            self.next_request_at = now + rng.random() * interval_s

    def allows(self, now):
        """Return whether a request may be sent now."""
        return now >= self.next_request_at

    def record_request(self, interval_s, now):
        """Record a sent request and delay the next one."""
        self.next_request_at = now + interval_s


def compute_interval_s(rate, n_forwarders):
    """Return the interval between the requests of one forwarder, seconds.

    :param rate: requests per second that the cold backend server can handle; 0 for no
        limit.
    :param n_forwarders: forwarders that share the rate.
    """
    return n_forwarders / (RATE_UTILIZATION * rate) if rate > 0 else 0.0
