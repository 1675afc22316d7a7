"""Backend servers that are left out because requests fail there."""

from catkinfork.balancing._jobs import BROKEN, FAILED, REJECTED, SILENT, UNREACHABLE

# Weight of the latest attempt in the failure rate.
RATE_WEIGHT = 0.15
# A backend server is left out when its failure rate exceeds that of its service by this
# much. Services have failures of their own, so that no absolute bound fits.
MAX_EXCESS_RATE = 0.35
# First and longest time for which a backend server is left out, seconds.
MIN_PAUSE_S = 0.5
MAX_PAUSE_S = 4.0
# Attempts that a refused or unanswered connection counts as.
UNREACHABLE_WEIGHT = 4
FAILURES = {FAILED, REJECTED, UNREACHABLE, BROKEN, SILENT}


class BackendHealth:
    """How attempts at one backend server have ended lately."""

    __slots__ = ("failure_rate", "left_out_until", "n_pauses", "unreachable_at")

    def __init__(self):
        self.failure_rate = 0.0
        self.left_out_until = 0.0
        self.n_pauses = 0
        self.unreachable_at = None

    def note(self, outcome, service_rate, now):
        """Take the outcome of an attempt.

        :param outcome: one of the outcomes of attempts.
        :param service_rate: failure rate of the whole service.
        :returns: whether the backend server is left out from now on.
        """
        weight = UNREACHABLE_WEIGHT if outcome == UNREACHABLE else 1
        target = 1.0 if outcome in FAILURES else 0.0
        for _ in range(weight):
            self.failure_rate += RATE_WEIGHT * (target - self.failure_rate)
        if outcome == UNREACHABLE:
            self.unreachable_at = now
        if target == 0.0:
            self.n_pauses = 0
            self.unreachable_at = None
            return False
        if now < self.left_out_until:
            return False
        if self.failure_rate < service_rate + MAX_EXCESS_RATE:
            return False
        self.leave_out(now)
        return True

    def leave_out(self, now):
        """Leave the backend server out for a pause that grows with each one."""
        pause_s = min(MAX_PAUSE_S, MIN_PAUSE_S * 2**self.n_pauses)
        self.n_pauses = min(self.n_pauses + 1, 8)
        self.left_out_until = now + pause_s

    def is_left_out(self, now):
        """Return whether the backend server gets no requests now."""
        return now < self.left_out_until


class ServiceHealth:
    """Failure rate over all backend servers of a service."""

    __slots__ = ("failure_rate",)

    def __init__(self):
        self.failure_rate = 0.0

    def note(self, outcome):
        """Take the outcome of an attempt."""
        target = 1.0 if outcome in FAILURES else 0.0
        self.failure_rate += 0.02 * (target - self.failure_rate)
