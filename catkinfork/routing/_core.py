"""Decision logic of a router."""

from catkinfork.observability import log_event
from catkinfork.protocol import (
    BaseCore,
    Grant,
    PoolSummary,
    ResponsePart,
    Send,
    StartRefused,
    check_invariant,
)
from catkinfork.routing._admission import check_admission
from catkinfork.routing._events import (
    DISPATCHERS_CHANGED,
    DRAIN_STARTED,
    REQUEST_ABANDONED,
)
from catkinfork.routing._refusals import AGENT_RESTARTED
from catkinfork.routing._requests import OpenRequest
from catkinfork.routing._responses import (
    abort_attempt,
    fail_attempt,
    handle_response_part,
    handle_start_refused,
)
from catkinfork.routing._starts import handle_grant
from catkinfork.routing._state import RouterState
from catkinfork.routing._timers import (
    check_attempts,
    reclassify_waiting,
    refuse_expired,
    refuse_unreachable_owners,
    update_waiting_requests,
)

# Timeouts are 0.5 s or longer, so a scan on each 5 ms tick would be wasteful.
SCAN_INTERVAL_S = 0.05


class RouterCore(BaseCore):
    """Admission, queues, attempts and retries of a router.

    The process around it calls :meth:`tick` every 5 ms while there are open requests.
    Besides ``Grant``, ``PoolSummary``, ``ResponsePart`` and ``StartRefused`` it passes
    heartbeats to :meth:`handle`, since any message from an agent carries the agent's
    incarnation.

    :param settings: :class:`RouterSettings`.
    :param identity: :class:`Sender` of this router.
    :param rng: random generator, unused at present.
    """

    def __init__(self, settings, identity, rng):
        self.settings = settings
        self.identity = identity
        self.rng = rng
        self.state = RouterState(settings, identity)
        self.last_scan_at = None

    @property
    def n_open(self):
        """Number of requests without a final answer, whether waiting or running."""
        return len(self.state.open)

    @property
    def n_waiting(self):
        """Number of waiting requests."""
        return self.state.queues.n_waiting

    @property
    def counters(self):
        """Event counts for metrics, :class:`RouterCounters`."""
        return self.state.counters

    def adopt(self, view, now):
        """Put a new document in force and reclassify the waiting requests.

        :param view: :class:`DocumentView`.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        actions = []
        self.state.apply_view(view, now)
        reclassify_waiting(self.state, now, actions)
        return self.finalize_actions(actions, now)

    def set_dispatchers(self, pool, addresses, now):
        """Set the live dispatchers of a pool.

        :param pool: pool name.
        :param addresses: internal addresses in the pool's rendezvous order.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        demand = self.state.get_demand(pool)
        before = demand.dispatchers
        dropped = demand.set_dispatchers(addresses)
        actions = []
        if demand.dispatchers != before:
            event = log_event(
                DISPATCHERS_CHANGED,
                pool=pool,
                dispatchers=" ".join(demand.dispatchers),
                n_waiting=self.state.queues.n_waiting,
            )
            actions.append(event)
        for address in dropped:
            actions.append(Send(address, demand.build_message(address, [])))
        return self.finalize_actions(actions, now)

    def drop_agent(self, address, now):
        """Fail the attempts at an agent that no longer responds.

        An attempt whose start or last message is recent is kept: an idle agent can be
        reported as unresponsive until it answers a new start.

        :param address: internal address of the agent.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        actions = []
        for attempt in self.state.attempts.list_by_agent(address):
            if attempt.is_silent(now):
                abort_attempt(self.state, attempt, now, actions)
        return self.finalize_actions(actions, now)

    def submit(self, request, now):
        """Admit a caller's request to a queue, or refuse it at once.

        :param request: :class:`RouterRequest`.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        :raises InvariantError: if a request with this id is open.
        """
        check_invariant(
            request.request_id not in self.state.open,
            "request ids are unique among open requests",
            request.request_id,
        )
        state = self.state
        state.last_request_number += 1
        state.counters.n_submitted += 1
        state.budget.record_request()
        entry = OpenRequest(request, state.last_request_number, now)
        actions = []
        refusal = check_admission(state, entry, now)
        if refusal is not None:
            state.emit_refusal(entry, refusal, now, actions)
            return actions
        pool = state.view.pool_of_target[request.target]
        entry.is_suspect = state.get_pool_state(pool).is_suspect(entry.fingerprint, now)
        state.open_request(entry)
        state.enqueue(entry, state.classify(entry))
        return self.finalize_actions(actions, now)

    def abandon(self, request_id, now):
        """Cancel a request whose caller has disconnected; no answer is sent.

        :param request_id: id of the request; an id that is not open is ignored.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        entry = self.state.open.get(request_id)
        if entry is None:
            return []
        backend_server = entry.attempt.backend_server if entry.attempt else ""
        event = log_event(
            REQUEST_ABANDONED,
            workspace=entry.request.workspace,
            request_id=request_id,
            backend_server=backend_server,
            age_s=now - entry.submitted_at,
        )
        actions = [event]
        self.state.cancel_attempt(entry, actions)
        self.state.close_request(entry)
        self.state.counters.n_abandoned += 1
        return self.finalize_actions(actions, now)

    def drain(self, now):
        """Start to drain: refuse new requests and let the open ones complete.

        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
        if self.state.is_draining:
            return []
        self.state.is_draining = True
        event = log_event(
            DRAIN_STARTED, n_open=self.n_open, n_waiting=self.state.queues.n_waiting
        )
        return [event]

    def handle(self, sender, message, now):
        actions = []
        refuse_expired(self.state, now, actions)
        self.fail_stale_attempts(sender, now, actions)
        if isinstance(message, ResponsePart):
            handle_response_part(self.state, sender, message, now, actions)
        elif isinstance(message, Grant):
            handle_grant(self.state, sender, message, now, actions)
        elif isinstance(message, StartRefused):
            handle_start_refused(self.state, sender, message, now, actions)
        elif isinstance(message, PoolSummary):
            self.handle_summary(sender, message, now, actions)
        return self.finalize_actions(actions, now)

    def handle_summary(self, sender, summary, now, actions):
        """Apply a dispatcher's summary of its pool to the waiting requests."""
        pool_state = self.state.pools.get(summary.pool)
        if pool_state is None:
            return
        n_reported = self.state.get_demand(summary.pool).count_reported()
        if pool_state.record_summary(sender, summary, n_reported, now):
            update_waiting_requests(self.state, summary.pool, now, actions)

    def finalize_actions(self, actions, now):
        """Append the demand messages that are due and check the request counts.

        :returns: the list of actions.
        :raises InvariantError: if the counts contradict each other.
        """
        self.state.send_demands(now, actions)
        n_running = len(self.state.attempts.live)
        check_invariant(
            self.n_open == self.n_waiting + n_running,
            "each open request either waits or has one live attempt",
            (self.n_open, self.n_waiting, n_running),
        )
        return actions

    def fail_stale_attempts(self, sender, now, actions):
        """Fail the attempts at earlier incarnations of an agent that has restarted."""
        for attempt in self.state.attempts.list_by_agent(sender.name):
            if attempt.agent_incarnation < sender.incarnation:
                code = AGENT_RESTARTED.code
                fail_attempt(self.state, attempt, code, True, now, actions)

    def tick(self, now):
        actions = []
        refuse_expired(self.state, now, actions)
        if self.last_scan_at is None or now - self.last_scan_at >= SCAN_INTERVAL_S:
            self.last_scan_at = now
            check_attempts(self.state, now, actions)
            refuse_unreachable_owners(self.state, now, actions)
        return self.finalize_actions(actions, now)
