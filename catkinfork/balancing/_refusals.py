"""Refusals with a ``Retry-After`` that keeps callers from returning in step."""

from typing import NamedTuple

from catkinfork.balancing._jobs import (
    EXPIRED,
    NO_BACKEND,
    NO_RETRY,
    OVERLOADED,
    STOPPING,
    THROTTLED,
    Refusal,
    count_queue_tokens,
)
from catkinfork.balancing._windows import DecayingSum

# Bounds of Retry-After, and values without an estimate of the wait, seconds.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
NO_BACKEND_RETRY_AFTER_S = 0.5
NO_RETRY_RETRY_AFTER_S = 0.5
# Other hosts serve at once what a stopping one refuses.
STOPPING_RETRY_AFTER_S = 0.1
FULL_QUEUE_RETRY_AFTER_S = 1.0
STREAM_RETRY_AFTER_S = 0.5
# Maximum relative jitter.
JITTER = 0.5
# Maximum time added to the pause that backend servers ask for, seconds.
THROTTLED_JITTER_S = 0.2
# Time constant of the sum of refused service that will be asked for again, seconds. It
# is about the mean time after which the callers return under a long overload.
RETURN_TIME_CONSTANT_S = 2.5


class ReturnWindow(NamedTuple):
    """Time in which the caller of a refused job should return, seconds from now.

    :param earliest_s: time from which on a job like it can meet its deadline.
    :param latest_s: time that the backlog needs to clear.
    """

    earliest_s: float
    latest_s: float


class ReturnPlanner:
    """Spreads the returns of refused requests over the time the backlog needs.

    Load pattern: a burst of 1.7 times the capacity leaves a backlog, and hundreds of
    requests are refused within a second. They would come back as a second burst.
    """

    def __init__(self):
        self.refused_tokens = DecayingSum(RETURN_TIME_CONSTANT_S)

    def estimate_backlog_s(self, pool, now):
        """Return the time that queued and returning requests need, seconds.

        :param pool: :class:`ServicePool`.
        """
        s_per_token = pool.compute_s_per_token(now)
        if not s_per_token:
            return MAX_RETRY_AFTER_S
        n_tokens = pool.queue.n_tokens + self.refused_tokens.read(now)
        return min(MAX_RETRY_AFTER_S, n_tokens * s_per_token)

    def plan(self, pool, job, wait_s, now):
        """Return the :class:`ReturnWindow` of a refused job, and count it for others.

        :param pool: :class:`ServicePool`.
        :param wait_s: estimated wait of a job like it, seconds.
        """
        self.refused_tokens.add(count_queue_tokens(job), now)
        # A job that returns has as much time as this one had on arrival.
        age_s = now - job.arrived_at
        earliest_s = pool.compute_excess_s(job, now + wait_s) - age_s
        earliest_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, earliest_s))
        latest_s = max(self.estimate_backlog_s(pool, now), (1 + JITTER) * earliest_s)
        return ReturnWindow(earliest_s, latest_s)


class RefusalBuilder:
    """Builds the refusals of a balancer.

    :param rng: ``random.Random``.
    """

    def __init__(self, rng):
        self.rng = rng

    def add_jitter(self, seconds):
        """Return a bounded time with random jitter, seconds."""
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
        return bounded * (1.0 + JITTER * self.rng.random())

    def draw_return(self, seconds, window):
        """Return a time at which a caller should return, seconds.

        :param seconds: time without a window; it gets random jitter.
        :param window: :class:`ReturnWindow`, or None.
        """
        if window is None:
            return self.add_jitter(seconds)
        return self.rng.uniform(window.earliest_s, window.latest_s)

    def refuse_without_backend(self):
        """Return the refusal of a request that no backend server may run."""
        return Refusal(NO_BACKEND, self.add_jitter(NO_BACKEND_RETRY_AFTER_S))

    def refuse_retry(self):
        """Return the refusal of a request whose retry exceeds the budget."""
        return Refusal(NO_RETRY, self.add_jitter(NO_RETRY_RETRY_AFTER_S))

    def refuse_stream(self, reason):
        """Return the refusal of a stream that cannot go on where it began.

        :param reason: refusal code.
        """
        return Refusal(reason, self.add_jitter(STREAM_RETRY_AFTER_S))

    def refuse_at_stop(self, left_s):
        """Return the refusal of a request that a planned stop would cut.

        :param left_s: time left, seconds.
        """
        retry_after_s = self.add_jitter(STOPPING_RETRY_AFTER_S)
        return Refusal(STOPPING, retry_after_s, f"left_s={left_s:.3f}")

    def refuse_full_queue(self, n_waiting, window=None):
        """Return the refusal of a request that finds the queue full.

        :param window: :class:`ReturnWindow`, or None.
        """
        retry_after_s = self.draw_return(FULL_QUEUE_RETRY_AFTER_S, window)
        return Refusal(OVERLOADED, retry_after_s, f"n_waiting={n_waiting}")

    def refuse_long_wait(self, wait_s, n_waiting, window=None):
        """Return the refusal of a request whose estimated wait is too long.

        :param wait_s: estimated wait, seconds.
        :param window: :class:`ReturnWindow`, or None.
        """
        detail = f"wait_s={wait_s:.3f} n_waiting={n_waiting}"
        return Refusal(OVERLOADED, self.draw_return(wait_s, window), detail)

    def refuse_expired(self, waited_s, window=None):
        """Return the refusal of a queued request that can no longer be served in time.

        :param waited_s: time for which it was queued, seconds.
        :param window: :class:`ReturnWindow`, or None.
        """
        retry_after_s = self.draw_return(waited_s, window)
        return Refusal(EXPIRED, retry_after_s, f"waited_s={waited_s:.3f}")

    def refuse_throttled(self, pause_s):
        """Return the refusal while all backend servers have asked for a pause.

        :param pause_s: shortest time that is left, seconds.
        """
        jitter_s = THROTTLED_JITTER_S * self.rng.random()
        return Refusal(THROTTLED, pause_s + jitter_s, f"pause_s={pause_s:.3f}")
