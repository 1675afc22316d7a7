"""Which attempts of this forwarder tell the speed of an engine."""

from math import inf

from catkinfork.balancing._events import BACKEND_SPEED_CHANGED
from catkinfork.balancing._speeds import (
    STEP_TOKENS,
    SpeedFigures,
)
from catkinfork.observability import log_event

# Lag of the event loop above which the attempts in flight are not counted, seconds: a
# quarter of the shortest target for a first event.
MAX_LAG_S = 0.075


class HostLag:
    """Whether the event loop of this host was late while an attempt was in flight.

    ``due_at`` is the monotonic time at which the next sweep is due: after a pause, the
    loop handles responses before the sweep that measures the lag.
    """

    def __init__(self):
        self.due_at = inf
        self.lagged_at = -inf

    def record(self, lag_s, now):
        """Record the lag that a sweep has measured, seconds."""
        if lag_s > MAX_LAG_S:
            self.lagged_at = now

    def has_lagged_since(self, started_at, now):
        """Return whether the loop was late at any time since."""
        return self.lagged_at >= started_at or now - self.due_at > MAX_LAG_S


class SpeedMeter:
    """Counts attempts, and puts the speeds of the engines of all services in force.

    :param registry: :class:`BackendRegistry`.
    :param changes: :class:`ChangeSet`.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, registry, changes, write_log):
        self.registry = registry
        self.changes = changes
        self.write_log = write_log
        self.host_lag = HostLag()

    def begin(self, pool, placement, state, now):
        """Note the work ahead of an attempt, before it is added to the load.

        :param pool: :class:`ServicePool`.
        :param state: :class:`BackendState` of its backend server.
        """
        if pool.has_speeds and self.is_measurable(placement, now):
            placement.speed_record = state.speed_record
            placement.n_tokens_ahead = state.load.n_all_pending_tokens

    def is_measurable(self, placement, now):
        """Return whether the time to the first event tells the speed of an engine.

        It has to hold at the placement and at the first event. A transfer takes time of
        the link and of another engine.
        """
        if placement.transfer is not None:
            return False
        backend = placement.backend
        if backend.is_cold(now) or backend.is_recovering(now):
            return False
        limit = self.registry.rate_limits.find(backend.entry)
        if limit is not None and limit.compute_rate(now) < inf:
            return False
        return not self.host_lag.has_lagged_since(placement.placed_at, now)

    def record_first_event(self, pool, placement, now):
        """Count an attempt at its first event, before the load follows.

        The pending tokens ahead of it are the mean of those known at its placement and
        at its first event. At the placement, those that peers have just placed are
        still unknown, and the engine was chosen as little seemed to be pending: taken
        alone, they double the noise of the estimate. In an engine that prefills prompts
        in order, as many tokens are left behind on average as were found.
        """
        record = placement.speed_record
        if record is None or not pool.has_speeds:
            return
        if not self.is_measurable(placement, now):
            return
        time_us = max(1, round(1e6 * (now - placement.placed_at)))
        load = pool.find(placement.backend.name).load
        n_left = max(0, load.n_all_pending_tokens - placement.n_missing_tokens)
        n_ahead = (placement.n_tokens_ahead + n_left) // 2
        n_tokens = n_ahead + placement.n_missing_tokens + STEP_TOKENS
        figures = SpeedFigures(1, time_us, n_tokens)
        if figures.is_plausible(0.0):
            record.totals = record.totals.add(figures)
            pool.speeds.record(record, figures, now)
            key = (pool.service.name, placement.backend.name)
            self.changes.speeds[key] = True

    def update(self, pool, now):
        """Put the speeds of a service in force if an update is due.

        :param pool: :class:`ServicePool`.
        """
        if not pool.has_speeds or now < pool.speeds.next_update_at:
            return
        for backend in self.registry.list_ready(pool.service.name):
            pool.find(backend.name).follow_entry(backend.entry)
        self.forget_replaced(pool)
        for change in pool.speeds.update(pool.states, now):
            self.log_change(pool, change)

    def forget_replaced(self, pool):
        """Forget the speeds of servers whose address another one has taken over."""
        owners = {}
        for backend in self.registry.backends.values():
            entry = backend.entry
            owner = owners.get(entry.address)
            if owner is None or entry.started_ms > owner.started_ms:
                owners[entry.address] = entry
        for state in pool.states.values():
            start = state.speed_record.start
            owner = owners.get(start.address)
            if owner is not None and owner.started_ms > start.started_ms:
                state.forget_speed(start)

    def log_change(self, pool, change):
        """Log that a server starts or stops counting as slow.

        :param change: :class:`SpeedChange`.
        """
        self.write_log(
            log_event(
                BACKEND_SPEED_CHANGED,
                backend_server=change.name,
                service=pool.service.name,
                is_slow=change.speed < 1.0,
                speed=round(change.speed, 3),
                n_attempts=round(change.sums.n_attempts, 1),
                us_per_token=round(change.sums.us_per_token, 3),
                service_us_per_token=round(change.service_sums.us_per_token, 3),
                window_s=pool.speeds.window_s,
            )
        )
