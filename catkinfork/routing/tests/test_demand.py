"""Demand messages, use of grants and return of tickets."""

import msgspec
import pytest

from catkinfork.document import OUT
from catkinfork.protocol import Start, TicketReturn
from catkinfork.routing import compute_fingerprint
from catkinfork.routing._demand import MAX_ENTRIES_BYTES, build_entries
from catkinfork.routing._queues import RequestQueues
from catkinfork.routing._requests import DemandClass, OpenRequest
from catkinfork.routing.tests.fixtures import (
    AGENTS,
    DISPATCHERS,
    list_demands,
    list_messages,
    make_grant,
    make_request,
    make_router,
    make_summary,
    make_view,
)

FIRST, SECOND = DISPATCHERS


def grant(core, now, number, **changes):
    """Handle a grant and return the numbers of starts and of returned tickets."""
    sender = changes.pop("sender", FIRST)
    actions = core.handle(sender, make_grant(number, **changes), now)
    n_returned = sum(len(item.tickets) for item in list_messages(actions, TicketReturn))
    return len(list_messages(actions, Start)), n_returned


def test_demand_is_level_triggered():
    """Guards against demand lost with one message, and against excess messages."""
    core = make_router()
    sent = []
    for step in range(2000):
        now = 0.1 + step / 1000
        actions = core.submit(make_request(f"r{step}"), now) if step < 10 else []
        actions += core.tick(now)
        sent += [(now, demand) for demand in list_demands(actions)]
    # One at once, one to both dispatchers after the first interval, then repeats.
    early = [demand for now, demand in sent if now < 0.2]
    late = [demand for now, demand in sent if now >= 0.2]
    assert 2 <= len(early) <= 3
    assert early[-1].entries[0].n_waiting == 10
    assert 6 <= len(late) <= 8
    assert all(demand.entries[0].n_waiting == 10 for demand in late)


def test_first_waiting_request_of_a_class_is_urgent():
    """Guards against a place that stays free because a new demand is delayed."""
    core = make_router()
    core.submit(make_request("a"), 0.0)
    assert grant(core, 0.1, 1) == (1, 0)
    core.submit(make_request("b"), 0.101)
    assert list_demands(core.tick(0.106))


def test_request_left_after_a_grant_is_urgent():
    """Guards against a delay of a request that the dispatcher counts as granted."""
    core = make_router()
    core.submit(make_request("a"), 0.0)
    core.submit(make_request("b"), 0.001)
    actions = core.handle(FIRST, make_grant(1), 0.006)
    actions += core.tick(0.012)
    assert list_demands(actions)[0].entries[0].n_waiting == 1


def test_empty_demand_is_repeated_a_few_times():
    """Guards against traffic for idle pools, and against a lost last message."""
    core = make_router()
    core.submit(make_request("a"), 0.01)
    sent = list_demands(core.abandon("a", 0.1))
    for step in range(200):
        sent += list_demands(core.tick(0.1 + step / 20))
    # Three to the first dispatcher and two to the second.
    assert [demand.entries for demand in sent] == [[]] * 5
    assert list_demands(core.tick(20.0)) == []


def test_second_dispatcher_that_grants_gets_every_change():
    """Guards against delayed grants while agents rank the dispatchers differently."""
    core = make_router()
    core.submit(make_request("a"), 0.0)
    assert grant(core, 0.1, 1, sender=SECOND) == (1, 0)
    actions = core.submit(make_request("b"), 0.2)
    names = {a.destination for a in actions if hasattr(a, "destination")}
    assert SECOND.name in names


def test_dropped_dispatcher_receives_empty_demand():
    """Guards against grants from a dispatcher that the router no longer uses."""
    core = make_router()
    core.submit(make_request("a"), 0.1)
    actions = core.set_dispatchers("assistant", [SECOND.name, "10.0.0.4:7000"], 0.2)
    n_entries = {}
    for action in actions:
        if hasattr(action, "destination"):
            n_entries[action.destination] = len(action.message.entries)
    assert n_entries == {FIRST.name: 0, SECOND.name: 1, "10.0.0.4:7000": 1}


BAD_GRANTS = {
    "no_request": {"workspace": "brokers"},
    "other_target": {"target": "poem"},
    "unknown_server": {"backend_server": "runner-9"},
    "other_agent": {"agent": "10.9.9.9:7100"},
    "out_of_service": {"server": "runner-2"},
}


@pytest.mark.parametrize("changes", BAD_GRANTS.values(), ids=BAD_GRANTS)
def test_unusable_ticket_is_returned(changes):
    """Guards against idle places, and against starts on an unusable backend server."""
    core = make_router()
    core.adopt(make_view(2, states=[("runner-2", OUT)]), 0.0)
    core.submit(make_request("a"), 0.0)
    assert grant(core, 0.1, 1, **changes) == (0, 1)
    assert grant(core, 0.2, 2) == (1, 0)


GRANT_SERIES = {
    "duplicate": ([(1, 1), (1, 1)], 1, 0),
    "same ticket again": ([(1, 1), (2, 1)], 1, 0),
    "reordered": ([(2, 2), (1, 1)], 1, 1),
    "gap": ([(1, 1), (5, 5)], 2, 0),
    "more than waiting": ([(1, 1), (2, 2), (3, 3), (4, 4)], 3, 1),
}


@pytest.mark.parametrize("name", GRANT_SERIES)
def test_grants_are_used_in_order(name):
    """Guards against a ticket that is used twice or neither used nor returned."""
    series, n_started, n_returned = GRANT_SERIES[name]
    core = make_router()
    for number in range(3):
        core.submit(make_request(f"r{number}"), 0.0)
    results = [grant(core, 0.1, number, ticket=ticket) for number, ticket in series]
    assert sum(result[0] for result in results) == n_started
    assert sum(result[1] for result in results) == n_returned


def test_grants_of_two_dispatchers_start_a_request_once():
    """Guards against a request that starts twice during a change of dispatcher."""
    core = make_router()
    core.submit(make_request("a"), 0.0)
    assert grant(core, 0.1, 1, ticket=1) == (1, 0)
    assert grant(core, 0.1, 1, ticket=1, sender=SECOND) == (0, 0)
    assert grant(core, 0.1, 2, ticket=2, sender=SECOND) == (0, 1)
    [first, second] = list_demands(core.tick(0.6))
    assert (first.grants_seen, first.grantor) == (1, FIRST.incarnation)
    assert (second.grants_seen, second.grantor) == (2, SECOND.incarnation)


def test_grant_numbers_restart_with_the_dispatcher():
    """Guards against grants of a restarted dispatcher that are taken for old ones."""
    core = make_router()
    for number in range(3):
        core.submit(make_request(f"r{number}"), 0.0)
    assert grant(core, 0.1, 7) == (1, 0)
    newer = FIRST._replace(incarnation=2001)
    assert grant(core, 0.2, 1, ticket=11, sender=newer) == (1, 0)
    assert grant(core, 0.3, 8, ticket=12) == (0, 1)
    [demand, _] = list_demands(core.tick(1.0))
    assert (demand.grants_seen, demand.grantor) == (1, 2001)


def test_prefix_is_preferred_but_not_required():
    """Guards against a request that waits for the backend server with its prefix."""
    core = make_router()
    core.submit(make_request("a", prefix="p"), 0.0)
    grant(core, 0.1, 1, server="runner-2")
    [demand, *_] = list_demands(core.submit(make_request("b", prefix="p"), 0.2))
    assert (demand.entries[0].preferred, demand.entries[0].required) == ("runner-2", "")
    assert grant(core, 0.3, 2) == (1, 0)


def test_suspect_starts_only_on_its_own_grant():
    """Guards against two suspects on one server, through a grant for other requests."""
    core = make_router()
    core.submit(make_request("a"), 0.0)
    suspect = compute_fingerprint("dealers", b"a")
    core.handle(FIRST, make_summary(1, suspects=[suspect]), 0.1)
    [demand, _] = list_demands(core.tick(1.0))
    assert demand.entries[0].suspect == suspect
    assert grant(core, 1.1, 1) == (0, 1)
    assert grant(core, 1.2, 2, suspect=suspect) == (1, 0)


def test_demand_fits_into_a_frame():
    """Guards against a demand above the frame limit, which would not be sent."""
    queues = RequestQueues()
    for number in range(3000):
        workspace = f"workspace-{number % 300}"
        request = make_request(f"r{number}", workspace=workspace)
        preferred = f"runner-{number % 50}"
        target = f"target-{number % 7}"
        entry = OpenRequest(request, number, number / 1000)
        key = DemandClass("assistant", workspace, target, "", preferred, b"")
        queues.add(entry, key)
    entries = build_entries(queues.list_classes("assistant"), 5.0)
    assert len(msgspec.msgpack.encode(entries)) <= MAX_ENTRIES_BYTES
    assert len({entry.workspace for entry in entries}) == 300


def test_start_carries_agent_incarnation_of_its_grant():
    """Guards against a start with another agent incarnation than its ticket."""
    core = make_router()
    core.submit(make_request("a"), 0.0)
    actions = core.handle(FIRST, make_grant(1, agent_incarnation=6000), 0.1)
    [start] = list_messages(actions, Start)
    assert start.agent_incarnation == 6000 != AGENTS["runner-1"].incarnation
