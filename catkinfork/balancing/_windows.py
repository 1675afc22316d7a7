"""Sums over the recent past."""

from math import exp

N_BUCKETS = 20


class WindowCounter:
    """Sum of what was added within a sliding window.

    :param window_s: length of the window in seconds.
    """

    __slots__ = ("bucket_s", "buckets", "current", "total")

    def __init__(self, window_s):
        self.bucket_s = window_s / N_BUCKETS
        self.buckets = [0] * N_BUCKETS
        self.current = 0
        self.total = 0

    def advance(self, now):
        """Drop what has left the window."""
        bucket = int(now / self.bucket_s)
        n_steps = min(bucket - self.current, N_BUCKETS)
        for step in range(1, n_steps + 1):
            index = (self.current + step) % N_BUCKETS
            self.total -= self.buckets[index]
            self.buckets[index] = 0
        if n_steps > 0:
            self.current = bucket

    def add(self, amount, now):
        """Add an amount at a time."""
        self.advance(now)
        self.buckets[self.current % N_BUCKETS] += amount
        self.total += amount

    def sum(self, now):
        """Return the sum over the window that ends now."""
        self.advance(now)
        return self.total


class DecayingSum:
    """Sum whose parts fade with their age.

    :param time_constant_s: age at which a part counts 37 %.
    """

    __slots__ = ("at", "time_constant_s", "value")

    def __init__(self, time_constant_s):
        self.time_constant_s = time_constant_s
        self.value = 0.0
        self.at = 0.0

    def read(self, now):
        """Return the sum at a time, which also brings it up to date."""
        passed_s = now - self.at
        if passed_s > 0:
            self.value *= exp(-passed_s / self.time_constant_s)
            self.at = now
        return self.value

    def add(self, amount, now):
        """Add an amount at a time."""
        self.read(now)
        self.value += amount
