"""Tests of transfers that fail: exclusion of their sources, and recovery."""

from random import Random

import pytest

from catkinfork.balancing import (
    ABANDONED,
    BROKEN,
    CONNECTION_REFUSED,
    FAILED,
    MISDIRECTED,
    REJECTED,
    SERVED,
    SILENT,
    UNREACHABLE,
)
from catkinfork.balancing._transfers import FIRST_EVENT_SLACK_S
from catkinfork.balancing.tests.support import build_route
from catkinfork.balancing.tests.transfer_world import (
    N_PROMPT,
    add_engine,
    build_fleet,
    build_request,
    check_until,
    configure,
    find_backend,
    find_source,
    forget,
    hold,
    list_events,
    load,
    place,
    start,
)

# Engines that lack the shared part.
RECEIVERS = range(1, 12)
EXCLUDED = "transfer_source_excluded"
STOPPED = "transfers_stopped"
# An engine of the fleet serves 25 tokens/ms.
ALLOWED_S = FIRST_EVENT_SLACK_S + N_PROMPT / 25_000


@pytest.fixture
def balancer():
    """Return a balancer whose engine 0 has the shared part and is loaded."""
    balancer = build_fleet(12)
    hold(balancer, 0)
    load(balancer, 0)
    return balancer


def fail(balancer, now, cause=SILENT, **options):
    """Let a transfer fail, and return its placement."""
    placement = start(balancer, now, **options)
    balancer.handle_attempt_end(placement, cause, now + 0.01)
    forget(balancer, *RECEIVERS)
    return placement


def is_excluded(balancer, now, number=0):
    """Return whether nothing is fetched from an engine now."""
    return find_source(balancer, number).backoff.is_excluded(now)


@pytest.mark.parametrize("latency_target_s", [0.05, 5.0])
def test_late_first_event_excludes_the_source(balancer, latency_target_s):
    """Guards against a source that delays one request after the other.

    Its link is cut, or it does not answer: nothing in the response says so. The time
    allowed is that of a prefill, whatever the latency target of the route.
    """
    route = build_route(latency_target_s=latency_target_s)
    placement = start(balancer, route=route)
    check_until(balancer, 0.0, ALLOWED_S - 0.03)
    assert not is_excluded(balancer, ALLOWED_S)
    check_until(balancer, ALLOWED_S, ALLOWED_S + 0.05)
    assert is_excluded(balancer, ALLOWED_S + 0.1)
    (event,) = list_events(balancer, EXCLUDED)
    assert (event["backend_server"], event["cause"]) == ("e0", "late")
    assert (event["pause_s"], event["n_transfer_tokens"]) == (0.5, 5000)
    assert event["allowed_s"] == pytest.approx(ALLOWED_S)
    assert event["target"] == placement.backend.name
    assert balancer.pools["s"].transfers.n_late_transfers == 1


def test_time_allowed_includes_the_tokens_ahead(balancer):
    """Guards against a sound source that is blamed for a busy receiving engine."""
    load(balancer, *range(1, 12), n_pending=5000)
    load(balancer, 0, n_pending=14_000)
    start(balancer)
    check_until(balancer, 0.0, ALLOWED_S + 5000 / 25_000 - 0.03)
    assert list_events(balancer, EXCLUDED) == []
    check_until(balancer, ALLOWED_S + 0.2, ALLOWED_S + 0.25)
    (event,) = list_events(balancer, EXCLUDED)
    assert event["n_ahead_tokens"] == 5000


def test_tokens_that_peers_placed_meanwhile_allow_more_time(balancer):
    """Guards against sound sources that are excluded for the load of a herd.

    Load pattern: forwarders place requests at one idle engine at the same moment. The
    extension is made once, so that later requests do not hide a dead link.
    """
    placement = start(balancer)
    number = int(placement.backend.name[1:])
    load(balancer, number, n_pending=10_000)
    check_until(balancer, 0.0, ALLOWED_S + 10_000 / 25_000 - 0.03)
    assert list_events(balancer, EXCLUDED) == []
    load(balancer, number, n_pending=8_000)
    check_until(balancer, ALLOWED_S + 0.375, ALLOWED_S + 0.45)
    (event,) = list_events(balancer, EXCLUDED)
    assert event["n_ahead_tokens"] == 10_000
    assert event["allowed_s"] == pytest.approx(ALLOWED_S + 0.4)


def test_cold_engine_is_allowed_more_time():
    """Guards against transfers that stop while many engines are new and cold.

    Load pattern: engines are replaced at once, and fetch all that they need.
    """
    balancer = build_fleet(1)
    add_engine(balancer, 1, cold_s=3.0)
    configure(balancer, tokens_per_s=50_000.0, version=3)
    hold(balancer, 0)
    load(balancer, 0)
    placement = start(balancer)
    assert placement.backend.name == "e1"
    check_until(balancer, 0.0, 3.0 + ALLOWED_S - 0.03)
    assert list_events(balancer, EXCLUDED) == []
    check_until(balancer, 3.0 + ALLOWED_S, 3.05 + ALLOWED_S)
    assert len(list_events(balancer, EXCLUDED)) == 1


def test_first_event_in_time_is_no_failure(balancer):
    """Guards against a source that is excluded for the rest of a long response."""
    placement = start(balancer)
    balancer.record_first_event(placement, 0.1)
    check_until(balancer, 0.1, 3.0)
    balancer.handle_attempt_end(placement, BROKEN, 3.0)
    assert list_events(balancer, EXCLUDED) == []
    assert balancer.pools["s"].transfers.n_tokens == 5000


@pytest.mark.parametrize("outcome", [BROKEN, SILENT])
def test_attempt_that_breaks_off_before_its_first_event_excludes_the_source(
    balancer, outcome
):
    """Guards against a source that makes the receiving engine fail."""
    fail(balancer, 0.0, outcome)
    (event,) = list_events(balancer, EXCLUDED)
    assert event["cause"] == outcome
    assert place(balancer, 0.1, own=2).transfer is None


@pytest.mark.parametrize(
    "outcome",
    [ABANDONED, CONNECTION_REFUSED, FAILED, MISDIRECTED, REJECTED, UNREACHABLE],
)
def test_outcome_that_says_nothing_of_the_transfer_does_not_exclude(balancer, outcome):
    """Guards against a sound source that is excluded for the engine that fetches."""
    fail(balancer, 0.0, outcome)
    assert list_events(balancer, EXCLUDED) == []
    assert place(balancer, 0.1, own=2).transfer.source.name == "e0"


@pytest.mark.parametrize("outcome", [BROKEN, SILENT])
def test_request_that_was_not_sent_does_not_exclude(balancer, outcome):
    """Guards against a sound source that is excluded for a slow connection."""
    placement = place(balancer)
    assert placement.transfer is not None
    balancer.handle_attempt_end(placement, outcome, 0.1)
    assert list_events(balancer, EXCLUDED) == []


def test_request_that_expires_early_does_not_exclude(balancer):
    """Guards against the exclusion of sound sources in overload.

    Load pattern: requests wait in the queue, and are sent just before their deadline.
    """
    placement = start(balancer, deadline_at=0.05)
    balancer.handle_attempt_end(placement, SILENT, 0.05)
    assert list_events(balancer, EXCLUDED) == []


def test_exclusion_doubles_until_a_transfer_is_on_time(balancer):
    """Guards against a faulty source that is tried too often, or never again."""
    now = 0.0
    pauses = []
    for _ in range(6):
        fail(balancer, now)
        pause_s = list_events(balancer, EXCLUDED)[-1]["pause_s"]
        pauses.append(pause_s)
        assert place(balancer, now + pause_s - 0.01, own=2).transfer is None
        balancer.pools["s"].transfers.backoff.excluded_until = 0.0
        balancer.pools["s"].transfers.backoff.n_exclusions = 0
        forget(balancer, *RECEIVERS)
        now += pause_s + 0.02
    assert pauses == [0.5, 1.0, 2.0, 4.0, 8.0, 8.0]
    placement = start(balancer, now)
    balancer.record_first_event(placement, now + 0.1)
    forget(balancer, *RECEIVERS)
    fail(balancer, now + 0.2)
    assert list_events(balancer, EXCLUDED)[-1]["pause_s"] == 0.5


def test_transfers_that_fail_together_are_one_failure(balancer):
    """Guards against a long exclusion after a single short fault.

    Load pattern: a link is cut for a moment while four requests fetch over it.
    """
    placements = [start(balancer, own=10 + one) for one in range(4)]
    check_until(balancer, 0.0, 2.0)
    assert len({one.backend.name for one in placements}) == 4
    (event,) = list_events(balancer, EXCLUDED)
    assert event["pause_s"] == 0.5
    for placement in placements:
        balancer.handle_attempt_end(placement, SILENT, 2.0)
    assert len(list_events(balancer, EXCLUDED)) == 1
    transfers = balancer.pools["s"].transfers
    assert (transfers.n_transfers, transfers.n_late_transfers) == (4, 4)
    assert transfers.failure_rate == pytest.approx(1 - 0.9**4)
    assert find_source(balancer, 0).n_running == 0
    assert find_source(balancer, 0).n_late == 0


def test_source_is_tried_with_one_request_after_an_exclusion(balancer):
    """Guards against four delayed requests for each trial of a faulty source."""
    fail(balancer, 0.0)
    first = start(balancer, 1.0, own=2)
    assert place(balancer, 1.0, own=3).transfer is None
    balancer.record_first_event(first, 1.1)
    forget(balancer, *RECEIVERS)
    assert place(balancer, 1.1, own=4).transfer.source.name == "e0"
    assert place(balancer, 1.1, own=5).transfer.source.name == "e0"


def test_late_transfers_do_not_prevent_a_trial(balancer):
    """Guards against a source that stays out for as long as a late request runs."""
    start(balancer)
    check_until(balancer, 0.0, 1.0)
    assert is_excluded(balancer, 1.0)
    forget(balancer, *RECEIVERS)
    assert place(balancer, 1.6, own=2).transfer.source.name == "e0"


def test_restarted_server_is_a_new_source(balancer):
    """Guards against a sound server that pays for its former start.

    Nor does a transfer from the former start, which fails late, count for the new one.
    """
    late = start(balancer, own=2)
    fail(balancer, 0.01)
    assert is_excluded(balancer, 0.1)
    entry = find_backend(balancer, 0).entry._replace(started_ms=9000)
    balancer.registry.apply_entry(entry, 0.1, "test")
    hold(balancer, 0)
    balancer.list_candidates(balancer.pools["s"], 0.1)
    hold(balancer, 0)
    assert not is_excluded(balancer, 0.1)
    forget(balancer, *RECEIVERS)
    assert place(balancer, 0.1, own=3).transfer.source.name == "e0"
    check_until(balancer, 0.1, 2.0)
    balancer.handle_attempt_end(late, BROKEN, 2.0)
    assert not is_excluded(balancer, 2.0)


def fail_of_many(balancer, now, **options):
    """Let a transfer from one of engines 0 to 11 fail, and return its placement."""
    placement = start(balancer, now, **options)
    balancer.handle_attempt_end(placement, SILENT, now + 0.01)
    forget(balancer, *range(12, 24))
    return placement


def test_transfers_of_a_service_stop_if_most_fail():
    """Guards against a fleet whose links all fail, one request for each source.

    Load pattern: the network between the engines is cut. Each engine fails as a source.
    """
    balancer = build_fleet(24)
    hold(balancer, *range(12))
    load(balancer, *range(12))
    for number in range(7):
        assert list_events(balancer, STOPPED) == []
        fail_of_many(balancer, 0.02 * number, own=10 + number)
    (event,) = list_events(balancer, STOPPED)
    assert event["service"] == "s"
    assert event["pause_s"] == 0.5
    assert place(balancer, 0.2, own=2).transfer is None
    stopped_until = balancer.pools["s"].transfers.backoff.excluded_until
    again = fail_of_many(balancer, stopped_until + 0.01, own=30)
    assert again.transfer is not None
    assert list_events(balancer, STOPPED)[-1]["pause_s"] == 1.0


def test_transfers_of_a_service_go_on_after_one_on_time():
    """Guards against a service that stays without transfers after a fault has ended."""
    balancer = build_fleet(24)
    hold(balancer, *range(12))
    load(balancer, *range(12))
    for number in range(7):
        fail_of_many(balancer, 0.02 * number, own=10 + number)
    now = balancer.pools["s"].transfers.backoff.excluded_until + 0.01
    first = start(balancer, now, own=20)
    assert place(balancer, now, own=21).transfer is None
    balancer.record_first_event(first, now + 0.1)
    second = start(balancer, now + 0.2, own=22)
    third = start(balancer, now + 0.2, own=23)
    balancer.handle_attempt_end(second, BROKEN, now + 0.3)
    assert len(list_events(balancer, STOPPED)) == 1
    assert third.transfer.is_open


def test_paused_process_blames_no_source(balancer):
    """Guards against the exclusion of all sources by a host without processor time.

    Load pattern: the process stands still for 9 s, with first events in its sockets.
    """
    placement = start(balancer)
    check_until(balancer, 0.0, 0.1)
    balancer.transfers.check(9.1)
    check_until(balancer, 9.125, 9.2)
    balancer.record_first_event(placement, 9.21)
    check_until(balancer, 9.225, 10.0)
    assert list_events(balancer, EXCLUDED) == []


def test_source_that_stays_silent_is_found_after_a_pause(balancer):
    """Guards against a pause that hides a late transfer for good."""
    start(balancer)
    check_until(balancer, 0.0, 0.1)
    check_until(balancer, 3.1, 3.1 + ALLOWED_S)
    assert len(list_events(balancer, EXCLUDED)) == 1


def test_source_that_stays_silent_is_found_by_a_host_that_is_always_behind(balancer):
    """Guards against a dead source that a busy host asks for good.

    Load pattern: the smallest host has no processor time left, and each of its checks
    is late.
    """
    start(balancer)
    for number in range(80):
        balancer.transfers.check(0.12 * number)
    assert len(list_events(balancer, EXCLUDED)) == 1


@pytest.mark.parametrize("seed", range(10))
def test_counts_return_to_zero(seed):
    """Guards against a source that counts as busy for good.

    Load pattern: transfers end in any order, sent or not, and engines start again.
    """
    rng = Random(seed)
    balancer = build_fleet(12)
    hold(balancer, 0, 1)
    load(balancer, 0, 1)
    outcomes = [SERVED, SILENT, ABANDONED, REJECTED, UNREACHABLE]
    running = []
    sources = [find_source(balancer, 0), find_source(balancer, 1)]
    now = 0.0
    for number in range(300):
        now += rng.random() / 20
        balancer.transfers.check(now)
        job = build_request(now, own=100 + number)
        placement = balancer.submit(job, now)
        if placement is None:
            balancer.withdraw(job)
            continue
        if rng.random() < 0.9:
            balancer.transfers.send(placement, now)
        running.append(placement)
        if rng.random() < 0.03:
            add_engine(balancer, 0, started_ms=1000 + number)
            balancer.list_candidates(balancer.pools["s"], now)
            hold(balancer, 0)
            sources.append(find_source(balancer, 0))
        while len(running) > 5:
            one = running.pop(rng.randrange(len(running)))
            if rng.random() < 0.5:
                balancer.record_first_event(one, now)
            balancer.handle_attempt_end(one, rng.choice(outcomes), now)
            forget(balancer, *range(2, 12))
    for one in running:
        balancer.handle_attempt_end(one, ABANDONED, now)
    counts = [*sources, balancer.pools["s"].transfers]
    assert {(one.n_running, one.n_late) for one in counts} == {(0, 0)}
    assert balancer.transfers.running == {}
    states = balancer.pools["s"].states.values()
    assert not any(state.source.unread for state in states)
