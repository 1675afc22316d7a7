"""Refusals of new and waiting requests, with their outcomes."""

import pytest

from catkinfork.document import OUT, rank_key_servers
from catkinfork.protocol import Start, WorkspaceSummary
from catkinfork.routing import (
    NOT_RUN,
    ROUTER_CODES,
    UNKNOWN,
    Refuse,
    compute_fingerprint,
)
from catkinfork.routing.tests.fixtures import (
    DISPATCHERS,
    list_answers,
    list_demands,
    list_messages,
    make_grant,
    make_request,
    make_router,
    make_summary,
    make_view,
    make_wait,
    start_one,
)

ALL_OUT = [("runner-1", OUT), ("runner-2", OUT)]


def drain(core):
    core.drain(1.0)


def fill_queue(core):
    for number in range(20):
        core.submit(make_request(f"w{number}"), 1.0)


def fill_bytes(core):
    core.submit(make_request("w", body=b"x" * 900), 1.0)


def expect_wait(core):
    summary = make_summary(1, workspaces=[make_wait("dealers", 61.0)])
    core.handle(DISPATCHERS[0], summary, 1.0)


def block(core):
    blocked = [compute_fingerprint("dealers", b"new")]
    core.handle(DISPATCHERS[0], make_summary(1, blocked=blocked), 1.0)


def take_out(core):
    core.adopt(make_view(2, states=ALL_OUT), 1.0)


def do_nothing(core):
    pass


ADMISSION = [
    ("draining", 503, drain, {}),
    ("unknown_workspace", 403, do_nothing, {"workspace": "nobody"}),
    ("unknown_target", 404, do_nothing, {"target": "poem"}),
    ("no_backend_server", 503, take_out, {}),
    ("queue_full", 429, fill_queue, {}),
    ("queue_bytes_full", 429, fill_bytes, {"body": b"x" * 101}),
    ("wait_too_long", 429, expect_wait, {}),
    ("request_blocked", 422, block, {"body": b"new"}),
    ("deadline_exceeded", 504, do_nothing, {"deadline": 0.9}),
]


@pytest.mark.parametrize(("code", "status", "prepare", "changes"), ADMISSION)
@pytest.mark.parametrize(("key", "outcome"), [("", NOT_RUN), ("k", UNKNOWN)])
def test_refusal_is_immediate_and_typed(code, status, prepare, changes, key, outcome):
    """Guards against a late refusal, and against ``not_run`` for a keyed request.

    An earlier request with the same key may have run.
    """
    core = make_router(max_waiting_bytes=1000)
    prepare(core)
    n_before = core.n_open
    actions = core.submit(make_request("new", key=key, **changes), 1.0)
    [answer] = list_answers(actions)
    assert isinstance(answer, Refuse)
    refusal = answer.refusal
    assert (refusal.code, refusal.status, refusal.outcome) == (code, status, outcome)
    assert refusal.retry_after_s >= (61.0 if code == "wait_too_long" else 1.0)
    assert core.n_open == n_before
    assert core.counters.n_refused == {code: 1}


def test_flood_costs_no_other_workspace_its_queue():
    """Guards against a queue limit that workspaces share, so that one can fill it."""
    core = make_router()
    for number in range(500):
        core.submit(make_request(f"flood{number}"), 1.0)
    assert core.n_waiting == 20
    actions = core.submit(make_request("other", workspace="brokers"), 1.0)
    assert list_answers(actions) == []
    assert len(core.state.deadlines) <= 2 * core.n_open + 64


def test_memory_of_ended_requests_is_bounded():
    """Guards against tables that keep an entry for each request that ended."""
    core = make_router()
    for number in range(5000):
        now = number / 1000
        start = start_one(core, make_request(f"r{number}"), number + 1, now)
        core.abandon(start.request_id, now)
    state = core.state
    assert core.n_open == 0
    assert len(state.deadlines) <= 66
    assert len(state.attempts.ended) <= 4096
    assert (len(state.attempts.by_agent), len(state.queues.sizes)) == (0, 0)


@pytest.mark.parametrize("key", ["", "k"])
def test_waiting_request_ends_at_its_deadline(key):
    """Guards against a request that keeps waiting after its deadline."""
    core = make_router()
    core.submit(make_request("a", deadline=2.0, key=key), 0.0)
    assert list_answers(core.tick(1.99)) == []
    [answer] = list_answers(core.tick(2.0))
    assert answer.refusal.code == "deadline_exceeded"
    assert answer.refusal.outcome == (UNKNOWN if key else NOT_RUN)


@pytest.mark.parametrize(("wait_s", "n_refused"), [(59.0, 0), (130.0, 2)])
def test_waiting_request_ends_when_its_wait_grows(wait_s, n_refused):
    """Guards against a request that is refused only at its deadline.

    The expected wait can grow beyond the deadline after the request was admitted.
    """
    core = make_router()
    for number in range(3):
        core.submit(make_request(f"r{number}"), 0.0)
    summary = make_summary(1, workspaces=[make_wait("dealers", wait_s)])
    answers = list_answers(core.handle(DISPATCHERS[0], summary, 0.1))
    assert [answer.refusal.code for answer in answers] == ["wait_too_long"] * n_refused


def submit_flood(core, n_requests):
    """Submit requests of one workspace at time 0 and report them to dispatchers."""
    for number in range(n_requests):
        core.submit(make_request(f"flood{number}", deadline=600.0), 0.0)
    assert list_demands(core.tick(0.1)) != []


def test_requests_that_left_lengthen_no_wait():
    """Guards against a refusal because of a flood whose callers have disconnected.

    The summary still counts the flood for up to 0.5 s after it has left.
    """
    core = make_router()
    submit_flood(core, 20)
    wait = WorkspaceSummary("dealers", 0.0, 30, 69_700)
    core.handle(DISPATCHERS[0], make_summary(1, workspaces=[wait]), 0.2)
    refused = list_answers(core.submit(make_request("early"), 0.2))
    assert [answer.refusal.code for answer in refused] == ["queue_full"]
    for number in range(20):
        core.abandon(f"flood{number}", 0.3)
    assert list_answers(core.submit(make_request("late"), 0.3)) == []


def test_summary_older_than_departures_lengthens_no_wait():
    """Guards against a summary that crosses the report of departures on its way."""
    core = make_router()
    submit_flood(core, 20)
    for number in range(20):
        core.abandon(f"flood{number}", 0.11)
    wait = WorkspaceSummary("dealers", 0.0, 20, 69_700)
    core.handle(DISPATCHERS[0], make_summary(1, workspaces=[wait]), 0.12)
    assert list_answers(core.submit(make_request("late"), 0.12)) == []


def test_requests_that_wait_elsewhere_keep_the_wait():
    """Guards against a wait that forgets the requests of other routers."""
    core = make_router()
    submit_flood(core, 10)
    wait = WorkspaceSummary("dealers", 0.0, 20, 130_000)
    core.handle(DISPATCHERS[0], make_summary(1, workspaces=[wait]), 0.2)
    for number in range(10):
        core.abandon(f"flood{number}", 0.3)
    [answer] = list_answers(core.submit(make_request("late"), 0.3))
    assert answer.refusal.code == "wait_too_long"
    assert answer.refusal.retry_after_s == 65.0


def test_stale_wait_is_not_used():
    """Guards against refusals by the last summary of a dispatcher that has stopped."""
    core = make_router()
    expect_wait(core)
    assert list_answers(core.submit(make_request("late"), 3.1)) == []


def test_stale_block_is_not_used():
    """Guards against an expired block that stays in force at an idle router."""
    core = make_router()
    block(core)
    request = make_request("late", body=b"new", deadline=300.0)
    [answer] = list_answers(core.submit(request, 30.0))
    assert answer.refusal.code == "request_blocked"
    assert list_answers(core.submit(request, 200.0)) == []


def test_keyed_request_waits_for_its_owner_only():
    """Guards against a keyed request that runs on a server other than the key owner."""
    core = make_router()
    request = make_request("a", key="k")
    [owner, other] = rank_key_servers(make_view(), "dealers", "k", "draft")
    [demand, *_] = list_demands(core.submit(request, 0.1))
    assert demand.entries[0].required == owner
    refused = core.handle(DISPATCHERS[0], make_grant(1, server=other), 0.2)
    assert list_messages(refused, Start) == []
    core.adopt(make_view(2, states=[(owner, OUT)]), 0.3)
    used = core.handle(DISPATCHERS[0], make_grant(2, server=other), 0.4)
    assert [start.key for start in list_messages(used, Start)] == ["k"]


def test_key_whose_owner_is_unreachable_ends_early():
    """Guards against a keyed request that waits for a lost owner until its deadline."""
    core = make_router()
    ranked = rank_key_servers(make_view(), "dealers", "k", "draft")
    core.submit(make_request("a", key="k"), 0.0)
    answers = []
    for step in range(100):
        now = step / 10
        summary = make_summary(step + 1, backend_servers=ranked[1:])
        actions = core.handle(DISPATCHERS[0], summary, now) + core.tick(now)
        answers += [(now, answer.refusal) for answer in list_answers(actions)]
    [(ended_at, refusal)] = answers
    assert (refusal.code, refusal.outcome) == ("owner_unreachable", UNKNOWN)
    assert 2.0 <= ended_at <= 5.0
    assert refusal.retry_after_s > 0
    [answer] = list_answers(core.submit(make_request("b", key="k"), 10.0))
    assert answer.refusal.code == "owner_unreachable"


def test_keyed_request_is_accepted_after_idle_time():
    """Guards against a refusal because a router without demand received no summary."""
    core = make_router()
    core.handle(DISPATCHERS[0], make_summary(1), 1.0)
    assert (
        list_answers(core.submit(make_request("a", key="k", deadline=90.0), 60.0)) == []
    )
    core.handle(DISPATCHERS[0], make_summary(2), 60.5)
    assert list_answers(core.tick(61.0)) == []


def test_key_ends_early_without_any_dispatcher():
    """Guards against a keyed request that waits although no dispatcher is reachable."""
    core = make_router()
    core.submit(make_request("a", key="k", deadline=600.0), 60.0)
    assert list_answers(core.tick(63.0)) == []
    [answer] = list_answers(core.tick(65.0))
    assert (answer.refusal.code, answer.refusal.outcome) == (
        "owner_unreachable",
        UNKNOWN,
    )


def test_codes_are_distinct():
    """Guards against two refusal codes with the same name."""
    codes = [entry.code for entry in ROUTER_CODES]
    assert len(set(codes)) == len(codes)
