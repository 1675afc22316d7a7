"""Bound on the requests that a cold backend server is started with."""

# Share of the rate a cold backend server bears that the forwarders use together; the
# rest covers requests that a peer has sent and not yet told of.
USED_SHARE = 0.8


class StartLimiter:
    """Spaces the requests that one forwarder sends to one cold backend server.

    Each forwarder keeps to its own share of the rate, so that the bound holds without
    news from the peers.
    """

    __slots__ = ("next_at",)

    def __init__(self):
        self.next_at = 0.0

    def allows(self, now):
        """Return whether a request may be sent now."""
        return now >= self.next_at

    def note_sent(self, rate, n_forwarders, now):
        """Note that a request is sent.

        :param rate: requests per second that the backend server bears.
        :param n_forwarders: forwarders that share the rate.
        """
        if rate > 0:
            self.next_at = now + n_forwarders / (USED_SHARE * rate)
