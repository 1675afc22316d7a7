"""Max-min fair shares of the workspaces over all forwarders."""

from math import inf
from typing import NamedTuple

from catkinfork.balancing._windows import DecayingSum

LEVEL_UPDATE_INTERVAL_S = 0.2
# Time for which the fraction of the fair shares at this forwarder is kept, seconds.
FRACTION_INTERVAL_S = 0.05
# Fraction of its demand, or of the service of the best served workspace, below which a
# workspace is underserved.
MIN_SERVICE_SHARE = 0.5
# The same fraction below which others leave a workspace more room. It is higher, so
# that no workspace becomes underserved.
MIN_EVEN_SHARE = 0.8
# Service tokens, of a few long prompts, that it has to lack for that. One that lacks
# less is only waiting for a moment.
MIN_SHORTFALL_TOKENS = 30_000
# Service that counts in the order of the queues at most, as a multiple of the mean of
# the workspaces that lack service.
MAX_COUNTED_RATIO = 1.25
# Time constant as a fraction of the window over which service is compared: the amounts
# in a decaying sum are then as old on average as those in a window of that length.
TIME_CONSTANT_SHARE = 0.5
# Lower bound of the fraction of a workspace's demand that arrives at one forwarder.
MIN_LOCAL_SHARE = 0.01


class Entitlement(NamedTuple):
    """Entitlement of a workspace at one forwarder under its fair share.

    :param n_tokens: service tokens of the fair share that it has yet to receive.
    :param s_per_token: seconds per service token beyond these.
    """

    n_tokens: float
    s_per_token: float


class WorkspaceUsage:
    """Recent demand and received service of one workspace, in service tokens.

    ``counted`` is the received service that counts in the order of the queues.
    """

    __slots__ = (
        "counted",
        "demand",
        "local_demand",
        "n_requested_tokens",
        "n_received_tokens",
        "received",
    )

    def __init__(self, time_constant_s):
        self.demand = DecayingSum(time_constant_s)
        self.local_demand = DecayingSum(time_constant_s)
        self.received = DecayingSum(time_constant_s)
        self.counted = DecayingSum(time_constant_s)
        self.n_requested_tokens = 0
        self.n_received_tokens = 0

    def add_received(self, n_tokens, now):
        """Add service at this forwarder or a peer."""
        self.received.add(n_tokens, now)
        self.counted.add(n_tokens, now)


class FairShares:
    """Max-min fair shares: a demand below the fair share is met in full.

    Load pattern: the capacity falls to a fraction while a workspace asks for more than
    the others. What it received while there was enough for all must not hold it back
    for longer than the window.

    :param window_s: window over which service is compared, seconds.

    ``time_constant_s`` is that of the decaying sums of demand and service.
    ``most_received`` is the recent service of the best served workspace, and
    ``least_received`` that of the worst served one among those that lack service.
    """

    def __init__(self, window_s):
        self.time_constant_s = TIME_CONSTANT_SHARE * window_s
        self.uses = {}
        self.level = inf
        self.next_update_at = 0.0
        self.next_fraction_at = 0.0
        self.local_fraction = None
        self.most_received = 0.0
        self.least_received = inf

    def find(self, workspace):
        """Return the usage of a workspace, created if it is new."""
        use = self.uses.get(workspace)
        if use is None:
            use = self.uses[workspace] = WorkspaceUsage(self.time_constant_s)
        return use

    def record_demand(self, workspace, n_tokens, now):
        """Add the demand of a request at this forwarder."""
        use = self.find(workspace)
        use.n_requested_tokens += n_tokens
        use.demand.add(n_tokens, now)
        use.local_demand.add(n_tokens, now)

    def record_service(self, workspace, n_tokens, now):
        """Add the service of a request that this forwarder has placed."""
        use = self.find(workspace)
        use.n_received_tokens += n_tokens
        use.add_received(n_tokens, now)

    def record_peer_usage(self, workspace, n_requested_tokens, n_received_tokens, now):
        """Add the demand and service at a peer since its previous frame."""
        use = self.find(workspace)
        use.demand.add(n_requested_tokens, now)
        use.add_received(n_received_tokens, now)

    def read_received(self, workspace, now):
        """Return the recent service of a workspace in tokens."""
        return self.find(workspace).received.read(now)

    def read_counted(self, workspace, now):
        """Return the service that counts in the order of the queues, in tokens."""
        return self.find(workspace).counted.read(now)

    def compute_service_rate(self, now):
        """Return the recent service over all workspaces, tokens per second."""
        n_tokens = sum(use.received.read(now) for use in self.uses.values())
        return n_tokens / self.time_constant_s

    def is_underserved(self, workspace, now):
        """Return whether a workspace receives far less than others.

        The measure is its own demand, or the service of the best served workspace if
        that is smaller.
        """
        use = self.find(workspace)
        return self.compute_shortfall(use, MIN_SERVICE_SHARE, now) > 0

    def lacks_service(self, workspace, now):
        """Return whether a workspace receives less than others by several requests.

        Load pattern: many workspaces of a few requests a second each. Nearly every one
        of them is underserved while one of its requests waits for a moment.
        """
        use = self.find(workspace)
        n_tokens = self.compute_shortfall(use, MIN_EVEN_SHARE, now)
        return n_tokens > MIN_SHORTFALL_TOKENS

    def compute_shortfall(self, use, share, now):
        """Return the service tokens that a workspace lacks, negative for none.

        :param use: :class:`WorkspaceUsage`.
        :param share: fraction of its demand, or of the service of the best served
            workspace, that it is compared with.
        """
        owed = min(use.demand.read(now), self.most_received)
        return share * owed - use.received.read(now)

    def compute_lead(self, workspace, now):
        """Return the fraction of its service that a workspace is ahead of another one.

        The other one is the worst served one of those that lack service.

        :returns: 0 to 1.
        """
        received = self.read_received(workspace, now)
        if received <= self.least_received:
            return 0.0
        return 1.0 - self.least_received / received

    def limit_counted(self, now):
        """Forget, in the order, service far above that of workspaces that lack service.

        Load pattern: a workspace uses most of the capacity while the others ask for
        little, and then these ask for more than is left. It would get nothing until
        they have caught up with it.
        """
        amounts = [
            use.counted.read(now)
            for use in self.uses.values()
            if MIN_EVEN_SHARE * use.demand.read(now) - use.received.read(now)
            > MIN_SHORTFALL_TOKENS
        ]
        if not amounts:
            return
        limit = MAX_COUNTED_RATIO * sum(amounts) / len(amounts)
        for use in self.uses.values():
            use.counted.limit(limit, now)

    def update_extremes(self, now):
        """Find the best served workspace, and the worst served that lacks service."""
        uses = self.uses.values()
        self.most_received = max((use.received.read(now) for use in uses), default=0.0)
        self.least_received = min(
            (
                use.received.read(now)
                for use in uses
                if self.compute_shortfall(use, MIN_EVEN_SHARE, now)
                > MIN_SHORTFALL_TOKENS
            ),
            default=inf,
        )

    def update_level(self, tokens_per_s, now):
        """Recompute the fair share from demand and throughput, and the extremes.

        :param tokens_per_s: throughput of the service without prefix caching, service
            tokens per second. The recent service of all workspaces replaces it if that
            is higher.
        """
        if now < self.next_update_at:
            return
        self.next_update_at = now + LEVEL_UPDATE_INTERVAL_S
        self.limit_counted(now)
        self.update_extremes(now)
        demands = sorted(use.demand.read(now) for use in self.uses.values())
        n_received_tokens = sum(use.received.read(now) for use in self.uses.values())
        capacity = max(tokens_per_s * self.time_constant_s, n_received_tokens)
        # Without a published throughput, capacity is unknown until the first service.
        self.level = compute_max_min_level(demands, capacity) if capacity > 0 else inf

    def compute_local_fraction(self, now):
        """Return the fraction of all fair shares that falls to this forwarder.

        Load pattern: a workspace floods a few forwarders while the backend servers are
        limited to less than the others ask for.

        :returns: 0 to 1, or None if nothing is asked for in tokens.
        """
        n_received_tokens = sum(use.received.read(now) for use in self.uses.values())
        demands = sorted(use.demand.read(now) for use in self.uses.values())
        level = compute_max_min_level(demands, n_received_tokens)
        n_all = n_local = 0.0
        for use in self.uses.values():
            demand = use.demand.read(now)
            if demand > 0:
                n_fair = min(demand, level)
                n_all += n_fair
                n_local += n_fair * min(1.0, use.local_demand.read(now) / demand)
        return n_local / n_all if n_all > 0 else None

    def read_local_fraction(self, now):
        """Return :meth:`compute_local_fraction` of the latest moments.

        Every request asks for it while servers are cold, and it visits all workspaces.
        """
        if now >= self.next_fraction_at:
            self.next_fraction_at = now + FRACTION_INTERVAL_S
            self.local_fraction = self.compute_local_fraction(now)
        return self.local_fraction

    def compute_entitlement(self, workspace, now):
        """Return the :class:`Entitlement` of a workspace at this forwarder.

        A workspace's fair share is split in proportion to its demand at each forwarder.
        """
        if self.level == inf:
            return Entitlement(0.0, inf)
        use = self.find(workspace)
        demand = use.demand.read(now)
        local_share = use.local_demand.read(now) / demand if demand > 0 else 1.0
        local_share = min(1.0, max(MIN_LOCAL_SHARE, local_share))
        n_tokens = max(0.0, self.level - use.received.read(now))
        return Entitlement(
            n_tokens * local_share, self.time_constant_s / self.level / local_share
        )


def compute_max_min_level(demands, capacity):
    """Return the max-min level, at which the capped demands add up to the capacity.

    :param demands: demands in ascending order.
    :param capacity: capacity to share, in the same unit.
    :returns: the level, infinite if all demands fit.
    """
    left = capacity
    n_left = len(demands)
    for demand in demands:
        if demand * n_left >= left:
            return left / n_left
        left -= demand
        n_left -= 1
    return inf
