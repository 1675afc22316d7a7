"""Adaptive concurrency limit of a backend server."""

SLOW_FACTOR = 3.0
# Below this time to first byte, scheduling noise alone exceeds ``SLOW_FACTOR``.
MIN_SLOW_FIRST_BYTE_S = 0.05
BASELINE_WINDOW_S = 30.0
GROWTH_INTERVAL_S = 1.0


class ConcurrencyLimiter:
    """Concurrency limit with additive increase and multiplicative decrease.

    The limit starts at 1, grows by one per round of successes and is reduced by signs
    of overload. Signals from requests that were started before the last reduction are
    ignored, so that one overload counts once and not once per request in flight.
    """

    def __init__(self):
        self.max_limit = 0
        self.limit = 1
        self.is_cold = True
        self.failed_limit = 0
        self.n_successes = 0
        self.has_held_below_failed = False
        self.reduced_at = float("-inf")
        self.grown_at = float("-inf")
        self.round_min_s = None
        self.n_round_samples = 0
        self.baseline_s = None
        self.baseline_at = 0.0

    def set_maximum(self, max_limit):
        """Set the upper bound of the limit, ``max_places`` of the document."""
        self.max_limit = max_limit
        self.limit = max(1, min(self.limit, max_limit))

    def reset(self, now):
        """Return to one place, as after a cold start."""
        self.is_cold = True
        self.failed_limit = 0
        self.reduce(1, now)

    def reduce(self, limit, now):
        """Set a lower limit and start a new round."""
        self.limit = max(1, limit)
        self.n_successes = 0
        self.has_held_below_failed = False
        self.reduced_at = now
        self.grown_at = now
        self.round_min_s = None
        self.n_round_samples = 0

    def record_overload(self, started_at, now):
        """Halve the limit unless the request started before the last reduction."""
        if started_at < self.reduced_at:
            return
        self.failed_limit = self.limit
        self.is_cold = False
        self.reduce(self.limit // 2, now)

    def record_lost_connection(self, started_at, now):
        """Reduce the limit to 1 because the backend server may have crashed."""
        if started_at >= self.reduced_at:
            self.reset(now)

    def record_success(self, started_at):
        """Count a success; grow the limit by one after ``limit`` successes."""
        if started_at < self.reduced_at:
            return
        self.n_successes += 1
        if self.n_successes < self.limit:
            return
        self.n_successes = 0
        if self.limit + 1 == self.failed_limit and not self.has_held_below_failed:
            self.has_held_below_failed = True
            return
        if self.limit + 1 > self.failed_limit:
            self.failed_limit = 0
        self.has_held_below_failed = False
        self.limit = min(self.limit + 1, max(1, self.max_limit))
        if self.limit >= self.max_limit:
            self.is_cold = False

    def record_all_producing(self, n_running, now):
        """Grow the limit by one if at least ``limit`` requests produce output.

        Long requests would otherwise hold the limit down for minutes after a start,
        though their first output already shows that the server can handle this many.
        The limit grows at most once per ``GROWTH_INTERVAL_S``, and not at all after a
        sign of overload, so that a server that shows overload late is not loaded far
        beyond its capacity.
        """
        if n_running < self.limit or self.failed_limit or self.limit >= self.max_limit:
            return
        if now - self.grown_at < GROWTH_INTERVAL_S:
            return
        self.grown_at = now
        self.limit += 1
        self.n_successes = 0

    def record_first_byte(self, started_at, now):
        """Record a time to first byte; a slow round counts as overload.

        A single slow request may just have a long prompt. A round is slow if even its
        fastest request took more than ``SLOW_FACTOR`` times the baseline.
        """
        if started_at < self.reduced_at:
            return
        taken_s = now - started_at
        if self.round_min_s is None or taken_s < self.round_min_s:
            self.round_min_s = taken_s
        self.n_round_samples += 1
        if self.n_round_samples < self.limit:
            return
        fastest_s = self.round_min_s
        self.round_min_s = None
        self.n_round_samples = 0
        if self.is_slow(fastest_s, now):
            self.record_overload(started_at, now)

    def is_slow(self, fastest_s, now):
        """Return whether a round was slow, and update the baseline."""
        is_old = now - self.baseline_at > BASELINE_WINDOW_S
        if self.baseline_s is None or fastest_s <= self.baseline_s or is_old:
            self.baseline_s = fastest_s
            self.baseline_at = now
            return False
        return (
            fastest_s > MIN_SLOW_FIRST_BYTE_S
            and fastest_s > SLOW_FACTOR * self.baseline_s
        )
