"""Assignment of places to waiting requests: order, placement and crash suspects."""

import pytest

from catkinfork.dispatch._summary import estimate_wait_ms
from catkinfork.dispatch.tests.builders import (
    OTHER_ROUTER,
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
from catkinfork.protocol import PoolSummary, ReportAck, Sender, WorkspaceSummary

TWO_SERVERS = make_view({"s1": ["m"], "s2": ["m", "n"]})


def report_tickets(dispatcher, server, sequence, tickets, now=0.0, **fields):
    """Report open tickets and return the actions of the dispatcher."""
    message = make_report(server, sequence, tickets, **fields)
    return dispatcher.handle(make_agent_sender(server), message, now)


@pytest.mark.parametrize(
    ("shares", "n_tickets", "expected"),
    [
        ({"a": 1.0, "b": 1.0}, 6, {"a": 3, "b": 3}),
        ({"a": 1.0, "b": 2.0}, 6, {"a": 2, "b": 4}),
        ({"a": 0.5, "b": 2.5}, 12, {"a": 2, "b": 10}),
    ],
    ids=["equal", "double", "small share"],
)
def test_places_follow_shares(shares, n_tickets, expected):
    """Guards against grants that are not proportional to the shares (R1)."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}, shares))
    dispatcher.handle(
        ROUTER, make_demand(1, make_entry("a", 50), make_entry("b", 50)), 0.0
    )
    granted = list_workspaces(report_tickets(dispatcher, "s1", 1, range(n_tickets)))
    assert {name: granted.count(name) for name in shares} == expected


PLACEMENTS = {
    "preferred among the free": ({"preferred": "s2"}, (0, 0), "s2", "preferred"),
    "preferred is full": ({"preferred": "s2"}, (0, 4), "s1", "free"),
    "all full": ({"preferred": "s2"}, (4, 4), "s2", "staged"),
    "required": ({"required": "s2"}, (0, 0), "s2", "required"),
    "target": ({"target": "n"}, (0, 0), "s2", "free"),
    "server for few targets first": ({}, (2, 0), "s1", "free"),
}


@pytest.mark.parametrize(
    ("fields", "n_running", "server", "placement"), PLACEMENTS.values(), ids=PLACEMENTS
)
def test_placement(fields, n_running, server, placement):
    """Guards against waiting for a preferred server and against unsuitable servers."""
    dispatcher = make_dispatcher(TWO_SERVERS)
    for name, n in zip(("s1", "s2"), n_running, strict=True):
        report_tickets(dispatcher, name, 1, [1], n_running=n)
    actions = dispatcher.handle(ROUTER, make_demand(1, make_entry("a", **fields)), 0.0)
    [(_, entry)] = list_grants(actions)
    assert entry.backend_server == server
    [event] = [item for item in actions if getattr(item, "event", None)]
    values = dict(zip(event.event.fields, event.values, strict=True))
    assert (event.event.number, values["placement"]) == (300, placement)
    assert (values["workspace"], values["router"]) == ("a", ROUTER.name)


def test_oldest_class_first_then_router_with_fewest_grants():
    """Guards against starvation of a class or of a router."""
    dispatcher = make_dispatcher(TWO_SERVERS)
    young = make_entry("a", 4, wait_ms=100)
    old = make_entry("a", 2, wait_ms=9000, preferred="s1")
    dispatcher.handle(ROUTER, make_demand(1, young, old), 0.0)
    dispatcher.handle(OTHER_ROUTER, make_demand(1, young), 0.0)
    grants = list_grants(report_tickets(dispatcher, "s1", 1, range(6)))
    assert [entry.preferred for _, entry in grants[:2]] == ["s1", "s1"]
    routers = [router for router, _ in grants[2:]]
    assert routers.count(ROUTER.name) == routers.count(OTHER_ROUTER.name) == 2


@pytest.mark.parametrize("required", ["s1", "s2"])
@pytest.mark.parametrize("n_stuck", [0, 3])
def test_required_class_is_reached(required, n_stuck):
    """Guards against starvation of a request that requires one server.

    The tickets of two servers alternate in step with the turns of two workspaces, so
    that the workspace of the request is always served elsewhere. With
    ``n_stuck``, a third workspace waits for a server without tickets and keeps the
    smallest counter.
    """
    view = make_view({"s1": ["m"], "s2": ["m", "n"], "s3": ["z"]})
    dispatcher = make_dispatcher(view)
    keyed = make_entry("a", 1, wait_ms=5000, required=required)
    stuck = make_entry("c", n_stuck, wait_ms=9000, target="z")
    for name in "ab":
        dispatcher.counters.charge(name, 5000)
    seen = 0
    for turn in range(60):
        now = turn * 0.02
        entries = [
            make_entry("a", 9, wait_ms=10),
            make_entry("b", 9, wait_ms=10),
            keyed,
        ]
        message = make_demand(turn + 1, *entries, stuck, seen=seen)
        actions = dispatcher.handle(ROUTER, message, now)
        server = ("s1", "s2")[turn % 2]
        actions += report_tickets(dispatcher, server, turn + 1, [turn], now)
        grants = list_grants(actions)
        seen += len(grants)
        if any(entry.required for _, entry in grants):
            break
    assert turn < 20
    assert dispatcher.n_violations == 0


DELIVERED = {"delivered": [("a", 2000, 0, 20, 0)]}


def test_return_from_idle_earns_no_credit():
    """Guards against a workspace that accumulates credit while it is idle."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}))
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a", 50)), 0.0)
    report_tickets(dispatcher, "s1", 1, range(20))
    message = make_demand(2, make_entry("a", 50), make_entry("b", 50), seen=20)
    assert 308 in list_events(dispatcher.handle(ROUTER, message, 0.1))
    granted = list_workspaces(
        report_tickets(dispatcher, "s1", 2, range(20, 30), 0.2, **DELIVERED)
    )
    assert granted.count("b") == 5


def test_return_after_all_were_idle_earns_no_credit():
    """Guards against credit when no workspace is backlogged at the return."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}))
    dispatcher.handle(ROUTER, make_demand(1, make_entry("a", 20)), 0.0)
    report_tickets(dispatcher, "s1", 1, range(20))
    dispatcher.handle(ROUTER, make_demand(2, seen=20), 0.05)
    dispatcher.handle(ROUTER, make_demand(3, make_entry("b", 50), seen=20), 0.1)
    dispatcher.handle(
        ROUTER, make_demand(4, make_entry("a", 50), make_entry("b", 50), seen=20), 0.1
    )
    granted = list_workspaces(
        report_tickets(dispatcher, "s1", 2, range(20, 30), 0.2, **DELIVERED)
    )
    assert abs(granted.count("b") - granted.count("a")) <= 2


@pytest.mark.parametrize("expensive", ["a", "b"])
@pytest.mark.parametrize("has_ended", [True, False])
def test_reports_correct_the_charge(expensive, has_ended):
    """Guards against charges that stay at the estimate instead of the cost (R1)."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}))
    dispatcher.handle(
        ROUTER, make_demand(1, make_entry("a", 9), make_entry("b", 9)), 0.0
    )
    report_tickets(dispatcher, "s1", 1, [1, 2])
    costs = {name: 150 if name == expensive else 100 for name in "ab"}
    delivered = [
        (name, cost, 0, 1, 0) if has_ended else (name, cost, 1, 0, cost)
        for name, cost in costs.items()
    ]
    actions = report_tickets(dispatcher, "s1", 2, [3], 0.1, delivered=delivered)
    assert list_workspaces(actions) == ["b" if expensive == "a" else "a"]


SUSPECT = {"suspect": b"x"}
SUSPECT_CASES = {
    "one suspect on a server": (
        [make_entry("a", **SUSPECT), make_entry("b", suspect=b"y")],
        {"s1": {}},
        1,
    ),
    "two servers": (
        [make_entry("a", **SUSPECT), make_entry("b", suspect=b"y")],
        {"s1": {}, "s2": {}},
        2,
    ),
    "same suspect on one server only": (
        [make_entry("a", 2, **SUSPECT)],
        {"s1": {}, "s2": {}},
        1,
    ),
    "suspect runs already": (
        [make_entry("b", suspect=b"y")],
        {"s1": {"running_suspect": b"x", "n_running": 1}},
        0,
    ),
    "same suspect runs elsewhere": (
        [make_entry("a", **SUSPECT)],
        {"s1": {"running_suspect": b"x", "n_running": 1}, "s2": {}},
        0,
    ),
    "crashes at two agents": (
        [make_entry("a", **SUSPECT)],
        {"s1": {"suspects": [(b"x", 1, 0, 5)]}, "s2": {"suspects": [(b"x", 1, 0, 1)]}},
        0,
    ),
    "crashes too old": (
        [make_entry("a", **SUSPECT)],
        {"s1": {"suspects": [(b"x", 2, 0, 601.0)]}},
        1,
    ),
    "other requests are not delayed": (
        [make_entry("a", **SUSPECT), make_entry("b", suspect=b"y"), make_entry("c", 2)],
        {"s1": {}},
        3,
    ),
}


@pytest.mark.parametrize(
    ("entries", "servers", "n_granted"), SUSPECT_CASES.values(), ids=SUSPECT_CASES
)
def test_suspects(entries, servers, n_granted):
    """Guards against concurrent suspects and repeated crashes by one request (R13)."""
    dispatcher = make_dispatcher(TWO_SERVERS)
    for name, fields in servers.items():
        report_tickets(dispatcher, name, 1, range(4), **fields)
    actions = dispatcher.handle(ROUTER, make_demand(1, *entries), 0.0)
    assert len(list_grants(actions)) == n_granted


def test_granted_suspect_holds_its_server_until_it_has_ended():
    """Guards against a second suspect while the first is granted or running."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}))
    entries = [make_entry("a", suspect=b"x"), make_entry("b", suspect=b"y")]
    dispatcher.handle(ROUTER, make_demand(1, *entries), 0.0)
    assert len(list_grants(report_tickets(dispatcher, "s1", 1, [1, 2]))) == 1
    assert list_grants(report_tickets(dispatcher, "s1", 2, [1, 2], 0.1)) == []
    running = {"running_suspect": b"x", "n_running": 1}
    assert list_grants(report_tickets(dispatcher, "s1", 3, [1], 0.2, **running)) == []
    assert len(list_grants(report_tickets(dispatcher, "s1", 4, [1], 0.3))) == 1


def test_block_is_announced_to_all_agents_at_once():
    """Guards against a third crash by a copy that arrives through another router."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"], "s2": ["m"], "s3": ["m"]}))
    crash = [(b"x", 1, 0, 0.0)]
    for name in ("s1", "s2", "s3"):
        report_tickets(dispatcher, name, 1, [], now=0.0)
    report_tickets(dispatcher, "s1", 2, [], suspects=crash, now=0.1)
    actions = report_tickets(dispatcher, "s2", 2, [], suspects=crash, now=0.11)
    announced = {address: ack.blocked for address, ack in find_sent(actions, ReportAck)}
    assert sorted(announced.values()) == [[b"x"]] * 3


def test_blocked_fingerprints_survive_an_agent_restart():
    """Guards against losing a crash count when the reporting agent restarts (R13)."""
    dispatcher = make_dispatcher(TWO_SERVERS)
    crash = [(b"x", 1, 2, 0.0)]
    assert (
        get_ack(report_tickets(dispatcher, "s1", 1, [], suspects=crash)).blocked == []
    )
    again = make_report("s1", 1, suspects=crash)
    actions = dispatcher.handle(make_agent_sender("s1", 2), again, 1.0)
    assert get_ack(actions).blocked == [b"x"]
    assert 305 in list_events(actions)
    report_tickets(dispatcher, "s2", 1, [], now=601.5)
    assert get_ack(report_tickets(dispatcher, "s2", 2, [], now=602.0)).blocked == [b"x"]
    dispatcher.tick(602.0)
    assert get_ack(report_tickets(dispatcher, "s2", 3, [], now=602.0)).blocked == []


def test_suspect_that_ran_without_crash_is_cleared():
    """Guards against blocking a request that was in flight by coincidence."""
    dispatcher = make_dispatcher(TWO_SERVERS)
    report_tickets(dispatcher, "s1", 1, [], suspects=[(b"x", 1, 2, 0.0)])
    report_tickets(dispatcher, "s1", 2, [])
    actions = report_tickets(dispatcher, "s2", 1, [], suspects=[(b"x", 1, 2, 0.0)])
    assert get_ack(actions).blocked == []


def make_summary(counters, n_waiting=5, blocked=()):
    """Return the summary of another dispatcher."""
    entries = [WorkspaceSummary(*item, n_waiting, 0) for item in counters.items()]
    return PoolSummary("assistant", 3, entries, [], list(blocked), 4, ["s1"])


def test_takeover_continues_from_the_summary():
    """Guards against a takeover that loses counters or blocked fingerprints."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}))
    summary = make_summary({"a": 500.0, "b": 0.0}, blocked=[b"x"])
    dispatcher.record_summary(summary, 0.0)
    message = make_demand(1, make_entry("a", 50, wait_ms=9000), grantor=0)
    dispatcher.handle(OTHER_ROUTER, message, 0.0)
    actions = report_tickets(dispatcher, "s1", 1, [], delivered=[("a", 9000, 0, 9, 0)])
    assert get_ack(actions).blocked == [b"x"]
    late = make_demand(
        1, make_entry("b", 50), make_entry("c", 50, suspect=b"x"), grantor=0
    )
    dispatcher.handle(ROUTER, late, 0.1)
    granted = list_workspaces(report_tickets(dispatcher, "s1", 2, range(4), 0.1))
    assert granted == ["b"] * 4


def test_active_dispatcher_ignores_summaries():
    """Guards against two active dispatchers that overwrite each other's counters."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}))
    report_tickets(dispatcher, "s1", 1, [])
    dispatcher.record_summary(make_summary({"a": 9e9, "b": 0.0}, blocked=[b"x"]), 0.1)
    for step in range(4):
        dispatcher.tick(2.0 + step)
    dispatcher.handle(
        ROUTER, make_demand(1, make_entry("a", 9), make_entry("b", 9)), 6.0
    )
    actions = dispatcher.handle(
        make_agent_sender("s1", 2), make_report("s1", 1, range(4)), 6.0
    )
    assert list_workspaces(actions).count("a") == 2


def test_summary_orders_workspaces_and_estimates_the_wait():
    """Guards against summaries that lack the figures for admission control."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}))
    dispatcher.handle(
        ROUTER, make_demand(1, make_entry("a", 50), make_entry("b", 9)), 0.0
    )
    report_tickets(dispatcher, "s1", 1, range(5))
    summary = get_summary(dispatcher.tick(0.1))
    by_name = {entry.workspace: entry for entry in summary.workspaces}
    assert min(entry.counter for entry in summary.workspaces) == 0.0
    assert by_name["a"].n_waiting + by_name["b"].n_waiting == 54
    assert by_name["a"].wait_ms > by_name["b"].wait_ms > 0
    assert summary.n_places == 4


WAITS = {
    "nothing waits": ((0, 0.0, 0.0), 0),
    "rate known": ((50, 5.0, 9.0), 10_000),
    "cold pool": ((1, 0.001, 0.1), 500),
    "nothing starts": ((3, 0.0, 20.0), 60_000),
}


@pytest.mark.parametrize(("figures", "wait_ms"), WAITS.values(), ids=WAITS)
def test_expected_wait(figures, wait_ms):
    """Guards against refusals based on rates measured while the pool was cold."""
    assert estimate_wait_ms(*figures) == wait_ms


def test_violations_are_logged_and_do_not_stop_the_service():
    """Guards against a fairness violation that stops the dispatcher."""
    dispatcher = make_dispatcher(make_view({"s1": ["m"]}))
    message = make_demand(1, make_entry("a", 50), make_entry("b", 50))
    dispatcher.handle(Sender("r", 1), message, 0.0)
    report_tickets(dispatcher, "s1", 1, range(2))
    dispatcher.counters.charge("a", 1e6)
    actions = report_tickets(dispatcher, "s1", 2, [7])
    assert list_workspaces(actions) == ["b"]
    assert 390 in list_events(actions)
