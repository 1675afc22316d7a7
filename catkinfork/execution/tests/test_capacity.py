"""Concurrency limit, crash suspects, reports and delivery of answers."""

import pytest

from catkinfork.execution import (
    BackendData,
    BackendEnd,
    BackendFailure,
    BackendHead,
    BackendHealth,
    RunRequest,
)
from catkinfork.execution._capacity import Capacity
from catkinfork.execution._limiter import ConcurrencyLimiter
from catkinfork.execution.tests._support import (
    OTHER_ROUTER,
    ROUTER,
    AgentHarness,
    list_actions,
    list_messages,
    make_view,
)
from catkinfork.protocol import (
    AgentReport,
    ReportAck,
    ResponseAck,
    ResponsePart,
    Resume,
    StartRefused,
)


def run_successful_rounds(limiter, n_rounds, now):
    """Record rounds of successes and return the limit after each."""
    limits = []
    for _ in range(n_rounds):
        for _ in range(limiter.limit):
            limiter.record_success(now)
        limits.append(limiter.limit)
    return limits


def make_limiter(limit=8):
    limiter = ConcurrencyLimiter()
    limiter.set_maximum(8)
    run_successful_rounds(limiter, limit - 1, 0.0)
    assert limiter.limit == limit
    return limiter


def test_limit_grows_by_one_a_round_and_holds_below_the_level_that_failed():
    """Guards against repeated overload at the same limit."""
    limiter = make_limiter(6)
    limiter.record_overload(1.0, 2.0)
    assert (limiter.limit, limiter.is_cold) == (3, False)
    limiter.record_overload(1.5, 2.1)
    assert limiter.limit == 3
    assert run_successful_rounds(limiter, 6, 3.0) == [4, 5, 5, 6, 7, 8]


def test_limit_grows_while_long_requests_produce():
    """Guards against a limit that stays at 1 for minutes if all requests are long."""
    limiter = ConcurrencyLimiter()
    limiter.set_maximum(8)
    limits = []
    for step in range(40):
        limiter.record_all_producing(limiter.limit, 10.0 + step / 4)
        limits.append(limiter.limit)
    assert limits[:9] == [2, 2, 2, 2, 3, 3, 3, 3, 4]
    assert limits[-1] == 8
    limiter.record_overload(30.0, 30.0)
    limiter.record_all_producing(4, 40.0)
    assert limiter.limit == 4


def test_reported_cold_start_holds_the_limit():
    """Guards against growth of the limit that overloads a cold server."""
    harness = AgentHarness()
    harness.observe(BackendHealth(True, True))
    for _ in range(6):
        harness.run_for(0.3)
        serve_one(harness, "w")
    assert harness.report.n_places == 1
    harness.observe(BackendHealth(True, False))
    for _ in range(6):
        harness.run_for(0.3)
        serve_one(harness, "w")
    assert harness.report.n_places > 1


@pytest.mark.parametrize(
    ("usual_s", "slow_s", "expected"),
    [(0.1, 0.29, 8), (0.1, 0.31, 4), (0.001, 0.04, 8)],
)
def test_limit_is_halved_when_a_whole_round_is_slow(usual_s, slow_s, expected):
    """Guards against internal queueing of an engine, and against noise as a signal."""
    limiter = make_limiter()
    for _ in range(8):
        limiter.record_first_byte(1.0, 1.0 + usual_s)
    for _ in range(7):
        limiter.record_first_byte(2.0, 2.0 + slow_s)
    assert limiter.limit == 8
    limiter.record_first_byte(2.0, 2.0 + slow_s)
    assert limiter.limit == expected


def set_limit(harness, n_places):
    """Set the concurrency limit and wait for tickets."""
    harness.core.capacity.limiter.limit = n_places
    harness.run_for(0.1)
    assert len(harness.tickets) >= n_places


OUT = make_view(2, data_centre_states={"dc-ledger-1": "out"})
RETURN_EVENTS = {
    "cold": lambda harness: [harness.observe(BackendHealth(True, True))],
    "down": lambda harness: [
        harness.observe(BackendHealth(is_up, False)) for is_up in (False, True)
    ],
    "out": lambda harness: [
        harness.call(harness.core.adopt, view) for view in (OUT, make_view(3))
    ],
    "leaving": lambda harness: [
        harness.call(harness.core.set_leaving, is_leaving)
        for is_leaving in (True, False)
    ],
}


@pytest.mark.parametrize("event", RETURN_EVENTS.values(), ids=RETURN_EVENTS)
def test_return_starts_with_one_place(event):
    """Guards against immediate full load on a server that has just returned."""
    harness = AgentHarness()
    set_limit(harness, 4)
    event(harness)
    harness.run_for(0.1)
    assert (harness.report.state, harness.report.n_places) == ("cold", 1)
    assert len(harness.report.tickets) == 1


def test_server_is_down_until_its_first_health_check():
    """Guards against work for a backend server that has never answered."""
    assert not Capacity(AgentHarness().core.settings.execution).is_up


def test_refused_connection_pauses_tickets():
    """Guards against a retry budget used up on a server that is starting."""
    harness = AgentHarness()
    set_limit(harness, 4)
    start, _ = harness.start()
    harness.observe(BackendFailure(start.attempt, "refused", ""))
    assert (harness.tickets, harness.core.capacity.n_places) == ([], 1)
    harness.run_for(0.6)
    assert len(harness.tickets) == 1


def test_second_crash_blocks_its_cause_only():
    """Guards against a request that crashes one server after another."""
    harness = AgentHarness()
    set_limit(harness, 3)
    crash = [harness.start(fingerprint=name)[0] for name in (b"a", b"b", b"c")]
    for start in crash:
        harness.observe(BackendFailure(start.attempt, "reset", ""))
    harness.observe(BackendHealth(False, False))
    harness.observe(BackendHealth(True, False))
    harness.run_for(0.3)
    suspects = [(s.fingerprint, s.n_crashes) for s in harness.report.suspects]
    assert suspects == [(b"a", 1), (b"b", 1), (b"c", 1)]
    set_limit(harness, 3)
    first, _ = harness.start(fingerprint=b"a")
    second, actions = harness.start(fingerprint=b"b")
    assert not list_actions(actions, RunRequest)
    bystander, actions = harness.start(fingerprint=b"d")
    assert list_actions(actions, RunRequest) == [RunRequest(bystander)]
    assert harness.core.runner.find_running_suspect() == b"a"
    harness.observe(BackendFailure(first.attempt, "silent", ""))
    harness.run_for(0.3)
    suspects = {s.fingerprint: s.n_crashes for s in harness.report.suspects}
    assert suspects == {b"a": 2, b"b": 1, b"c": 1, b"d": 1}
    harness.observe(BackendFailure(bystander.attempt, "reset", ""))
    harness.observe(BackendEnd(second.attempt, 1))
    harness.run_for(0.3)
    _, actions = harness.start(fingerprint=b"a")
    refusal = list_messages(actions, StartRefused)[0]
    assert (refusal.code, refusal.outcome) == ("request_blocked", "not_run")
    harness.run_for(601)
    _, actions = harness.start(fingerprint=b"a")
    assert list_actions(actions, RunRequest)


def test_crash_is_reported_at_once():
    """Guards against a crashing request that is granted again before the report."""
    harness = AgentHarness()
    harness.run_for(2.0)
    start, _ = harness.start(body=b"x")
    harness.run_for(0.02, 0.01)
    actions = harness.observe(
        BackendFailure(start.attempt, "reset", "connection reset")
    )
    actions += harness.run_for(0.01, 0.005)
    [report, *_] = list_messages(actions, AgentReport)
    assert [suspect.n_crashes for suspect in report.suspects] == [1]


def test_dispatcher_blocks_fingerprints():
    """Guards against running a request that crashed two other servers."""
    harness = AgentHarness()
    harness.handle(ReportAck(1, False, [b"a"]))
    _, actions = harness.start(fingerprint=b"a")
    assert list_messages(actions, StartRefused)[0].code == "request_blocked"


def serve_one(harness, workspace):
    start, _ = harness.start(workspace=workspace)
    harness.observe(BackendEnd(start.attempt, 3))
    harness.run_for(0.3)


def test_reports_repeat_totals_until_they_are_acknowledged():
    """Guards against delivered service that no dispatcher counts."""
    harness = AgentHarness()
    harness.run_for(0.3)
    harness.handle(ReportAck(harness.report.sequence, False, []))
    serve_one(harness, "w")
    unacked = harness.report
    assert (unacked.is_whole, [d.units for d in unacked.delivered]) == (False, [3])
    harness.run_for(0.3)
    assert harness.report.delivered == unacked.delivered
    harness.handle(ReportAck(harness.report.sequence, False, []))
    serve_one(harness, "v")
    assert [d.workspace for d in harness.report.delivered] == ["v"]
    harness.handle(ReportAck(harness.report.sequence, True, []))
    harness.run_for(0.3)
    assert harness.report.is_whole
    assert {d.workspace for d in harness.report.delivered} == {"v", "w"}


def test_new_dispatcher_gets_a_full_report_and_new_tickets():
    """Guards against two dispatchers that grant the same ticket."""
    harness = AgentHarness()
    serve_one(harness, "w")
    harness.handle(ReportAck(harness.report.sequence, False, []))
    old_tickets = harness.tickets
    actions = harness.call(harness.core.set_dispatchers, [OTHER_ROUTER, ROUTER])
    report = list_messages(actions, AgentReport)[0]
    assert (report.is_whole, [d.units for d in report.delivered]) == (True, [3])
    assert not {ticket.number for ticket in report.tickets} & set(old_tickets)
    harness.handle(ReportAck(report.sequence, False, []), ROUTER)
    harness.run_for(0.3)
    assert harness.report.is_whole
    harness.call(harness.core.set_dispatchers, [])
    assert harness.tickets == []


def test_staged_tickets_follow_completions():
    """Guards against places that idle for the handover time after each request."""
    harness = AgentHarness()
    set_limit(harness, 4)
    harness.run_for(0.2)
    for _ in range(10):
        start, _ = harness.start()
        harness.now += 0.1
        harness.observe(BackendEnd(start.attempt, 1))
    assert harness.core.capacity.n_staged > 0
    harness.run_for(3)
    assert harness.core.capacity.n_staged == 0


def list_parts(actions):
    return [(p.sequence, p.data) for p in list_messages(actions, ResponsePart)]


def test_resume_resends_unacknowledged_parts():
    """Guards against a gap in an answer after a connection was replaced."""
    harness = AgentHarness()
    start, _ = harness.start()
    harness.observe(BackendHead(start.attempt, 200, []))
    for data in (b"a", b"b", b"c"):
        harness.observe(BackendData(start.attempt, data, 1))
    harness.handle(ResponseAck(start.attempt, 2))
    execution = harness.core.runner.running[start.attempt]
    assert execution.answer.n_bytes == 2
    actions = harness.handle(Resume(start.attempt, 3, harness.incarnation))
    assert list_parts(actions) == [(3, b"c")]
    harness.call(harness.core.drop_router, ROUTER)
    assert list_parts(harness.observe(BackendData(start.attempt, b"d", 1))) == []
    harness.observe(BackendFailure(start.attempt, "cancelled", ""))
    parts = list_messages(
        harness.handle(Resume(start.attempt, 4, harness.incarnation)), ResponsePart
    )
    assert [(p.sequence, p.data, p.failure) for p in parts] == [
        (4, b"d", ""),
        (5, b"", "router_silent"),
    ]


def test_keepalives_are_sent_while_an_attempt_runs():
    """Guards against a resume or failure of a request that is merely slow."""
    harness = AgentHarness()
    start, _ = harness.start()
    parts = list_messages(harness.run_for(2.05), ResponsePart)
    assert [(p.attempt, p.sequence, p.is_keepalive) for p in parts] == [
        (start.attempt, 0, True)
    ] * 4
    harness.observe(BackendEnd(start.attempt, 1))
    assert not list_messages(harness.run_for(1), ResponsePart)


def test_unacknowledged_answer_is_aborted():
    """Guards against unbounded agent memory if a router stops acknowledging."""
    harness = AgentHarness()
    start, _ = harness.start(is_idempotent=False)
    for _ in range(65):
        harness.observe(BackendData(start.attempt, bytes(1 << 20), 0))
    answer = harness.core.runner.running[start.attempt].answer
    assert (answer.n_bytes, answer.parts[-1].failure) == (0, "response_too_large")


def test_idle_tickets_do_not_count_as_slow_handovers():
    """Guards against staging at a busy engine while another has a free place."""
    harness = AgentHarness()
    set_limit(harness, 4)
    for _ in range(20):
        harness.run_for(0.5)
        start, _ = harness.start()
        harness.run_for(0.1, 0.05)
        harness.observe(BackendEnd(start.attempt, 1))
        start, _ = harness.start(ticket=harness.tickets[-1])
        harness.observe(BackendEnd(start.attempt, 1))
        assert harness.core.capacity.n_staged == 0
