"""Starts that are refused, repeated, staged or returned to their routers."""

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
    AgentHarness,
    list_actions,
    list_messages,
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

OUT = make_view(2, data_centre_states={"dc-ledger-1": "out"})
UNLISTED = make_view(2, {"ledger-1": "missing"})
# Each of these closes the server to new work or, like a pause, revokes its tickets.
CLOSING_EVENTS = {
    "out": lambda harness: harness.call(harness.core.adopt, OUT),
    "unlisted": lambda harness: harness.call(harness.core.adopt, UNLISTED),
    "leaving": lambda harness: harness.call(harness.core.set_leaving, True),
    "down": lambda harness: harness.observe(BackendHealth(False, False)),
    "paused": lambda harness: harness.advance_clock(1.0),
}
REVOKING_EVENTS = {
    "used": lambda harness: harness.start(),
    # No tick happens here, so that expiry is checked when the ticket is redeemed.
    "expired": lambda harness: [
        harness.advance_clock(0.6),
        harness.handle(None),
        harness.advance_clock(0.6),
    ],
    "dispatcher": lambda harness: harness.call(
        harness.core.set_dispatchers, [OTHER_ROUTER]
    ),
    "restarted": lambda harness: [
        harness.handle(ReportAck(1, False, []), incarnation=number) for number in (1, 2)
    ],
    "returned": lambda harness: harness.handle(
        TicketReturn(harness.tickets, harness.incarnation)
    ),
}
INVALID_TICKETS = [
    *((event, 0, 0) for event in (CLOSING_EVENTS | REVOKING_EVENTS).values()),
    (bool, 100, 0),
    (bool, 0, -1),
]


@pytest.mark.parametrize(
    ("event", "ticket_shift", "incarnation_shift"), INVALID_TICKETS
)
@pytest.mark.parametrize("is_keyed", [False, True])
def test_start_without_valid_ticket(event, ticket_shift, incarnation_shift, is_keyed):
    """Guards against a run without a place, and a key record without a ticket."""
    harness = AgentHarness()
    harness.run_for(3)
    ticket = harness.tickets[0]
    event(harness)
    n_records = len(harness.core.keys.records.time_ordered)
    start = make_start(
        50,
        ticket + ticket_shift,
        harness.incarnation + incarnation_shift,
        key=harness.make_key() if is_keyed else "",
    )
    for _ in range(2):
        actions = harness.handle(start)
        assert not list_actions(actions, RunRequest)
        refusal = list_messages(actions, StartRefused)[0]
        assert refusal == StartRefused(start.attempt, "ticket_invalid", "not_run", True)
    assert len(harness.core.keys.records.time_ordered) == n_records


def test_repeated_start_runs_once():
    """Guards against a second run, or a false not_run, after a duplicate start."""
    harness = AgentHarness()
    start, _ = harness.start()
    assert harness.handle(start) == []
    harness.observe(BackendEnd(start.attempt, 1))
    assert not list_actions(harness.handle(start), RunRequest)
    harness.run_for(40)
    actions = harness.handle(Resume(start.attempt, 0, harness.incarnation))
    refusal = list_messages(actions, StartRefused)[0]
    assert (refusal.outcome, refusal.is_retryable) == ("unknown", False)


@pytest.mark.parametrize("kind", ["resume", "cancel"])
def test_start_that_arrives_after_it_was_given_up(kind):
    """Guards against running a request that was reported as not run."""
    harness = AgentHarness()
    start = make_start(1, harness.tickets[0], harness.incarnation)
    if kind == "resume":
        actions = harness.handle(Resume(start.attempt, 0, harness.incarnation))
        assert list_messages(actions, StartRefused)[0].outcome == "not_run"
    else:
        harness.handle(Cancel(start.attempt))
    actions = harness.handle(start)
    assert not list_actions(actions, RunRequest)
    assert list_messages(actions, StartRefused)[0].outcome == "not_run"


def test_resume_after_restart_is_unknown():
    """Guards against a false not_run for an attempt of an earlier process."""
    harness = AgentHarness()
    start = make_start(1, 1, harness.incarnation - 1)
    actions = harness.handle(Resume(start.attempt, 0, harness.incarnation - 1))
    refusal = list_messages(actions, StartRefused)[0]
    assert (refusal.outcome, refusal.is_retryable) == ("unknown", False)


def make_staged_harness(n_staged=2):
    """Return a harness, its running request and its staged requests."""
    harness = AgentHarness()
    harness.core.capacity.handover.count_staged = lambda n_places, now: n_staged
    harness.run_for(0.1)
    assert len(harness.tickets) == 1 + n_staged
    running, _ = harness.start()
    staged = [harness.start()[0] for _ in range(n_staged)]
    assert (harness.core.n_running, harness.tickets) == (1, [])
    return harness, running, staged


def test_staged_request_starts_when_a_place_is_free():
    """Guards against an idle place, and against more running requests than places."""
    harness, running, staged = make_staged_harness()
    assert list_actions(harness.actions, RunRequest) == [RunRequest(running)]
    # One success grows the limit from one place to two.
    actions = harness.observe(BackendEnd(running.attempt, 1))
    assert list_actions(actions, RunRequest) == [RunRequest(start) for start in staged]


@pytest.mark.parametrize("event", CLOSING_EVENTS.values(), ids=CLOSING_EVENTS)
def test_staged_requests_are_given_back(event):
    """Guards against a start on a server that takes no new work."""
    harness, running, staged = make_staged_harness()
    harness.actions.clear()
    event(harness)
    harness.call(harness.core.tick)
    refused = list_messages(harness.actions, StartRefused)
    expected = [(start.attempt, "not_run", True) for start in staged]
    assert [(r.attempt, r.outcome, r.is_retryable) for r in refused] == expected
    harness.observe(BackendEnd(running.attempt, 1))
    harness.run_for(0.5)
    assert not list_actions(harness.actions, RunRequest)
    assert list_messages(harness.handle(staged[0]), StartRefused) == [refused[0]]


def test_staged_request_ends_at_its_deadline():
    """Guards against a run after the deadline of its caller."""
    harness, _, _ = make_staged_harness(1)
    harness.actions.clear()
    harness.run_for(61)
    refusal = list_messages(harness.actions, StartRefused)[0]
    assert (refusal.code, refusal.outcome) == ("deadline_exceeded", "not_run")


CANCELLATIONS = [
    ({"is_idempotent": True}, 1),
    ({"is_idempotent": False}, 0),
    ({"is_idempotent": True, "key": "time"}, 0),
]


@pytest.mark.parametrize(("values", "n_cancelled"), CANCELLATIONS)
@pytest.mark.parametrize("cause", ["silent", "cancel", "deadline"])
def test_request_without_listeners_is_cancelled_only_if_cancellable(
    values, n_cancelled, cause
):
    """Guards against cancelling work that must not be repeated."""
    harness = AgentHarness()
    harness.run_for(3)
    key = harness.make_key() if "key" in values else ""
    start, _ = harness.start(**{**values, "key": key})
    if cause == "silent":
        actions = harness.call(harness.core.drop_router, ROUTER)
    elif cause == "cancel":
        actions = harness.handle(Cancel(start.attempt))
    else:
        actions = harness.run_for(61)
    assert len(list_actions(actions, CancelRequest)) == n_cancelled
    assert harness.core.n_running == 1
    harness.observe(BackendFailure(start.attempt, "cancelled", ""))
    assert harness.core.n_running == 0


def test_too_expensive_request_is_cancelled():
    """Guards against a request over max_cost, which the fairness bound relies on."""
    harness = AgentHarness()
    start, _ = harness.start()
    assert not list_actions(
        harness.observe(BackendData(start.attempt, b"", 1000)), CancelRequest
    )
    actions = harness.observe(BackendData(start.attempt, b"", 1))
    assert list_actions(actions, CancelRequest)
    actions = harness.observe(BackendFailure(start.attempt, "cancelled", ""))
    assert list_messages(actions, ResponsePart)[0].failure == "too_expensive"


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
    harness = AgentHarness(view=make_view(kind=pool))
    harness.run_for(3)
    key = harness.make_key()
    start, _ = harness.start(key=key)
    actions = harness.observe(BackendFailure(start.attempt, kind, ""))
    is_not_run = expected == "not_run"
    assert bool(list_messages(actions, StartRefused)) == is_not_run
    assert bool(list_messages(actions, ResponsePart)) != is_not_run
    harness.run_for(1)
    _, actions = harness.start(key=key, fingerprint=start.fingerprint)
    assert bool(list_actions(actions, RunRequest)) == is_not_run


def test_ticket_returned_to_an_earlier_process_stays_open():
    """Guards against a late return that revokes a ticket of the new process."""
    harness = AgentHarness()
    tickets = harness.tickets
    harness.handle(TicketReturn(tickets, harness.incarnation - 1))
    assert harness.tickets == tickets


def test_start_for_unserved_target_is_refused():
    """Guards against work that the backend server cannot do."""
    harness = AgentHarness()
    _, actions = harness.start(target="other")
    assert list_messages(actions, StartRefused)[0].code == "target_not_served"


def test_more_runs_than_places_raise():
    """Guards against undetected overload."""
    harness = AgentHarness()
    harness.start()
    harness.core.capacity.n_running_at_last_check = 0
    harness.core.capacity.limiter.limit = 0
    with pytest.raises(InvariantError, match="running_within_places"):
        harness.call(harness.core.tick)
