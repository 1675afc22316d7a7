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
    The first request of a cold period is delayed by a random part of the interval;
    otherwise all forwarders would send theirs at once. The interval follows the share
    of this forwarder in the rate, also while it waits for the next request.

    ``counted_from`` is the monotonic time of the latest request or of the start of the
    period, seconds, and ``part`` the fraction of the interval to wait from then on.
    """

    __slots__ = ("counted_from", "part", "period_ends_at")

    def __init__(self):
        self.counted_from = 0.0
        self.part = 0.0
        self.period_ends_at = 0.0

    def start_period(self, ends_at, rng, now):
        """Delay the first request if a new cold period has started.

        :param ends_at: monotonic time at which the backend server is warm, seconds.
        :param rng: ``random.Random``.
        """
        if ends_at > self.period_ends_at + PERIOD_TOLERANCE_S:
            self.period_ends_at = ends_at
            self.counted_from = now
            self.part = rng.random()

    def allows(self, interval_s, now):
        """Return whether a request may be sent now.

        :param interval_s: interval between requests of this forwarder, seconds.
        """
        return now >= self.counted_from + self.part * interval_s

    def record_request(self, now):
        """Record a sent request."""
        self.counted_from = now
        self.part = 1.0


def compute_interval_s(rate, share):
    """Return the interval between the requests of one forwarder, seconds.

    :param rate: requests per second that the cold backend server can handle; 0 for no
        limit.
    :param share: share of this forwarder in the rate, above 0 to 1.
    """
    return 1.0 / (RATE_UTILIZATION * rate * share) if rate > 0 else 0.0
