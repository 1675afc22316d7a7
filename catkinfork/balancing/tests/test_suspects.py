"""Requests that crash backend servers, and come again for a long time."""

import random

import pytest

from catkinfork.balancing import BROKEN, CrashCount, Placement, Refusal
from catkinfork.balancing._suspects import (
    MAX_CRASHES,
    MAX_PROBES,
    MAX_SUSPECTS,
    PROBE_INTERVAL_S,
    SUSPECT_TTL_S,
    SuspectTable,
)
from catkinfork.balancing.tests.support import build_balancer, build_job, serve

OWN, PEER, FORMER = 1, 2, 3
# Retries that the rule allows to reach backend servers after the third crash.
MAX_RETRIES = 3


def build_table(n_crashes=0, now=0.0):
    """Return a table that has seen crashes of the fingerprint 7."""
    table = SuspectTable(random.Random(1))
    table.own_source = OWN
    for _ in range(n_crashes):
        table.record_crash(7, now)
    return table


@pytest.mark.parametrize("interval_s", [0.5, 20.0, 59.0, 61.0, 90.0, 200.0, 590.0])
def test_few_retries_reach_servers_however_often_a_client_tries(interval_s):
    """Guards against counts that lapse while the request still comes.

    Load pattern: a client tries again at a steady interval for hours, also one that is
    longer than the wait for a probe.
    """
    balancer = build_balancer(n_backends=5)
    n_arrived = 0
    now = 0.0
    while now < 7200.0:
        job = build_job(now, fingerprint=7, request_id=f"r{now}")
        decision = balancer.submit(job, now)
        if isinstance(decision, Placement):
            n_arrived += 1
            balancer.handle_attempt_end(decision, BROKEN, now + 0.1)
        now += interval_s
    assert MAX_CRASHES <= n_arrived <= MAX_CRASHES + MAX_RETRIES


def test_request_that_lost_its_connections_is_served_again():
    """Guards against a sound request that is refused for as long as it comes.

    It ran at three servers that crashed for another reason.
    """
    balancer = build_balancer(n_backends=5)
    balancer.crash_guard.suspects.own_source = OWN
    for _ in range(MAX_CRASHES):
        balancer.crash_guard.suspects.record_crash(7, 0.0)
    now = 0.0
    while now <= 2 * PROBE_INTERVAL_S:
        decision = balancer.submit(build_job(now, fingerprint=7), now)
        if isinstance(decision, Placement):
            break
        now += 1.0
    assert PROBE_INTERVAL_S <= now <= 2 * PROBE_INTERVAL_S
    serve(balancer, decision, now + 0.5)
    again = build_job(now + 1.0, fingerprint=7, request_id="later")
    assert isinstance(balancer.submit(again, now + 1.0), Placement)


def test_probe_is_not_refused_when_it_is_checked_again():
    """Guards against a probe that waits in the queue and is refused there."""
    table = build_table(MAX_CRASHES)
    now = 2 * PROBE_INTERVAL_S
    assert not table.is_blocked(7, now, "probe")
    assert table.is_blocked(7, now, "another")
    assert not table.is_blocked(7, now + 1.0, "probe")
    table.record_crash(7, now + 1.0)
    assert table.is_blocked(7, now + 1.0, "probe")


def test_probes_are_spread_over_the_forwarders():
    """Guards against probes of all forwarders at the same moment."""
    starts = set()
    for seed in range(20):
        table = SuspectTable(random.Random(seed))
        for _ in range(MAX_CRASHES):
            table.record_crash(7, 0.0)
        starts.add(round(table.suspects[7].probe_at))
    assert len(starts) > 10


def test_former_process_of_a_peer_still_counts():
    """Guards against a sum that falls as a peer restarts and counts from zero."""
    table = build_table()
    table.record_peer_crashes(FORMER, 7, 2, 0.0)
    table.record_peer_crashes(PEER, 7, 1, 1.0)
    assert table.is_blocked(7, 1.0)


def test_repeated_totals_do_not_delay_the_next_probe():
    """Guards against a count that never lapses as peers repeat it."""
    table = build_table()
    count = CrashCount(7, PEER, MAX_CRASHES, 0.0, 0.0)
    for now in range(int(2 * PROBE_INTERVAL_S) + 1):
        assert table.record_told(count, float(now))
    assert not table.is_blocked(7, 2 * PROBE_INTERVAL_S, "probe")
    assert build_table().record_told(count, SUSPECT_TTL_S + 1.0)
    table = build_table()
    table.record_told(count, SUSPECT_TTL_S + 1.0)
    assert not table.suspects


def test_served_request_is_not_refused_for_what_a_peer_repeats():
    """Guards against crashes that come back from a peer that missed the clearing."""
    table = build_table(MAX_CRASHES)
    assert table.clear(7, 5.0)
    assert not table.record_told(CrashCount(7, PEER, MAX_CRASHES, 4.0, 6.0), 7.0)
    assert not table.is_blocked(7, 7.0)
    assert table.record_told(CrashCount(7, PEER, MAX_CRASHES, 6.0, 6.0), 7.0)
    assert table.is_blocked(7, 7.0)


def test_own_crashes_are_not_taken_from_peers():
    """Guards against crashes that count twice, as peers repeat those of all."""
    table = build_table(2)
    table.record_told(CrashCount(7, OWN, 2, 0.0, 0.0), 0.1)
    assert table.suspects[7].n_crashes == 2


def test_refused_requests_outlast_a_flood_of_others():
    """Guards against a refused request that is forgotten among single crashes."""
    table = build_table(MAX_CRASHES)
    for fingerprint in range(100, 100 + 2 * MAX_SUSPECTS):
        table.record_crash(fingerprint, 1.0)
        if not fingerprint % 1000:
            assert table.is_blocked(7, 1.0)
    assert len(table.suspects) <= MAX_SUSPECTS
    assert table.is_blocked(7, 1.0)


def test_probes_leave_room_for_one_more_retry():
    """Guards against two forwarders that let a probe through at once."""
    assert MAX_PROBES < MAX_RETRIES
    balancer = build_balancer(n_backends=1)
    for _ in range(MAX_CRASHES + MAX_PROBES):
        balancer.crash_guard.suspects.record_crash(7, 0.0)
    decision = balancer.submit(build_job(500.0, fingerprint=7), 500.0)
    assert isinstance(decision, Refusal)
