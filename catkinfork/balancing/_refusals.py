"""Refusals with a ``Retry-After`` that keeps callers from returning in step."""

from catkinfork.balancing._jobs import (
    EXPIRED,
    NO_BACKEND,
    NO_RETRY,
    OVERLOADED,
    STOPPING,
    THROTTLED,
    Refusal,
)

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

    def refuse_full_queue(self, n_waiting):
        """Return the refusal of a request that finds the queue full."""
        retry_after_s = self.add_jitter(FULL_QUEUE_RETRY_AFTER_S)
        return Refusal(OVERLOADED, retry_after_s, f"n_waiting={n_waiting}")

    def refuse_long_wait(self, wait_s, n_waiting):
        """Return the refusal of a request whose estimated wait is too long.

        :param wait_s: estimated wait, seconds.
        """
        detail = f"wait_s={wait_s:.3f} n_waiting={n_waiting}"
        return Refusal(OVERLOADED, self.add_jitter(wait_s), detail)

    def refuse_expired(self, waited_s):
        """Return the refusal of a queued request that can no longer be served in time.

        :param waited_s: time for which it was queued, seconds.
        """
        return Refusal(EXPIRED, self.add_jitter(waited_s), f"waited_s={waited_s:.3f}")

    def refuse_throttled(self, pause_s):
        """Return the refusal while all backend servers have asked for a pause.

        :param pause_s: shortest time that is left, seconds.
        """
        jitter_s = THROTTLED_JITTER_S * self.rng.random()
        return Refusal(THROTTLED, pause_s + jitter_s, f"pause_s={pause_s:.3f}")
