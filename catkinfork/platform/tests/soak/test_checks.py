"""Checks of a soak, replayed with records that break each rule."""

import pytest

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.checks import find_unreported_runs, find_violations
from catkinfork.platform.tests.soak.records import (
    Event,
    Exit,
    Records,
    Request,
    Run,
    Signal,
    Span,
    Stream,
    Try,
    VersionCount,
)
from catkinfork.platform.tests.soak.settings import CONTACT_S, GRACE_S


def make_request(**options):
    """Return a post that was sent at 10.0 and cut at 11.0."""
    values = {
        "id": "r1",
        "kind": r.UNSAFE,
        "host": "host-1",
        "position": 2,
        "began_at": 9.9,
        "sent_at": 10.0,
        "ended_at": 11.0,
        "deadline_at": 12.9,
        "status": 0,
        "ending": r.CUT,
    }
    return Request(**values | options)


def make_run(**options):
    """Return a run of that post to its end."""
    values = {
        "id": "r1",
        "server": "i-1",
        "began_at": 10.0,
        "ended_at": 10.9,
        "outcome": r.ANSWERED,
    }
    return Run(**values | options)


def make_stream(versions, n_expected=None, numbers=None, tries=(), is_whole=True):
    """Return a stream whose events have the given versions."""
    numbers = numbers or range(1, len(versions) + 1)
    events = [
        Event(number, version, "i-1")
        for number, version in zip(numbers, versions, strict=True)
    ]
    tries = tries or (Try("s1-0", "host-1", 10.0, 0, len(events)),)
    return Stream("s1", n_expected or len(events), tuple(events), is_whole, tries)


def list_rules(requests=(), runs=(), spans=(), exits=(), streams=(), counts=()):
    """Return the rules that the records break."""
    records = Records()
    records.requests += requests
    records.runs += runs
    records.spans += spans
    records.exits += exits
    records.streams += streams
    records.version_counts += counts
    return [violation.rule for violation in find_violations(records)]


@pytest.mark.parametrize("ending_of_run", [r.ANSWERED, r.ABANDONED])
def test_request_cut_after_it_was_passed_on_is_lost(ending_of_run):
    """Guards against a soak that does not see a lost request."""
    assert list_rules([make_request()], [make_run(outcome=ending_of_run)]) == ["LOST"]


def test_request_cut_long_after_it_was_sent_is_lost():
    """Guards against counting only requests that reach a server."""
    assert list_rules([make_request()]) == ["LOST"]


@pytest.mark.parametrize(
    ("request_options", "run_options"),
    [
        ({"ended_at": 10.1, "after_close": True}, None),
        ({"sent_at": None}, {}),
        ({"ended_at": 12.9}, {}),
        ({}, {"outcome": r.CRASHED}),
        ({"ending": r.LEFT}, {}),
        ({"ending": r.HALF_CLOSED}, {}),
    ],
)
def test_request_that_the_rules_excuse_is_not_lost(request_options, run_options):
    """Guards against a report of what no rule forbids."""
    runs = [] if run_options is None else [make_run(**run_options)]
    assert list_rules([make_request(**request_options)], runs) == []


@pytest.mark.parametrize("options", [{"ended_at": 10.1}, {"after_close": True}])
def test_request_that_crosses_no_close_is_lost(options):
    """Guards against a host that drops requests at any time before it reads them.

    Only one that stops closes a connection without saying so, and callers learn soon
    that a connection closes.
    """
    assert list_rules([make_request(**options)]) == ["LOST"]


@pytest.mark.parametrize(
    ("target", "began_at", "is_excuse"),
    [
        ("host-1", 9.0, True),
        ("host-1", 9.9 - GRACE_S - 1.1, False),
        ("host-1", 10.2, False),
        ("host-2", 9.0, False),
    ],
)
def test_request_crosses_the_close_of_a_host_that_stops(target, began_at, is_excuse):
    """Guards against stops of others, and of other times, as excuses."""
    spans = [Span(r.STOP, target, began_at, began_at)]
    rules = list_rules([make_request(ended_at=10.1)], (), spans)
    assert rules == ([] if is_excuse else ["LOST"])


def test_request_does_not_cross_the_close_of_the_process_before():
    """Guards against a stop as an excuse for the process that follows."""
    spans = [Span(r.STOP, "host-1", 8.0, 8.0)]
    exits = [Exit("host-1", 1.0, 9.0, 0, (Signal(8.0, "SIGTERM"),))]
    rules = list_rules([make_request(ended_at=10.1)], (), spans, exits)
    assert rules == ["LOST"]


@pytest.mark.parametrize(
    ("kind", "target", "is_excuse"),
    [
        (r.KILL, "host-1", True),
        (r.PAUSE, "host-1", True),
        (r.LINK, "host-1", True),
        (r.CRASH, "i-1", True),
        (r.LINK, "i-1", True),
        (r.KILL, "host-2", False),
        (r.CRASH, "i-2", False),
        (r.STOP, "host-1", False),
        (r.RELOAD, "host-1", False),
        (r.CONFIGURATION, r.ALL_HOSTS, False),
        (r.STORE, r.ALL_HOSTS, False),
    ],
)
def test_unplanned_disruption_excuses_a_lost_request(kind, target, is_excuse):
    """Guards against planned work, others' troubles or the store as excuses."""
    at = 9.9 - CONTACT_S + 0.1
    rules = list_rules([make_request()], [make_run()], [Span(kind, target, at, at)])
    assert rules == ([] if is_excuse else ["LOST"])


def test_disruption_before_contact_does_not_excuse():
    """Guards against excuses that last for ever."""
    at = 9.9 - CONTACT_S - 0.1
    spans = [Span(r.KILL, "host-1", at, at)]
    assert list_rules([make_request()], [make_run()], spans) == ["LOST"]


def test_disruption_of_store_excuses_a_stream_with_a_key():
    """Guards against a check of streams that is stricter than the rule."""
    spans = [Span(r.STORE, r.ALL_HOSTS, 9.0, 9.5)]
    request = make_request(kind=r.STREAM, deadline_at=30.0)
    assert list_rules([request], [make_run()], spans) == []
    assert list_rules([request], [make_run()]) == ["LOST"]


@pytest.mark.parametrize(
    ("sent_at", "ended_at", "is_excuse"),
    [(10.0, 16.5, True), (10.0, 15.0, False), (12.9, 16.5, False)],
)
def test_stop_cuts_only_what_outlasts_the_grace(sent_at, ended_at, is_excuse):
    """Guards against requests that a stop cuts too early, or that came after it."""
    request = make_request(
        began_at=sent_at, sent_at=sent_at, ended_at=ended_at, deadline_at=30.0
    )
    runs = [make_run(began_at=sent_at, ended_at=20.0, outcome=r.ABANDONED)]
    spans = [Span(r.STOP, "host-1", 9.5, 9.5 + GRACE_S)]
    assert list_rules([request], runs, spans) == ([] if is_excuse else ["LOST"])


@pytest.mark.parametrize(
    ("began_at", "is_excuse"), [(16.0, True), (17.5, False), (19.2, False)]
)
def test_stop_is_not_blamed_for_a_driver_that_is_late(began_at, is_excuse):
    """Guards against a cut at the end of the grace that is seen seconds later.

    The driver is late from one time until it sees the cut, in two spans in a row.
    """
    request = make_request(ended_at=20.0, deadline_at=30.0)
    runs = [make_run(ended_at=20.0, outcome=r.ABANDONED)]
    spans = [Span(r.STOP, "host-1", 8.3, 20.0)]
    spans += [
        Span(r.DRIVER, r.ALL_HOSTS, began_at, 19.5),
        Span(r.DRIVER, r.ALL_HOSTS, 19.501, 20.1),
    ]
    assert list_rules([request], runs, spans) == ([] if is_excuse else ["LOST"])


def test_late_stream_is_lost_beside_a_driver_that_is_late():
    """Guards against an excuse for streams that a stop begins late."""
    request = make_request(sent_at=12.9, ended_at=16.5, deadline_at=30.0)
    runs = [make_run(began_at=12.9, ended_at=16.6, outcome=r.ABANDONED)]
    spans = [Span(r.STOP, "host-1", 9.5, 17.0)]
    spans += [Span(r.DRIVER, r.ALL_HOSTS, at, at + 1.0) for at in (12.3, 16.0)]
    assert list_rules([request], runs, spans) == ["LOST"]


def test_unsafe_request_that_runs_twice_is_found():
    """Guards against a soak that does not see repeated posts."""
    complete = {"status": 200, "ending": r.COMPLETE}
    runs = [make_run(), make_run(server="i-2")]
    assert list_rules([make_request(**complete)], runs) == ["TWICE"]
    runs = [make_run(outcome=r.REJECTED), make_run(server="i-2")]
    assert list_rules([make_request(**complete)], runs) == []
    assert list_rules([make_request(kind=r.SAFE, **complete)], [make_run()] * 2) == []


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_refusal_of_a_request_that_ran_is_found(status):
    """Guards against a refusal that promises what is not true."""
    request = make_request(status=status, ending=r.COMPLETE)
    assert list_rules([request], [make_run(ended_at=20.0)]) == ["REFUSED"]
    assert list_rules([request], [make_run(outcome=r.REJECTED)]) == []


def test_wrong_bodies_are_found():
    """Guards against responses of other requests, and changed requests."""
    request = make_request(status=200, ending=r.WRONG)
    assert list_rules([request], [make_run()]) == ["MIXED"]
    assert list_rules(runs=[make_run(outcome=r.CHANGED)]) == ["UNASKED"]


@pytest.mark.parametrize("ending", [r.COMPLETE, r.NO_RESPONSE])
def test_late_response_is_found(ending):
    """Guards against requests that are held past their deadline."""
    request = make_request(status=504, ending=ending, ended_at=13.5)
    assert list_rules([request]) == ["LATE"]
    assert list_rules([request], spans=[Span(r.PAUSE, "host-1", 11.0, 13.0)]) == []
    assert list_rules([request], spans=[Span(r.DRIVER, r.ALL_HOSTS, 11, 12)]) == []


@pytest.mark.parametrize(
    ("code", "names", "is_proper"),
    [
        (0, ["SIGTERM"], True),
        (0, ["SIGHUP", "SIGTERM", "SIGHUP"], True),
        (-9, ["SIGKILL"], True),
        (-9, ["SIGTERM", "SIGSTOP", "SIGKILL after the grace"], True),
        (-9, ["SIGTERM", "SIGKILL after the grace"], False),
        (-15, ["SIGTERM", "SIGTERM"], False),
        (1, ["SIGTERM"], False),
        (-1, ["SIGHUP"], False),
        (0, [], False),
    ],
)
def test_exit_code_shows_a_process_that_ended_badly(code, names, is_proper):
    """Guards against processes that end by themselves, or crash in a planned stop."""
    signals = tuple(Signal(5.0, name) for name in names)
    rules = list_rules(exits=[Exit("host-1", 0.0, 6.0, code, signals)])
    assert rules == ([] if is_proper else ["EXIT"])


@pytest.mark.parametrize(("signal_at", "is_proper"), [(0.05, True), (0.2, False)])
def test_signal_before_the_interpreter_runs_is_no_fault(signal_at, is_proper):
    """Guards against an excuse for signals that the program could have handled."""
    one = Exit("host-1", 0.0, 0.25, -1, (Signal(signal_at, "SIGHUP"),))
    assert list_rules(exits=[one]) == ([] if is_proper else ["EXIT"])
    early = one._replace(signals=(Signal(signal_at, "SIGHUP", is_early=True),))
    assert list_rules(exits=[early]) == []


@pytest.mark.parametrize(
    "stream",
    [
        make_stream(["v1", "v1"], numbers=[1, 3], n_expected=3),
        make_stream(["v1", "v1", "v1"], numbers=[1, 2, 2], n_expected=2),
        make_stream(["v1", "v1"], n_expected=3),
    ],
)
def test_missing_and_doubled_events_are_found(stream):
    """Guards against a soak that does not see holes in streams."""
    assert list_rules(streams=[stream]) == ["ORDER"]


def test_joined_versions_are_found():
    """Guards against a soak that takes any server of the service for a good one."""
    joined = make_stream(["v1", "v2"])
    assert list_rules(streams=[joined] * 2) == []
    assert list_rules(streams=[joined] * 3) == ["ORDER"] * 3


@pytest.mark.parametrize(("n_go_on", "is_broken"), [(5, True), (6, False)])
def test_streams_that_do_not_go_on_are_found(n_go_on, is_broken):
    """Guards against streams that are begun and then lost in a restart in turn."""
    first = Try("s1-0", "host-1", 10.0, 0, 2)
    streams = [
        make_stream(
            ["v1", "v1"],
            n_expected=9,
            tries=(first, Try("s1-1", "host-2", 20.0, 2, int(number < n_go_on))),
            is_whole=False,
        )
        for number in range(12)
    ]
    counts = [VersionCount(0.0, "v1", 2)]
    expected = ["LOST streams"] if is_broken else []
    assert list_rules(streams=streams, counts=counts) == expected
    # Hosts out of touch, fewer servers or fewer streams are not judged.
    for kind, target in ((r.STORE, r.ALL_HOSTS), (r.START, "host-2")):
        spans = [Span(kind, target, 18.0, 19.0)]
        assert list_rules(streams=streams, counts=counts, spans=spans) == []
    assert list_rules(streams=streams, counts=[VersionCount(0.0, "v1", 1)]) == []
    assert list_rules(streams=streams[1:], counts=counts) == []


def test_post_that_ran_and_was_answered_504_is_a_finding():
    """Guards against a finding that is reported as a broken rule, or not at all."""
    records = Records()
    request = make_request(status=504, ending=r.COMPLETE)
    records.requests.append(request)
    records.runs.append(make_run())
    assert find_unreported_runs(records) == [request]
    assert find_violations(records) == []
