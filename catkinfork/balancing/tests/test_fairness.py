"""Tests of the queue order and admission between competing workspaces."""

import pytest

from catkinfork.balancing import LoadFigures
from catkinfork.balancing._models import QueueRank, compute_reserved_token_share
from catkinfork.balancing._queue import WaitingQueue
from catkinfork.balancing._shares import FairShares
from catkinfork.balancing.tests.support import (
    PLAIN,
    build_balancer,
    build_job,
    build_route,
    serve,
    submit,
)


def serve_requests(balancer, workspace, now, n_requests):
    """Submit requests of a workspace and complete each one."""
    for _ in range(n_requests):
        serve(balancer, submit(balancer, now, workspace=workspace), now)


def test_late_request_precedes_one_of_a_workspace_with_more_service():
    """Guards against starvation of a workspace whose requests are all late.

    This happens if its requests are all queued at one forwarder, while another
    workspace uses all forwarders and always has requests within their latency target.
    """
    balancer = build_balancer(n_backends=1, n_slots=1)
    serve_requests(balancer, "much", 0.0, 10)
    running = submit(balancer, 0.0, workspace="much")
    late = build_job(0.0, workspace="little")
    balancer.submit(late, 0.0)
    balancer.submit(build_job(1.0, workspace="much"), 1.0)
    serve(balancer, running, 1.1)
    ((job, _),) = balancer.dispatch_queued(1.1)
    assert job is late


def test_priority_of_a_late_request_depends_on_the_service_of_its_workspace():
    """Guards against peers that always place on-time requests before a late one."""
    balancer = build_balancer(n_backends=1, n_slots=1)
    serve_requests(balancer, "much", 0.0, 10)
    submit(balancer, 0.0, workspace="much")
    balancer.submit(build_job(0.0, workspace="little"), 0.0)
    balancer.dispatch_queued(1.0)
    pool = balancer.pools["s"]
    assert pool.priority < pool.queue.compute_priority("much", 1.0)


def test_workspace_below_its_fair_share_is_not_refused_at_a_slow_forwarder():
    """Guards against refusals based on a forwarder's low placement rate alone.

    Requests of another workspace at other forwarders occupy the capacity, so this
    forwarder has placed few requests recently.
    """
    balancer = build_balancer(n_backends=1, n_slots=1, tokens_per_s=1000.0)
    shares = balancer.pools["s"].shares
    serve(balancer, submit(balancer, 0.0, workspace="a", n_prompt=10), 0.0)
    for step in range(40):
        shares.record_peer_usage("b", 20_000, 10_000, 0.1 * step)
    route = build_route(caller_idle_timeout_s=2.0)
    submit(balancer, 4.0, workspace="a", route=route)
    for _ in range(10):
        assert submit(balancer, 4.0, workspace="a", route=route) is None


@pytest.mark.parametrize("route", [build_route(), PLAIN])
def test_requests_are_queued_without_a_published_throughput(route):
    """Guards against a fair share of zero that stops admission."""
    balancer = build_balancer(n_backends=1, n_slots=1, tokens_per_s=0.0)
    load = balancer.pools["s"].find("b0").load
    load.set_peer_load("10.0.0.2", LoadFigures(3, 0, 0))
    assert submit(balancer, 0.0, route=route) is None
    assert submit(balancer, 0.1, route=route) is None
    assert balancer.dispatch_queued(0.2) == []


def test_long_prompt_is_not_starved_by_short_ones():
    """Guards against short prompts that take the room for which a long one waits.

    Load pattern: one workspace sends long prompts, another one many short ones, and the
    engine has just enough room for a short one at any time.
    """
    balancer = build_balancer(n_backends=1)
    running = [submit(balancer, 0.0, workspace="b", n_prompt=5000) for _ in range(3)]
    long_job = build_job(0.1, workspace="a", n_prompt=10_000)
    assert balancer.submit(long_job, 0.1) is None
    placed = []
    for step in range(20):
        now = 0.2 + 0.05 * step
        balancer.submit(build_job(now, workspace="b", n_prompt=2000), now)
        if running:
            balancer.record_first_event(running.pop(0), now)
        placed += [job.workspace for job, _ in balancer.dispatch_queued(now)]
        if "a" in placed:
            break
    assert placed[0] == "a"


def test_reserved_share_grows_with_the_peers_that_wait():
    """Guards against a workspace that fills the engines of a large fleet.

    Load pattern: one forwarder has most requests of the workspace with most service,
    and requests of the others wait at many forwarders.
    """
    shares = [
        compute_reserved_token_share(QueueRank(n_peers, False)) for n_peers in range(68)
    ]
    assert shares == sorted(shares)
    assert shares[:4] == [0.0, 0.25, 0.3, 0.35]
    assert 0.5 <= shares[20] <= shares[-1] <= 0.6


def test_service_before_a_loss_of_capacity_is_forgotten_within_the_window():
    """Guards against a workspace that starves for what it received in better times.

    Load pattern: a workspace receives four times as much as another one while there is
    enough for all; then capacity falls so far that only one of them can be served.
    """
    shares = FairShares(4.0)
    for step in range(1000):
        now = 0.01 * step
        shares.record_service("much", 4_000, now)
        shares.record_service("little", 1_000, now)
    lost_at = now
    while shares.read_received("much", now) > shares.read_received("little", now):
        now += 0.01
        shares.record_service("little", 1_000, now)
    assert now - lost_at <= 4.0


@pytest.mark.parametrize("n_others", [1, 4, 10])
def test_service_while_others_asked_for_little_does_not_stop_a_workspace(n_others):
    """Guards against a workspace that gets nothing until others have caught up (FAIR).

    Load pattern: a workspace is served all that it asks for; then capacity falls to
    half, and others begin to ask for more than is left.
    """
    shares = FairShares(4.0)
    queue = WaitingQueue(shares)
    others = [f"other-{number}" for number in range(n_others)]
    for step in range(1000):
        now = 0.01 * step
        shares.record_demand("first", 8_000, now)
        shares.record_service("first", 8_000, now)
        shares.update_level(0.0, now)
    counts = dict.fromkeys(["first", *others], 0)
    for step in range(600):
        now = 10.0 + 0.01 * step
        for workspace in counts:
            shares.record_demand(workspace, 8_000, now)
        shares.update_level(0.0, now)
        best = min(counts, key=lambda name: (queue.compute_priority(name, now), name))
        shares.record_service(best, 4_000, now)
        counts[best] += 1
    assert counts["first"] >= 0.5 * max(counts.values())


def test_lead_counts_all_service():
    """Guards against limits on service that hide how far a workspace is ahead."""
    shares = FairShares(4.0)
    for step in range(1000):
        now = 0.01 * step
        for workspace, n_tokens in (("little", 500), ("much", 6_000)):
            shares.record_demand(workspace, 8_000, now)
            shares.record_service(workspace, n_tokens, now)
        shares.update_level(0.0, now)
    queue = WaitingQueue(shares)
    priorities = [queue.compute_priority(name, now) for name in ("little", "much")]
    assert priorities == sorted(priorities)
    assert shares.is_underserved("little", now)
    assert shares.compute_lead("much", now) >= 0.9
