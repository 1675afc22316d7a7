"""Checks of what servers ask for, replayed with records that break each rule."""

import pytest

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.facts import Facts
from catkinfork.platform.tests.soak.notices import find_notice_violations
from catkinfork.platform.tests.soak.records import Arrival, Records, Span
from catkinfork.platform.tests.soak.settings import DRAIN_S
from catkinfork.platform.tests.soak.test_checks import make_request


def list_rules(arrivals, spans=()):
    """Return the rules that requests of one host, answered after 0.1 s, break."""
    records = Records()
    records.arrivals += arrivals
    records.spans += spans
    records.requests += [
        make_request(
            id=one.id,
            began_at=one.arrived_at,
            ended_at=one.arrived_at + 0.1,
            ending=r.COMPLETE,
            status=200,
        )
        for one in arrivals
    ]
    return [one.rule for one in find_notice_violations(Facts(records))]


def make_arrivals(times, **options):
    """Return requests that reach a server at some times."""
    return [
        Arrival(f"r{at:.3f}", "i-1", at, at + 0.1)._replace(**options) for at in times
    ]


def spread(begin, end, per_s):
    """Return evenly spread times."""
    return [begin + number / per_s for number in range(round((end - begin) * per_s))]


@pytest.mark.parametrize(("per_s", "rules"), [(2.0, []), (8.0, ["LIMIT"])])
def test_limit_bounds_requests_of_four_seconds(per_s, rules):
    """Guards against a host that passes a limit on and does not obey it."""
    assert list_rules(make_arrivals(spread(10.0, 22.0, per_s), limit=2.0)) == rules


def test_limit_does_not_bind_before_it_is_known_or_after_it_has_gone():
    """Guards against a check that is stricter than the rule."""
    early = make_arrivals(spread(10.0, 12.9, 8.0), limit=2.0)
    assert list_rules([*early, *make_arrivals(spread(13.0, 30.0, 8.0))]) == []
    arrivals = make_arrivals(spread(10.0, 22.0, 8.0), limit=2.0)
    assert list_rules(arrivals, [Span(r.START, "host-1", 15.0, 15.0)]) == ["LIMIT"]
    spans = [Span(r.START, "host-1", 10.0 + at, 10.0 + at) for at in range(13)]
    assert list_rules(arrivals, spans) == []


def test_limit_that_falls_has_contact_ms():
    """Guards against a check that expects a host to know a lower limit at once."""
    high = make_arrivals(spread(10.0, 20.0, 8.0), limit=8.0)
    low = make_arrivals(spread(20.0, 22.0, 8.0), limit=1.0)
    assert list_rules([*high, *low]) == []
    low = make_arrivals(spread(20.0, 32.0, 8.0), limit=1.0)
    assert list_rules([*high, *low]) == ["LIMIT"]


@pytest.mark.parametrize(("after_s", "rules"), [(0.0, []), (0.2, ["DRAIN"])])
def test_server_that_leaves_gets_nothing_after_drain_ms(after_s, rules):
    """Guards against a host that goes on sending to a server that leaves."""
    (first,) = make_arrivals([10.0], is_leaving=True)
    late = make_arrivals([10.1 + DRAIN_S + after_s], is_leaving=True)
    assert list_rules([first, *late]) == rules
    assert list_rules([first, *late], [Span(r.START, "host-1", 11.0, 11.0)]) == []
    told = make_arrivals([10.0, 11.0], is_leaving=True)
    late = make_arrivals([11.2 + DRAIN_S], is_leaving=True)
    spans = [Span(r.START, "host-1", 10.5, 10.5)]
    assert list_rules([*told, *late], spans) == ["DRAIN"]


@pytest.mark.parametrize(
    ("times", "rules"),
    [([10.7, 11.0], []), ([10.2, 10.3, 10.4], []), ([10.7, 11.0, 12.0], ["BUDGET"])],
)
def test_server_gets_two_requests_in_a_pause(times, rules):
    """Guards against a host that sends on in a pause that a server has asked for."""
    (first,) = make_arrivals([10.0], pause_s=2.5)
    assert list_rules([first, *make_arrivals(times)]) == rules
    spans = [Span(r.PAUSE, "host-1", 10.5, 10.9)]
    assert list_rules([first, *make_arrivals(times)], spans) == []
