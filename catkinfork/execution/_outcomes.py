"""Events of the backend server: answers, failures and health."""

from catkinfork.document import ENGINE
from catkinfork.execution import _actions as backend
from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.observability import log_event


class OutcomeDesk:
    """Turns backend events into answers, and into signals for limit and suspects.

    :param capacity: :class:`Capacity`.
    :param suspects: :class:`SuspectBook`.
    :param runner: :class:`Runner`.

    ``pool`` is the entry of the pool in the document in force.
    """

    def __init__(self, capacity, suspects, runner):
        self.capacity = capacity
        self.suspects = suspects
        self.runner = runner
        self.pool = None
        self.handlers = {
            backend.BackendHead: self.take_head,
            backend.BackendData: self.take_data,
            backend.BackendEnd: self.take_end,
            backend.BackendFailure: self.take_failure,
        }

    def observe(self, event, now):
        """Take an event; events of a request that does not run are ignored."""
        if isinstance(event, backend.BackendHealth):
            return self.take_health(event, now)
        execution = self.runner.running.get(event.attempt)
        if execution is None:
            return []
        return self.handlers[type(event)](execution, event, now)

    def take_head(self, execution, event, now):
        """Send status and headers as part 0."""
        if execution.has_head:
            return []
        execution.has_head = True
        self.capacity.limiter.note_first_byte(execution.started_at, now)
        return execution.answer.add(now, status=event.status, headers=event.headers)

    def take_data(self, execution, event, now):
        """Send body bytes and stop a request that has become too expensive."""
        is_first = execution.units == 0
        self.runner.note_units(execution, event.units)
        if is_first and execution.units > 0:
            self.note_progress(now)
        actions = self.runner.add_data(execution, event.data, now)
        if self.pool is not None and execution.units > self.pool.max_cost:
            actions += self.runner.cancel(execution, codes.TOO_EXPENSIVE)
        return actions

    def note_progress(self, now):
        """Let the limit grow if every running request has produced something."""
        running = self.runner.running.values()
        if all(execution.units > 0 for execution in running):
            self.capacity.note_all_producing(len(running), now)

    def take_end(self, execution, event, now):
        """Complete an answer."""
        self.capacity.note_success(execution.started_at, now)
        self.capacity.handover.note_completion(now)
        self.suspects.note_success(execution.start.fingerprint)
        return self.runner.complete(execution, event.units, now)

    def take_failure(self, execution, event, now):
        """End a request that the backend server has not answered completely."""
        started_at = execution.started_at
        if event.kind == backend.REFUSED:
            self.capacity.note_refused_connection(started_at, now)
            return self.runner.fail_unsent(execution, codes.BACKEND_REFUSED, now)
        if event.kind == backend.OVERLOADED:
            self.capacity.limiter.note_overload(started_at, now)
            return self.fail_overloaded(execution, now)
        if event.kind in (backend.RESET, backend.SILENT):
            actions = self.note_crash(event.kind, now)
            self.capacity.limiter.note_lost_connection(started_at, now)
            return actions + self.runner.fail(execution, codes.BACKEND_CRASHED, now)
        kind = codes.TOO_EXPENSIVE
        if event.kind == backend.CANCELLED:
            kind = execution.ending or codes.ATTEMPT_CANCELLED
        return self.runner.fail(execution, kind, now)

    def fail_overloaded(self, execution, now):
        """End a request that was turned away.

        An engine turns requests away before it admits them. A plain service may have
        done part of the work.
        """
        is_engine = self.pool is not None and self.pool.kind == ENGINE
        code = codes.BACKEND_OVERLOADED
        if is_engine and not execution.has_head:
            return self.runner.fail_unsent(execution, code, now)
        return self.runner.fail(execution, code, now)

    def take_health(self, event, now):
        """Take a health check."""
        actions = []
        if self.capacity.is_up and not event.is_up:
            actions = self.note_crash("health", now)
        self.capacity.note_health(event.is_up, event.is_cold, now)
        return actions

    def note_crash(self, cause, now):
        """Make suspects of the requests in flight, each once for each run."""
        fingerprints = []
        for execution in self.runner.running.values():
            if not execution.is_crash_noted:
                execution.is_crash_noted = True
                fingerprints.append(execution.start.fingerprint)
        if not fingerprints:
            return []
        self.suspects.note_crash(fingerprints, now)
        n_in_flight = len(fingerprints)
        return [log_event(events.CRASH, cause=cause, n_in_flight=n_in_flight)]
