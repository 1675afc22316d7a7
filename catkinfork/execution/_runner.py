"""Executions that wait or run, and the attempts that wait for their answers."""

from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.execution import _records as records
from catkinfork.execution._actions import CancelRequest, RunRequest
from catkinfork.execution._answers import MAX_UNACKED_BYTES
from catkinfork.execution._attempts import AttemptTable
from catkinfork.execution._meter import ServiceMeter
from catkinfork.observability import log_event
from catkinfork.protocol import Send, StartRefused, check_invariant


class Runner:
    """Starts, stops and ends executions, and sends their answers.

    :param key_records: :class:`KeyRecords`.
    :param suspects: :class:`SuspectBook`.
    :param claims: :class:`ClaimBook`.
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
        """Refuse the attempt of a start, now and whenever it is repeated."""
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

    def listen(self, attempt, answer, execution, deadline, now):
        """Let an attempt wait for an answer and send the parts so far."""
        self.attempts.open(attempt, answer, execution)
        actions = answer.listen(attempt, deadline, now)
        if answer.is_ended:
            self.attempts.close(attempt, now)
        return actions

    def add(self, execution, deadline, now):
        """Let an execution wait for a place."""
        self.pending.append(execution)
        attempt = execution.attempt
        return self.listen(attempt, execution.answer, execution, deadline, now)

    def find_running_suspect(self):
        """Return the fingerprint of a suspect that runs, empty if there is none."""
        for execution in self.running.values():
            fingerprint = execution.start.fingerprint
            if execution.is_suspect or self.suspects.is_suspect(fingerprint):
                return fingerprint
        return b""

    def find_ready(self):
        """Return the first waiting execution that may start, None if none may."""
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
        """Return whether a request was in flight at a crash."""
        fingerprint = execution.start.fingerprint
        return execution.is_suspect or self.suspects.is_suspect(fingerprint)

    def begin(self, execution, n_places, now):
        """Send a waiting request to the backend server.

        :raises InvariantError: if a second suspect or a key would run again.
        """
        check_invariant(
            not self.is_suspect(execution) or not self.find_running_suspect(),
            "one_suspect_runs",
            f"request {execution.start.request_id}",
        )
        self.pending.remove(execution)
        if execution.record is not None:
            self.key_records.note_start(execution.record)
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
        """Drop a waiting execution that never ran; its key is free again."""
        self.pending.remove(execution)
        self.claims.drop(execution)
        if execution.record is not None:
            self.key_records.remove(execution.record)

    def give_back(self, execution, code, now, redirect=""):
        """Return a waiting request to its routers, which may send it elsewhere."""
        self.discard(execution)
        outcome = codes.NOT_RUN
        return self.refuse_listeners(execution, code, outcome, True, now, redirect)

    def give_back_all(self, now):
        """Return all waiting requests to their routers."""
        actions = []
        for execution in list(self.pending):
            actions += self.give_back(execution, codes.GIVEN_BACK, now)
        return actions

    def end_overdue(self, now):
        """End waiting requests, and running ones that may stop, at their deadline."""
        actions = []
        code = codes.DEADLINE_EXCEEDED
        for execution in list(self.pending):
            if execution.deadline <= now:
                actions += self.close_key(execution, code, now)
        for execution in self.running.values():
            deadline = execution.deadline
            if execution.is_stoppable and deadline is not None and deadline <= now:
                actions += self.cancel(execution, code)
        return actions

    def close_key(self, execution, code, now):
        """Refuse a waiting request for good; its key never runs.

        While the key is claimed, other servers may still report that it ran.
        """
        if execution.record is None or execution.is_claiming:
            is_closed = execution.record is None
            self.discard(execution)
        else:
            is_closed = True
            self.pending.remove(execution)
            self.key_records.settle(execution.record, records.CLOSED)
        outcome = codes.NOT_RUN if is_closed else codes.OUTCOME_UNKNOWN
        return self.refuse_listeners(execution, code, outcome, False, now)

    def note_units(self, execution, units):
        """Count service delivered to a running execution."""
        units = max(0, units)
        execution.units += units
        self.meter.note_units(execution.start.workspace, units)

    def add_data(self, execution, data, now):
        """Send body bytes; break the answer off if nobody acknowledges it."""
        actions = execution.answer.add_data(data, now)
        if execution.answer.n_bytes <= MAX_UNACKED_BYTES:
            return actions
        actions += execution.answer.break_off(codes.RESPONSE_TOO_LARGE, now)
        if execution.is_stoppable:
            actions += self.cancel(execution, codes.RESPONSE_TOO_LARGE)
        return actions

    def cancel(self, execution, code):
        """Ask the backend to stop a running request, once."""
        if execution.ending:
            return []
        execution.ending = code
        return [CancelRequest(execution.attempt)]

    def remove_running(self, execution, units, failure):
        """Free the place of an execution that has ended."""
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
        self.close_listeners(execution, now)
        record = execution.record
        if record is not None:
            record.answer = execution.answer
            self.key_records.note_answer(record)
        return actions

    def fail(self, execution, code, now):
        """End an execution that may have run without a complete answer."""
        actions = [self.remove_running(execution, 0, code)]
        actions += execution.answer.add(now, failure=code, units=execution.units)
        self.close_listeners(execution, now)
        if execution.record is not None:
            self.key_records.settle(execution.record, records.UNCERTAIN)
        return actions

    def fail_unsent(self, execution, code, now):
        """End an execution of which the backend server rules out that it ran."""
        actions = [self.remove_running(execution, 0, code)]
        if execution.record is not None:
            self.key_records.remove(execution.record)
        actions += self.refuse_listeners(execution, code, codes.NOT_RUN, True, now)
        return actions

    def close_listeners(self, execution, now):
        """Note the end of the answer for every attempt that waits for it."""
        for attempt in execution.answer.listeners:
            self.attempts.close(attempt, now)

    def abandon(self, attempt, entry, code, now):
        """Drop an attempt whose caller has gone.

        A waiting execution without another attempt is dropped; a running one is
        stopped if it may be.
        """
        execution = entry.execution
        if execution is None or execution.answer.is_ended:
            entry.answer.forget(attempt)
            entry.answer = None
            self.attempts.close(attempt, now)
            return []
        if not execution.is_running:
            refusal = StartRefused(attempt, code, codes.NOT_RUN, True)
            self.attempts.refuse(refusal, now)
            if not execution.answer.listeners:
                self.discard(execution)
            return []
        entry.answer.forget(attempt)
        entry.answer = None
        self.attempts.close(attempt, now)
        return self.stop_unheard(execution, code)

    def stop_unheard(self, execution, code):
        """Stop a running execution if it may be and no attempt waits for it."""
        listeners = execution.answer.listeners.values()
        if not execution.is_stoppable or any(not x.is_silent for x in listeners):
            return []
        return self.cancel(execution, code)

    def mute(self, attempt, entry, code, now):
        """Treat the router of an attempt as gone, though it may still come back."""
        execution = entry.execution
        listener = entry.answer.listeners[attempt]
        listener.is_silent = True
        if execution is None or execution.answer.is_ended:
            return []
        if not execution.is_running:
            return self.abandon(attempt, entry, code, now)
        return self.stop_unheard(execution, code)

    def keep_alive(self, now):
        """Return keepalives to the attempts that wait."""
        actions = []
        for execution in [*self.pending, *self.running.values()]:
            if not execution.answer.is_ended:
                actions += execution.answer.keep_alive(now)
        return actions
