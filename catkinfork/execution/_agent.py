"""Core of the agent: decisions without input or output."""

from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.execution._backend_events import BackendEventHandler
from catkinfork.execution._capacity import Capacity
from catkinfork.execution._claims import ClaimTable
from catkinfork.execution._deliveries import DeliveryHandler
from catkinfork.execution._key_admission import KeyAdmission
from catkinfork.execution._reporter import Reporter
from catkinfork.execution._runner import Runner
from catkinfork.execution._starts import StartHandler
from catkinfork.execution._suspects import SuspectTable
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
    Start,
    TicketReturn,
    check_invariant,
)


class AgentCore(BaseCore):
    """Decides which requests run on one backend server and answers their routers.

    Call :meth:`tick` at least every 0.1 s. If no method is called for the lifetime of a
    ticket, the process is taken to have been paused.

    :param settings: :class:`AgentSettings`.
    :param identity: :class:`Sender` of this process.
    :param wall_offset_s: wall-clock time minus monotonic time.
    """

    def __init__(self, settings, identity, wall_offset_s):
        execution = settings.execution
        self.settings = settings
        self.identity = identity
        self.name = settings.backend.name
        self.pool = ""
        self.last_called_at = None
        self.capacity = Capacity(execution)
        self.suspects = SuspectTable(execution)
        self.keys = KeyAdmission(execution, self.name, wall_offset_s)
        self.claims = ClaimTable(execution, self.name, identity.incarnation)
        self.runner = Runner(self.keys.records, self.suspects, self.claims)
        self.reporter = Reporter(self.runner.meter)
        self.backend_events = BackendEventHandler(
            self.capacity, self.suspects, self.runner
        )
        self.starts = StartHandler(
            identity,
            self.capacity,
            self.suspects,
            self.keys,
            self.claims,
            self.runner,
        )
        self.deliveries = DeliveryHandler(identity, self.runner)
        self.handlers = {
            Cancel: self.deliveries.handle_cancel,
            Claim: self.starts.handle_claim,
            ClaimReply: self.starts.handle_claim_reply,
            ReportAck: self.handle_report_ack,
            ResponseAck: self.deliveries.handle_response_ack,
            Resume: self.deliveries.handle_resume,
            Start: self.starts.handle_start,
            TicketReturn: self.handle_ticket_return,
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
        """Apply a document.

        :param view: :class:`DocumentView`.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        actions = self.detect_pause(now)
        entry = view.backend_servers.get(self.name)
        if entry is not None:
            self.pool = entry.pool
            self.backend_events.pool = view.pools.get(entry.pool)
            self.capacity.limiter.set_maximum(entry.max_places)
        self.capacity.is_in_service = view.is_in_service(self.name)
        cause = self.keys.apply_document(view, now)
        if cause:
            floor_ms = self.keys.records.floor_ms
            actions.append(log_event(events.FLOOR, floor_ms=floor_ms, cause=cause))
        return self.reconcile(actions, now)

    def set_dispatchers(self, addresses, now):
        """Set the live routers in the rendezvous-hash order of the pool.

        :param addresses: internal addresses; the first receives the reports.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        actions = self.detect_pause(now)
        address = addresses[0] if addresses else ""
        if self.reporter.set_dispatcher(address):
            self.capacity.tickets.revoke_all()
            actions.append(log_event(events.DISPATCHER, dispatcher=address))
        return self.reconcile(actions, now)

    def set_leaving(self, is_leaving, now):
        """Set whether the host is leaving or the process drains."""
        actions = self.detect_pause(now)
        self.capacity.is_leaving = is_leaving
        return self.reconcile(actions, now)

    def drop_router(self, address, now):
        """Handle the liveness timeout of a router."""
        actions = self.detect_pause(now)
        for attempt, entry in self.runner.attempts.list_open_of_router(address):
            actions += self.runner.handle_router_silence(
                attempt, entry, codes.ROUTER_SILENT, now
            )
        return self.reconcile(actions, now)

    def handle(self, sender, message, now):
        actions = self.detect_pause(now)
        handler = self.handlers.get(type(message))
        if handler is not None:
            actions += handler(sender, message, now)
        return self.reconcile(actions, now)

    def observe(self, event, now):
        """Handle an event of the backend server.

        :param event: a ``BackendEvent``; ignored if its request is not running.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        actions = self.detect_pause(now)
        actions += self.backend_events.handle(event, now)
        return self.reconcile(actions, now)

    def tick(self, now):
        actions = self.detect_pause(now)
        self.suspects.remove_expired(now)
        self.runner.attempts.remove_expired(now)
        actions += self.starts.end_expired_claims(now)
        actions += self.runner.enforce_deadlines(now)
        actions += self.runner.build_keepalives(now)
        return self.reconcile(actions, now)

    def handle_ticket_return(self, sender, message, now):
        """Revoke the tickets that a router returns unused."""
        if message.agent_incarnation == self.identity.incarnation:
            self.capacity.tickets.revoke(message.tickets)
        return []

    def handle_report_ack(self, sender, ack, now):
        """Apply the dispatcher's acknowledgement and its blocked fingerprints."""
        if not self.reporter.is_from_dispatcher(sender, ack):
            return []
        if self.reporter.handle_ack(sender, ack):
            self.capacity.tickets.revoke_all()
        self.suspects.set_blocked(ack.blocked)
        return []

    def detect_pause(self, now):
        """Revoke tickets and return pending requests after a pause of the process."""
        last_called_at, self.last_called_at = self.last_called_at, now
        if last_called_at is None:
            return []
        pause_s = now - last_called_at
        if pause_s < self.settings.execution.ticket_lifetime_s:
            return []
        self.capacity.tickets.revoke_all()
        log = log_event(events.PAUSE, pause_s=pause_s)
        return [log, *self.runner.return_all_to_routers(now)]

    def reconcile(self, actions, now):
        """Start pending requests, update the tickets and report changes."""
        if self.capacity.update_availability(now):
            state, n_places = self.capacity.state, self.capacity.n_places
            actions.append(log_event(events.STATE, state=state, n_places=n_places))
        if not self.capacity.is_open:
            actions += self.runner.return_all_to_routers(now)
        actions += self.start_ready(now)
        self.capacity.update_tickets(self.n_running, len(self.runner.pending), now)
        if not self.reporter.dispatcher:
            self.capacity.tickets.revoke_all()
        self.check_invariants()
        return actions + self.send_due_report(now)

    def start_ready(self, now):
        """Start pending requests while places are free."""
        actions = []
        while self.n_running < self.capacity.count_startable(now):
            execution = self.runner.find_startable()
            if execution is None:
                break
            if self.suspects.is_blocked(execution.start.fingerprint):
                code = codes.REQUEST_BLOCKED
                actions += self.runner.refuse_permanently(execution, code, now)
                continue
            actions += self.runner.start_execution(
                execution, self.capacity.n_places, now
            )
        return actions

    def check_invariants(self):
        """Check the invariants that hold after each call.

        :raises InvariantError: if one does not hold.
        """
        self.capacity.check_invariants(self.n_running, len(self.runner.pending))
        self.keys.records.check_invariants()
        is_satisfied = self.capacity.is_open or not self.runner.pending
        check_invariant(is_satisfied, "nothing_waits_when_closed", self.capacity.state)

    def send_due_report(self, now):
        """Return the send of a report if one is due."""
        if self.keys.view is None:
            return []
        capacity = self.capacity
        state, n_places = capacity.state, capacity.n_places
        # A redeemed ticket is not urgent, since the dispatcher granted it itself.
        suspect = self.runner.find_running_suspect()
        n_crashes = self.suspects.n_crashes
        urgent_values = (state, n_places, capacity.tickets.n_issued, suspect, n_crashes)
        if not self.reporter.is_due(urgent_values, now):
            return []
        send = self.reporter.build_report(
            urgent_values,
            now,
            backend_server=self.name,
            pool=self.pool,
            state=state,
            n_places=n_places,
            n_running=self.n_running,
            running_suspect=suspect,
            tickets=capacity.tickets.list_open(now),
            suspects=self.suspects.list_suspects(now),
        )
        return [send]
