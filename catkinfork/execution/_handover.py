"""Estimate of how many requests to stage at the agent for the next free place."""

from collections import deque
from math import ceil

RATE_WINDOW_S = 1.0
MAX_AGE_SAMPLES = 32
MIN_AGE_SAMPLES = 8
MIN_EXPECTED_COMPLETIONS = 0.05


class HandoverEstimator:
    """Estimates the completion rate and the time from a free place to the next start.

    The handover time is the minimum of the recent ticket ages at redemption, because
    most tickets stay unused for a while for lack of demand. A larger estimate would
    stage requests at busy engines, where they wait longer than for the first place
    that becomes free elsewhere.
    """

    def __init__(self):
        self.completed_at = deque()
        self.ticket_ages_s = deque(maxlen=MAX_AGE_SAMPLES)

    def record_completion(self, now):
        """Count the completion of a request."""
        self.completed_at.append(now)

    def record_ticket_age(self, age_s):
        """Record the age of a ticket at its redemption, in seconds."""
        self.ticket_ages_s.append(age_s)

    def count_staged(self, n_places, now):
        """Return how many requests may be staged, at most the number of places."""
        while self.completed_at and now - self.completed_at[0] > RATE_WINDOW_S:
            self.completed_at.popleft()
        if len(self.ticket_ages_s) < MIN_AGE_SAMPLES or not self.completed_at:
            return 0
        handover_s = min(self.ticket_ages_s)
        n_expected = len(self.completed_at) / RATE_WINDOW_S * handover_s
        if n_expected <= MIN_EXPECTED_COMPLETIONS:
            return 0
        return min(ceil(n_expected), n_places)
