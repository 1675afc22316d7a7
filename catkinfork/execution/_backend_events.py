"""Handling of backend server events: responses, failures and health checks."""

from catkinfork.document import ENGINE
from catkinfork.execution import _actions as backend
from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.observability import log_event


class BackendEventHandler:
    """Passes backend events on to answers, concurrency limit and crash suspects.

    :param capacity: :class:`Capacity`.
    :param suspects: :class:`SuspectTable`.
    :param runner: :class:`Runner`.

    ``pool`` is the entry of the pool in the document in force.
    """

    def __init__(self, capacity, suspects, runner):
        self.capacity = capacity
        self.suspects = suspects
        self.runner = runner
        self.pool = None
        self.handlers = {
            backend.BackendHead: self.handle_head,
            backend.BackendData: self.handle_data,
            backend.BackendEnd: self.handle_end,
            backend.BackendFailure: self.handle_failure,
        }

    def handle(self, event, now):
        """Handle an event; it is ignored if its request is not running."""
        if isinstance(event, backend.BackendHealth):
            return self.handle_health(event, now)
        execution = self.runner.running.get(event.attempt)
        if execution is None:
            return []
        return self.handlers[type(event)](execution, event, now)

    def handle_head(self, execution, event, now):
        """Send status and headers as part 0."""
        if execution.has_head:
            return []
        execution.has_head = True
        self.capacity.limiter.record_first_byte(execution.started_at, now)
        return execution.answer.add(now, status=event.status, headers=event.headers)

    def handle_data(self, execution, event, now):
        """Send body bytes; cancel a request that exceeds ``max_cost``."""
        is_first = execution.units == 0
        self.runner.record_units(execution, event.units)
        if is_first and execution.units > 0:
            self.record_progress(now)
        actions = self.runner.add_data(execution, event.data, now)
        if self.pool is not None and execution.units > self.pool.max_cost:
            actions += self.runner.cancel(execution, codes.TOO_EXPENSIVE)
        return actions

    def record_progress(self, now):
        """Let the limit grow if every running request has produced output."""
        running = self.runner.running.values()
        if all(execution.units > 0 for execution in running):
            self.capacity.record_all_producing(len(running), now)

    def handle_end(self, execution, event, now):
        """Complete an answer."""
        self.capacity.record_success(execution.started_at, now)
        self.capacity.handover.record_completion(now)
        self.suspects.record_success(execution.start.fingerprint)
        return self.runner.complete(execution, event.units, now)

    def handle_failure(self, execution, event, now):
        """End a request without a complete response."""
        started_at = execution.started_at
        if event.kind == backend.REFUSED:
            self.capacity.record_refused_connection(started_at, now)
            return self.runner.fail_not_run(execution, codes.BACKEND_REFUSED, now)
        if event.kind == backend.OVERLOADED:
            self.capacity.limiter.record_overload(started_at, now)
            return self.fail_overloaded(execution, now)
        if event.kind in (backend.RESET, backend.SILENT):
            actions = self.record_crash(event.kind, now)
            self.capacity.limiter.record_lost_connection(started_at, now)
            return actions + self.runner.fail(execution, codes.BACKEND_CRASHED, now)
        kind = codes.TOO_EXPENSIVE
        if event.kind == backend.CANCELLED:
            kind = execution.cancel_code or codes.ATTEMPT_CANCELLED
        return self.runner.fail(execution, kind, now)

    def fail_overloaded(self, execution, now):
        """End a request that was rejected for overload.

        An engine rejects requests before it admits them. A plain service may have
        done part of the work.
        """
        is_engine = self.pool is not None and self.pool.kind == ENGINE
        code = codes.BACKEND_OVERLOADED
        if is_engine and not execution.has_head:
            return self.runner.fail_not_run(execution, code, now)
        return self.runner.fail(execution, code, now)

    def handle_health(self, event, now):
        """Handle a health check; a transition to down counts as a crash."""
        actions = []
        if self.capacity.is_up and not event.is_up:
            actions = self.record_crash("health", now)
        self.capacity.record_health(event.is_up, event.is_cold, now)
        return actions

    def record_crash(self, cause, now):
        """Mark the requests in flight as crash suspects, once per execution."""
        fingerprints = []
        for execution in self.runner.running.values():
            if not execution.is_crash_recorded:
                execution.is_crash_recorded = True
                fingerprints.append(execution.start.fingerprint)
        if not fingerprints:
            return []
        self.suspects.record_crash(fingerprints, now)
        n_in_flight = len(fingerprints)
        return [log_event(events.CRASH, cause=cause, n_in_flight=n_in_flight)]
