"""Grants from dispatchers, and the starts of requests on granted tickets."""

from catkinfork.observability import log_event
from catkinfork.protocol import Send, Start, TicketReturn, check_invariant
from catkinfork.routing._attempts import Attempt
from catkinfork.routing._events import REQUEST_STARTED, TICKET_RETURNED
from catkinfork.routing._requests import DemandClass


def handle_grant(state, sender, grant, now, actions):
    """Start requests on the granted tickets in order; return the unused tickets.

    :param state: :class:`RouterState`.
    :param sender: :class:`Sender` of the dispatcher.
    :param grant: :class:`Grant`.
    """
    demand = state.get_demand(grant.pool)
    returned = {}
    for entry in sorted(grant.entries, key=lambda entry: entry.number):
        is_in_order = demand.record_grant(sender, entry.number, now)
        if not state.tickets.record(entry, now):
            continue
        request, reason = choose_request(state, grant.pool, entry, is_in_order)
        if request is not None:
            start_request(state, request, entry, reason, now, actions)
        # The dispatcher subtracts the grant from the class named in it, even if a
        # request of another class was started.
        granted = DemandClass(
            grant.pool,
            entry.workspace,
            entry.target,
            entry.required,
            entry.preferred,
            entry.suspect,
        )
        demand.record_grant_used(granted, state.queues.count_class(granted))
        if request is not None:
            continue
        key = (entry.agent, entry.agent_incarnation)
        returned.setdefault(key, []).append(entry.ticket)
        state.counters.n_returned += 1
        actions.append(build_return_event(sender, entry, reason))
    for (agent, incarnation), tickets in returned.items():
        actions.append(Send(agent, TicketReturn(tickets, incarnation)))


def build_return_event(sender, grant, reason):
    """Build the log event for a ticket that is returned to its agent."""
    return log_event(
        TICKET_RETURNED,
        workspace=grant.workspace,
        backend_server=grant.backend_server,
        reason=reason,
        ticket=grant.ticket,
        dispatcher=sender.name,
        number=grant.number,
    )


def choose_request(state, pool, grant, is_in_order):
    """Choose the waiting request to start on a grant.

    :param is_in_order: whether the grant is newer than all processed before.
    :returns: pair of :class:`OpenRequest` or None, and the reason for the choice.
    """
    if not is_in_order:
        return None, "late_grant"
    reason = check_server(state, pool, grant)
    if reason:
        return None, reason
    request = state.queues.find_match(pool, grant)
    if request is None:
        return None, "no_request"
    return request, compute_start_reason(request.demand_class, grant)


def compute_start_reason(demand_class, grant):
    """Return the reason for which a request runs on a granted backend server."""
    if demand_class.required:
        return "key_owner"
    if demand_class.suspect:
        return "suspect_alone"
    if demand_class.preferred == grant.backend_server:
        return "prefix_cached"
    return "place_free"


def check_server(state, pool, grant):
    """Return the reason not to use a granted backend server, empty for none."""
    if state.view is None:
        return "no_document"
    server = state.view.backend_servers.get(grant.backend_server)
    if server is None or server.agent != grant.agent:
        return "unknown_backend_server"
    if server.pool != pool or grant.target not in server.serves:
        return "other_pool_or_target"
    if not state.view.is_in_service(grant.backend_server):
        return "out_of_service"
    return ""


def start_request(state, entry, grant, reason, now, actions):
    """Send a waiting request to the agent of a grant."""
    check_start(state, entry, grant)
    n_waiting = state.queues.get_size(entry.request.workspace)[0]
    state.dequeue(entry)
    start = build_start(state, entry, grant, now)
    state.attempts.add(Attempt(start, entry, grant, now))
    entry.n_tries += 1
    state.counters.n_attempts += 1
    state.prefixes.record(entry.request, grant.backend_server)
    event = log_event(
        REQUEST_STARTED,
        workspace=entry.request.workspace,
        request_id=entry.request.request_id,
        backend_server=grant.backend_server,
        reason=reason,
        attempt=start.attempt.number,
        ticket=grant.ticket,
        wait_s=now - entry.submitted_at,
        n_waiting=n_waiting,
        time_left_s=entry.request.deadline - now,
    )
    actions.append(event)
    actions.append(Send(grant.agent, start))


def check_start(state, entry, grant):
    """Check the invariants of a start.

    :raises InvariantError: if one does not hold.
    """
    request_id = entry.request.request_id
    check_invariant(
        state.open.get(request_id) is entry,
        "only open requests start",
        request_id,
    )
    check_invariant(
        entry.is_idempotent or not entry.may_have_run,
        "a request that may have run starts again only if it is idempotent",
        request_id,
    )
    check_invariant(
        not entry.request.key or entry.demand_class.required == grant.backend_server,
        "a keyed request starts at the owner of its key",
        (request_id, entry.demand_class.required, grant.backend_server),
    )
    check_invariant(
        entry.n_parts_sent == 0,
        "no part of a response was sent before a start",
        request_id,
    )


def build_start(state, entry, grant, now):
    """Build the message that starts a request on a granted ticket."""
    request = entry.request
    return Start(
        state.attempts.allocate_id(),
        request.request_id,
        grant.ticket,
        grant.agent_incarnation,
        request.workspace,
        request.target,
        request.method,
        request.path,
        request.headers,
        request.body,
        compute_time_left_ms(request, now),
        request.key,
        entry.is_idempotent,
        entry.fingerprint,
        state.view.version,
        entry.is_suspect,
        round((now - entry.submitted_at) * 1000),
    )


def compute_time_left_ms(request, now):
    """Return the time left until the deadline in whole milliseconds."""
    return max(0, int((request.deadline - now) * 1000))
