"""Tests of admission control, queue order, fair sharing and retry budgets."""

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from catkinfork.balancing import (
    BROKEN,
    EXPIRED,
    NO_RETRY,
    OVERLOADED,
    REJECTED,
    UNREACHABLE,
    Placement,
    Refusal,
    RetryBudgetSettings,
)
from catkinfork.balancing._retries import RetryBudget
from catkinfork.balancing._shares import compute_max_min_level
from catkinfork.balancing._windows import DecayingSum, SlidingWindowCounter
from catkinfork.balancing.tests.support import (
    build_balancer,
    build_job,
    build_route,
    serve,
    submit,
)


def test_burst_of_one_workspace_does_not_delay_others():
    """Guards against a workspace that is queued behind the burst of another one."""
    balancer = build_balancer(n_backends=1, n_slots=1, tokens_per_s=2000.0)
    running = submit(balancer, 0.0, workspace="flood")
    for _ in range(50):
        submit(balancer, 0.0, workspace="flood")
    quiet = build_job(0.1, workspace="quiet")
    assert balancer.submit(quiet, 0.1) is None
    serve(balancer, running, 0.2)
    ((job, _),) = balancer.dispatch_queued(0.2)
    assert job is quiet


def test_workspaces_get_even_shares_under_overload():
    """Guards against shares in proportion to demand instead of equal ones."""
    balancer = build_balancer(n_backends=1, n_slots=1, tokens_per_s=12_000.0)
    n_served = {"flood": 0, "b": 0, "c": 0}
    now = 0.0
    running = None
    while now < 8.0:
        for _ in range(5):
            submit(balancer, now, workspace="flood")
        for workspace in "bc":
            submit(balancer, now, workspace=workspace)
        now += 0.1
        if running is not None:
            serve(balancer, running, now)
        placed = [
            (job, decision)
            for job, decision in balancer.dispatch_queued(now)
            if isinstance(decision, Placement)
        ]
        running = None
        for job, decision in placed:
            n_served[job.workspace] += 1
            running = decision
    assert n_served["b"] >= 0.8 * n_served["flood"]
    assert n_served["c"] >= 0.8 * n_served["flood"]


def test_request_that_cannot_meet_its_deadline_is_refused_at_once():
    """Guards against a request that is queued until its deadline has passed."""
    balancer = build_balancer(n_backends=1, n_slots=1)
    route = build_route(timeout_s=1.0)
    now = 0.0
    running = submit(balancer, now, route=route)
    for _ in range(40):
        submit(balancer, now, route=route)
    for _ in range(10):
        now += 0.2
        serve(balancer, running, now)
        decisions = balancer.dispatch_queued(now)
        placed = [one for _, one in decisions if isinstance(one, Placement)]
        if not placed:
            break
        running = placed[0]
        for _ in range(20):
            late = submit(balancer, now, route=route)
    assert isinstance(late, Refusal)
    assert late.reason == OVERLOADED
    assert late.retry_after_s > 0


@pytest.mark.parametrize(
    ("options", "waits_at", "refused_at"),
    [
        ({"timeout_s": 1.0}, 1.0, 1.35),
        ({"timeout_s": 12.0, "caller_idle_timeout_s": 2.0}, 2.2, 2.4),
    ],
    ids=["deadline", "idle_timeout"],
)
def test_queued_request_expires_before_its_caller_disconnects(
    options, waits_at, refused_at
):
    """Guards against a refusal that is sent after the caller has disconnected."""
    balancer = build_balancer(n_backends=1, n_slots=1)
    route = build_route(**options)
    serve(balancer, submit(balancer, 0.0, route=route), 0.4)
    submit(balancer, 0.5, route=route)
    job = build_job(0.5, route=route)
    balancer.submit(job, 0.5)
    assert balancer.dispatch_queued(waits_at) == []
    ((refused, refusal),) = balancer.dispatch_queued(refused_at)
    assert refused is job
    assert refusal.reason == EXPIRED


def test_retry_after_values_have_jitter():
    """Guards against callers that all retry at the same moment."""
    balancer = build_balancer(n_backends=0)
    times = {submit(balancer, 0.0).retry_after_s for _ in range(20)}
    assert len(times) == 20
    assert max(times) <= 1.5 * min(times)


def test_request_within_its_latency_target_precedes_a_late_one():
    """Guards against late requests that delay all others past their target."""
    balancer = build_balancer(n_backends=1, n_slots=1)
    running = submit(balancer, 0.0)
    late = build_job(0.0)
    balancer.submit(late, 0.0)
    fresh = build_job(1.0)
    balancer.submit(fresh, 1.0)
    serve(balancer, running, 1.1)
    ((job, _),) = balancer.dispatch_queued(1.1)
    assert job is fresh


def test_withdrawn_request_leaves_the_queue():
    """Guards against executing a request whose caller has disconnected."""
    balancer = build_balancer(n_backends=1, n_slots=1)
    submit(balancer, 0.0)
    job = build_job(0.0)
    balancer.submit(job, 0.0)
    balancer.withdraw(job)
    assert not balancer.has_waiting()
    assert balancer.pools["s"].queue.n_tokens == 0


def test_level_is_max_min_fair():
    """Guards against a level that wastes or overcommits the capacity."""
    assert compute_max_min_level([1, 2, 3], 10) == math.inf
    assert compute_max_min_level([1, 5, 9], 10) == 4.5
    assert compute_max_min_level([6, 6], 6) == 3


@given(
    st.lists(st.floats(0, 1000), min_size=1, max_size=20).map(sorted),
    st.floats(0.1, 5000),
)
def test_level_uses_the_whole_capacity(demands, capacity):
    """Guards against a level that leaves capacity idle despite unmet demand."""
    level = compute_max_min_level(demands, capacity)
    used = sum(min(demand, level) for demand in demands)
    expected = min(capacity, sum(demands))
    assert math.isclose(used, expected, rel_tol=1e-6, abs_tol=1e-6)


@given(st.lists(st.tuples(st.floats(0, 3), st.integers(1, 5)), max_size=40))
def test_window_sum_matches_recent_amounts(steps):
    """Guards against a window that loses amounts or keeps expired ones."""
    counter = SlidingWindowCounter(2.0)
    now = 100.0
    added = []
    for pause_s, amount in steps:
        now += pause_s
        counter.add(amount, now)
        added.append((now, amount))
    total = counter.sum(now)
    assert total <= sum(amount for at, amount in added if at >= now - 2.2)
    assert total >= sum(amount for at, amount in added if at >= now - 1.8)


def test_decaying_sum_decays_exponentially():
    """Guards against old service that still counts in full."""
    use = DecayingSum(4.0)
    use.add(100.0, 10.0)
    assert math.isclose(use.read(14.0), 100.0 / math.e)


def test_retries_stay_within_the_shared_budget():
    """Guards against retries that amplify an overload."""
    budget = RetryBudget(RetryBudgetSettings(0.2, 50, 10.0))
    for _ in range(100):
        budget.record_request(1.0)
    n_allowed = 0
    while budget.allows(4, 4, 1.0):
        budget.record_retry(1.0)
        n_allowed += 1
    assert n_allowed == int(0.7 * (0.2 * 100 + 50))
    budget.record_peer_requests(1000, 0, 1.0)
    assert budget.allows(4, 4, 1.0)
    budget.record_peer_requests(0, 500, 1.0)
    assert not budget.allows(4, 4, 1.0)


def test_simultaneous_retries_stay_within_the_shared_budget():
    """Guards against forwarders that each use what is left before they hear of others.

    Load pattern: a crashed backend server leaves retries at many forwarders at once,
    whose views of each other are some hundred milliseconds old.
    """
    settings = RetryBudgetSettings(0.2, 176, 10.0)
    budgets = [RetryBudget(settings) for _ in range(68)]
    for budget in budgets:
        budget.record_peer_requests(7000, 0, 1.0)
    n_sent = 0
    for budget in budgets:
        while budget.allows(68, 68, 1.01, state_age_s=0.2):
            budget.record_retry(1.01)
            n_sent += 1
    assert 0 < n_sent <= 0.2 * 7000 + 176


def test_isolated_forwarder_uses_only_its_share_of_the_retry_budget():
    """Guards against forwarders that each use the whole budget while partitioned."""
    budget = RetryBudget(RetryBudgetSettings(0.2, 40, 10.0))
    n_allowed = 0
    while budget.allows(1, 4, 1.0):
        budget.record_retry(1.0)
        n_allowed += 1
    assert n_allowed == 7


def test_first_queued_request_is_not_refused():
    """Guards against a placement rate that ignores requests placed without waiting."""
    balancer = build_balancer(n_backends=1, n_slots=4)
    route = build_route(timeout_s=3.0)
    now = 0.0
    for _ in range(40):
        now += 0.05
        placements = [submit(balancer, now, route=route) for _ in range(4)]
        for placement in placements:
            serve(balancer, placement, now + 0.04)
    running = [submit(balancer, now, route=route) for _ in range(4)]
    submit(balancer, now, route=route)
    serve(balancer, running[0], now)
    balancer.dispatch_queued(now)
    for _ in range(20):
        assert submit(balancer, now, route=route) is None


def run_overload(balancer, route, end, interval_s=0.1, n_arrivals=3):
    """Submit requests faster than they are served, one at a time.

    :returns: queueing time of each refused request, seconds.
    """
    now = 0.0
    running = submit(balancer, now, route=route)
    queue_times = []
    while now < end:
        for _ in range(n_arrivals):
            if isinstance(submit(balancer, now, route=route), Refusal):
                queue_times.append(0.0)
        now += interval_s
        serve(balancer, running, now)
        for job, decision in balancer.dispatch_queued(now):
            if isinstance(decision, Placement):
                running = decision
            else:
                queue_times.append(now - job.arrived_at)
    return queue_times


def test_streams_are_refused_before_their_callers_disconnect():
    """Guards against streams queued until the deadline, after callers disconnect."""
    balancer = build_balancer(n_backends=1, n_slots=1)
    route = build_route(timeout_s=12.0, caller_idle_timeout_s=2.0)
    queue_times = run_overload(balancer, route, 6.0)
    assert len(queue_times) > 80
    assert max(queue_times) < 1.9
    assert balancer.pools["s"].queue.n_jobs < 45


def test_request_that_never_arrived_needs_no_retry_budget():
    """Guards against refusals for want of budget while crashed servers refuse.

    An attempt whose connection is refused is no arrival at a backend server. Load
    pattern: several engines have crashed, and all forwarders still try them.
    """
    budget = RetryBudgetSettings(0.0, 0, 10.0)
    balancer = build_balancer(n_backends=3, retry_budget=budget)
    placement = submit(balancer, 0.0)
    for _ in range(2):
        balancer.handle_attempt_end(placement, UNREACHABLE, 0.0)
        assert balancer.allows_retry(placement, UNREACHABLE, 0.0)
        placement = balancer.resubmit(placement.job, 0.0)
        assert isinstance(placement, Placement)
    assert balancer.pools["s"].retry_budget.n_retries == 0
    balancer.handle_attempt_end(placement, REJECTED, 0.0)
    assert balancer.resubmit(placement.job, 0.0).reason == NO_RETRY


def test_retry_after_an_arrival_is_counted():
    """Guards against more arrivals than the budget allows."""
    balancer = build_balancer(n_backends=3)
    placement = submit(balancer, 0.0)
    balancer.handle_attempt_end(placement, BROKEN, 0.0)
    placement = balancer.resubmit(placement.job, 0.0)
    assert balancer.pools["s"].retry_budget.n_retries == 1
    balancer.handle_attempt_end(placement, UNREACHABLE, 0.0)
    balancer.resubmit(placement.job, 0.0)
    assert balancer.pools["s"].retry_budget.n_retries == 2
