"""Limits of the request rate that backend servers name in their responses."""

from math import inf
from typing import NamedTuple

from catkinfork.observability import log_event
from catkinfork.topology._events import BACKEND_LIMITED, RATE_LIMIT_IGNORED
from catkinfork.topology._recent import RecentTable

MAX_LIMITS = 1024
# Lowest limit that is held, requests per second. A server that gets nothing at all
# could never lift its limit.
MIN_RATE = 0.5
# Time after a limit was lifted within which a multiple of it holds, seconds.
RECOVERY_S = 1.0
RECOVERY_FACTOR = 2.0
# Time between two log lines on one backend server, whose limit may change with each
# response, seconds.
LOG_INTERVAL_S = 1.0


class RateLimit(NamedTuple):
    """Limit of one start of a backend server.

    :param rate: requests per second from all forwarders together; infinite if the limit
        was lifted.
    :param previous_rate: the last finite rate before.
    :param stated_at: monotonic time of the latest response that stated it, seconds.
    :param changed_at: monotonic time since which this rate holds, seconds.
    :param is_own: whether a response to this forwarder stated it.
    """

    rate: float
    previous_rate: float
    stated_at: float
    changed_at: float
    is_own: bool

    @property
    def is_lifted(self):
        """Return whether the limit was lifted."""
        return self.rate == inf

    def compute_rate(self, now):
        """Return the rate that holds now; load comes back slowly to a lifted limit.

        :param now: monotonic time, seconds.
        """
        if self.is_lifted and now < self.changed_at + RECOVERY_S:
            return RECOVERY_FACTOR * self.previous_rate
        return self.rate


class RateLimitTable:
    """Limits by start of a backend server, so that none passes to another server.

    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, write_log):
        self.write_log = write_log
        self.limits = RecentTable(MAX_LIMITS)
        self.logged_at = RecentTable(MAX_LIMITS)
        self.n_unlogged = 0

    def find(self, entry):
        """Return the :class:`RateLimit` of a backend server, or None.

        :param entry: :class:`BackendEntry`.
        """
        if not self.limits:
            return None
        return self.limits.get((entry.name, entry.started_ms))

    def record(self, entry, rate, stated_at, source, now):
        """Record what a response of a backend server states.

        :param entry: :class:`BackendEntry`.
        :param rate: stated limit, requests per second; infinite if it states none.
        :param stated_at: monotonic time of the response, seconds.
        :param source: ``response`` or the address of a peer, for the log.
        :returns: whether the limit has changed.
        """
        known = self.find(entry)
        if known is None and rate == inf:
            return False
        if known is not None and stated_at < known.stated_at:
            return False
        rate = max(MIN_RATE, rate)
        is_own = source == "response"
        key = (entry.name, entry.started_ms)
        if known is not None and rate == known.rate:
            is_own = is_own or known.is_own
            self.limits[key] = known._replace(stated_at=stated_at, is_own=is_own)
            return False
        previous_rate = rate
        if known is not None:
            previous_rate = known.previous_rate if known.is_lifted else known.rate
        self.limits[key] = RateLimit(rate, previous_rate, stated_at, now, is_own)
        self.log_change(entry, known, rate, source, now)
        return True

    def may_log(self, entry, now):
        """Return whether a line on a backend server may be written now."""
        if now - self.logged_at.get(entry.name, -inf) < LOG_INTERVAL_S:
            self.n_unlogged += 1
            return False
        self.logged_at[entry.name] = now
        return True

    def log_change(self, entry, known, rate, source, now):
        """Log a changed limit, at most once in a while for each backend server."""
        if not self.may_log(entry, now):
            return
        is_lifted = rate == inf
        was_lifted = known is None or known.is_lifted
        self.write_log(
            log_event(
                BACKEND_LIMITED,
                backend_server=entry.name,
                service=entry.service,
                limit_per_s=None if is_lifted else rate,
                previous_per_s=None if was_lifted else known.rate,
                source=source,
                n_unlogged=self.n_unlogged,
            )
        )
        self.n_unlogged = 0

    def ignore(self, entry, value, now):
        """Log a limit that is no number; the one before stays in force.

        :param value: value of the header.
        """
        if not self.may_log(entry, now):
            return
        self.write_log(
            log_event(
                RATE_LIMIT_IGNORED,
                backend_server=entry.name,
                service=entry.service,
                value=value,
            )
        )
