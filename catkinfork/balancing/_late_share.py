"""Part of the capacity that goes to late jobs whatever else is queued."""

# Fraction of the capacity that always goes to late jobs.
LATE_SHARE = 0.1
# Time between two updates of the rate, seconds. It visits all workspaces.
UPDATE_INTERVAL_S = 0.1
# Time for which service that was not used is kept, seconds.
MAX_OWED_S = 1.0


class LateShare:
    """Service tokens that the late jobs of one service are owed at this forwarder.

    Load pattern: on-time jobs ask for more than the capacity for a long time, or all
    requests of a workspace reach one forwarder, where they are late, while others
    always have on-time ones. Late jobs would starve.

    :param shares: :class:`FairShares`.
    :param placed_tokens: :class:`DecayingSum` of the service at this forwarder.

    ``n_tokens`` is the service owed; it is negative after service beyond that.
    """

    def __init__(self, shares, placed_tokens):
        self.shares = shares
        self.placed_tokens = placed_tokens
        self.n_tokens = 0.0
        self.tokens_per_s = 0.0
        self.updated_at = None

    def is_owed(self, now):
        """Return whether late jobs go first until they have received more."""
        self.advance(now)
        return self.n_tokens > 0

    def advance(self, now):
        """Add the service owed for the time that has passed."""
        if self.updated_at is None:
            self.updated_at = now
        elapsed_s = now - self.updated_at
        if elapsed_s < UPDATE_INTERVAL_S:
            return
        self.updated_at = now
        self.tokens_per_s = LATE_SHARE * self.compute_service_rate(now)
        n_tokens = self.n_tokens + self.tokens_per_s * elapsed_s
        self.n_tokens = min(n_tokens, MAX_OWED_S * self.tokens_per_s)

    def compute_service_rate(self, now):
        """Return the part of the fleet's service for this forwarder, tokens per second.

        It is what the forwarder places, or its part of the fair shares if that is
        higher: one that has only late jobs places little.
        """
        own_rate = self.placed_tokens.read(now) / self.placed_tokens.time_constant_s
        fraction = self.shares.read_local_fraction(now) or 0.0
        return max(own_rate, fraction * self.shares.compute_service_rate(now))

    def record_service(self, n_tokens):
        """Subtract the service of a late job that has been placed.

        Jobs that used remaining capacity count as well, but leave a debt of at most
        one of them.
        """
        left = self.n_tokens - n_tokens
        self.n_tokens = max(left, min(self.n_tokens, -float(n_tokens)))
