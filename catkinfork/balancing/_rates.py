"""Rates at which one forwarder may send requests to backend servers."""

from math import inf

from catkinfork.balancing._allowance import (
    ASSUMED_REQUESTS,
    compute_share_interval_s,
)
from catkinfork.balancing._slow_start import compute_interval_s
from catkinfork.topology import RECOVERY_S

# Requests per second, of all forwarders, to a backend server that was throttled and
# whose service states no rate for cold ones.
DEFAULT_RECOVERY_RATE = 20.0
# Requests that each forwarder counts with, for a cold or recovering server. More than
# for a named limit: such servers turn up at once at all forwarders, which may then each
# know of their own demand only.
ASSUMED_SPACED_REQUESTS = 4.0


class SendRates:
    """Rates of the requests to the backend servers of a service at one moment.

    All forwarders together send a cold backend server, and one whose pause has ended,
    as many requests a second as a cold one can handle, and one that names a limit as
    many as that. Each has a share that follows the fair shares of its demand. If
    several rates hold, the strictest one counts.

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
        self.cold_rate = pool.service.cold_rate
        self.recovery_rate = pool.service.cold_rate or DEFAULT_RECOVERY_RATE
        self.share = None
        self.spaced_share = None

    def start_period(self, backend, state):
        """Delay the first request after a server has turned cold, or a pause ended.

        :param state: its :class:`BackendState`.
        :returns: whether any rate holds for it.
        """
        if backend.is_cold(self.now):
            ends_at = backend.cold_until
        elif backend.is_recovering(self.now):
            ends_at = backend.throttled_until + RECOVERY_S
        else:
            return self.find_limit(backend) < inf
        state.limiter.start_period(ends_at, self.rng, self.now)
        return True

    def compute_share(self, local_fraction, n_assumed):
        """Return the share of this forwarder in the rates of the backend servers.

        :param local_fraction: see :meth:`DemandShare.compute`.
        :param n_assumed: as there.
        """
        return self.demand.compute(
            local_fraction,
            self.peers.count_fresh(self.now),
            self.peers.count_forwarders(self.now),
            self.now,
            n_assumed,
        )

    def compute_spaced_share(self):
        """Return the share of this forwarder in the rate of a cold server.

        Load pattern: all engines of a service are replaced at once and are cold, while
        all requests of a workspace reach one forwarder of many.

        The share is an even one until peers have told of their requests for a while. If
        some forwarders have even shares and the others do not, all together send at
        most twice :data:`_slow_start.RATE_UTILIZATION` of the rate.
        """
        n_forwarders = self.peers.count_forwarders(self.now)
        is_told = self.peers.count_fresh(self.now) >= n_forwarders
        if not is_told or not self.demand.is_settled(self.now):
            return 1.0 / n_forwarders
        fraction = self.shares.read_local_fraction(self.now)
        return self.compute_share(fraction, ASSUMED_SPACED_REQUESTS)

    def compute_spacing_s(self, backend):
        """Return the time between requests to a cold or recovering server, seconds."""
        if self.spaced_share is None:
            self.spaced_share = self.compute_spaced_share()
        is_cold = backend.is_cold(self.now)
        rate = self.cold_rate if is_cold else self.recovery_rate
        return compute_interval_s(rate, self.spaced_share)

    def find_limit(self, backend):
        """Return the limit that a backend server names, infinite if it names none."""
        limit = self.rate_limits.find(backend.entry)
        return inf if limit is None else limit.compute_rate(self.now)

    def compute_limit_interval_s(self, limit):
        """Return the time between requests to one with a limit, seconds.

        :param limit: requests per second.
        """
        if self.share is None:
            fraction = self.shares.compute_local_fraction(self.now)
            self.share = self.compute_share(fraction, ASSUMED_REQUESTS)
        return compute_share_interval_s(limit, self.share)

    def allows(self, backend, state):
        """Return whether a request may be sent to a backend server now."""
        is_spaced = backend.is_cold(self.now) or backend.is_recovering(self.now)
        if is_spaced:
            interval_s = self.compute_spacing_s(backend)
            if not state.limiter.allows(interval_s, self.now):
                return False
        limit = self.find_limit(backend)
        if limit == inf:
            return True
        interval_s = self.compute_limit_interval_s(limit)
        return state.allowance.allows(interval_s, self.rng, self.now)

    def record_request(self, backend, state):
        """Record a request that was allowed."""
        if backend.is_cold(self.now) or backend.is_recovering(self.now):
            state.limiter.record_request(self.now)
        limit = self.find_limit(backend)
        if limit < inf:
            state.allowance.record_request(self.compute_limit_interval_s(limit))
