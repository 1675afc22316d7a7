"""Checks of requests that crash servers, replayed with records that break them."""

import pytest

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.crashing import (
    MAX_LATE,
    MIN_SOUND,
    N_CRASHES,
    find_crash_violations,
)
from catkinfork.platform.tests.soak.facts import Facts
from catkinfork.platform.tests.soak.records import Records, Request, Run, Span, Try
from catkinfork.platform.tests.soak.records import Stream as StreamRecord
from catkinfork.platform.tests.soak.settings import CONTACT_S

# The crashes of a run are one second apart, from this time on.
FIRST_AT = 10.0


def list_rules(records):
    """Return the rules that the records break."""
    return [violation.rule for violation in find_crash_violations(Facts(records))]


def add_crashing(records, name, at):
    """Add a crashing request and its run."""
    request_id = f"{name}-{len(records.requests)}"
    request = Request(request_id, "", "host-1", 1, at, at, at + 0.2, at + 3, 502, r.CUT)
    records.requests.append(request)
    records.runs.append(Run(request_id, "i-1", at, at + 0.2, r.CRASHED))


def build_records(name, n_late):
    """Return records of crashes, of which some come once all hosts have to know."""
    records = Records()
    for number in range(N_CRASHES[name]):
        add_crashing(records, name, FIRST_AT + number)
    for number in range(n_late):
        at = FIRST_AT + N_CRASHES[name] + CONTACT_S + number
        add_crashing(records, name, at)
    return records


@pytest.mark.parametrize("name", N_CRASHES)
def test_crashing_requests_that_come_on_break_the_budget(name):
    """Guards against a soak that does not see crashes that nobody counts."""
    assert list_rules(build_records(name, MAX_LATE)) == []
    assert list_rules(build_records(name, MAX_LATE + 1)) == ["BUDGET"]


@pytest.mark.parametrize("name", N_CRASHES)
def test_hosts_out_of_touch_do_not_count(name):
    """Guards against a host that has just started and cannot know."""
    records = build_records(name, MAX_LATE + 1)
    last_at = records.runs[-1].began_at
    records.spans.append(Span(r.START, "host-1", last_at - 1.0, last_at - 1.0))
    assert list_rules(records) == []


def add_streams(records, n_streams, at, n_events):
    """Add sound streams that bring a number of events."""
    for number in range(n_streams):
        name = f"s{len(records.streams)}"
        one = Try(f"{name}-0", "host-1", at + 0.01 * number, 0, n_events)
        records.streams.append(StreamRecord(name, 9, (), False, (one,)))


@pytest.mark.parametrize(
    ("n_begun", "rules"),
    [(MIN_SOUND, []), (MIN_SOUND // 2 - 1, ["LOST beside a part"])],
)
def test_sound_streams_that_do_not_begin_are_lost(n_begun, rules):
    """Guards against a soak that does not see a sound part that stays refused."""
    records = build_records("part", 1)
    add_streams(records, MIN_SOUND, FIRST_AT - 5.0, 9)
    late_at = FIRST_AT + N_CRASHES["part"] + 2 * CONTACT_S
    add_crashing(records, "part", late_at + 5.0)
    add_streams(records, n_begun, late_at, 9)
    add_streams(records, MIN_SOUND - n_begun, late_at, 0)
    assert list_rules(records) == rules


def test_too_few_sound_streams_are_not_judged():
    """Guards against a verdict from a handful of streams."""
    records = build_records("part", 0)
    add_streams(records, MIN_SOUND, FIRST_AT - 5.0, 9)
    late_at = FIRST_AT + N_CRASHES["part"] + 2 * CONTACT_S
    add_streams(records, MIN_SOUND - 1, late_at, 0)
    assert list_rules(records) == []
