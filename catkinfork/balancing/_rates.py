"""Rates at which one forwarder may send requests to backend servers."""

from math import inf

from catkinfork.balancing._allowance import compute_share_interval_s
from catkinfork.balancing._slow_start import compute_interval_s
from catkinfork.topology import RECOVERY_S

# Requests per second, of all forwarders, to a backend server that was throttled and
# whose service states no rate for cold ones.
DEFAULT_RECOVERY_RATE = 20.0


class SendRates:
    """Rates of the requests to the backend servers of a service at one moment.

    All forwarders together send a cold backend server, and one whose pause has ended,
    as many requests a second as a cold one can handle, and one that names a limit as
    many as that. If several rates hold, the strictest one counts.

    :param registry: :class:`BackendRegistry`.
    :param pool: :class:`ServicePool`.
    :param peers: source of peer statistics, see :class:`Balancer`.
    :param rng: ``random.Random``.
    :param now: monotonic time, seconds.
    """

    def __init__(self, registry, pool, peers, rng, now):
        self.rate_limits = registry.rate_limits
        self.demand = pool.demand
        self.shares = pool.shares
        self.peers = peers
        self.rng = rng
        self.now = now
        self.n_forwarders = peers.count_forwarders(now)
        cold_rate = pool.service.cold_rate
        self.cold_interval_s = compute_interval_s(cold_rate, self.n_forwarders)
        self.recovery_interval_s = compute_interval_s(
            cold_rate or DEFAULT_RECOVERY_RATE, self.n_forwarders
        )
        self.share = None

    def start_period(self, backend, state):
        """Delay the first request after a server has turned cold, or a pause ended.

        :param state: its :class:`BackendState`.
        :returns: whether any rate holds for it.
        """
        if backend.is_cold(self.now):
            state.limiter.start_period(
                backend.cold_until, self.cold_interval_s, self.rng, self.now
            )
        elif backend.is_recovering(self.now):
            ends_at = backend.throttled_until + RECOVERY_S
            state.limiter.start_period(
                ends_at, self.recovery_interval_s, self.rng, self.now
            )
        else:
            return self.find_limit(backend) < inf
        return True

    def find_limit(self, backend):
        """Return the limit that a backend server names, infinite if it names none."""
        limit = self.rate_limits.find(backend.entry)
        return inf if limit is None else limit.compute_rate(self.now)

    def compute_limit_interval_s(self, limit):
        """Return the time between requests to one with a limit, seconds.

        :param limit: requests per second.
        """
        if self.share is None:
            self.share = self.demand.compute(
                self.shares.compute_local_fraction(self.now),
                self.peers.count_fresh(self.now),
                self.n_forwarders,
                self.now,
            )
        return compute_share_interval_s(limit, self.share)

    def allows(self, backend, state):
        """Return whether a request may be sent to a backend server now."""
        is_spaced = backend.is_cold(self.now) or backend.is_recovering(self.now)
        if is_spaced and not state.limiter.allows(self.now):
            return False
        limit = self.find_limit(backend)
        if limit == inf:
            return True
        interval_s = self.compute_limit_interval_s(limit)
        return state.allowance.allows(interval_s, self.rng, self.now)

    def record_request(self, backend, state):
        """Record a request that was allowed."""
        if backend.is_cold(self.now):
            state.limiter.record_request(self.cold_interval_s, self.now)
        elif backend.is_recovering(self.now):
            state.limiter.record_request(self.recovery_interval_s, self.now)
        limit = self.find_limit(backend)
        if limit < inf:
            state.allowance.record_request(self.compute_limit_interval_s(limit))
