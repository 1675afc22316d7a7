"""Learned limit of the requests that run at once on a backend server."""

SLOW_FACTOR = 3.0
# Below this time to first byte, scheduling noise alone exceeds the factor of three.
MIN_SLOW_S = 0.05
BEST_WINDOW_S = 30.0
GROW_INTERVAL_S = 1.0


class Limiter:
    """Concurrency limit that starts at 1, grows with successes and falls on signals.

    A signal from a request that was started before the last fall is ignored, so that
    one overload counts once and not once for each request in flight.
    """

    def __init__(self):
        self.n_max = 0
        self.limit = 1
        self.is_cold = True
        self.failed_limit = 0
        self.n_successes = 0
        self.has_held = False
        self.fell_at = float("-inf")
        self.grown_at = float("-inf")
        self.fastest_s = None
        self.n_timed = 0
        self.best_s = None
        self.best_at = 0.0

    def set_maximum(self, n_max):
        """Set ``max_places`` of the document."""
        self.n_max = n_max
        self.limit = max(1, min(self.limit, n_max))

    def reset(self, now):
        """Return to one place, as after a cold start."""
        self.is_cold = True
        self.failed_limit = 0
        self.fall(1, now)

    def fall(self, limit, now):
        """Lower the limit and start a new round."""
        self.limit = max(1, limit)
        self.n_successes = 0
        self.has_held = False
        self.fell_at = now
        self.grown_at = now
        self.fastest_s = None
        self.n_timed = 0

    def note_overload(self, started_at, now):
        """Halve the limit, unless the request was started before the last fall."""
        if started_at < self.fell_at:
            return
        self.failed_limit = self.limit
        self.is_cold = False
        self.fall(self.limit // 2, now)

    def note_lost_connection(self, started_at, now):
        """Fall to one place because the backend server may have crashed."""
        if started_at >= self.fell_at:
            self.reset(now)

    def note_success(self, started_at):
        """Count a success; grow by one after as many as there are places."""
        if started_at < self.fell_at:
            return
        self.n_successes += 1
        if self.n_successes < self.limit:
            return
        self.n_successes = 0
        if self.limit + 1 == self.failed_limit and not self.has_held:
            self.has_held = True
            return
        if self.limit + 1 > self.failed_limit:
            self.failed_limit = 0
        self.has_held = False
        self.limit = min(self.limit + 1, max(1, self.n_max))
        if self.limit >= self.n_max:
            self.is_cold = False

    def note_all_producing(self, n_running, now):
        """Grow by one if as many requests as there are places produce output.

        Long requests would otherwise hold the limit down for minutes after a start:
        their first output already shows that the server bears this many. At most one
        step a second, and none after a signal, so that a server that shows overload
        late is not loaded much past what it bears.
        """
        if n_running < self.limit or self.failed_limit or self.limit >= self.n_max:
            return
        if now - self.grown_at < GROW_INTERVAL_S:
            return
        self.grown_at = now
        self.limit += 1
        self.n_successes = 0

    def note_first_byte(self, started_at, now):
        """Note a time to first byte.

        One slow request may only have a long prompt. The signal is a round in which
        even the fastest request took three times the best recent value.
        """
        if started_at < self.fell_at:
            return
        taken_s = now - started_at
        if self.fastest_s is None or taken_s < self.fastest_s:
            self.fastest_s = taken_s
        self.n_timed += 1
        if self.n_timed < self.limit:
            return
        fastest_s = self.fastest_s
        self.fastest_s = None
        self.n_timed = 0
        if self.is_slow(fastest_s, now):
            self.note_overload(started_at, now)

    def is_slow(self, fastest_s, now):
        """Compare the fastest request of a round with the best recent value."""
        is_old = now - self.best_at > BEST_WINDOW_S
        if self.best_s is None or fastest_s <= self.best_s or is_old:
            self.best_s = fastest_s
            self.best_at = now
            return False
        return fastest_s > MIN_SLOW_S and fastest_s > SLOW_FACTOR * self.best_s
