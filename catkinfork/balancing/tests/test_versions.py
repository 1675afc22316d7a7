"""Placement of streams that have to go on at the version that began them."""

from catkinfork.balancing import BROKEN, NO_BACKEND, Placement, Refusal
from catkinfork.balancing._jobs import THROTTLED
from catkinfork.balancing.tests.support import (
    add_backend,
    build_balancer,
    build_job,
    serve,
)


def build_versions(n_slots=64):
    """Return a balancer with two backend servers of v1 and two of v2."""
    balancer = build_balancer(n_backends=0, n_slots=n_slots)
    for name, version in (("a0", "v1"), ("a1", "v1"), ("b0", "v2"), ("b1", "v2")):
        add_backend(balancer, name, n_slots, version=version)
    return balancer


def remove_version(balancer, *names):
    """Remove the entries of backend servers."""
    for name in names:
        balancer.registry.remove(name, 0.0, 0.0)


def test_bound_job_runs_at_its_version_only():
    """Guards against a cheaper backend server of another version."""
    balancer = build_versions()
    for name in ("a0", "a1"):
        balancer.pools["s"].find(name).load.n_pending_tokens = 9000
    placement = balancer.submit(build_job(version="v1"), 0.0)
    assert placement.backend.entry.version == "v1"


def test_bound_job_without_backend_is_refused_at_once():
    """Guards against a job that waits for a version which nobody serves any more."""
    balancer = build_versions()
    remove_version(balancer, "a0", "a1")
    refusal = balancer.submit(build_job(version="v1"), 0.0)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == NO_BACKEND
    assert refusal.retry_after_s > 0


def test_tried_backends_of_a_version_leave_none():
    """Guards against another version once all servers of the own one were tried."""
    balancer = build_versions()
    job = build_job()
    placement = balancer.submit(job, 0.0)
    balancer.record_first_event(placement, 0.1)
    job.version = placement.backend.entry.version
    balancer.handle_attempt_end(placement, BROKEN, 0.2)
    second = balancer.resubmit(job, 0.2)
    assert second.backend.entry.version == job.version
    balancer.handle_attempt_end(second, BROKEN, 0.3)
    assert isinstance(balancer.resubmit(job, 0.3), Refusal)


def test_queued_bound_jobs_are_refused_when_their_version_leaves():
    """Guards against jobs that wait until their deadline for a version that left.

    Load pattern: all engines are full, and streams that broke off wait behind others.
    """
    balancer = build_versions(n_slots=1)
    running = [balancer.submit(build_job(), 0.0) for _ in range(4)]
    bound = build_job(0.1, version="v1")
    free = build_job(0.1)
    assert balancer.submit(bound, 0.1) is None
    assert balancer.submit(free, 0.1) is None
    remove_version(balancer, "a0", "a1")
    ((job, decision),) = balancer.dispatch_queued(0.2)
    assert job is bound
    assert decision.reason == NO_BACKEND
    serve(balancer, next(one for one in running if one.backend.name == "b0"), 0.3)
    ((job, decision),) = balancer.dispatch_queued(0.3)
    assert job is free
    assert isinstance(decision, Placement)
    assert not balancer.pools["s"].queue.n_bound


def test_stream_that_broke_off_goes_ahead_of_new_ones_of_its_workspace():
    """Guards against streams that are refused behind the new ones of their workspace.

    Load pattern: a workspace asks for more than it gets, and its streams come back
    after all hosts have lost power.
    """
    balancer = build_balancer(n_backends=1, n_slots=1, tokens_per_s=2000.0)
    running = balancer.submit(build_job(), 0.0)
    n_queued = 0
    while balancer.submit(build_job(0.1), 0.1) is None:
        n_queued += 1
    assert n_queued > 5
    bound = build_job(0.1, version="v1")
    assert balancer.submit(bound, 0.1) is None
    serve(balancer, running, 0.3)
    ((job, decision),) = balancer.dispatch_queued(0.3)
    assert job is bound
    assert isinstance(decision, Placement)


def test_streams_that_wait_for_a_full_version_do_not_hold_up_others():
    """Guards against capacity of one version that idles while another one is full.

    Load pattern: an older version has few servers left, and many of its streams broke
    off at once.
    """
    balancer = build_versions(n_slots=1)
    running = [balancer.submit(build_job(), 0.0) for _ in range(4)]
    new = build_job(0.1, workspace="b")
    same_workspace = build_job(0.1)
    bound = [build_job(0.1, version="v1") for _ in range(80)]
    for job in [*bound, new, same_workspace]:
        balancer.pools["s"].queue.add(job)
    for placement in running:
        if placement.backend.entry.version == "v2":
            serve(balancer, placement, 0.2)
    decisions = balancer.dispatch_queued(0.2)
    placed = {job for job, one in decisions if isinstance(one, Placement)}
    assert placed == {new, same_workspace}


def test_rest_of_a_stream_is_not_judged_by_the_duration_of_whole_streams():
    """Guards against a stream that is refused although little of it may be left.

    Load pattern: streams come back some seconds before the deadline of their callers,
    after all hosts have lost power.
    """
    balancer = build_versions(n_slots=1)
    pool = balancer.pools["s"]
    running = [balancer.submit(build_job(), 0.0) for _ in range(4)]
    for placement in running:
        pool.durations.record_duration(placement.job.route, 4.0)
    new = build_job(0.1, deadline_at=3.0)
    bound = build_job(0.1, deadline_at=3.0, version="v1")
    assert isinstance(balancer.submit(new, 0.1), Refusal)
    assert balancer.submit(bound, 0.1) is None
    balancer.dispatch_queued(0.2)
    assert pool.queue.n_bound == 1


def test_streams_of_a_full_version_do_not_hold_up_those_of_another():
    """Guards against streams of an idle version that wait behind those of a full one.

    Load pattern: an older version has few servers left, many of its streams broke off
    at once, and one of a newer version broke off just after them.
    """
    balancer = build_versions(n_slots=1)
    running = [balancer.submit(build_job(), 0.0) for _ in range(4)]
    older = [build_job(0.1, version="v1") for _ in range(10)]
    newer = build_job(0.1, version="v2")
    for job in [*older, newer]:
        balancer.pools["s"].queue.add(job)
    for placement in running:
        if placement.backend.entry.version == "v2":
            serve(balancer, placement, 0.2)
    decisions = balancer.dispatch_queued(0.2)
    placed = {job for job, one in decisions if isinstance(one, Placement)}
    assert placed == {newer}


def test_stream_of_an_idle_version_is_not_refused_behind_a_full_one():
    """Guards against a stream that is refused for the wait of another version."""
    balancer = build_versions(n_slots=1)
    balancer.tokens_per_s = 2000.0
    running = [balancer.submit(build_job(), 0.0) for _ in range(4)]
    for placement in running:
        if placement.backend.entry.version == "v2":
            serve(balancer, placement, 0.2)
    n_older = 0
    while balancer.submit(build_job(0.3, version="v1"), 0.3) is None:
        n_older += 1
    assert n_older
    decision = balancer.submit(build_job(0.3, version="v2"), 0.3)
    assert decision is None or isinstance(decision, Placement)


def test_stream_whose_version_pauses_is_told_the_pause():
    """Guards against a stream that is refused as if no server of its version were left.

    Its only server has asked for a pause, and one of another version has not.
    """
    balancer = build_balancer(n_backends=0)
    add_backend(balancer, "a0", version="v1")
    add_backend(balancer, "b0", version="v2")
    backend = balancer.registry.backends["a0"]
    balancer.registry.throttle(backend, 0.2, "0.2", 0.0)
    refusal = balancer.submit(build_job(version="v1"), 0.0)
    assert refusal.reason == THROTTLED
    assert 0.2 <= refusal.retry_after_s <= 0.4


def test_queued_stream_outlives_a_short_pause_of_its_version():
    """Guards against queued streams that are all ended by a pause of their server."""
    balancer = build_balancer(n_backends=0, n_slots=1)
    add_backend(balancer, "a0", 1, version="v1")
    add_backend(balancer, "b0", 1, version="v2")
    for _ in range(2):
        balancer.submit(build_job(), 0.0)
    bound = build_job(0.1, version="v1")
    assert balancer.submit(bound, 0.1) is None
    backend = balancer.registry.backends["a0"]
    balancer.registry.throttle(backend, 0.1, "0.1", 0.1)
    assert [decision.reason for _, decision in balancer.dispatch_queued(0.15)] in (
        [],
        [THROTTLED],
    )


def test_full_version_reserves_no_capacity_of_another():
    """Guards against peers that keep room free which the waiting job may not use.

    The priority of a queued job makes peers reserve capacity at all servers of the
    service. Here the server of another version is idle, so no capacity helps the job.
    """
    balancer = build_balancer(n_backends=0, n_slots=1)
    add_backend(balancer, "a0", 1, version="v1")
    add_backend(balancer, "b0", 1, version="v2")
    running = [balancer.submit(build_job(), 0.0) for _ in range(2)]
    bound = build_job(0.1, version="v1")
    assert balancer.submit(bound, 0.1) is None
    serve(balancer, next(one for one in running if one.backend.name == "b0"), 0.2)
    assert not balancer.dispatch_queued(0.2)
    assert balancer.pools["s"].priority is None


def test_streams_of_a_full_version_leave_a_pass_for_other_workspaces():
    """Guards against workspaces that starve while the servers of a version are idle.

    Load pattern: an older version has few servers left, which are full, and streams of
    eight workspaces broke off there. Each of these has received less than another one,
    whose new requests fit the newer version.
    """
    balancer = build_versions(n_slots=1)
    running = [balancer.submit(build_job(workspace="i"), 0.0) for _ in range(4)]
    for workspace in "abcdefgh":
        for _ in range(8):
            job = build_job(0.1, workspace=workspace, version="v1")
            balancer.pools["s"].queue.add(job)
    free = build_job(0.1, workspace="i")
    balancer.pools["s"].queue.add(free)
    for placement in running:
        if placement.backend.entry.version == "v2":
            serve(balancer, placement, 0.2)
    decisions = balancer.dispatch_queued(0.2)
    placed = {job for job, one in decisions if isinstance(one, Placement)}
    assert placed == {free}
