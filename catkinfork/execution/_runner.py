"""Lifecycle of executions and of the attempts that wait for their answers."""

from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.execution import _key_records as records
from catkinfork.execution._actions import CancelRequest, RunRequest
from catkinfork.execution._answers import MAX_UNACKED_BYTES
from catkinfork.execution._attempts import AttemptTable
from catkinfork.execution._meter import ServiceMeter
from catkinfork.observability import log_event
from catkinfork.protocol import Send, StartRefused, check_invariant


class Runner:
    """Starts, cancels and ends executions and delivers their answers.

    :param key_records: :class:`KeyRecords`.
    :param suspects: :class:`SuspectTable`.
    :param claims: :class:`ClaimTable`.
    """

    def __init__(self, key_records, suspects, claims):
        self.key_records = key_records
        self.claims = claims
        self.suspects = suspects
        self.attempts = AttemptTable()
        self.meter = ServiceMeter()
        self.pending = []
        self.running = {}

    def refuse(self, start, code, outcome, is_retryable, now, redirect=""):
        """Refuse the attempt of a start; the refusal is repeated for duplicates."""
        refusal = StartRefused(start.attempt, code, outcome, is_retryable, redirect)
        self.attempts.refuse(refusal, now)
        values = {"request_id": start.request_id, "workspace": start.workspace}
        log = log_event(events.REFUSAL, code=code, outcome=outcome, **values)
        return [log, Send(start.attempt.router, refusal)]

    def refuse_listeners(
        self, execution, code, outcome, is_retryable, now, redirect=""
    ):
        """Refuse every attempt that waits for an execution."""
        actions = []
        for attempt in list(execution.answer.listeners):
            start = execution.start._replace(attempt=attempt)
            actions += self.refuse(start, code, outcome, is_retryable, now, redirect)
        return actions

    def attach(self, attempt, answer, execution, deadline, now):
        """Register an attempt for an answer and send it the parts so far."""
        self.attempts.open(attempt, answer, execution)
        actions = answer.add_listener(attempt, deadline, now)
        if answer.is_ended:
            self.attempts.close(attempt, now)
        return actions

    def enqueue(self, execution, deadline, now):
        """Add an execution to the pending ones, which wait for a place."""
        self.pending.append(execution)
        attempt = execution.attempt
        return self.attach(attempt, execution.answer, execution, deadline, now)

    def find_running_suspect(self):
        """Return the fingerprint of a running crash suspect, empty if there is none."""
        for execution in self.running.values():
            fingerprint = execution.start.fingerprint
            if execution.is_suspect or self.suspects.is_suspect(fingerprint):
                return fingerprint
        return b""

    def find_startable(self):
        """Return the first pending execution that may start, or None."""
        is_suspect_running = None
        for execution in self.pending:
            if execution.is_claiming:
                continue
            if not self.is_suspect(execution):
                return execution
            if is_suspect_running is None:
                is_suspect_running = bool(self.find_running_suspect())
            if not is_suspect_running:
                return execution
        return None

    def is_suspect(self, execution):
        """Return whether the request of an execution is a crash suspect."""
        fingerprint = execution.start.fingerprint
        return execution.is_suspect or self.suspects.is_suspect(fingerprint)

    def start_execution(self, execution, n_places, now):
        """Send a pending request to the backend server.

        :raises InvariantError: if a second suspect would run at the same time, or a key
            would run twice.
        """
        check_invariant(
            not self.is_suspect(execution) or not self.find_running_suspect(),
            "one_suspect_runs",
            f"request {execution.start.request_id}",
        )
        self.pending.remove(execution)
        if execution.record is not None:
            self.key_records.record_start(execution.record)
        start = execution.start
        execution.is_running = True
        execution.started_at = now
        self.running[execution.attempt] = execution
        self.meter.note_start(start.workspace)
        log = log_event(
            events.START,
            request_id=start.request_id,
            workspace=start.workspace,
            target=start.target,
            n_running=len(self.running),
            n_places=n_places,
        )
        return [log, RunRequest(start)]

    def discard(self, execution):
        """Remove a pending execution that never ran, with the record of its key."""
        self.pending.remove(execution)
        self.claims.remove(execution)
        if execution.record is not None:
            self.key_records.remove(execution.record)

    def return_to_routers(self, execution, code, now, redirect=""):
        """Refuse a pending request so that its routers may send it elsewhere."""
        self.discard(execution)
        outcome = codes.NOT_RUN
        return self.refuse_listeners(execution, code, outcome, True, now, redirect)

    def return_all_to_routers(self, now):
        """Refuse all pending requests so that their routers may send them elsewhere."""
        actions = []
        for execution in list(self.pending):
            actions += self.return_to_routers(execution, codes.SERVER_UNAVAILABLE, now)
        return actions

    def enforce_deadlines(self, now):
        """Refuse pending requests and cancel cancellable ones past their deadline."""
        actions = []
        code = codes.DEADLINE_EXCEEDED
        for execution in list(self.pending):
            if execution.deadline <= now:
                actions += self.refuse_permanently(execution, code, now)
        for execution in self.running.values():
            deadline = execution.deadline
            if execution.is_cancellable and deadline is not None and deadline <= now:
                actions += self.cancel(execution, code)
        return actions

    def refuse_permanently(self, execution, code, now):
        """Refuse a pending request permanently and close its key.

        While the key is being claimed, its record is removed instead and the outcome is
        unknown, since another server may still report that it ran the key.
        """
        if execution.record is None or execution.is_claiming:
            is_closed = execution.record is None
            self.discard(execution)
        else:
            is_closed = True
            self.pending.remove(execution)
            self.key_records.finalize(execution.record, records.CLOSED)
        outcome = codes.NOT_RUN if is_closed else codes.OUTCOME_UNKNOWN
        return self.refuse_listeners(execution, code, outcome, False, now)

    def record_units(self, execution, units):
        """Count service delivered to a running execution."""
        units = max(0, units)
        execution.units += units
        self.meter.note_units(execution.start.workspace, units)

    def add_data(self, execution, data, now):
        """Send body bytes; abort the answer if too many are unacknowledged."""
        actions = execution.answer.add_data(data, now)
        if execution.answer.n_bytes <= MAX_UNACKED_BYTES:
            return actions
        actions += execution.answer.abort(codes.RESPONSE_TOO_LARGE, now)
        if execution.is_cancellable:
            actions += self.cancel(execution, codes.RESPONSE_TOO_LARGE)
        return actions

    def cancel(self, execution, code):
        """Ask the backend server to cancel a running request; repeats do nothing."""
        if execution.cancel_code:
            return []
        execution.cancel_code = code
        return [CancelRequest(execution.attempt)]

    def remove_running(self, execution, units, failure):
        """Free the place of an ended execution and return its log event."""
        del self.running[execution.attempt]
        start = execution.start
        total = max(units, execution.units)
        self.meter.note_end(start.workspace, execution.units, total)
        return log_event(
            events.END,
            request_id=start.request_id,
            workspace=start.workspace,
            failure=failure,
            units=total,
            n_running=len(self.running),
        )

    def complete(self, execution, units, now):
        """End an execution with a complete answer."""
        actions = [self.remove_running(execution, units, "")]
        total = max(units, execution.units)
        actions += execution.answer.add(now, is_last=True, units=total)
        self.close_attempts(execution, now)
        record = execution.record
        if record is not None:
            record.answer = execution.answer
            self.key_records.record_answer(record)
        return actions

    def fail(self, execution, code, now):
        """End an execution that may have run but has no complete answer."""
        actions = [self.remove_running(execution, 0, code)]
        actions += execution.answer.add(now, failure=code, units=execution.units)
        self.close_attempts(execution, now)
        if execution.record is not None:
            self.key_records.finalize(execution.record, records.UNCERTAIN)
        return actions

    def fail_not_run(self, execution, code, now):
        """End an execution that certainly did not run at the backend server."""
        actions = [self.remove_running(execution, 0, code)]
        if execution.record is not None:
            self.key_records.remove(execution.record)
        actions += self.refuse_listeners(execution, code, codes.NOT_RUN, True, now)
        return actions

    def close_attempts(self, execution, now):
        """Close every attempt that waits for the answer of an execution."""
        for attempt in execution.answer.listeners:
            self.attempts.close(attempt, now)

    def abandon(self, attempt, entry, code, now):
        """Abandon an attempt whose caller or router no longer waits.

        If no other attempt waits for the execution, it is discarded while pending, and
        cancelled while running if it is cancellable.
        """
        execution = entry.execution
        if execution is None or execution.answer.is_ended:
            entry.answer.remove_listener(attempt)
            entry.answer = None
            self.attempts.close(attempt, now)
            return []
        if not execution.is_running:
            refusal = StartRefused(attempt, code, codes.NOT_RUN, True)
            self.attempts.refuse(refusal, now)
            if not execution.answer.listeners:
                self.discard(execution)
            return []
        entry.answer.remove_listener(attempt)
        entry.answer = None
        self.attempts.close(attempt, now)
        return self.cancel_without_listeners(execution, code)

    def cancel_without_listeners(self, execution, code):
        """Cancel a cancellable execution that no live attempt waits for."""
        listeners = execution.answer.listeners.values()
        if not execution.is_cancellable or any(not x.is_silent for x in listeners):
            return []
        return self.cancel(execution, code)

    def handle_router_silence(self, attempt, entry, code, now):
        """Stop sending to an attempt whose router is silent; it may still resume."""
        execution = entry.execution
        listener = entry.answer.listeners[attempt]
        listener.is_silent = True
        if execution is None or execution.answer.is_ended:
            return []
        if not execution.is_running:
            return self.abandon(attempt, entry, code, now)
        return self.cancel_without_listeners(execution, code)

    def build_keepalives(self, now):
        """Return the keepalives due to the attempts that wait."""
        actions = []
        for execution in [*self.pending, *self.running.values()]:
            if not execution.answer.is_ended:
                actions += execution.answer.build_keepalives(now)
        return actions
