"""How many requests may wait at the agent for the next free place."""

from collections import deque
from math import ceil

RATE_WINDOW_S = 1.0
N_AGES = 32
MIN_PRODUCT = 0.05


class HandoverMeter:
    """Rate of completions, and time from a free place to the next start.

    The hand-over time is the lower quartile of the recent ticket ages at their use:
    tickets that lie unused for want of demand must not count as slow hand-overs.
    """

    def __init__(self):
        self.completed_at = deque()
        self.ages_s = deque(maxlen=N_AGES)

    def note_completion(self, now):
        """Count the end of a request."""
        self.completed_at.append(now)

    def note_age(self, age_s):
        """Note the age of a ticket at its use, in seconds."""
        self.ages_s.append(age_s)

    def count_staged(self, n_places, now):
        """Return how many requests may be staged, at most the number of places."""
        while self.completed_at and now - self.completed_at[0] > RATE_WINDOW_S:
            self.completed_at.popleft()
        if not self.ages_s or not self.completed_at:
            return 0
        handover_s = sorted(self.ages_s)[len(self.ages_s) // 4]
        product = len(self.completed_at) / RATE_WINDOW_S * handover_s
        if product <= MIN_PRODUCT:
            return 0
        return min(ceil(product), n_places)
