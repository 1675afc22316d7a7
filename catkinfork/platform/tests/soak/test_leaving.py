"""Checks of servers that leave, replayed with records that break the rule."""

import pytest

from catkinfork.platform.tests.soak import records as r
from catkinfork.platform.tests.soak.facts import Facts
from catkinfork.platform.tests.soak.leaving import find_after_withdrawal
from catkinfork.platform.tests.soak.records import Records, Run, Span
from catkinfork.platform.tests.soak.settings import CONTACT_S, DRAIN_S
from catkinfork.platform.tests.soak.test_checks import make_request

LET_GO_AT = 10.0


def list_rules(sent_at, *spans, outcome=r.ANSWERED):
    """Return the rules that a request to a server broke that was let go."""
    records = Records()
    records.requests.append(make_request(id="r1", host="host-1", began_at=sent_at))
    records.runs.append(Run("r1", "i-1", sent_at + 0.01, sent_at + 0.1, outcome))
    records.spans += [Span(r.WITHDRAWN, "i-1", LET_GO_AT, 14.0), *spans]
    return [one.rule for one in find_after_withdrawal(Facts(records))]


@pytest.mark.parametrize(("after_s", "rules"), [(-0.1, []), (0.1, ["DRAIN"])])
def test_requests_are_late_from_drain_ms_on(after_s, rules):
    """Guards against a check that is stricter or laxer than the rule."""
    assert list_rules(LET_GO_AT + DRAIN_S + after_s) == rules


def test_request_that_the_server_rejects_is_not_late():
    """Guards against a check that counts what has not run."""
    assert list_rules(LET_GO_AT + DRAIN_S + 0.1, outcome=r.REJECTED) == []


@pytest.mark.parametrize(
    ("kind", "target", "rules"),
    [
        (r.STOP, "host-1", []),
        (r.STORE, r.ALL_HOSTS, []),
        (r.DRIVER, r.ALL_HOSTS, []),
        (r.STOP, "host-2", ["DRAIN"]),
    ],
)
def test_hosts_out_of_touch_are_excused(kind, target, rules):
    """Guards against an excuse that holds for another host, or for none."""
    at = LET_GO_AT + DRAIN_S + 0.1 - CONTACT_S / 2
    assert list_rules(LET_GO_AT + DRAIN_S + 0.1, Span(kind, target, at, at)) == rules
