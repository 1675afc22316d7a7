"""Share of one forwarder in a request rate that binds all forwarders together."""

from math import ceil

from catkinfork.balancing._windows import SlidingWindowCounter

# Window in which the requests of the forwarders are compared, seconds.
DEMAND_WINDOW_S = 4.0
# Requests that each forwarder counts with besides those in the window. Load pattern:
# requests come to an idle service at many forwarders at once, and each has seen its own
# only.
ASSUMED_REQUESTS = 1.0
# Time for which peers have to tell of their requests before shares of a cold server's
# rate follow these, seconds.
SETTLE_S = 2.0
# Fraction of a rate that is divided among the forwarders; the rest covers requests that
# peers have not yet told of.
RATE_UTILIZATION = 0.95
# Time for which the right to send a request is kept, seconds. Load pattern: requests
# come to all forwarders at once after an idle time, in which each would have saved one.
CREDIT_TIME_S = 1.0


class DemandShare:
    """Share of this forwarder in the rates of the backend servers of a service.

    Load pattern: a load balancer deals most callers of a service to a few forwarders.
    With equal shares of a rate these would send little of it, and the others nothing.
    """

    def __init__(self):
        self.own_requests = SlidingWindowCounter(DEMAND_WINDOW_S)
        self.peer_requests = SlidingWindowCounter(DEMAND_WINDOW_S)
        self.told_since = None

    def record_request(self, now):
        """Record a request of a caller."""
        self.own_requests.add(1, now)

    def record_peer_requests(self, n_requests, now):
        """Record the requests of a peer since its previous frame."""
        if self.told_since is None:
            self.told_since = now
        self.peer_requests.add(n_requests, now)

    def is_settled(self, now):
        """Return whether peers have told of their requests for long enough.

        Load pattern: all forwarders start again at once, and each knows little of what
        the others are asked for.
        """
        return self.told_since is not None and now - self.told_since >= SETTLE_S

    def compute(
        self,
        local_fraction,
        n_fresh,
        n_forwarders,
        now,
        n_assumed=ASSUMED_REQUESTS,
    ):
        """Return the share, 0 to 1; those of all forwarders sum up to 1.

        The share is an even one at most while a forwarder is silent.

        :param local_fraction: fraction of the fair shares of the workspaces that falls
            to this forwarder, or None to count requests instead.
        :param n_fresh: forwarders with fresh state, including this one.
        :param n_forwarders: all forwarders that may send requests.
        :param n_assumed: requests that each forwarder counts with besides its own and
            those that it was told of.
        """
        n_own = self.own_requests.sum(now)
        n_all = n_own + self.peer_requests.sum(now)
        if local_fraction is not None:
            n_own = local_fraction * n_all
        share = (n_own + n_assumed) / (n_all + n_assumed * n_forwarders)
        return share if n_fresh >= n_forwarders else min(share, 1.0 / n_forwarders)


class RateAllowance:
    """Times at which one forwarder may send a request to one backend server.

    They are an interval apart, with a random phase, and lapse after
    :data:`CREDIT_TIME_S`. If the shares sum up to 1, all forwarders together send at
    most ``RATE_UTILIZATION * rate * (t + CREDIT_TIME_S)`` requests in any t seconds,
    and one more each.

    ``used_at`` is the last of these times that was used or has lapsed, monotonic
    seconds, or None before the first request.
    """

    __slots__ = ("used_at",)

    def __init__(self):
        self.used_at = None

    def allows(self, interval_s, rng, now):
        """Return whether a request may be sent now.

        :param interval_s: time between two requests at the current share, seconds.
        :param rng: ``random.Random``, for the phase.
        """
        if self.used_at is None:
            self.used_at = now - rng.random() * interval_s
        lapsed_s = now - CREDIT_TIME_S - (self.used_at + interval_s)
        if lapsed_s > 0 and interval_s > 0:
            self.used_at += interval_s * ceil(lapsed_s / interval_s)
        return now >= self.used_at + interval_s

    def record_request(self, interval_s):
        """Record a request that was allowed."""
        self.used_at += interval_s


def compute_share_interval_s(rate, share):
    """Return the time between two requests of this forwarder, seconds.

    :param rate: requests per second from all forwarders together.
    :param share: share of this forwarder.
    """
    return 1.0 / (RATE_UTILIZATION * rate * share)
