"""Tests of the order that serves on-time requests first, decision by decision."""

import pytest

from catkinfork.balancing import (
    EXPIRED,
    BalancerSettings,
    LoadFigures,
    Placement,
    Refusal,
)
from catkinfork.balancing._events import LATE_QUEUED
from catkinfork.balancing._on_time_order import (
    LATE_PRIORITY,
    MAX_ALLOWANCE_SHARE,
    OnTimeFirstOrder,
)
from catkinfork.balancing._order import ShareOrder
from catkinfork.balancing.tests.support import (
    build_balancer,
    build_job,
    build_route,
    serve,
    submit,
)

ROUTE = build_route(latency_target_s=1.0)


def build_full(now=0.0, **options):
    """Return a balancer with one engine and one slot, and the attempt that fills it."""
    balancer = build_balancer(n_backends=1, n_slots=1, on_time_first=True, **options)
    return balancer, submit(balancer, now, route=ROUTE)


def queue(balancer, now, **options):
    """Queue a job and return it."""
    job = build_job(now, **({"route": ROUTE} | options))
    assert balancer.submit(job, now) is None
    return job


def dispatch_one(balancer, running, now):
    """Complete an attempt and return the only job that is placed then."""
    serve(balancer, running, now)
    ((job, decision),) = balancer.dispatch_queued(now)
    assert isinstance(decision, Placement)
    return job


def test_on_time_job_precedes_a_late_one_of_a_workspace_with_less_service():
    """Guards against late jobs that make the on-time jobs of all others late."""
    balancer, running = build_full()
    balancer.pools["s"].shares.record_service("much", 20_000, 0.0)
    late = queue(balancer, 0.0, workspace="little")
    fresh = queue(balancer, 1.0, workspace="much")
    assert dispatch_one(balancer, running, 1.05) is fresh
    assert list(balancer.pools["s"].queue.list_late("little", 1.05)) == [late]


def test_late_jobs_of_a_workspace_that_lacks_service_keep_its_priority():
    """Guards against a workspace that starves behind the on-time jobs of others."""
    balancer, running = build_full()
    shares = balancer.pools["s"].shares
    shares.record_peer_usage("much", 900_000, 900_000, 0.9)
    shares.record_peer_usage("little", 900_000, 100_000, 0.9)
    shares.update_level(0.0, 0.9)
    late = queue(balancer, 0.0, workspace="little")
    queue(balancer, 1.0, workspace="much")
    assert dispatch_one(balancer, running, 1.05) is late


def test_job_counts_as_late_before_its_target_by_the_time_that_its_route_needs():
    """Guards against jobs that are sent as they can no longer be on time."""
    balancer, running = build_full()
    durations = balancer.pools["s"].first_event_durations
    job = queue(balancer, 0.0)
    assert job.start_by_at == 1.0
    durations.record_duration(ROUTE, 0.2)
    job = queue(balancer, 0.0)
    # Half of a single duration is assumed as its deviation, which then falls by 5 %.
    assert job.start_by_at == pytest.approx(0.705)
    assert not balancer.pools["s"].queue.list_late("a", 0.70)
    assert balancer.pools["s"].queue.list_late("a", 0.71) == [job]


def test_route_that_mostly_misses_its_target_has_on_time_jobs():
    """Guards against a kind of request that counts as late on arrival for ever."""
    balancer, _ = build_full()
    balancer.pools["s"].first_event_durations.record_duration(ROUTE, 5.0)
    job = queue(balancer, 0.0)
    assert job.start_by_at == pytest.approx(1.0 - MAX_ALLOWANCE_SHARE)


def test_newest_goes_first_only_while_others_are_late():
    """Guards against jobs that are served when their time is nearly over."""
    balancer, running = build_full()
    first, second = queue(balancer, 0.0), queue(balancer, 0.2)
    order = balancer.pools["s"].queue.list_groups("a", 0.9)
    assert order == [(None, [first, second])]
    third = queue(balancer, 0.5)
    order = balancer.pools["s"].queue.list_groups("a", 1.05)
    assert order == [(None, [third, second, first])]


def test_new_on_time_job_does_not_queue_behind_late_ones():
    """Guards against a new job that waits for a pass while only late ones are queued.

    Load pattern: a long prompt waits for the engine that has its prefix cached, and
    others have room.
    """
    balancer = build_balancer(n_backends=2, on_time_first=True)
    for name in ("b0", "b1"):
        load = balancer.pools["s"].find(name).load
        load.set_peer_load("10.0.0.2", LoadFigures(5, 14_000, 20_000))
    queue(balancer, 0.0, n_prompt=10_000)
    balancer.dispatch_queued(1.05)
    assert isinstance(submit(balancer, 1.05, n_prompt=500, route=ROUTE), Placement)
    assert balancer.pools["s"].queue.n_jobs == 1


def test_new_job_does_not_overtake_on_time_ones():
    """Guards against arrivals that take the room for which others wait."""
    balancer, running = build_full()
    queue(balancer, 0.0)
    serve(balancer, running, 0.1)
    assert submit(balancer, 0.1, route=ROUTE) is None


def test_late_job_leaves_the_room_for_which_an_on_time_one_waits():
    """Guards against small late jobs that take the room as it becomes free."""
    balancer = build_balancer(n_backends=1, on_time_first=True)
    load = balancer.pools["s"].find("b0").load
    load.set_peer_load("10.0.0.2", LoadFigures(5, 12_000, 20_000))
    small = build_job(0.0, route=ROUTE, n_prompt=1_000, workspace="c")
    balancer.pools["s"].queue.add(small)
    long = queue(balancer, 1.0, n_prompt=6_000)
    assert balancer.dispatch_queued(1.05) == []
    balancer.withdraw(long)
    placed = [job for job, _ in balancer.dispatch_queued(1.06)]
    assert placed == [small]


def test_late_jobs_receive_their_part_and_no_more():
    """Guards against late jobs that starve, or that take the room of on-time ones.

    Load pattern: one slot, and always an on-time job that waits for it.
    """
    balancer, running = build_full(tokens_per_s=0.0)
    n_late = n_all = 0
    now = 0.0
    route = build_route(latency_target_s=0.3, timeout_s=60.0, caller_idle_timeout_s=60)
    while now < 40.0:
        for _ in range(2):
            balancer.submit(build_job(now, route=route), now)
        now += 0.05
        serve(balancer, running, now)
        placed = [
            (job, one)
            for job, one in balancer.dispatch_queued(now)
            if isinstance(one, Placement)
        ]
        ((job, running),) = placed
        n_late += now >= job.start_by_at
        n_all += 1
    assert 0.08 <= n_late / n_all <= 0.13


def test_priority_that_peers_learn_of_is_in_the_order_of_the_queues():
    """Guards against late jobs of one forwarder before on-time jobs of another one."""
    balancer, _ = build_full()
    pool = balancer.pools["s"]
    pool.shares.record_service("much", 20_000, 0.0)
    queue(balancer, 0.0, workspace="little")
    balancer.dispatch_queued(0.5)
    assert pool.priority < LATE_PRIORITY
    # Late jobs that are owed service have the priority of others.
    balancer.dispatch_queued(1.05)
    assert pool.priority < LATE_PRIORITY
    pool.queue.order.late_share.n_tokens = -100_000.0
    balancer.dispatch_queued(1.055)
    assert pool.priority >= LATE_PRIORITY
    queue(balancer, 1.0, workspace="much")
    balancer.dispatch_queued(1.06)
    assert 10_000 <= pool.priority < LATE_PRIORITY


def test_late_job_that_cannot_meet_its_deadline_is_refused_before_it():
    """Guards against callers that learn of a refusal only as they leave."""
    balancer, running = build_full(tokens_per_s=0.0)
    route = build_route(latency_target_s=0.3, timeout_s=2.0)
    now = 0.0
    waits = []
    while now < 8.0:
        for _ in range(3):
            balancer.submit(build_job(now, route=route), now)
        now += 0.05
        serve(balancer, running, now)
        for job, decision in balancer.dispatch_queued(now):
            if isinstance(decision, Placement):
                running = decision
            else:
                assert decision.reason == EXPIRED
                assert 0.1 <= decision.retry_after_s <= 7.5
                waits.append(now - job.arrived_at)
    assert len(waits) >= 200
    # Most learn of it soon after they have become late.
    assert sorted(waits)[len(waits) // 2] <= 0.5
    assert max(waits) <= 1.9


def test_retry_after_grows_with_the_requests_that_will_return():
    """Guards against refused requests that all return within a moment."""
    balancer, _ = build_full(tokens_per_s=0.0)
    pool = balancer.pools["s"]
    times = []
    for _ in range(100):
        job = build_job(0.0, route=ROUTE)
        window = pool.queue.order.plan_return(pool, job, 0.0, 0.0)
        times.append(window.latest_s)
    assert times == sorted(times)
    assert times[0] <= 2.5
    assert times[-1] == 5.0


@pytest.mark.parametrize("is_on_time_first", [False, True])
def test_setting_selects_the_order(is_on_time_first):
    """Guards against an order that is used without its setting."""
    balancer = build_balancer(on_time_first=is_on_time_first)
    order = balancer.pools["s"].queue.order
    expected = OnTimeFirstOrder if is_on_time_first else ShareOrder
    assert type(order) is expected
    assert BalancerSettings("gasabo").on_time_first is False


def test_reload_changes_the_order_of_queued_jobs():
    """Guards against jobs that are lost, or sorted by another time, by a reload."""
    balancer, _ = build_full()
    pool = balancer.pools["s"]
    pool.first_event_durations.record_duration(ROUTE, 0.2)
    jobs = [queue(balancer, 0.1 * number) for number in range(5)]
    pool.queue.list_late("a", 1.0)
    balancer.apply_settings(balancer.settings._replace(on_time_first=False))
    assert isinstance(pool.queue.order, ShareOrder)
    assert [job.start_by_at for job in jobs] == [job.latency_target_at for job in jobs]
    assert sorted(pool.queue.list_all(1.0), key=jobs.index) == jobs
    order = pool.queue.order
    balancer.apply_settings(balancer.settings._replace(share_window_s=5.0))
    assert pool.queue.order is order
    for job in jobs:
        balancer.withdraw(job)
    assert (pool.queue.n_jobs, pool.queue.n_tokens) == (0, 0)


def test_sums_of_a_queue_match_its_jobs():
    """Guards against sums that drift as jobs become late and leave."""
    balancer, _ = build_full()
    pool = balancer.pools["s"]
    jobs = [
        build_job(0.1 * number, route=ROUTE, n_prompt=1000 + number)
        for number in range(12)
    ]
    for job in jobs:
        pool.queue.add(job)
    own = pool.queue.by_workspace["a"]
    for now, leaving in ((0.5, 3), (1.05, 0), (1.3, 11), (1.35, 7)):
        pool.queue.count_late(now)
        balancer.withdraw(jobs[leaving])
        late = [job for job in own.jobs if job.start_by_at <= now]
        others = [job for job in own.jobs if job.start_by_at > now]
        assert own.list_late() == late
        assert own.n_late_tokens == sum(job.n_service_tokens for job in late)
        assert own.n_on_time_tokens == sum(job.n_service_tokens for job in others)


def test_event_on_late_jobs_is_bounded_and_names_its_inputs():
    """Guards against a log that grows with each pass, and one without the figures."""
    balancer, _ = build_full()
    balancer.pools["s"].first_event_durations.record_duration(ROUTE, 0.2)
    queue(balancer, 0.0)
    events = balancer.write_log.__self__
    for step in range(50):
        balancer.dispatch_queued(0.01 * step)
    assert not [one for one in events if one.event is LATE_QUEUED]
    for step in range(50):
        balancer.dispatch_queued(0.8 + 0.02 * step)
    (event,) = [one for one in events if one.event is LATE_QUEUED]
    values = dict(zip(event.event.fields, event.values, strict=True))
    assert values["n_late"] == values["n_queued"] == 1
    assert values["n_late_tokens"] == 1200
    assert values["allowances"] == "r:0.295"


def test_gauges_count_what_was_placed_late():
    """Guards against an order that an operator cannot see at work."""
    balancer, running = build_full()
    pool = balancer.pools["s"]
    queue(balancer, 0.0)
    assert isinstance(dispatch_one(balancer, running, 1.2), object)
    values = {
        name: value for name, _, value in pool.queue.order.list_gauges(pool.queue, 1.2)
    }
    assert values == {"waiting_late": 0, "placed_on_time": 0, "placed_late": 1}
    assert not list(build_balancer().pools["s"].queue.order.list_gauges(None, 0.0))


def test_full_queue_spreads_returns():
    """Guards against callers that find the queue full and return after a second."""
    balancer, _ = build_full()
    pool = balancer.pools["s"]
    for _ in range(2000):
        pool.queue.add(build_job(0.0, route=ROUTE))
    refusals = [submit(balancer, 0.0, route=ROUTE) for _ in range(200)]
    assert all(isinstance(one, Refusal) for one in refusals)
    times = sorted(one.retry_after_s for one in refusals)
    assert times[0] <= 0.5
    assert times[-1] >= 4.5
