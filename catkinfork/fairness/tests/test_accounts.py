"""Charges of a workspace at an agent, from cost estimates and reported totals."""

import random

import pytest

from catkinfork.fairness import Account
from catkinfork.protocol import Delivered


def totals(units, n_in_flight, n_finished, units_in_flight):
    return Delivered("w", units, n_in_flight, n_finished, units_in_flight)


def report(account, entry, listed=(), has_free_place=True, now=1.0):
    account.record_tickets(set(listed), now)
    account.record_delivered(entry)
    account.remove_unused_grants(now, has_free_place)
    account.update_charge()


@pytest.mark.parametrize(
    ("entries", "charge"),
    [
        ([], 50),
        ([totals(10, 1, 0, 10)], 50),
        ([totals(80, 1, 0, 80)], 80),
        ([totals(80, 1, 0, 80), totals(90, 0, 1, 0)], 90),
        ([totals(10, 1, 0, 10), totals(20, 0, 1, 0)], 20),
        ([totals(20, 0, 1, 0)], 20),
        ([totals(0, 0, 0, 0)], 0),
    ],
    ids=[
        "granted",
        "below the estimate",
        "excess at once",
        "ended above",
        "ended below",
        "started and ended between reports",
        "ticket gone unused",
    ],
)
def test_charge_of_one_grant(entries, charge):
    """Guards against charges that differ from the estimate or the actual cost."""
    account = Account(has_baseline=True)
    account.open_grant(1, 50)
    for entry in entries:
        report(account, entry)
    assert account.charged == charge


def test_listed_ticket_keeps_its_estimate():
    """Guards against a refund while the grant is in flight to the router."""
    account = Account(has_baseline=True)
    account.open_grant(1, 50)
    report(account, totals(0, 0, 0, 0), listed=[1])
    assert account.charged == 50


def test_staged_request_keeps_its_estimate_until_timeout():
    """Guards against a refund while a request waits at a full agent."""
    account = Account(has_baseline=True)
    account.open_grant(1, 50)
    report(account, totals(0, 0, 0, 0), has_free_place=False, now=1.0)
    assert account.charged == 50
    report(account, totals(0, 0, 0, 0), has_free_place=False, now=3.5)
    assert account.charged == 0


def test_baseline_of_a_takeover_is_not_charged():
    """Guards against charging service twice that the previous dispatcher charged."""
    account = Account(has_baseline=False)
    report(account, totals(1000, 1, 9, 30))
    assert account.charged == 0
    report(account, totals(1100, 0, 10, 0))
    assert account.charged == 100


def test_close_keeps_only_delivered_service():
    """Guards against estimates that stay charged after an agent restart."""
    account = Account(has_baseline=True)
    account.open_grant(1, 50)
    account.open_grant(2, 50)
    report(account, totals(30, 1, 0, 30), listed=[2])
    assert account.close() == 30 - 100


@pytest.mark.parametrize("seed", range(5))
def test_lost_reports_have_no_lasting_effect(seed):
    """Guards against charges computed from differences, which lost reports distort."""
    rng = random.Random(seed)
    account = Account(has_baseline=True)
    running, units, n_finished = [], 0, 0
    for ticket in range(300):
        account.open_grant(ticket, 50)
        running.append(0)
        for index in range(len(running)):
            step = rng.randrange(40)
            running[index] += step
            units += step
        if rng.random() < 0.8:
            running.pop(rng.randrange(len(running)))
            n_finished += 1
        if rng.random() < 0.3:
            report(account, totals(units, len(running), n_finished, sum(running)))
            assert account.charged >= units
    n_finished += len(running)
    report(account, totals(units, 0, n_finished, 0))
    assert account.charged == units
    assert account.grants == {}
