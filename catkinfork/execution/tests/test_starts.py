"""Starts: which are refused, repeated, staged or given back."""

import pytest

from catkinfork.execution import (
    BackendData,
    BackendEnd,
    BackendFailure,
    BackendHealth,
    CancelRequest,
    InvariantError,
    RunRequest,
)
from catkinfork.execution.tests._support import (
    OTHER_ROUTER,
    ROUTER,
    Bench,
    list_kind,
    list_sent,
    make_start,
    make_view,
)
from catkinfork.protocol import (
    Cancel,
    ReportAck,
    ResponsePart,
    Resume,
    StartRefused,
    TicketReturn,
)

OUT = make_view(2, centres={"dc-ledger-1": "out"})
UNLISTED = make_view(2, {"ledger-1": "missing"})
# Each makes the agent take no work, or has voided its tickets.
CLOSINGS = {
    "out": lambda bench: bench.do(bench.core.adopt, OUT),
    "unlisted": lambda bench: bench.do(bench.core.adopt, UNLISTED),
    "leaving": lambda bench: bench.do(bench.core.set_leaving, True),
    "down": lambda bench: bench.observe(BackendHealth(False, False)),
    "paused": lambda bench: bench.skip(1.0),
}
VOIDINGS = {
    "used": lambda bench: bench.start(),
    # The agent itself does not tick here: the ticket is checked at its use.
    "expired": lambda bench: [bench.skip(0.6), bench.handle(None), bench.skip(0.6)],
    "dispatcher": lambda bench: bench.do(bench.core.set_dispatchers, [OTHER_ROUTER]),
    "restarted": lambda bench: [
        bench.handle(ReportAck(1, False, []), incarnation=number) for number in (1, 2)
    ],
    "returned": lambda bench: bench.handle(
        TicketReturn(bench.tickets, bench.incarnation)
    ),
}
VOID_TICKETS = [
    *((event, 0, 0) for event in (CLOSINGS | VOIDINGS).values()),
    (bool, 100, 0),
    (bool, 0, -1),
]


@pytest.mark.parametrize(("event", "ticket_shift", "incarnation_shift"), VOID_TICKETS)
@pytest.mark.parametrize("is_keyed", [False, True])
def test_start_without_valid_ticket(event, ticket_shift, incarnation_shift, is_keyed):
    """Guards against work without a place, and a key changed by a void ticket."""
    bench = Bench()
    bench.run_for(3)
    ticket = bench.tickets[0]
    event(bench)
    n_records = len(bench.core.keys.records.ordered)
    start = make_start(
        50,
        ticket + ticket_shift,
        bench.incarnation + incarnation_shift,
        key=bench.make_key() if is_keyed else "",
    )
    for _ in range(2):
        actions = bench.handle(start)
        assert not list_kind(actions, RunRequest)
        refusal = list_sent(actions, StartRefused)[0]
        assert refusal == StartRefused(start.attempt, "ticket_invalid", "not_run", True)
    assert len(bench.core.keys.records.ordered) == n_records


def test_repeated_start_runs_once():
    """Guards against a second run, or a false not_run, for a copied start."""
    bench = Bench()
    start, _ = bench.start()
    assert bench.handle(start) == []
    bench.observe(BackendEnd(start.attempt, 1))
    assert not list_kind(bench.handle(start), RunRequest)
    bench.run_for(40)
    actions = bench.handle(Resume(start.attempt, 0, bench.incarnation))
    refusal = list_sent(actions, StartRefused)[0]
    assert (refusal.outcome, refusal.is_retryable) == ("unknown", False)


@pytest.mark.parametrize("kind", ["resume", "cancel"])
def test_start_that_arrives_after_it_was_given_up(kind):
    """Guards against running a request that was reported as not run."""
    bench = Bench()
    start = make_start(1, bench.tickets[0], bench.incarnation)
    if kind == "resume":
        actions = bench.handle(Resume(start.attempt, 0, bench.incarnation))
        assert list_sent(actions, StartRefused)[0].outcome == "not_run"
    else:
        bench.handle(Cancel(start.attempt))
    actions = bench.handle(start)
    assert not list_kind(actions, RunRequest)
    assert list_sent(actions, StartRefused)[0].outcome == "not_run"


def test_resume_after_restart_is_unknown():
    """Guards against not_run about an attempt of an earlier process."""
    bench = Bench()
    start = make_start(1, 1, bench.incarnation - 1)
    actions = bench.handle(Resume(start.attempt, 0, bench.incarnation - 1))
    refusal = list_sent(actions, StartRefused)[0]
    assert (refusal.outcome, refusal.is_retryable) == ("unknown", False)


def make_staged(n_staged=2):
    """Return a bench with one running and some staged requests."""
    bench = Bench()
    bench.core.capacity.handover.count_staged = lambda n_places, now: n_staged
    bench.run_for(0.1)
    assert len(bench.tickets) == 1 + n_staged
    running, _ = bench.start()
    staged = [bench.start()[0] for _ in range(n_staged)]
    assert (bench.core.n_running, bench.tickets) == (1, [])
    return bench, running, staged


def test_staged_request_starts_when_a_place_is_free():
    """Guards against an idle place and against more runs than places."""
    bench, running, staged = make_staged()
    assert list_kind(bench.actions, RunRequest) == [RunRequest(running)]
    # One success lets the limit grow from one to two places.
    actions = bench.observe(BackendEnd(running.attempt, 1))
    assert list_kind(actions, RunRequest) == [RunRequest(start) for start in staged]


@pytest.mark.parametrize("event", CLOSINGS.values(), ids=CLOSINGS)
def test_staged_requests_are_given_back(event):
    """Guards against work that starts on a server that takes none."""
    bench, running, staged = make_staged()
    bench.actions.clear()
    event(bench)
    bench.do(bench.core.tick)
    refused = list_sent(bench.actions, StartRefused)
    expected = [(start.attempt, "not_run", True) for start in staged]
    assert [(r.attempt, r.outcome, r.is_retryable) for r in refused] == expected
    bench.observe(BackendEnd(running.attempt, 1))
    bench.run_for(0.5)
    assert not list_kind(bench.actions, RunRequest)
    assert list_sent(bench.handle(staged[0]), StartRefused) == [refused[0]]


def test_staged_request_ends_at_its_deadline():
    """Guards against a run that nobody waits for."""
    bench, _, _ = make_staged(1)
    bench.actions.clear()
    bench.run_for(61)
    refusal = list_sent(bench.actions, StartRefused)[0]
    assert (refusal.code, refusal.outcome) == ("deadline_exceeded", "not_run")


SILENCE = [
    ({"is_idempotent": True}, 1),
    ({"is_idempotent": False}, 0),
    ({"is_idempotent": True, "key": "time"}, 0),
]


@pytest.mark.parametrize(("values", "n_cancelled"), SILENCE)
@pytest.mark.parametrize("cause", ["silent", "cancel", "deadline"])
def test_unheard_request_is_stopped_only_if_it_may_be(values, n_cancelled, cause):
    """Guards against stopping work that must not be repeated."""
    bench = Bench()
    bench.run_for(3)
    key = bench.make_key() if "key" in values else ""
    start, _ = bench.start(**{**values, "key": key})
    if cause == "silent":
        actions = bench.do(bench.core.drop_router, ROUTER)
    elif cause == "cancel":
        actions = bench.handle(Cancel(start.attempt))
    else:
        actions = bench.run_for(61)
    assert len(list_kind(actions, CancelRequest)) == n_cancelled
    assert bench.core.n_running == 1
    bench.observe(BackendFailure(start.attempt, "cancelled", ""))
    assert bench.core.n_running == 0


def test_too_expensive_request_is_stopped():
    """Guards against a request over max_cost, on which the fairness bound rests."""
    bench = Bench()
    start, _ = bench.start()
    assert not list_kind(
        bench.observe(BackendData(start.attempt, b"", 1000)), CancelRequest
    )
    actions = bench.observe(BackendData(start.attempt, b"", 1))
    assert list_kind(actions, CancelRequest)
    actions = bench.observe(BackendFailure(start.attempt, "cancelled", ""))
    assert list_sent(actions, ResponsePart)[0].failure == "too_expensive"


FAILURES = [
    ("service", "refused", "not_run"),
    ("service", "overloaded", "failure"),
    ("engine", "overloaded", "not_run"),
    ("service", "reset", "failure"),
    ("engine", "silent", "failure"),
]


@pytest.mark.parametrize(("pool", "kind", "expected"), FAILURES)
def test_failure_is_not_run_only_if_that_is_certain(pool, kind, expected):
    """Guards against a false not_run after a backend failure."""
    bench = Bench(view=make_view(kind=pool))
    bench.run_for(3)
    key = bench.make_key()
    start, _ = bench.start(key=key)
    actions = bench.observe(BackendFailure(start.attempt, kind, ""))
    is_not_run = expected == "not_run"
    assert bool(list_sent(actions, StartRefused)) == is_not_run
    assert bool(list_sent(actions, ResponsePart)) != is_not_run
    bench.run_for(1)
    _, actions = bench.start(key=key, fingerprint=start.fingerprint)
    assert bool(list_kind(actions, RunRequest)) == is_not_run


def test_ticket_returned_to_an_earlier_process_stays_open():
    """Guards against a late return that voids a ticket which is in use."""
    bench = Bench()
    tickets = bench.tickets
    bench.handle(TicketReturn(tickets, bench.incarnation - 1))
    assert bench.tickets == tickets


def test_target_that_is_not_served():
    """Guards against work that the backend server cannot do."""
    bench = Bench()
    _, actions = bench.start(target="other")
    assert list_sent(actions, StartRefused)[0].code == "target_not_served"


def test_more_runs_than_places_raise():
    """Guards against an overload that goes unnoticed."""
    bench = Bench()
    bench.start()
    bench.core.capacity.n_running_before = 0
    bench.core.capacity.limiter.limit = 0
    with pytest.raises(InvariantError, match="running_within_places"):
        bench.do(bench.core.tick)
