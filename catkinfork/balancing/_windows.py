"""Sliding-window and exponentially decaying sums."""

from math import exp

N_BUCKETS = 20


class SlidingWindowCounter:
    """Sum of the amounts added within a sliding window, kept in buckets.

    :param window_s: length of the window, seconds.
    """

    __slots__ = ("bucket_s", "buckets", "current_bucket", "total")

    def __init__(self, window_s):
        self.bucket_s = window_s / N_BUCKETS
        self.buckets = [0] * N_BUCKETS
        self.current_bucket = 0
        self.total = 0

    def advance(self, now):
        """Discard the buckets that have left the window."""
        bucket = int(now / self.bucket_s)
        n_steps = min(bucket - self.current_bucket, N_BUCKETS)
        for step in range(1, n_steps + 1):
            index = (self.current_bucket + step) % N_BUCKETS
            self.total -= self.buckets[index]
            self.buckets[index] = 0
        if n_steps > 0:
            self.current_bucket = bucket

    def add(self, amount, now):
        """Add an amount at the given time."""
        self.advance(now)
        self.buckets[self.current_bucket % N_BUCKETS] += amount
        self.total += amount

    def sum(self, now):
        """Return the sum over the window that ends now."""
        self.advance(now)
        return self.total


class DecayingSum:
    """Exponentially decaying sum.

    :param time_constant_s: age at which an amount has decayed to 1/e (37 %), seconds.
    """

    __slots__ = ("updated_at", "time_constant_s", "value")

    def __init__(self, time_constant_s):
        self.time_constant_s = time_constant_s
        self.value = 0.0
        self.updated_at = 0.0

    def read(self, now):
        """Decay the sum to the given time and return it."""
        elapsed_s = now - self.updated_at
        if elapsed_s > 0:
            self.value *= exp(-elapsed_s / self.time_constant_s)
            self.updated_at = now
        return self.value

    def add(self, amount, now):
        """Add an amount at the given time."""
        self.read(now)
        self.value += amount

    def limit(self, most, now):
        """Reduce the sum to a limit if it is above."""
        self.value = min(self.read(now), most)
