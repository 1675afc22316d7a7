"""Speed of model engines, estimated from the time to the first event of attempts."""

from math import exp, inf, log, sqrt
from typing import NamedTuple

# Work of one step of an engine, in prompt tokens: a prompt waits for the step that runs
# and takes at least one itself. A step takes 3.3 to 3.6 ms, and a prefill 125 to 157
# tokens a millisecond.
STEP_TOKENS = 500
# Bounds of a speed, and the band within which it counts as 1.
MIN_SPEED = 0.25
MAX_SPEED = 2.0
MIN_EQUAL_SPEED = 0.85
MAX_EQUAL_SPEED = 1.15
# Time constant of the sums, as a fraction of the window.
DECAY_SHARE = 0.5
# Number of recent attempts at which half of a difference counts.
HALF_TRUST_ATTEMPTS = 1.5
# Relative deviation of the time per token of one attempt; 0.47 to 0.65 in the replay of
# equal engines.
ATTEMPT_DEVIATION = 0.6
# Number of standard errors by which the speed of an engine that counts as equal has to
# differ, and by which that of another one has to go on differing.
N_ERRORS_TO_DIFFER = 3.0
N_ERRORS_TO_STAY = 1.0
# Recent attempts below which an engine that counts as equal stays so. In the first
# second after a start, five to nine attempts, most of them of one burst, made equal
# engines look unequal.
MIN_ATTEMPTS = 7.0
UPDATE_INTERVAL_S = 0.1
# Time between two reports on one backend server, seconds.
REPORT_INTERVAL_S = 2.0
# Bounds of plausible figures: the mean time and work of attempts, and their rate at one
# engine from one forwarder.
MAX_MEAN_US = 60_000_000
MAX_MEAN_TOKENS = 10_000_000
MAX_ATTEMPTS_PER_S = 1000.0


class SpeedFigures(NamedTuple):
    """Attempts at one backend server that have had their first event.

    :param n_attempts: number of attempts.
    :param time_us: sum of the times to their first events, microseconds.
    :param n_tokens: sum of the work ahead of these events, tokens.
    """

    n_attempts: float = 0
    time_us: float = 0
    n_tokens: float = 0

    @property
    def us_per_token(self):
        """Return the time per token in microseconds, 0 if nothing is known."""
        return self.time_us / self.n_tokens if self.n_tokens else 0.0

    def add(self, other):
        """Return the sum of these and other figures."""
        return SpeedFigures(
            self.n_attempts + other.n_attempts,
            self.time_us + other.time_us,
            self.n_tokens + other.n_tokens,
        )

    def subtract(self, other):
        """Return these figures without earlier ones."""
        return self.add(other.scale(-1))

    def scale(self, factor):
        """Return the figures, each multiplied by a factor."""
        return SpeedFigures(
            factor * self.n_attempts, factor * self.time_us, factor * self.n_tokens
        )

    def is_plausible(self, period_s):
        """Return whether one forwarder can have observed this within a time.

        :param period_s: seconds.
        """
        n_attempts = self.n_attempts
        return (
            0 < n_attempts <= MAX_ATTEMPTS_PER_S * max(1.0, period_s)
            and n_attempts <= self.time_us <= MAX_MEAN_US * n_attempts
            and STEP_TOKENS * n_attempts <= self.n_tokens
            and self.n_tokens <= MAX_MEAN_TOKENS * n_attempts
        )


NO_FIGURES = SpeedFigures()


class ServerStart(NamedTuple):
    """One start of a backend server at one address, which keeps its speed.

    :param started_ms: Unix time of its start, milliseconds.
    :param address: ``host:port``.
    """

    started_ms: int = 0
    address: str = ""


class SpeedRecord:
    """What is known of the speed of one start of a backend server.

    :param start: :class:`ServerStart`.

    ``totals`` are the :class:`SpeedFigures` of this forwarder since then, and ``sums``
    the decaying ones of all forwarders.
    """

    __slots__ = ("decayed_at", "start", "sums", "totals")

    def __init__(self, start):
        self.start = start
        self.totals = NO_FIGURES
        self.sums = NO_FIGURES
        self.decayed_at = -inf

    def decay(self, time_constant_s, now):
        """Decay the sums to the given time."""
        elapsed_s = now - self.decayed_at
        if elapsed_s > 0:
            self.sums = self.sums.scale(exp(-elapsed_s / time_constant_s))
            self.decayed_at = now


class SpeedReport(NamedTuple):
    """What was last reported of a backend server.

    :param is_slow: whether it counted as slow.
    :param reported_at: monotonic time, seconds.
    """

    is_slow: bool = False
    reported_at: float = -inf


class SpeedChange(NamedTuple):
    """A backend server that starts or stops counting as slow.

    :param name: name of the backend server.
    :param speed: speed that is in force.
    :param sums: its recent :class:`SpeedFigures`.
    :param service_sums: those of all backend servers of the service.
    """

    name: str
    speed: float
    sums: SpeedFigures
    service_sums: SpeedFigures


class SpeedTable:
    """Estimates the speeds of the backend servers of one service.

    Load pattern: engines of one service differ in speed by a factor of two, and nothing
    published says so. With equal load, the slow ones have long queues while the others
    are idle.

    The speed of an engine is the time per token over all engines divided by its own.
    The work ahead of each event is part of it, so neither the load of an engine nor
    a lack of it changes the estimate. A speed other than 1 takes more of a difference
    than chance explains, so that equal engines are not told apart by their noise.

    :param window_s: window of the estimate, seconds; 0 if there is none.
    """

    def __init__(self, window_s):
        self.window_s = window_s
        self.next_update_at = -inf

    @property
    def time_constant_s(self):
        """Return the time constant of the sums, seconds."""
        return DECAY_SHARE * self.window_s

    def record(self, record, figures, now):
        """Add new attempts of any forwarder.

        :param record: :class:`SpeedRecord`.
        :param figures: :class:`SpeedFigures`.
        """
        record.decay(self.time_constant_s, now)
        record.sums = record.sums.add(figures)

    def update(self, states, now):
        """Set the speeds in force.

        :param states: :class:`BackendState` by name of the backend server.
        :returns: list of :class:`SpeedChange`.
        """
        self.next_update_at = now + UPDATE_INTERVAL_S
        total = NO_FIGURES
        for state in states.values():
            state.speed_record.decay(self.time_constant_s, now)
            total = total.add(state.speed_record.sums)
        changes = []
        for name, state in states.items():
            sums = state.speed_record.sums
            state.speed = estimate_speed(sums, total.us_per_token, state.speed)
            is_slow = state.speed < 1.0
            report = state.speed_report
            is_due = now >= report.reported_at + REPORT_INTERVAL_S
            if is_slow != report.is_slow and is_due:
                state.speed_report = SpeedReport(is_slow, now)
                changes.append(SpeedChange(name, state.speed, sums, total))
        return changes


def estimate_speed(sums, service_us_per_token, known):
    """Return the speed of an engine.

    :param sums: its recent :class:`SpeedFigures`.
    :param service_us_per_token: time per token over all engines of the service.
    :param known: speed in force until now.
    """
    if not sums.us_per_token:
        return 1.0
    ratio = service_us_per_token / sums.us_per_token
    n_attempts = sums.n_attempts
    trust = n_attempts**2 / (n_attempts**2 + HALF_TRUST_ATTEMPTS**2)
    speed = min(MAX_SPEED, max(MIN_SPEED, ratio**trust))
    if MIN_EQUAL_SPEED <= speed <= MAX_EQUAL_SPEED:
        return 1.0
    if known != 1.0:
        return speed if differs(ratio, n_attempts, N_ERRORS_TO_STAY) else 1.0
    if n_attempts < MIN_ATTEMPTS:
        return 1.0
    return speed if differs(ratio, n_attempts, N_ERRORS_TO_DIFFER) else 1.0


def differs(ratio, n_attempts, n_errors):
    """Return whether chance does not explain the difference of an engine.

    :param ratio: its speed relative to the service.
    :param n_attempts: decayed number of its attempts. In an exponentially decaying sum,
        attempts weigh as much as half of the number that the error is computed from.
    :param n_errors: number of standard errors that chance may explain.
    """
    error = ATTEMPT_DEVIATION / sqrt(2.0 * n_attempts)
    return abs(log(ratio)) > log(MAX_EQUAL_SPEED) + n_errors * error
