"""Tests of the decision which requests a stopping host still sends."""

import random

import pytest

from catkinfork.balancing import (
    BROKEN,
    REJECTED,
    STOPPING,
    Placement,
    Refusal,
    StopPlan,
    may_queue,
)
from catkinfork.balancing._durations import RouteDurations
from catkinfork.balancing.tests.support import (
    build_balancer,
    build_job,
    build_route,
    serve,
    submit,
)
from catkinfork.topology import SAFE, STREAMING, Service

LATE_FROM = 2.6
ENDS_AT = 7.3
LONG = build_route(timeout_s=12.0)
# Its responses are sent as a whole.
LONG_WHOLE = build_route(SAFE, timeout_s=12.0, is_resumable=False, has_prompt=False)
ROUTES = {"stream": LONG, "whole": LONG_WHOLE}


def build_durations(*durations_s):
    """Return the durations of the long routes, which have one name."""
    durations = RouteDurations()
    for duration_s in durations_s:
        durations.record_duration(LONG, duration_s)
    return durations


def is_sent(durations, now, route=LONG, arrived_at=None):
    """Return whether a request is sent.

    :param arrived_at: time of its arrival, seconds; now by default.
    """
    plan = StopPlan(LATE_FROM, ENDS_AT)
    job = build_job(now if arrived_at is None else arrived_at, route=route)
    return plan.allows(job, durations, now)


@pytest.mark.parametrize("kind", ROUTES)
@pytest.mark.parametrize(
    ("known_s", "now", "expected"),
    [
        ([2.0], 0.0, True),
        ([2.0], 2.5, True),
        ([5.0], 2.5, False),
        ([1.0], 4.5, False),
        ([], 2.5, True),
        ([], 2.7, False),
        ([], 7.4, False),
    ],
)
def test_request_is_sent_if_it_can_end_in_time(known_s, now, expected, kind):
    """Guards against requests that are cut, and against needless refusals."""
    assert is_sent(build_durations(*known_s), now, ROUTES[kind]) is expected


@pytest.mark.parametrize(("kind", "expected"), [("whole", True), ("stream", False)])
def test_late_request_of_a_short_route_is_sent_unless_it_is_a_stream(kind, expected):
    """Guards against late streams that are cut, and needless refusals of others.

    Half of one duration is taken for its deviation: three times fit.
    """
    assert is_sent(build_durations(1.0), 4.0, ROUTES[kind]) is expected


@pytest.mark.parametrize("known_s", [[], [3.0]])
@pytest.mark.parametrize("kind", [STREAMING, SAFE])
def test_request_whose_deadline_is_within_the_stop_is_sent(known_s, kind):
    """Guards against the refusal of a request that ends in time whatever it does."""
    route = build_route(kind, timeout_s=3.0)
    assert is_sent(build_durations(*known_s), 4.0, route)


@pytest.mark.parametrize("seed", range(5))
def test_late_requests_are_hardly_ever_cut(seed):
    """Guards against late requests that are passed on, and cut at the end of a stop.

    Replays requests of about a second, one in twenty of which takes over twice as long.
    Those that arrive while the load balancer still sends new connections are all sent,
    as all are expected to end in time; so are the late ones that come soon enough.
    """
    rng = random.Random(seed)
    durations = build_durations(*(rng.lognormvariate(0.0, 0.44) for _ in range(300)))
    n_late = n_cut = 0
    for _ in range(2000):
        now = rng.uniform(0.0, 5.0)
        duration_s = rng.lognormvariate(0.0, 0.44)
        sent = is_sent(durations, now, LONG_WHOLE)
        if now < LATE_FROM:
            assert sent
            continue
        assert sent or now > LATE_FROM + 1.0
        n_late += sent
        n_cut += sent and now + duration_s > ENDS_AT
    assert n_late > 200
    assert n_cut <= 0.01 * n_late


@pytest.mark.parametrize("slowdown", [1.0, 4.0])
@pytest.mark.parametrize("seed", range(5))
def test_late_streams_of_a_burst_are_not_cut(seed, slowdown):
    """Guards against late streams that are taken on the durations before a burst.

    Replays streams that last several times as long during the stop. All that arrive
    while the load balancer still sends new connections are sent; late ones are refused,
    as no estimate holds in a burst, but for those that have to end in time anyway.
    """
    rng = random.Random(seed)
    durations = build_durations(*(rng.lognormvariate(0.0, 0.44) for _ in range(300)))
    n_short = n_cut = 0
    for _ in range(2000):
        now = rng.uniform(0.0, 7.0)
        timeout_s = rng.choice([2.0, 12.0])
        route = build_route(timeout_s=timeout_s)
        duration_s = min(timeout_s, slowdown * rng.lognormvariate(0.0, 0.44))
        sent = is_sent(durations, now, route)
        if now < LATE_FROM:
            assert sent
            continue
        fits = now + timeout_s <= ENDS_AT
        assert sent is fits
        n_short += sent
        n_cut += sent and now + duration_s > ENDS_AT
    assert n_short > 200
    assert n_cut == 0


def test_stream_that_waits_in_a_stop_is_refused_once_it_would_be_cut():
    """Guards against streams that wait for room, are passed on late and cut.

    It came in time, so that it waits while nearly all of its route would still end.
    """
    durations = build_durations(1.0)
    assert is_sent(durations, 4.0, arrived_at=1.0)
    assert not is_sent(durations, 4.5, arrived_at=1.0)


def test_balancer_refuses_what_a_stop_would_cut():
    """Guards against a late request that is placed, and one that waits in the queue."""
    balancer = build_balancer(n_backends=1, n_slots=1)
    serve(balancer, submit(balancer, 0.0, route=LONG), 4.0)
    running = submit(balancer, 10.0, route=LONG)
    queued = build_job(10.0, route=LONG)
    assert balancer.submit(queued, 10.0) is None
    balancer.begin_stop(StopPlan(10.0 + LATE_FROM, 10.0 + ENDS_AT))
    refusal = submit(balancer, 13.5, route=LONG)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == STOPPING
    assert 0 < refusal.retry_after_s < 0.5
    assert balancer.dispatch_queued(12.5) == []
    # Nearly all of its route have to fit from 12.6 s on: 4 s and four times 2 s.
    ((job, decision),) = balancer.dispatch_queued(13.0)
    assert job is queued
    assert isinstance(decision, Refusal)
    assert decision.reason == STOPPING
    assert isinstance(running, Placement)


def test_request_is_not_sent_once_more_if_a_stop_would_cut_it():
    """Guards against a rejected request that is placed again in a stop, and cut."""
    balancer = build_balancer(n_backends=2)
    serve(balancer, submit(balancer, 0.0, route=LONG), 4.0)
    placement = submit(balancer, 10.0, route=LONG)
    balancer.begin_stop(StopPlan(10.0 + LATE_FROM, 10.0 + ENDS_AT))
    balancer.handle_attempt_end(placement, REJECTED, 13.0)
    refusal = balancer.resubmit(placement.job, 13.0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == STOPPING


@pytest.mark.parametrize(("kind", "expected"), [("whole", True), ("stream", False)])
def test_request_that_has_run_is_sent_once_more_in_a_stop(kind, expected):
    """Guards against a failure where another attempt may succeed and can do no harm.

    It may have run, so that it cannot be refused. A stream could be begun and cut.
    """
    balancer = build_balancer(n_backends=2)
    serve(balancer, submit(balancer, 0.0, route=ROUTES[kind]), 4.0)
    placement = submit(balancer, 10.0, route=ROUTES[kind])
    balancer.begin_stop(StopPlan(10.0 + LATE_FROM, 10.0 + ENDS_AT))
    balancer.handle_attempt_end(placement, BROKEN, 13.0)
    decision = balancer.resubmit(placement.job, 13.0)
    assert isinstance(decision, Placement) is expected


def test_request_whose_server_has_left_is_not_placed_anew_if_a_stop_would_cut_it():
    """Guards against a request that is placed anew late in a stop, and cut."""
    balancer = build_balancer(n_backends=2)
    serve(balancer, submit(balancer, 0.0, route=LONG), 4.0)
    placement = submit(balancer, 10.0, route=LONG)
    balancer.begin_stop(StopPlan(10.0 + LATE_FROM, 10.0 + ENDS_AT))
    refusal = balancer.place_anew(placement, 13.0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == STOPPING


@pytest.mark.parametrize(("now", "expected"), [(12.0, True), (13.0, False)])
def test_silent_attempt_is_not_given_up_if_a_stop_would_refuse_its_request(
    now, expected
):
    """Guards against an answer that is lost, as its request is not sent once more.

    A sound server falls silent for a moment, while a short request waits for room.
    """
    balancer = build_balancer(n_backends=2, n_slots=1)
    serve(balancer, submit(balancer, 0.0, route=LONG_WHOLE), 4.0)
    placement = submit(balancer, 10.0, route=LONG_WHOLE)
    submit(balancer, 10.0, route=LONG_WHOLE)
    balancer.begin_stop(StopPlan(10.0 + LATE_FROM, 10.0 + ENDS_AT))
    short = build_job(11.0, route=build_route(timeout_s=4.0))
    assert balancer.submit(short, 11.0) is None
    assert may_queue(balancer, placement, now) is expected


def test_stream_that_broke_off_goes_on_in_a_stop():
    """Guards against a stream that is cut earlier than the stop has to."""
    balancer = build_balancer(n_backends=2)
    serve(balancer, submit(balancer, 0.0, route=LONG), 4.0)
    placement = submit(balancer, 10.0, route=LONG)
    placement.job.version = placement.backend.entry.version
    balancer.begin_stop(StopPlan(10.0 + LATE_FROM, 10.0 + ENDS_AT))
    balancer.handle_attempt_end(placement, BROKEN, 13.0)
    assert isinstance(balancer.resubmit(placement.job, 13.0), Placement)


def test_service_that_a_configuration_adds_in_a_stop_is_ended_by_it():
    """Guards against requests to a new service that wait beyond the end of a stop."""
    balancer = build_balancer()
    balancer.begin_stop(StopPlan(LATE_FROM, ENDS_AT))
    balancer.add_pool("new", Service("new"))
    assert balancer.pools["new"].ends_at == ENDS_AT
