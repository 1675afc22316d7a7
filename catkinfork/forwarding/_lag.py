"""Detection of an event loop that falls behind."""

from typing import NamedTuple

# Lag above which the loop counts as behind, and below which it has caught up, seconds.
BEHIND_LAG_S = 0.25
CAUGHT_UP_LAG_S = 0.08
# Time for which the lag must stay beyond a threshold before the state changes, seconds.
BEHIND_AFTER_S = 0.5
CAUGHT_UP_AFTER_S = 1.5
# Fraction of a peak that remains after each later sample.
PEAK_DECAY = 0.7


class LagChange(NamedTuple):
    """A change of state.

    :param is_behind: the new state.
    :param lag_s: lag that decided it, seconds.
    """

    is_behind: bool
    lag_s: float


class LagMonitor:
    """Tracks by how much the periodic sweep runs late.

    Load pattern: a flood at a host with a small processor share. Requests then wait in
    the sockets before they are read, so the time at which a request is read says little
    about when its caller sent it.

    ``lag_s`` estimates for how long a request may have waited before it was read: a
    decaying peak of the lateness of the sweep, and the time since which connections
    have been waiting to be accepted. ``is_behind`` has hysteresis, so that a host does
    not flap between ready and not ready.
    """

    def __init__(self):
        self.lag_s = 0.0
        self.backlog_since = None
        self.is_behind = False
        self.beyond_since = None

    def record(self, planned_at, now, has_backlog=False):
        """Record one run of the sweep.

        :param planned_at: monotonic time at which it was due, seconds.
        :param has_backlog: whether connections wait to be accepted.
        :returns: :class:`LagChange`, or None if the state is unchanged.
        """
        lag_s = max(0.0, now - planned_at)
        if not has_backlog:
            self.backlog_since = None
        elif self.backlog_since is None:
            self.backlog_since = now
        else:
            lag_s = max(lag_s, now - self.backlog_since)
        self.lag_s = max(lag_s, PEAK_DECAY * self.lag_s)
        if self.is_behind:
            is_beyond = self.lag_s < CAUGHT_UP_LAG_S
            required_s = CAUGHT_UP_AFTER_S
        else:
            is_beyond = self.lag_s > BEHIND_LAG_S
            required_s = BEHIND_AFTER_S
        if not is_beyond:
            self.beyond_since = None
            return None
        if self.beyond_since is None:
            self.beyond_since = now - max(0.0, now - planned_at)
        if now - self.beyond_since < required_s:
            return None
        self.is_behind = not self.is_behind
        self.beyond_since = None
        return LagChange(self.is_behind, self.lag_s)
