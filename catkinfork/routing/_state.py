"""State of a router, shared by its decision functions."""

from heapq import heapify, heappop, heappush

from catkinfork.document import find_acting_owner, rank_key_servers
from catkinfork.observability import log_event
from catkinfork.protocol import Cancel, Send, check_invariant
from catkinfork.routing._attempts import AttemptTable
from catkinfork.routing._budget import RetryBudget
from catkinfork.routing._demand import PoolDemand, build_entries
from catkinfork.routing._events import REQUEST_REFUSED
from catkinfork.routing._pools import PoolState
from catkinfork.routing._prefixes import PrefixTable
from catkinfork.routing._queues import RequestQueues
from catkinfork.routing._refusals import NOT_RUN
from catkinfork.routing._requests import DemandClass, Refuse
from catkinfork.routing._tickets import RecentTickets

MIN_DEADLINES = 64


class RouterCounters:
    """Event counts since the start of the router, for metrics."""

    def __init__(self):
        self.n_submitted = 0
        self.n_answered = 0
        self.n_refused = {}
        self.n_abandoned = 0
        self.n_attempts = 0
        self.n_retries = 0
        self.n_requeued = 0
        self.n_returned = 0
        self.n_resumed = 0
        self.n_unmatched_parts = 0


class RouterState:
    """Whole state of a router, modified only by the functions of this package.

    :param settings: :class:`RouterSettings`.
    :param identity: :class:`Sender` of this router.
    """

    def __init__(self, settings, identity):
        self.settings = settings
        self.identity = identity
        self.view = None
        self.n_in_service_by_target = {}
        self.is_draining = False
        self.open = {}
        self.deadlines = []
        self.last_request_number = 0
        self.queues = RequestQueues()
        self.pools = {}
        self.demands = {}
        self.attempts = AttemptTable(identity)
        self.tickets = RecentTickets()
        self.prefixes = PrefixTable()
        self.budget = RetryBudget(settings.routing.retry_ratio)
        self.counters = RouterCounters()

    def apply_view(self, view, now):
        """Put a document in force.

        :param view: :class:`DocumentView`.
        """
        self.view = view
        self.n_in_service_by_target = {}
        names = {pool: [] for pool in view.pools}
        for server in view.document.backend_servers:
            names[server.pool].append(server.name)
            for target in server.serves:
                n_in_service = self.n_in_service_by_target.get(target, 0)
                n_in_service += view.is_in_service(server.name)
                self.n_in_service_by_target[target] = n_in_service
        for pool in set(self.pools) | set(names):
            self.get_pool_state(pool).set_backend_servers(names.get(pool, []), now)

    def get_pool_state(self, pool):
        """Return the state of a pool; create it if there is none."""
        if pool not in self.pools:
            self.pools[pool] = PoolState(pool)
        return self.pools[pool]

    def estimate_wait(self, pool, workspace, now):
        """Return the expected wait of a new request in seconds, 0 if unknown."""
        n_own = self.queues.count_workspace(pool, workspace)
        return self.get_pool_state(pool).estimate_wait(workspace, n_own, now)

    def get_demand(self, pool):
        """Return the demand of a pool; create it if there is none."""
        if pool not in self.demands:
            self.demands[pool] = PoolDemand(pool)
        return self.demands[pool]

    def classify(self, entry):
        """Return the demand class of a request under the document in force.

        :param entry: :class:`OpenRequest` with a target in the document.
        :returns: :class:`DemandClass`.
        """
        request = entry.request
        pool = self.view.pool_of_target[request.target]
        required = ""
        preferred = ""
        if request.key:
            required = entry.redirect or self.find_key_owner(request)
        else:
            preferred = self.prefixes.find(request)
            if not self.view.is_in_service(preferred):
                preferred = ""
        suspect = entry.fingerprint if entry.is_suspect else b""
        return DemandClass(
            pool, request.workspace, request.target, required, preferred, suspect
        )

    def find_key_owner(self, request):
        """Return the acting owner of a request's idempotency key.

        Admission ensures that a backend server of the target is in service.
        """
        ranked = rank_key_servers(
            self.view, request.workspace, request.key, request.target
        )
        return find_acting_owner(self.view, ranked) or ""

    def enqueue(self, entry, demand_class, is_first=False):
        """Add a request to its queue and mark the demand as changed."""
        self.queues.add(entry, demand_class, is_first)
        self.get_demand(demand_class.pool).record_waiting(demand_class)

    def dequeue(self, entry):
        """Remove a request from its queue and mark the demand as changed."""
        self.get_demand(entry.demand_class.pool).is_changed = True
        self.queues.remove(entry)

    def open_request(self, entry):
        """Register a request that has been admitted."""
        request = entry.request
        self.open[request.request_id] = entry
        heappush(self.deadlines, (request.deadline, entry.number, request.request_id))
        if len(self.deadlines) > 2 * len(self.open) + MIN_DEADLINES:
            self.compact_deadlines()

    def compact_deadlines(self):
        """Remove the deadlines of closed requests from the heap."""
        self.deadlines = [
            item for item in self.deadlines if self.is_deadline_current(item)
        ]
        heapify(self.deadlines)

    def is_deadline_current(self, item):
        """Return whether a deadline belongs to an open request."""
        entry = self.open.get(item[2])
        return entry is not None and entry.number == item[1]

    def pop_expired(self, now):
        """Remove passed deadlines and return their requests that are still open."""
        expired = []
        while self.deadlines and self.deadlines[0][0] <= now:
            item = heappop(self.deadlines)
            if self.is_deadline_current(item):
                expired.append(self.open[item[2]])
        return expired

    def close_request(self, entry):
        """Remove a request from the tables, before its final answer is sent."""
        request_id = entry.request.request_id
        check_invariant(
            self.open.pop(request_id, None) is entry,
            "a request has one final answer",
            request_id,
        )
        if entry.demand_class is not None:
            self.dequeue(entry)

    def cancel_attempt(self, entry, actions):
        """Cancel the live attempt of a request, if there is one."""
        attempt = entry.attempt
        if attempt is None:
            return
        self.attempts.remove(attempt)
        entry.may_have_run = True
        actions.append(Send(attempt.agent, Cancel(attempt.id)))

    def refuse(self, entry, refusal, now, actions):
        """Close a request with a refusal as its final answer.

        :param entry: open :class:`OpenRequest`.
        :param refusal: :class:`Refusal`.
        :param actions: list that receives the actions.
        """
        backend_server = entry.attempt.backend_server if entry.attempt else ""
        self.cancel_attempt(entry, actions)
        self.close_request(entry)
        self.emit_refusal(entry, refusal, now, actions, backend_server)

    def emit_refusal(self, entry, refusal, now, actions, backend_server=""):
        """Count, log and send the refusal of a request that is not open."""
        check_invariant(
            refusal.outcome != NOT_RUN
            or not (entry.may_have_run or entry.attempt or entry.n_parts_sent),
            "not_run is reported only for requests that did not run",
            (entry.request.request_id, refusal),
        )
        counts = self.counters.n_refused
        counts[refusal.code] = counts.get(refusal.code, 0) + 1
        event = log_event(
            REQUEST_REFUSED,
            workspace=entry.request.workspace,
            request_id=entry.request.request_id,
            backend_server=backend_server,
            reason=refusal.code,
            outcome=refusal.outcome,
            n_waiting=self.queues.get_size(entry.request.workspace)[0],
            age_s=now - entry.submitted_at,
            detail=refusal.message,
        )
        actions.append(event)
        actions.append(Refuse(entry.request.request_id, refusal))

    def send_demands(self, now, actions):
        """Send the demand of each pool for which it is due."""
        for pool, demand in self.demands.items():
            if not demand.is_due(now):
                continue
            classes = list(self.queues.list_classes(pool))
            entries = build_entries(classes, now)
            for dispatcher in demand.select_recipients(now):
                message = demand.build_message(dispatcher, entries)
                actions.append(Send(dispatcher, message))
            demand.record_sent({name: len(queue) for name, queue in classes}, now)
