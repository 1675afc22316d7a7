"""Backend servers whose streams pause for longer than their callers accept."""

from math import expm1, inf, log1p
from typing import NamedTuple

from catkinfork.balancing._events import STREAMS_PAUSE
from catkinfork.balancing._windows import DecayingSum
from catkinfork.observability import log_event

# Time constant of the rates, seconds: several periods in which a server is slow.
PAUSE_WINDOW_S = 6.0
# Events without a long pause that an unknown server is assumed to have sent.
N_ASSUMED_EVENTS = 20
# Time between two updates of the rates of a service, seconds.
UPDATE_INTERVAL_S = 0.1
# Time between two log lines on one backend server, seconds. The rate of a server that
# pauses now and then crosses the threshold by chance.
REPORT_INTERVAL_S = 10.0
# Excess rate of long pauses, per event, below which servers count as alike.
MIN_EXCESS_RATE = 0.01
# Highest rate for which streams can still be compared.
MAX_EXCESS_RATE = 0.9


class PauseReport(NamedTuple):
    """What was last reported of a backend server.

    :param is_pausing: whether it paused more often than its service.
    :param reported_at: monotonic time, seconds.
    """

    is_pausing: bool = False
    reported_at: float = -inf


class PauseRate:
    """Events of one backend server, and those that came after too long a pause.

    ``excess`` is the rate of long pauses per event by which it exceeds its service.
    """

    __slots__ = ("excess", "n_events", "n_long_pauses")

    def __init__(self):
        self.n_events = DecayingSum(PAUSE_WINDOW_S)
        self.n_long_pauses = DecayingSum(PAUSE_WINDOW_S)
        self.excess = 0.0

    def record(self, is_long, now):
        """Record the pause before an event.

        :param is_long: whether it exceeds the target of its route.
        """
        self.n_events.add(1, now)
        if is_long:
            self.n_long_pauses.add(1, now)

    def compute_rate(self, now):
        """Return the rate of long pauses per event."""
        n_events = self.n_events.read(now) + N_ASSUMED_EVENTS
        return self.n_long_pauses.read(now) / n_events


class ServicePauses:
    """Compares the pauses of the backend servers of a service.

    Load pattern: a quarter of the engines is less than half as fast as the others, and
    each engine slows down at times. Long streams are almost always late at a slow
    engine, short ones are not; the fleet gives it the short ones.

    The rate of the whole service is subtracted, so that a service that is overloaded as
    a whole makes no server look slow. Pauses in which this host was behind do not
    count, as they weigh most at servers that have sent few events here.
    """

    def __init__(self):
        self.next_update_at = 0.0

    def update(self, states, now):
        """Recompute the excess of each backend server.

        :param states: :class:`BackendState` by name.
        :returns: names of the servers to report, which begin or cease to pause more
            often than their service.
        """
        if now < self.next_update_at or not states:
            return []
        self.next_update_at = now + UPDATE_INTERVAL_S
        rates = [state.pauses.compute_rate(now) for state in states.values()]
        middle = sorted(rates)[len(rates) // 2]
        changed = []
        for (name, state), rate in zip(states.items(), rates, strict=True):
            excess = min(MAX_EXCESS_RATE, rate - middle)
            state.pauses.excess = excess if excess >= MIN_EXCESS_RATE else 0.0
            is_pausing = state.pauses.excess > 0
            report = state.pause_report
            is_due = now >= report.reported_at + REPORT_INTERVAL_S
            if is_pausing != report.is_pausing and is_due:
                state.pause_report = PauseReport(is_pausing, now)
                changed.append(name)
        return changed


def build_pause_event(service, name, pauses):
    """Return the log event of a backend server that begins or ceases to pause.

    :param pauses: its :class:`PauseRate`.
    """
    return log_event(
        STREAMS_PAUSE,
        backend_server=name,
        service=service,
        is_pausing=pauses.excess > 0,
        excess_rate=round(pauses.excess, 4),
        n_events=round(pauses.n_events.value),
    )


def compute_late_chance(excess, n_events):
    """Return the chance that a stream pauses for too long, beyond that elsewhere.

    :param excess: excess rate of long pauses per event.
    :param n_events: expected events of the stream.
    """
    return -expm1(n_events * log1p(-excess))
