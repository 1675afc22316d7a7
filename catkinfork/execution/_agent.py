"""The decision object of an agent."""

from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.execution._capacity import Capacity
from catkinfork.execution._claims import ClaimBook
from catkinfork.execution._deliveries import DeliveryDesk
from catkinfork.execution._keyed import KeyDesk
from catkinfork.execution._outcomes import OutcomeDesk
from catkinfork.execution._reporter import Reporter
from catkinfork.execution._runner import Runner
from catkinfork.execution._starts import StartDesk
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
    Start,
    TicketReturn,
    check_invariant,
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
        self.pool = ""
        self.called_at = None
        self.capacity = Capacity(execution)
        self.suspects = SuspectBook(execution)
        self.keys = KeyDesk(execution, self.name, wall_offset_s)
        self.claims = ClaimBook(execution, self.name, identity.incarnation)
        self.runner = Runner(self.keys.records, self.suspects, self.claims)
        self.reporter = Reporter(self.runner.meter)
        self.outcomes = OutcomeDesk(self.capacity, self.suspects, self.runner)
        self.starts = StartDesk(
            identity,
            self.capacity,
            self.suspects,
            self.keys,
            self.claims,
            self.runner,
        )
        self.deliveries = DeliveryDesk(identity, self.runner)
        self.handlers = {
            Cancel: self.deliveries.take_cancel,
            Claim: self.starts.take_claim,
            ClaimReply: self.starts.take_claim_reply,
            ReportAck: self.take_report_ack,
            ResponseAck: self.deliveries.take_response_ack,
            Resume: self.deliveries.take_resume,
            Start: self.starts.take_start,
            TicketReturn: self.take_ticket_return,
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
        entry = view.backend_servers.get(self.name)
        if entry is not None:
            self.pool = entry.pool
            self.outcomes.pool = view.pools.get(entry.pool)
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
        handler = self.handlers.get(type(message))
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
        actions += self.outcomes.observe(event, now)
        return self.settle(actions, now)

    def tick(self, now):
        actions = self.note_time(now)
        self.suspects.forget_old(now)
        self.runner.attempts.forget_old(now)
        actions += self.starts.end_expired_claims(now)
        actions += self.runner.end_overdue(now)
        actions += self.runner.keep_alive(now)
        return self.settle(actions, now)

    def take_ticket_return(self, sender, message, now):
        """Void the tickets that a router cannot use."""
        if message.agent_incarnation == self.identity.incarnation:
            self.capacity.tickets.withdraw(message.tickets)
        return []

    def take_report_ack(self, sender, ack, now):
        """Take a dispatcher's acknowledgement and its blocked fingerprints."""
        if not self.reporter.is_from_dispatcher(sender, ack):
            return []
        if self.reporter.take_ack(sender, ack):
            self.capacity.tickets.void()
        self.suspects.set_blocked(ack.blocked)
        return []

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
        return [log, *self.runner.give_back_all(now)]

    def settle(self, actions, now):
        """Start what may start, follow the capacity and report what has changed."""
        if self.capacity.reopen(now):
            state, n_places = self.capacity.state, self.capacity.n_places
            actions.append(log_event(events.STATE, state=state, n_places=n_places))
        if not self.capacity.is_open:
            actions += self.runner.give_back_all(now)
        actions += self.start_ready(now)
        self.capacity.refill(self.n_running, len(self.runner.pending), now)
        if not self.reporter.dispatcher:
            self.capacity.tickets.void()
        self.check_invariants()
        return actions + self.report(now)

    def start_ready(self, now):
        """Start waiting requests while places are free."""
        actions = []
        while self.n_running < self.capacity.count_startable(now):
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
        if self.keys.view is None:
            return []
        capacity = self.capacity
        state, n_places = capacity.state, capacity.n_places
        # A used ticket can wait for the next report, since the dispatcher granted it.
        suspect = self.runner.find_running_suspect()
        n_crashes = self.suspects.n_crashes
        view = (state, n_places, capacity.tickets.n_issued, suspect, n_crashes)
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
            running_suspect=suspect,
            tickets=capacity.tickets.list_open(now),
            suspects=self.suspects.list_suspects(now),
        )
        return [send]
