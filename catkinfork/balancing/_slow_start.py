"""Slow start: rate limit for requests to a cold backend server."""

# Fraction of a cold backend server's rate that all forwarders use together; the rest
# covers requests that peers have sent but not yet reported.
RATE_UTILIZATION = 0.8


class SlowStartLimiter:
    """Spaces the requests from one forwarder to one cold backend server.

    Each forwarder uses at most its own share of the rate, so the limit holds even
    without messages from the peers.
    """

    __slots__ = ("next_request_at",)

    def __init__(self):
        self.next_request_at = 0.0

    def allows(self, now):
        """Return whether a request may be sent now."""
        return now >= self.next_request_at

    def record_request(self, rate, n_forwarders, now):
        """Record a sent request and delay the next one.

        :param rate: requests per second that the cold backend server can handle; 0 for
            no limit.
        :param n_forwarders: forwarders that share the rate.
        """
        if rate > 0:
            self.next_request_at = now + n_forwarders / (RATE_UTILIZATION * rate)
