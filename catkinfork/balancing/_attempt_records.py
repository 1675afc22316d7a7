"""Events and outcomes of the attempts of one forwarder."""

from catkinfork.balancing._health import build_ejection_event
from catkinfork.balancing._jobs import (
    ABANDONED,
    BROKEN,
    SERVED,
    UNEXECUTED_OUTCOMES,
    UNSENT_OUTCOMES,
)


class AttemptRecordsMixin:
    """Records what becomes of attempts in the parts of a :class:`Balancer`.

    The balancer provides the parts: ``pools``, ``changes``, ``crash_guard``,
    ``transfers``, ``speed_meter``, ``registry`` and ``write_log``.
    """

    def record_event(self, placement, now):
        """Record an event of an attempt."""
        self.crash_guard.record_event(placement, now)
        if placement.has_first_event:
            self.crash_guard.record_later_event(placement, now)
            self.record_pause(placement, now)
        else:
            self.record_first_event(placement, now)
        placement.last_event_at = now

    def record_pause(self, placement, now):
        """Record the pause before an event of a stream.

        One in which this host was behind says nothing of the backend server.
        """
        pool = self.pools[placement.job.service]
        longest_s = placement.job.route.max_event_gap_s
        if not pool.pause_cost or not longest_s:
            return
        last_at = placement.last_event_at
        if not self.speed_meter.host_lag.has_lagged_since(last_at, now):
            pauses = pool.find(placement.backend.name).pauses
            pauses.record(now - last_at > longest_s, now)

    def record_reading_resumed(self, placement, now):
        """Count the pause before the next event from now.

        A caller that reads slowly holds up the events of its backend server.
        """
        if placement.last_event_at is not None:
            placement.last_event_at = now

    def record_abandoned_event(self, placement, now):
        """Record an event of an attempt for whose response nobody waits any more."""
        if placement.first_event_at is None:
            placement.first_event_at = now
        self.crash_guard.record_event(placement, now)
        self.crash_guard.record_later_event(placement, now)

    def record_first_event(self, placement, now):
        """Record the first event of an attempt."""
        if placement.has_first_event:
            return
        pool = self.pools[placement.job.service]
        pool.first_event_durations.record_duration(
            placement.job.route, now - placement.placed_at
        )
        placement.first_event_at = now
        self.transfers.record_first_event(placement, now)
        self.speed_meter.record_first_event(pool, placement, now)
        pool.find(placement.backend.name).load.record_first_event(placement)
        pending_s = now - placement.placed_at
        pool.untold.record_first_event(placement.n_missing_tokens, pending_s)
        self.changes.backends.add((placement.job.service, placement.backend.name))

    def handle_attempt_end(self, placement, outcome, now):
        """Remove an attempt from the load and record its outcome.

        :param outcome: outcome constant such as ``SERVED`` or ``FAILED``.
        """
        if placement.has_ended:
            return
        placement.has_ended = True
        placement.outcome = outcome
        self.transfers.record_end(placement, outcome, now)
        job = placement.job
        pool = self.pools[job.service]
        state = pool.find(placement.backend.name)
        state.load.remove_attempt(placement)
        pool.untold.record_freed(pool.model.request_cost)
        self.changes.backends.add((job.service, placement.backend.name))
        if outcome == ABANDONED:
            return
        self.record_outcome(pool, placement, outcome, now)

    def record_late_outcome(self, placement, outcome, now):
        """Record how an attempt has ended for whose response nobody waited any more.

        Load pattern: a request crashes the backend servers that run it. Its caller
        leaves before each crash, then sends it again.
        """
        if placement.outcome == ABANDONED:
            pool = self.pools[placement.job.service]
            self.record_outcome(pool, placement, outcome, now)
        else:
            self.record_evidence(placement, outcome, now)

    def record_evidence(self, placement, outcome, now):
        """Count a crash, or clear a request that was served."""
        if outcome == SERVED:
            self.crash_guard.record_served(placement, now)
        if outcome == BROKEN:
            self.crash_guard.record_crash(placement, now)

    def record_outcome(self, pool, placement, outcome, now):
        """Update durations, health and crash counts with the outcome of an attempt."""
        job = placement.job
        backend = placement.backend
        if outcome == SERVED:
            pool.durations.record_duration(job.route, now - placement.placed_at)
        self.record_evidence(placement, outcome, now)
        if outcome not in UNSENT_OUTCOMES:
            job.has_arrived = True
        if outcome not in UNEXECUTED_OUTCOMES:
            job.n_runs += 1
        if backend.is_throttled(now):
            # Rejections that it announces are no sign of a failure.
            return
        if not self.registry.is_current_start(backend.name, placement.started_ms):
            # Connections of a former start may end late, and eject the new one.
            return
        pool.health.record_outcome(outcome)
        state = pool.find(backend.name)
        if state.health.record_outcome(outcome, pool.health.failure_rate, now):
            rate = pool.health.failure_rate
            self.write_log(build_ejection_event(job, state.health, outcome, rate, now))
