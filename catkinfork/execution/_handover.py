"""How many requests may wait at the agent for the next free place."""

from collections import deque
from math import ceil

RATE_WINDOW_S = 1.0
N_AGES = 32
MIN_AGES = 8
MIN_PRODUCT = 0.05


class HandoverMeter:
    """Rate of completions, and time from a free place to the next start.

    The hand-over time is the smallest of the recent ticket ages at their use. Most
    tickets lie unused for want of demand for a while, and a larger estimate would stage
    requests at busy engines, where they wait longer than for the first free place.
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
        if len(self.ages_s) < MIN_AGES or not self.completed_at:
            return 0
        handover_s = min(self.ages_s)
        product = len(self.completed_at) / RATE_WINDOW_S * handover_s
        if product <= MIN_PRODUCT:
            return 0
        return min(ceil(product), n_places)
