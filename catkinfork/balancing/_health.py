"""Outlier ejection of backend servers at which requests fail."""

from catkinfork.balancing._events import BACKEND_LEFT_OUT
from catkinfork.balancing._jobs import (
    BROKEN,
    FAILED,
    GONE_OUTCOMES,
    SILENT,
    UNEXECUTED_OUTCOMES,
    UNREACHABLE,
)
from catkinfork.observability import log_event

# Weight of the latest attempt in the moving average of a backend server's failures.
FAILURE_RATE_WEIGHT = 0.15
# A backend server is ejected when its failure rate exceeds that of its service by this
# much. The threshold is relative because services have failure rates of their own.
MAX_EXCESS_RATE = 0.35
# Initial and maximum ejection time; it doubles with each consecutive ejection.
MIN_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Number of failed attempts that one unanswered connection counts as.
UNREACHABLE_WEIGHT = 4
FAILURE_OUTCOMES = UNEXECUTED_OUTCOMES | {FAILED, BROKEN, SILENT}


class BackendHealth:
    """Recent failure rate and ejection state of one backend server."""

    __slots__ = ("failure_rate", "ejected_until", "n_ejections", "unreachable_at")

    def __init__(self):
        self.failure_rate = 0.0
        self.ejected_until = 0.0
        self.n_ejections = 0
        self.unreachable_at = None

    def record_outcome(self, outcome, service_rate, now):
        """Record the outcome of an attempt.

        :param outcome: outcome constant such as ``SERVED`` or ``FAILED``.
        :param service_rate: failure rate of the whole service.
        :returns: whether the backend server has been ejected by this outcome.
        """
        weight = UNREACHABLE_WEIGHT if outcome == UNREACHABLE else 1
        target = 1.0 if outcome in FAILURE_OUTCOMES else 0.0
        for _ in range(weight):
            self.failure_rate += FAILURE_RATE_WEIGHT * (target - self.failure_rate)
        if outcome == UNREACHABLE or outcome in GONE_OUTCOMES:
            self.unreachable_at = now
        if target == 0.0:
            self.n_ejections = 0
            self.unreachable_at = None
            return False
        if now < self.ejected_until:
            return False
        # One that is gone looks idle and would attract requests, while the failures of
        # those that it ran raise the rate of the service.
        is_gone = outcome in GONE_OUTCOMES
        if not is_gone and self.failure_rate < service_rate + MAX_EXCESS_RATE:
            return False
        self.eject(now)
        return True

    def eject(self, now):
        """Eject the backend server, with exponential backoff."""
        pause_s = min(MAX_EJECTION_S, MIN_EJECTION_S * 2**self.n_ejections)
        self.n_ejections = min(self.n_ejections + 1, 8)
        self.ejected_until = now + pause_s

    def is_ejected(self, now):
        """Return whether the backend server is ejected now."""
        return now < self.ejected_until


class ServiceHealth:
    """Failure rate over all backend servers of a service."""

    __slots__ = ("failure_rate",)

    def __init__(self):
        self.failure_rate = 0.0

    def record_outcome(self, outcome):
        """Record the outcome of an attempt."""
        target = 1.0 if outcome in FAILURE_OUTCOMES else 0.0
        self.failure_rate += 0.02 * (target - self.failure_rate)


def build_ejection_event(job, health, outcome, service_rate, now):
    """Return the log event of an ejection.

    :param job: :class:`Job` whose attempt was the cause.
    :param health: :class:`BackendHealth` of the backend server that it tried last.
    :param service_rate: failure rate of the whole service.
    """
    return log_event(
        BACKEND_LEFT_OUT,
        backend_server=job.tried_backends[-1],
        service=job.service,
        outcome=outcome,
        failure_rate=health.failure_rate,
        service_rate=service_rate,
        pause_s=health.ejected_until - now,
        request_id=job.request_id,
    )
