"""Protocol of the dispatcher with routers and agents, including faulty messages."""

import pytest

from catkinfork.dispatch.tests.builders import (
    DISPATCHER,
    OTHER_ROUTER,
    POOL,
    ROUTER,
    find_sent,
    get_ack,
    get_summary,
    list_events,
    list_grants,
    list_workspaces,
    make_agent_sender,
    make_demand,
    make_dispatcher,
    make_entry,
    make_report,
    make_view,
)
from catkinfork.protocol import Demand, Grant, ReportAck, Sender

VIEW = make_view({"s1": ["m"], "s2": ["m"]})
S1 = make_agent_sender("s1")


def run_steps(steps, view=VIEW):
    """Run steps (time, sender, message) and return the workspaces granted by each."""
    dispatcher = make_dispatcher(view)
    return [
        list_workspaces(dispatcher.handle(sender, message, now))
        for now, sender, message in steps
    ]


DEMAND_FAULTS = {
    "seen grants are not subtracted again": (
        [(0.1, ROUTER, make_demand(2, make_entry("a", 1), seen=1))],
        ["a"],
    ),
    "unseen grants are subtracted": (
        [(0.1, ROUTER, make_demand(2, make_entry("a", 1), seen=0))],
        [],
    ),
    "grants of another dispatcher do not count as seen": (
        [(0.1, ROUTER, make_demand(2, make_entry("a", 1), seen=1, grantor=99))],
        [],
    ),
    "duplicate demand": ([(0.1, ROUTER, make_demand(1, make_entry("a", 9)))], []),
    "reordered demand": (
        [
            (0.1, ROUTER, make_demand(3, seen=1)),
            (0.1, ROUTER, make_demand(2, make_entry("a", 9), seen=1)),
        ],
        [],
    ),
    "demand of an old incarnation of a router": (
        [
            (0.1, Sender(ROUTER.name, 11), make_demand(1, grantor=0)),
            (0.1, ROUTER, make_demand(5, make_entry("a", 9), seen=1)),
        ],
        [],
    ),
    "restarted router waits for its own requests": (
        [(0.1, Sender(ROUTER.name, 11), make_demand(1, make_entry("b", 1), grantor=0))],
        ["b"],
    ),
    "demand of another pool": (
        [
            (
                0.1,
                ROUTER,
                Demand("ledger", 2, 1, DISPATCHER.incarnation, [make_entry("a", 9)]),
            )
        ],
        [],
    ),
}


@pytest.mark.parametrize(
    ("steps", "expected"), DEMAND_FAULTS.values(), ids=DEMAND_FAULTS
)
def test_demand_faults(steps, expected):
    """Guards against grants for requests that have a grant or no longer wait."""
    first = [
        (0.0, ROUTER, make_demand(1, make_entry("a", 1))),
        (0.0, S1, make_report("s1", 1, [1, 2])),
    ]
    granted = run_steps(first + steps)
    assert granted[:2] == [[], ["a"]]
    assert granted[-1] == expected


NO_TICKETS = make_report("s1", 2)
REPORT_FAULTS = {
    "duplicate report": ([(0.1, S1, make_report("s1", 1, [1, 2]))], 1),
    "reordered report": (
        [(0.1, S1, make_report("s1", 3, [])), (0.1, S1, make_report("s1", 2, [1, 2]))],
        0,
    ),
    "granted ticket is still listed": ([(0.1, S1, make_report("s1", 2, [1, 2]))], 1),
    "restarted agent numbers its tickets anew": (
        [(0.1, make_agent_sender("s1", 2), make_report("s1", 1, [1, 2]))],
        2,
    ),
    "report of an old incarnation of an agent": (
        [
            (0.1, make_agent_sender("s1", 2), make_report("s1", 1, [])),
            (0.1, S1, make_report("s1", 9, [7, 8])),
        ],
        0,
    ),
    "expired ticket": ([(0.1, S1, make_report("s1", 2, [(3, 960)]))], 0),
    "ticket just young enough": ([(0.1, S1, make_report("s1", 2, [(3, 940)]))], 1),
    "late report does not make a ticket younger": (
        [
            (0.1, S1, make_report("s1", 2, [(1, 100)])),
            (0.96, S1, make_report("s1", 3, [(1, 100)])),
        ],
        0,
    ),
    "agent silent for 1.5 s": ([(1.6, S1, make_report("s1", 1, [1, 2]))], 0),
    "server down": ([(0.1, S1, make_report("s1", 2, [3], state="down"))], 0),
    "address that the document does not name": (
        [
            (0.1, Sender("impostor:1", 1), make_report("s1", 2, [3, 4])),
            (0.1, S1, NO_TICKETS),
        ],
        0,
    ),
    "server that the document does not have": (
        [
            (0.1, make_agent_sender("s9"), make_report("s9", 1, [3, 4])),
            (0.1, S1, NO_TICKETS),
        ],
        0,
    ),
    "report for another pool": (
        [
            (0.1, make_agent_sender("s2"), make_report("s2", 1, [3], pool="x")),
            (0.1, S1, NO_TICKETS),
        ],
        0,
    ),
}


@pytest.mark.parametrize(
    ("steps", "n_granted"), REPORT_FAULTS.values(), ids=REPORT_FAULTS
)
def test_report_faults(steps, n_granted):
    """Guards against grants of tickets that are used, invalid or not the agent's."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a", 1)), 0.0)
    assert (
        len(list_grants(dispatcher.handle(S1, make_report("s1", 1, [1, 2]), 0.0))) == 1
    )
    now = 0.0
    for now, sender, message in steps:
        acks = find_sent(dispatcher.handle(sender, message, now), ReportAck)
        assert len(acks) == (message.pool == POOL)
    wanted = make_demand(2, make_entry("b", 9), seen=1)
    assert len(list_grants(dispatcher.handle(ROUTER, wanted, now))) == n_granted


def test_lost_grant_is_counted_as_waiting_again():
    """Guards against a request that waits indefinitely because its grant was lost."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a", 1)), 0.0)
    dispatcher.handle(S1, make_report("s1", 1, [1]), 0.0)
    for step in range(1, 6):
        now = step * 0.25
        dispatcher.handle(ROUTER, make_demand(1 + step, make_entry("a", 1)), now)
        actions = dispatcher.handle(S1, make_report("s1", 1 + step, [1 + step]), now)
        assert list_grants(actions) == []
    actions = dispatcher.tick(1.5)
    assert 306 in list_events(actions)
    assert list_workspaces(actions) == ["a"]


def test_silent_router_gets_no_grants():
    """Guards against places that stay unused because a dead router got the grants."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a", 50, wait_ms=9000)), 0.0)
    dispatcher.handle(OTHER_ROUTER, make_demand(1, make_entry("a", 1)), 1.0)
    assert 307 in list_events(dispatcher.tick(1.3))
    actions = dispatcher.handle(S1, make_report("s1", 1, [1, 2, 3]), 1.3)
    assert [router for router, _ in list_grants(actions)] == [OTHER_ROUTER.name]


def test_numbering_continues_for_a_router_without_state():
    """Guards against new grants that a router ignores as already processed."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a"), seen=7), 0.0)
    actions = dispatcher.handle(S1, make_report("s1", 1, [1]), 0.0)
    assert [entry.number for _, entry in list_grants(actions)] == [8]


def test_grants_are_numbered_without_gaps_and_sent_in_one_message():
    """Guards against control traffic that grows with the number of grants."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(
        ROUTER, make_demand(1, make_entry("a", 2), make_entry("b", 2)), 0.0
    )
    dispatcher.handle(
        OTHER_ROUTER, make_demand(1, make_entry("a", 2), make_entry("b", 2)), 0.0
    )
    actions = dispatcher.handle(S1, make_report("s1", 1, range(8)), 0.0)
    grants = dict(find_sent(actions, Grant))
    assert set(grants) == {ROUTER.name, OTHER_ROUTER.name}
    for grant in grants.values():
        assert [entry.number for entry in grant.entries] == [1, 2, 3, 4]
    assert list_events(actions).count(300) == 8


def test_large_round_is_split_over_messages():
    """Guards against a grant message that exceeds the frame limit and is dropped."""
    names = {f"s{number}": ["m"] for number in range(100)}
    dispatcher = make_dispatcher(make_view(names))
    for name in names:
        tickets = make_report(name, 1, range(4))
        dispatcher.handle(make_agent_sender(name), tickets, 0.0)
    actions = dispatcher.handle(ROUTER, make_demand(1, make_entry("a", 300)), 0.0)
    assert len(list_grants(actions)) == 200
    assert len(list_grants(dispatcher.tick(0.001))) == 100
    assert dispatcher.n_violations == 0


def test_acknowledgement_asks_for_whole_reports():
    """Guards against totals that a restarted dispatcher never learns."""
    dispatcher = make_dispatcher(VIEW)
    partial = make_report("s1", 1, is_whole=False)
    assert get_ack(dispatcher.handle(S1, partial, 0.0)).wants_whole
    assert not get_ack(dispatcher.handle(S1, make_report("s1", 2), 0.0)).wants_whole
    late = get_ack(dispatcher.handle(S1, partial, 0.3))
    assert (late.sequence, late.wants_whole) == (1, False)
    partial = make_report("s1", 1, is_whole=False)
    assert get_ack(
        dispatcher.handle(make_agent_sender("s1", 2), partial, 0.2)
    ).wants_whole


def test_acknowledgements_are_few_but_never_missing():
    """Guards against one for every report, and against gaps that time agents out."""
    dispatcher = make_dispatcher(VIEW)
    n_acks = 0
    dispatcher.handle(S1, make_report("s1", 1), 0.0)
    for step in range(100):
        partial = make_report("s1", 2 + step, is_whole=False)
        actions = dispatcher.handle(S1, partial, step / 50)
        n_acks += len(find_sent(actions, ReportAck))
    assert 6 <= n_acks <= 8


@pytest.mark.parametrize("state", ["down", "out", "leaving"])
def test_server_that_takes_no_work_is_not_listed(state):
    """Guards against a request that waits for a required server that is not serving."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a")), 0.0)
    dispatcher.handle(S1, make_report("s1", 1, state=state), 0.1)
    assert get_summary(dispatcher.tick(0.2)).backend_servers == []


def test_passive_dispatcher_sends_no_summary():
    """Guards against two routers that both send summaries of a pool."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a")), 0.0)
    assert dispatcher.tick(0.1) == []
    dispatcher.handle(S1, make_report("s1", 1), 0.2)
    assert get_summary(dispatcher.tick(0.25)).backend_servers == ["s1"]
    assert get_summary(dispatcher.tick(0.5)) is None
    assert 302 in list_events(dispatcher.tick(1.8))


def test_summary_goes_to_routers_heard_within_three_seconds():
    """Guards against summaries sent to departed routers or missing at live ones."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a")), 0.0)
    dispatcher.handle(OTHER_ROUTER, make_demand(1), 2.0)
    dispatcher.handle(S1, make_report("s1", 1, state="cold"), 2.5)
    first = [name for name, _ in find_sent(dispatcher.tick(2.9), object)]
    assert first == [ROUTER.name, OTHER_ROUTER.name]
    dispatcher.handle(S1, make_report("s1", 2, state="cold"), 3.0)
    second = [name for name, _ in find_sent(dispatcher.tick(3.5), object)]
    assert second == [OTHER_ROUTER.name]


def test_document_takes_servers_out_of_service_at_once():
    """Guards against work for a data centre that is out of service (R4)."""
    dispatcher = make_dispatcher(VIEW)
    dispatcher.handle(S1, make_report("s1", 1, [1]), 0.0)
    dispatcher.handle(make_agent_sender("s2"), make_report("s2", 1, [1]), 0.0)
    dispatcher.adopt(make_view({"s1": ["m"], "s2": ["m"]}, out=["s1"]), 0.1)
    actions = dispatcher.handle(ROUTER, make_demand(1, make_entry("a", 9)), 0.1)
    assert [entry.backend_server for _, entry in list_grants(actions)] == ["s2"]
    assert len(list_grants(dispatcher.adopt(VIEW, 0.2))) == 1
