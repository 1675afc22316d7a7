"""Tests of the decision which requests a stopping host still sends."""

import random

import pytest

from catkinfork.balancing import STOPPING, Placement, Refusal, StopPlan
from catkinfork.balancing._durations import RouteDurations
from catkinfork.balancing.tests.support import (
    build_balancer,
    build_job,
    build_route,
    serve,
    submit,
)

LATE_FROM = 2.6
ENDS_AT = 7.3
LONG = build_route(timeout_s=12.0)


def build_durations(*durations_s):
    """Return the durations of the long route."""
    durations = RouteDurations()
    for duration_s in durations_s:
        durations.record_duration(LONG, duration_s)
    return durations


def is_sent(durations, now, route=LONG):
    """Return whether a request that arrives at a time is sent."""
    plan = StopPlan(LATE_FROM, ENDS_AT)
    return plan.allows(build_job(now, route=route), durations, now)


@pytest.mark.parametrize(
    ("known_s", "now", "expected"),
    [
        ([2.0], 0.0, True),
        ([2.0], 2.5, True),
        ([5.0], 2.5, False),
        # Half of one duration is taken for its deviation: three times fit, or not.
        ([1.0], 4.0, True),
        ([1.0], 4.5, False),
        ([], 2.5, True),
        ([], 2.7, False),
        ([], 7.4, False),
    ],
)
def test_request_is_sent_if_it_can_end_in_time(known_s, now, expected):
    """Guards against requests that are cut, and against needless refusals."""
    assert is_sent(build_durations(*known_s), now) is expected


@pytest.mark.parametrize("known_s", [[], [3.0]])
def test_request_whose_deadline_is_within_the_stop_is_sent(known_s):
    """Guards against the refusal of a request that ends in time whatever it does."""
    assert is_sent(build_durations(*known_s), 4.0, build_route(timeout_s=3.0))


@pytest.mark.parametrize("seed", range(5))
def test_late_streams_are_hardly_ever_cut(seed):
    """Guards against late requests that are passed on, and cut at the end of a stop.

    Replays streams of about a second, one in twenty of which takes over twice as long.
    Those that arrive while the load balancer still sends new connections are all sent,
    as all are expected to end in time; so are the late ones that come soon enough.
    """
    rng = random.Random(seed)
    durations = RouteDurations()
    for _ in range(300):
        durations.record_duration(LONG, rng.lognormvariate(0.0, 0.44))
    n_late = n_cut = 0
    for _ in range(2000):
        now = rng.uniform(0.0, 5.0)
        duration_s = rng.lognormvariate(0.0, 0.44)
        sent = is_sent(durations, now)
        if now < LATE_FROM:
            assert sent
            continue
        assert sent or now > LATE_FROM + 1.0
        n_late += sent
        n_cut += sent and now + duration_s > ENDS_AT
    assert n_late > 200
    assert n_cut <= 0.01 * n_late


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
    assert balancer.dispatch_queued(13.0) == []
    ((job, decision),) = balancer.dispatch_queued(16.0)
    assert job is queued
    assert isinstance(decision, Refusal)
    assert isinstance(running, Placement)
