"""The decision object of an agent."""

from catkinfork.document import ENGINE
from catkinfork.execution import _actions as backend
from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.execution._capacity import Capacity
from catkinfork.execution._claims import ClaimBook
from catkinfork.execution._errors import check_invariant
from catkinfork.execution._execution import Execution
from catkinfork.execution._keyed import KeyAttach, KeyDesk, KeyRefusal
from catkinfork.execution._records import PENDING, RELEASED
from catkinfork.execution._reporter import Reporter
from catkinfork.execution._runner import Runner
from catkinfork.execution._suspects import SuspectBook
from catkinfork.observability import log_event
from catkinfork.protocol import (
    BackendServerStatus,
    BaseCore,
    Cancel,
    Claim,
    ClaimReply,
    ReportAck,
    ResponseAck,
    Resume,
    Send,
    Start,
    StartRefused,
    TicketReturn,
)


class AgentCore(BaseCore):
    """Decisions of the agent beside one backend server.

    :meth:`tick` is to be called at least every 0.1 s. A gap of a ticket's lifetime
    between two calls of any method counts as a pause of the process.

    :param settings: :class:`AgentSettings`.
    :param identity: :class:`Sender` of this process.
    :param wall_offset_s: wall-clock time minus monotonic time.
    """

    def __init__(self, settings, identity, wall_offset_s):
        execution = settings.execution
        self.settings = settings
        self.identity = identity
        self.name = settings.backend.name
        self.view = None
        self.pool = ""
        self.called_at = None
        self.capacity = Capacity(execution)
        self.suspects = SuspectBook(execution)
        self.keys = KeyDesk(execution, self.name, wall_offset_s)
        self.claims = ClaimBook(execution, self.name, identity.incarnation)
        self.runner = Runner(self.keys.records, self.suspects)
        self.reporter = Reporter(self.runner.meter)
        self.message_handlers = {
            Cancel: self.take_cancel,
            Claim: self.take_claim,
            ClaimReply: self.take_claim_reply,
            ReportAck: self.take_report_ack,
            ResponseAck: self.take_response_ack,
            Resume: self.take_resume,
            Start: self.take_start,
            TicketReturn: self.take_ticket_return,
        }
        self.event_handlers = {
            backend.BackendHead: self.take_head,
            backend.BackendData: self.take_data,
            backend.BackendEnd: self.take_end,
            backend.BackendFailure: self.take_failure,
        }

    @property
    def n_running(self):
        """Number of requests that run on the backend server."""
        return len(self.runner.running)

    def list_status(self):
        """Return the :class:`BackendServerStatus` of the backend server."""
        return BackendServerStatus(
            self.name,
            self.settings.fleet.data_centre,
            self.capacity.state,
            self.capacity.n_places,
            self.n_running,
        )

    def adopt(self, view, now):
        """Take the document in force.

        :param view: :class:`DocumentView`.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        actions = self.note_time(now)
        self.view = view
        entry = view.backend_servers.get(self.name)
        if entry is not None:
            self.pool = entry.pool
            self.capacity.limiter.set_maximum(entry.max_places)
        self.capacity.is_in_service = view.is_in_service(self.name)
        cause = self.keys.adopt(view, now)
        if cause:
            floor_ms = self.keys.records.floor_ms
            actions.append(log_event(events.FLOOR, floor_ms=floor_ms, cause=cause))
        return self.settle(actions, now)

    def set_dispatchers(self, addresses, now):
        """Set the live routers in the rendezvous order of the pool.

        :param addresses: inner addresses; reports go to the first.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        actions = self.note_time(now)
        address = addresses[0] if addresses else ""
        if self.reporter.set_dispatcher(address):
            self.capacity.tickets.void()
            actions.append(log_event(events.DISPATCHER, dispatcher=address))
        return self.settle(actions, now)

    def set_leaving(self, is_leaving, now):
        """Set whether the host is leaving or the process drains."""
        actions = self.note_time(now)
        self.capacity.is_leaving = is_leaving
        return self.settle(actions, now)

    def drop_router(self, address, now):
        """Take note that a router has been silent for too long."""
        actions = self.note_time(now)
        for attempt, entry in self.runner.attempts.list_router(address):
            actions += self.runner.mute(attempt, entry, codes.ROUTER_SILENT, now)
        return self.settle(actions, now)

    def handle(self, sender, message, now):
        actions = self.note_time(now)
        handler = self.message_handlers.get(type(message))
        if handler is not None:
            actions += handler(sender, message, now)
        return self.settle(actions, now)

    def observe(self, event, now):
        """Take an event of the backend server.

        :param event: one of ``BackendEvent``; events of a request that does not run
            are ignored.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        actions = self.note_time(now)
        if isinstance(event, backend.BackendHealth):
            actions += self.take_health(event, now)
            return self.settle(actions, now)
        execution = self.runner.running.get(event.attempt)
        if execution is not None:
            actions += self.event_handlers[type(event)](execution, event, now)
        return self.settle(actions, now)

    def tick(self, now):
        actions = self.note_time(now)
        self.suspects.forget_old(now)
        self.runner.attempts.forget_old(now)
        for execution in self.claims.take_expired(now):
            actions += self.end_claim(execution, codes.OWNER_UNREACHABLE, now)
        actions += self.end_overdue(now)
        actions += self.runner.keep_alive(now)
        return self.settle(actions, now)

    # Messages

    def take_start(self, sender, start, now):
        """Start an attempt, or refuse it; a repeated start changes nothing."""
        entry = self.runner.attempts.find(start.attempt)
        if entry is not None:
            refusal = entry.refusal
            return [Send(start.attempt.router, refusal)] if refusal else []
        age_s = None
        if start.agent_incarnation == self.identity.incarnation:
            age_s = self.capacity.tickets.take(start.ticket, now)
        if age_s is None:
            return self.refuse(start, codes.TICKET_INVALID, True, now)
        self.capacity.handover.note_age(age_s)
        if start.target not in self.view.backend_servers[self.name].serves:
            return self.refuse(start, codes.TARGET_NOT_SERVED, True, now)
        if start.key:
            return self.start_keyed(start, now)
        if self.suspects.is_blocked(start.fingerprint):
            return self.refuse(start, codes.REQUEST_BLOCKED, False, now)
        return self.runner.add(Execution(start, None), find_deadline(start, now), now)

    def refuse(self, start, code, is_retryable, now, outcome=codes.NOT_RUN):
        """Refuse an attempt that has not run."""
        return self.runner.refuse(start, code, outcome, is_retryable, now)

    def start_keyed(self, start, now):
        """Start an attempt with a key."""
        records = self.keys.records
        is_known = records.find(start.workspace, start.key) is not None
        if not is_known and self.suspects.is_blocked(start.fingerprint):
            outcome = self.keys.close_new(start, now)
            return self.refuse(start, codes.REQUEST_BLOCKED, False, now, outcome)
        decision = self.keys.decide(start, now)
        if isinstance(decision, KeyRefusal):
            return self.runner.refuse(
                start,
                decision.code,
                decision.outcome,
                decision.is_retryable,
                now,
                decision.redirect,
            )
        record = decision.record
        deadline = find_deadline(start, now)
        if isinstance(decision, KeyAttach):
            execution = record.execution
            answer = execution.answer if execution else record.answer
            return self.runner.listen(start.attempt, answer, execution, deadline, now)
        execution = record.execution = Execution(start, record)
        actions = self.runner.add(execution, deadline, now)
        if decision.servers:
            execution.is_claiming = True
            actions += self.claims.claim(execution, decision.servers, self.view, now)
        return actions

    def take_ticket_return(self, sender, message, now):
        """Void the tickets that a router cannot use."""
        if message.agent_incarnation == self.identity.incarnation:
            self.capacity.tickets.withdraw(message.tickets)
        return []

    def take_report_ack(self, sender, ack, now):
        """Take a dispatcher's acknowledgement and its blocked fingerprints."""
        if self.reporter.take_ack(sender, ack):
            self.capacity.tickets.void()
        self.suspects.note_blocked(ack.blocked, now)
        return []

    def take_response_ack(self, sender, ack, now):
        """Drop the parts that a router has."""
        attempts = self.runner.attempts
        entry = attempts.find(ack.attempt)
        if entry is None or entry.answer is None:
            return []
        entry.answer.acknowledge(ack.attempt, ack.next_sequence)
        attempts.touch(ack.attempt, now)
        if entry.answer.is_acked_by(ack.attempt):
            entry.answer.forget(ack.attempt)
            entry.answer = entry.execution = None
            attempts.close(ack.attempt, now)
        return []

    def take_resume(self, sender, resume, now):
        """Send parts again, or say what became of the attempt."""
        attempts = self.runner.attempts
        attempt = resume.attempt
        if resume.agent_incarnation != self.identity.incarnation:
            return [refuse_unknown(attempt, codes.AGENT_RESTARTED)]
        entry = attempts.find(attempt)
        if entry is None and not attempts.is_forgotten(attempt):
            refusal = StartRefused(attempt, codes.ATTEMPT_UNKNOWN, codes.NOT_RUN, True)
            attempts.refuse(refusal, now)
            return [Send(attempt.router, refusal)]
        if entry is not None and entry.refusal is not None:
            return [Send(attempt.router, entry.refusal)]
        if entry is None or entry.answer is None:
            return [refuse_unknown(attempt, codes.ATTEMPT_FORGOTTEN)]
        entry.answer.acknowledge(attempt, resume.next_sequence)
        attempts.touch(attempt, now)
        return entry.answer.send_from(attempt, resume.next_sequence, now)

    def take_cancel(self, sender, cancel, now):
        """Stop the work of an attempt if it may be stopped."""
        attempts = self.runner.attempts
        attempt = cancel.attempt
        entry = attempts.find(attempt)
        if entry is None:
            # The start may still arrive; it must not run then.
            code = codes.ATTEMPT_CANCELLED
            attempts.refuse(StartRefused(attempt, code, codes.NOT_RUN, True), now)
            return []
        if entry.answer is None:
            return []
        return self.runner.abandon(attempt, entry, codes.ATTEMPT_CANCELLED, now)

    def take_claim(self, sender, claim, now):
        """Release a key if it has not run here, or say what is known of it."""
        actions = []
        record = self.keys.records.find(claim.workspace, claim.key)
        if record is not None and record.state == PENDING:
            execution = record.execution
            self.claims.drop(execution)
            actions += self.runner.give_back(execution, codes.KEY_RELEASED, now)
        verdict = self.keys.answer_claim(claim, now)
        reply = ClaimReply(claim.claim, self.name, verdict)
        return [*actions, Send(sender.name, reply)]

    def take_claim_reply(self, sender, reply, now):
        """Take the answer to a claim of this server."""
        decided = self.claims.take_reply(reply)
        if decided is None:
            return []
        execution, verdict = decided
        if verdict == RELEASED:
            execution.is_claiming = False
            return [log_claim(execution, verdict)]
        code = codes.KEY_RAN_ELSEWHERE if verdict == "ran" else codes.OWNER_UNREACHABLE
        return self.end_claim(execution, code, now)

    def end_claim(self, execution, code, now):
        """Refuse a key that another server may have run."""
        self.runner.discard(execution)
        refusals = self.runner.refuse_listeners(
            execution, code, codes.OUTCOME_UNKNOWN, False, now
        )
        return [log_claim(execution, code), *refusals]

    # Backend events

    def take_head(self, execution, event, now):
        """Send status and headers as part 0."""
        if execution.has_head:
            return []
        execution.has_head = True
        self.capacity.limiter.note_first_byte(execution.started_at, now)
        return execution.answer.add(now, status=event.status, headers=event.headers)

    def take_data(self, execution, event, now):
        """Send body bytes and stop a request that has become too expensive."""
        self.runner.note_units(execution, event.units)
        actions = self.runner.add_data(execution, event.data, now)
        pool = self.view.pools.get(self.pool)
        if pool is not None and execution.units > pool.max_cost:
            actions += self.runner.cancel(execution, codes.TOO_EXPENSIVE)
        return actions

    def take_end(self, execution, event, now):
        """Complete an answer."""
        self.capacity.limiter.note_success(execution.started_at)
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
        pool = self.view.pools.get(self.pool)
        is_engine = pool is not None and pool.kind == ENGINE
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

    # Time and capacity

    def note_time(self, now):
        """Give waiting work back if the process was paused for too long."""
        called_at, self.called_at = self.called_at, now
        if called_at is None:
            return []
        pause_s = now - called_at
        if pause_s < self.settings.execution.ticket_lifetime_s:
            return []
        self.capacity.tickets.void()
        log = log_event(events.PAUSE, pause_s=pause_s)
        return [log, *self.give_back_all(now)]

    def give_back_all(self, now):
        """Return all waiting requests to their routers."""
        actions = []
        for execution in list(self.runner.pending):
            self.claims.drop(execution)
            actions += self.runner.give_back(execution, codes.GIVEN_BACK, now)
        return actions

    def end_overdue(self, now):
        """End waiting requests, and running ones that may stop, at their deadline."""
        actions = []
        code = codes.DEADLINE_EXCEEDED
        for execution in list(self.runner.pending):
            if execution.deadline is None or execution.deadline <= now:
                self.claims.drop(execution)
                actions += self.runner.close_key(execution, code, now)
        for execution in self.runner.running.values():
            deadline = execution.deadline
            if execution.is_stoppable and deadline is not None and deadline <= now:
                actions += self.runner.cancel(execution, code)
        return actions

    def settle(self, actions, now):
        """Start what may start, follow the capacity and report what has changed."""
        if self.capacity.reopen(now):
            state, n_places = self.capacity.state, self.capacity.n_places
            actions.append(log_event(events.STATE, state=state, n_places=n_places))
        if not self.capacity.is_open:
            actions += self.give_back_all(now)
        actions += self.start_ready(now)
        self.capacity.refill(self.n_running, len(self.runner.pending), now)
        if not self.reporter.dispatcher:
            self.capacity.tickets.void()
        self.check_invariants()
        return actions + self.report(now)

    def start_ready(self, now):
        """Start waiting requests while places are free."""
        actions = []
        while self.n_running < self.capacity.n_places:
            execution = self.runner.find_ready()
            if execution is None:
                break
            if self.suspects.is_blocked(execution.start.fingerprint):
                code = codes.REQUEST_BLOCKED
                actions += self.runner.close_key(execution, code, now)
                continue
            actions += self.runner.begin(execution, self.capacity.n_places, now)
        return actions

    def check_invariants(self):
        """Check what must hold between any two calls.

        :raises InvariantError: if it does not hold.
        """
        self.capacity.check_invariants(self.n_running, len(self.runner.pending))
        self.keys.records.check_invariants()
        is_idle = self.capacity.is_open or not self.runner.pending
        check_invariant(is_idle, "nothing_waits_when_closed", self.capacity.state)

    def report(self, now):
        """Report to the dispatcher if that is due."""
        if self.view is None:
            return []
        capacity = self.capacity
        state, n_places = capacity.state, capacity.n_places
        numbers = tuple(capacity.tickets.issued_at)
        view = (state, n_places, self.n_running, numbers)
        if not self.reporter.is_due(view, now):
            return []
        send = self.reporter.report(
            view,
            now,
            backend_server=self.name,
            pool=self.pool,
            state=state,
            n_places=n_places,
            n_running=self.n_running,
            running_suspect=self.runner.find_running_suspect(),
            tickets=capacity.tickets.list_open(now),
            suspects=self.suspects.list_suspects(now),
        )
        return [send]


def find_deadline(start, now):
    """Return the monotonic time of the caller's deadline."""
    return now + start.deadline_ms / 1000


def refuse_unknown(attempt, code):
    """Return the send of a refusal of an attempt that may have run."""
    refusal = StartRefused(attempt, code, codes.OUTCOME_UNKNOWN, False)
    return Send(attempt.router, refusal)


def log_claim(execution, verdict):
    """Return the log event of a decided claim."""
    start = execution.start
    values = {"request": start.request_id, "workspace": start.workspace}
    return log_event(events.CLAIM, verdict=verdict, **values)
