"""Learned limit, crash suspects, reports and delivery of answers."""

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
from catkinfork.execution._limiter import Limiter
from catkinfork.execution.tests._support import (
    OTHER_ROUTER,
    ROUTER,
    Bench,
    list_kind,
    list_sent,
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


def succeed(limiter, n_rounds, now):
    """Let rounds of requests succeed and return the limit after each."""
    limits = []
    for _ in range(n_rounds):
        for _ in range(limiter.limit):
            limiter.note_success(now)
        limits.append(limiter.limit)
    return limits


def make_limiter(limit=8):
    limiter = Limiter()
    limiter.set_maximum(8)
    succeed(limiter, limit - 1, 0.0)
    assert limiter.limit == limit
    return limiter


def test_limit_grows_by_one_a_round_and_holds_below_the_level_that_failed():
    """Guards against an overload at the same level again and again."""
    limiter = make_limiter(6)
    limiter.note_overload(1.0, 2.0)
    assert (limiter.limit, limiter.is_cold) == (3, False)
    limiter.note_overload(1.5, 2.1)
    assert limiter.limit == 3
    assert succeed(limiter, 6, 3.0) == [4, 5, 5, 6, 7, 8]


def test_limit_grows_while_long_requests_produce():
    """Guards against minutes at one place when every request is long."""
    limiter = Limiter()
    limiter.set_maximum(8)
    limits = []
    for step in range(40):
        limiter.note_all_producing(limiter.limit, 10.0 + step / 4)
        limits.append(limiter.limit)
    assert limits[:9] == [2, 2, 2, 2, 3, 3, 3, 3, 4]
    assert limits[-1] == 8
    limiter.note_overload(30.0, 30.0)
    limiter.note_all_producing(4, 40.0)
    assert limiter.limit == 4


def test_reported_cold_start_holds_the_limit():
    """Guards against growth that probes a cold server for its overload."""
    bench = Bench()
    bench.observe(BackendHealth(True, True))
    for _ in range(6):
        bench.run_for(0.3)
        serve_one(bench, "w")
    assert bench.report.n_places == 1
    bench.observe(BackendHealth(True, False))
    for _ in range(6):
        bench.run_for(0.3)
        serve_one(bench, "w")
    assert bench.report.n_places > 1


@pytest.mark.parametrize(
    ("usual_s", "slow_s", "expected"),
    [(0.1, 0.29, 8), (0.1, 0.31, 4), (0.001, 0.04, 8)],
)
def test_limit_is_halved_when_a_whole_round_is_slow(usual_s, slow_s, expected):
    """Guards against an engine that queues inside, and against noise as a signal."""
    limiter = make_limiter()
    for _ in range(8):
        limiter.note_first_byte(1.0, 1.0 + usual_s)
    for _ in range(7):
        limiter.note_first_byte(2.0, 2.0 + slow_s)
    assert limiter.limit == 8
    limiter.note_first_byte(2.0, 2.0 + slow_s)
    assert limiter.limit == expected


def warm_up(bench, n_places):
    """Set the learned limit and wait for tickets."""
    bench.core.capacity.limiter.limit = n_places
    bench.run_for(0.1)
    assert len(bench.tickets) >= n_places


OUT = make_view(2, centres={"dc-ledger-1": "out"})
FALLS = {
    "cold": lambda bench: [bench.observe(BackendHealth(True, True))],
    "down": lambda bench: [
        bench.observe(BackendHealth(is_up, False)) for is_up in (False, True)
    ],
    "out": lambda bench: [
        bench.do(bench.core.adopt, view) for view in (OUT, make_view(3))
    ],
    "leaving": lambda bench: [
        bench.do(bench.core.set_leaving, is_leaving) for is_leaving in (True, False)
    ],
}


@pytest.mark.parametrize("event", FALLS.values(), ids=FALLS)
def test_return_starts_with_one_place(event):
    """Guards against full load at once on a server that has just returned."""
    bench = Bench()
    warm_up(bench, 4)
    event(bench)
    bench.run_for(0.1)
    assert (bench.report.state, bench.report.n_places) == ("cold", 1)
    assert len(bench.report.tickets) == 1


def test_server_is_down_until_its_first_health_check():
    """Guards against work for a backend server that has never answered."""
    assert not Capacity(Bench().core.settings.execution).is_up


def test_refused_connection_pauses_tickets():
    """Guards against retries that are used up on a server that is starting."""
    bench = Bench()
    warm_up(bench, 4)
    start, _ = bench.start()
    bench.observe(BackendFailure(start.attempt, "refused", ""))
    assert (bench.tickets, bench.core.capacity.n_places) == ([], 1)
    bench.run_for(0.6)
    assert len(bench.tickets) == 1


def test_second_crash_blocks_its_cause_only():
    """Guards against a request that crashes one server after another."""
    bench = Bench()
    warm_up(bench, 3)
    crash = [bench.start(fingerprint=name)[0] for name in (b"a", b"b", b"c")]
    for start in crash:
        bench.observe(BackendFailure(start.attempt, "reset", ""))
    bench.observe(BackendHealth(False, False))
    bench.observe(BackendHealth(True, False))
    bench.run_for(0.3)
    suspects = [(s.fingerprint, s.n_crashes) for s in bench.report.suspects]
    assert suspects == [(b"a", 1), (b"b", 1), (b"c", 1)]
    warm_up(bench, 3)
    first, _ = bench.start(fingerprint=b"a")
    second, actions = bench.start(fingerprint=b"b")
    assert not list_kind(actions, RunRequest)
    bystander, actions = bench.start(fingerprint=b"d")
    assert list_kind(actions, RunRequest) == [RunRequest(bystander)]
    assert bench.core.runner.find_running_suspect() == b"a"
    bench.observe(BackendFailure(first.attempt, "silent", ""))
    bench.run_for(0.3)
    suspects = {s.fingerprint: s.n_crashes for s in bench.report.suspects}
    assert suspects == {b"a": 2, b"b": 1, b"c": 1, b"d": 1}
    bench.observe(BackendFailure(bystander.attempt, "reset", ""))
    bench.observe(BackendEnd(second.attempt, 1))
    bench.run_for(0.3)
    _, actions = bench.start(fingerprint=b"a")
    refusal = list_sent(actions, StartRefused)[0]
    assert (refusal.code, refusal.outcome) == ("request_blocked", "not_run")
    bench.run_for(601)
    _, actions = bench.start(fingerprint=b"a")
    assert list_kind(actions, RunRequest)


def test_crash_is_reported_at_once():
    """Guards against a crashing request that is granted again before its report."""
    bench = Bench()
    bench.run_for(2.0)
    start, _ = bench.start(body=b"x")
    bench.run_for(0.02, 0.01)
    actions = bench.observe(BackendFailure(start.attempt, "reset", "connection reset"))
    actions += bench.run_for(0.01, 0.005)
    [report, *_] = list_sent(actions, AgentReport)
    assert [suspect.n_crashes for suspect in report.suspects] == [1]


def test_dispatcher_blocks_fingerprints():
    """Guards against a request that crashed two other servers."""
    bench = Bench()
    bench.handle(ReportAck(1, False, [b"a"]))
    _, actions = bench.start(fingerprint=b"a")
    assert list_sent(actions, StartRefused)[0].code == "request_blocked"


def serve_one(bench, workspace):
    start, _ = bench.start(workspace=workspace)
    bench.observe(BackendEnd(start.attempt, 3))
    bench.run_for(0.3)


def test_reports_repeat_totals_until_they_are_acknowledged():
    """Guards against service that no dispatcher ever counts."""
    bench = Bench()
    bench.run_for(0.3)
    bench.handle(ReportAck(bench.report.sequence, False, []))
    serve_one(bench, "w")
    unacked = bench.report
    assert (unacked.is_whole, [d.units for d in unacked.delivered]) == (False, [3])
    bench.run_for(0.3)
    assert bench.report.delivered == unacked.delivered
    bench.handle(ReportAck(bench.report.sequence, False, []))
    serve_one(bench, "v")
    assert [d.workspace for d in bench.report.delivered] == ["v"]
    bench.handle(ReportAck(bench.report.sequence, True, []))
    bench.run_for(0.3)
    assert bench.report.is_whole
    assert {d.workspace for d in bench.report.delivered} == {"v", "w"}


def test_new_dispatcher_gets_a_whole_report_and_new_tickets():
    """Guards against two dispatchers that grant the same ticket."""
    bench = Bench()
    serve_one(bench, "w")
    bench.handle(ReportAck(bench.report.sequence, False, []))
    old_tickets = bench.tickets
    actions = bench.do(bench.core.set_dispatchers, [OTHER_ROUTER, ROUTER])
    report = list_sent(actions, AgentReport)[0]
    assert (report.is_whole, [d.units for d in report.delivered]) == (True, [3])
    assert not {ticket.number for ticket in report.tickets} & set(old_tickets)
    bench.handle(ReportAck(report.sequence, False, []), ROUTER)
    bench.run_for(0.3)
    assert bench.report.is_whole
    bench.do(bench.core.set_dispatchers, [])
    assert bench.tickets == []


def test_staged_tickets_follow_completions():
    """Guards against places that are idle for a hand-over time after each request."""
    bench = Bench()
    warm_up(bench, 4)
    bench.run_for(0.2)
    for _ in range(10):
        start, _ = bench.start()
        bench.now += 0.1
        bench.observe(BackendEnd(start.attempt, 1))
    assert bench.core.capacity.n_staged > 0
    bench.run_for(3)
    assert bench.core.capacity.n_staged == 0


def list_parts(actions):
    return [(p.sequence, p.data) for p in list_sent(actions, ResponsePart)]


def test_parts_are_sent_again_from_a_number_until_acknowledged():
    """Guards against an answer with a hole after a connection was replaced."""
    bench = Bench()
    start, _ = bench.start()
    bench.observe(BackendHead(start.attempt, 200, []))
    for data in (b"a", b"b", b"c"):
        bench.observe(BackendData(start.attempt, data, 1))
    bench.handle(ResponseAck(start.attempt, 2))
    execution = bench.core.runner.running[start.attempt]
    assert execution.answer.n_bytes == 2
    actions = bench.handle(Resume(start.attempt, 3, bench.incarnation))
    assert list_parts(actions) == [(3, b"c")]
    bench.do(bench.core.drop_router, ROUTER)
    assert list_parts(bench.observe(BackendData(start.attempt, b"d", 1))) == []
    bench.observe(BackendFailure(start.attempt, "cancelled", ""))
    parts = list_sent(
        bench.handle(Resume(start.attempt, 4, bench.incarnation)), ResponsePart
    )
    assert [(p.sequence, p.data, p.failure) for p in parts] == [
        (4, b"d", ""),
        (5, b"", "router_silent"),
    ]


def test_keepalives_show_that_an_attempt_still_runs():
    """Guards against a resume, or a failure, of a request that only takes long."""
    bench = Bench()
    start, _ = bench.start()
    parts = list_sent(bench.run_for(2.05), ResponsePart)
    assert [(p.attempt, p.sequence, p.is_keepalive) for p in parts] == [
        (start.attempt, 0, True)
    ] * 4
    bench.observe(BackendEnd(start.attempt, 1))
    assert not list_sent(bench.run_for(1), ResponsePart)


def test_answer_that_nobody_acknowledges_is_broken_off():
    """Guards against an agent whose memory a stuck router fills."""
    bench = Bench()
    start, _ = bench.start(is_idempotent=False)
    for _ in range(65):
        bench.observe(BackendData(start.attempt, bytes(1 << 20), 0))
    answer = bench.core.runner.running[start.attempt].answer
    assert (answer.n_bytes, answer.parts[-1].failure) == (0, "response_too_large")


def test_idle_tickets_do_not_count_as_slow_hand_overs():
    """Guards against requests staged at a busy engine while another has a place."""
    bench = Bench()
    warm_up(bench, 4)
    for _ in range(20):
        bench.run_for(0.5)
        start, _ = bench.start()
        bench.run_for(0.1, 0.05)
        bench.observe(BackendEnd(start.attempt, 1))
        start, _ = bench.start(ticket=bench.tickets[-1])
        bench.observe(BackendEnd(start.attempt, 1))
        assert bench.core.capacity.n_staged == 0
