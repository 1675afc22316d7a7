"""Order between workspaces that wait at the same time."""

import pytest

from catkinfork.balancing import LoadFigures
from catkinfork.balancing.tests.support import (
    PLAIN,
    build_balancer,
    build_job,
    build_route,
    serve,
    submit,
)


def give_service(balancer, workspace, now, n_requests):
    """Serve requests of a workspace."""
    for _ in range(n_requests):
        serve(balancer, submit(balancer, now, workspace=workspace), now)


def test_late_request_goes_before_one_of_a_workspace_that_got_more():
    """Guards against a workspace that waits all through while others stay on time.

    A workspace whose requests all wait at one forwarder is late as a whole; another one
    that arrives everywhere always has requests that can still be on time.
    """
    balancer = build_balancer(n_backends=1, n_slots=1)
    give_service(balancer, "much", 0.0, 10)
    running = submit(balancer, 0.0, workspace="much")
    late = build_job(0.0, workspace="little")
    balancer.submit(late, 0.0)
    balancer.submit(build_job(1.0, workspace="much"), 1.0)
    serve(balancer, running, 1.1)
    ((job, _),) = balancer.pump(1.1)
    assert job is late


def test_turn_of_a_late_request_is_told_by_the_service_of_its_workspace():
    """Guards against peers that place on-time requests before a late one for ever."""
    balancer = build_balancer(n_backends=1, n_slots=1)
    give_service(balancer, "much", 0.0, 10)
    submit(balancer, 0.0, workspace="much")
    balancer.submit(build_job(0.0, workspace="little"), 0.0)
    balancer.pump(1.0)
    pool = balancer.pools["s"]
    assert pool.turn < pool.queue.find_turn("much", 1.0)


def test_workspace_that_is_due_service_is_not_refused_for_a_slow_forwarder():
    """Guards against a workspace at one forwarder that is refused by its low rate.

    The room is held by the requests of another workspace at other forwarders, so that
    this forwarder has placed little lately.
    """
    balancer = build_balancer(n_backends=1, n_slots=1, tokens_per_s=1000.0)
    shares = balancer.pools["s"].shares
    serve(balancer, submit(balancer, 0.0, workspace="a", n_prompt=10), 0.0)
    for step in range(40):
        shares.note_peer("b", 20_000, 10_000, 0.1 * step)
    route = build_route(caller_patience_s=2.0)
    submit(balancer, 4.0, workspace="a", route=route)
    for _ in range(10):
        assert submit(balancer, 4.0, workspace="a", route=route) is None


@pytest.mark.parametrize("route", [build_route(), PLAIN])
def test_requests_wait_where_no_throughput_is_published(route):
    """Guards against an even share of nothing that stops admission."""
    balancer = build_balancer(n_backends=1, n_slots=1, tokens_per_s=0.0)
    load = balancer.pools["s"].find("b0").load
    load.set_peer("10.0.0.2", LoadFigures(3, 0, 0))
    assert submit(balancer, 0.0, route=route) is None
    assert submit(balancer, 0.1, route=route) is None
    assert balancer.pump(0.2) == []
