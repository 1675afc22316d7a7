"""Tests of the state exchange between forwarders over a lossy link."""

import random

import pytest

from catkinfork.balancing import BROKEN, SERVED, Placement
from catkinfork.balancing.tests.support import PLAIN, build_job
from catkinfork.peering import decode_frame
from catkinfork.peering.tests.nodes import Node, build_nodes, run


def test_forwarders_discover_each_other_through_a_seed():
    """Guards against forwarders that know only the seed."""
    nodes = build_nodes(5)
    now = run(nodes, 0.0, 3.0)
    assert {node.directory.count_fresh(now) for node in nodes.values()} == {5}


def test_load_is_added_and_removed_at_the_peers():
    """Guards against load that never reaches the peers or is never removed there."""
    nodes = build_nodes()
    now = run(nodes, 0.0, 3.0)
    first, second = list(nodes.values())[:2]
    placement = first.balancer.submit(build_job(now, n_prompt=700), now)
    name = placement.backend.name
    now = run(nodes, now, now + 0.05)
    assert second.load(name).n_all_pending_tokens == 700
    assert second.load(name).n_all_in_flight == 1
    first.balancer.handle_attempt_end(placement, SERVED, now)
    run(nodes, now, now + 0.05)
    assert second.load(name).n_all_in_flight == 0


@pytest.mark.parametrize("seed", range(5))
def test_lost_frames_do_not_leave_wrong_totals(seed):
    """Guards against totals that drift when datagrams are lost."""
    rng = random.Random(seed)
    nodes = build_nodes()
    now = run(nodes, 0.0, 3.0)
    first, second = list(nodes.values())[:2]
    open_placements = []
    for _ in range(200):
        if open_placements and rng.random() < 0.5:
            placement = open_placements.pop(rng.randrange(len(open_placements)))
            first.balancer.handle_attempt_end(placement, SERVED, now)
        else:
            placement = first.balancer.submit(build_job(now, n_prompt=10), now)
            open_placements.append(placement)
        now = run(nodes, now, now + 0.01, is_lost=lambda: rng.random() < 0.3)
    run(nodes, now, now + 1.5)
    for name in ("b0", "b1"):
        n_open = sum(one.backend.name == name for one in open_placements)
        assert second.load(name).n_peers_in_flight == n_open


def test_load_of_a_silent_peer_is_removed():
    """Guards against a backend server kept idle by the load of a dead forwarder."""
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    first, second = nodes.values()
    placement = first.balancer.submit(build_job(now), now)
    now = run(nodes, now, now + 0.1)
    assert second.load(placement.backend.name).n_all_in_flight == 1
    run({second.address: second}, now, now + 0.7)
    assert second.load(placement.backend.name).n_all_in_flight == 0
    assert second.events[-1].event.name == "peer_lost"


def test_duplicate_and_outdated_frames_are_ignored():
    """Guards against totals that are overwritten by older ones."""
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    first, second = nodes.values()
    first.balancer.submit(build_job(now), now)
    ((_, data),) = first.exchange.tick(now + 0.2)
    assert second.exchange.handle_frame(decode_frame(data), now)
    assert not second.exchange.handle_frame(decode_frame(data), now)


def test_frames_of_a_restarted_peer_are_accepted():
    """Guards against treating frames of a restarted forwarder as outdated.

    Its sequence numbers start again at 1 in a new incarnation.
    """
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    first, second = nodes.values()
    again = Node(first.address, [first.address], incarnation=2)
    again.balancer.submit(build_job(now), now)
    again.directory.add([second.address], now)
    ((_, data),) = again.exchange.tick(now + 0.2)
    assert second.exchange.handle_frame(decode_frame(data), now)


def test_crashes_are_summed_over_forwarders():
    """Guards against applying the crash limit separately at each forwarder."""
    nodes = build_nodes(3)
    now = run(nodes, 0.0, 3.0)
    for node in nodes.values():
        placement = node.balancer.submit(
            build_job(now, route=PLAIN, fingerprint=9), now
        )
        node.balancer.handle_attempt_end(placement, BROKEN, now)
    run(nodes, now, now + 0.1)
    assert all(
        node.balancer.crash_guard.suspects.is_blocked(9, now) for node in nodes.values()
    )


def test_retries_and_usage_of_peers_are_included():
    """Guards against retry budgets and fair shares that ignore the peers."""
    nodes = build_nodes(2)
    first, second = nodes.values()
    for balancer in (first.balancer, second.balancer):
        balancer.submit(build_job(0.0), 0.0)
    now = run(nodes, 0.0, 3.0)
    for _ in range(5):
        first.balancer.submit(build_job(now), now)
    run(nodes, now, now + 0.1)
    assert second.balancer.pools["s"].retry_budget.peer_requests.sum(now) == 5
    assert second.balancer.pools["s"].shares.read_received("a", now) > 5000


def test_malformed_datagram_is_ignored():
    """Guards against failing on a datagram from an unrelated sender."""
    assert decode_frame(b"\x00garbage") is None
    assert decode_frame(b"") is None


@pytest.mark.parametrize("n_peers", [3, 30, 300])
def test_datagram_size_and_rate_are_bounded(n_peers):
    """Guards against an exchange whose cost grows with the number of peers."""
    node = Node("10.9.9.9", [f"10.0.{n // 200}.{n % 200}" for n in range(n_peers)])
    n_sent = 0
    for tick in range(1000):
        now = tick * 0.005
        node.balancer.submit(build_job(now), now)
        for _, data in node.exchange.tick(now):
            assert len(data) <= 1400
            n_sent += 1
    assert n_sent <= 5.0 * 420 + n_peers


def test_overload_at_different_forwarders_gets_equal_shares():
    """Guards against a forwarder that always refills the capacity its requests free."""
    nodes = build_nodes(2)
    first, second = nodes.values()
    for node in nodes.values():
        node.balancer.registry.remove("b1", 0.0, 0.0)
    now = run(nodes, 0.0, 3.0)
    n_served = {"a": 0, "b": 0}
    running = []
    for step in range(600):
        # Workspace b starts first and occupies all capacity when workspace a starts.
        for node, workspace in ((second, "b"), (first, "a")):
            if step >= 100 or node is second:
                job = build_job(now, workspace=workspace, n_prompt=2000)
                running.append((node, node.balancer.submit(job, now)))
        if step % 2:
            node, placement = running.pop(0)
            node.balancer.record_first_event(placement, now)
            node.balancer.handle_attempt_end(placement, SERVED, now)
            if step >= 200:
                n_served[placement.job.workspace] += 1
            running += [(node, one) for _, one in node.balancer.dispatch_queued(now)]
        now = run(nodes, now, now + 0.01)
        for node in (first, second):
            running += [(node, one) for _, one in node.balancer.dispatch_queued(now)]
        running = [pair for pair in running if isinstance(pair[1], Placement)]
    assert n_served["a"] > 0.7 * n_served["b"]


def test_leaving_backend_is_told_to_all_forwarders():
    """Guards against requests of the others to a server that is leaving.

    A forwarder that was out of reach learns of it later.
    """
    nodes = build_nodes(4)
    now = run(nodes, 0.0, 3.0)
    first, *others = nodes.values()
    late = others.pop()
    backend = first.balancer.registry.backends["b0"]
    assert first.balancer.mark_leaving(backend)
    heard = {node.address: node for node in (first, *others)}
    now = run(heard, now, now + 0.05)
    for node in heard.values():
        names = [one.name for one in node.balancer.registry.list_ready("s")]
        assert names == ["b1"]
    assert len(late.balancer.registry.list_ready("s")) == 2
    run(nodes, now, now + 1.2)
    assert len(late.balancer.registry.list_ready("s")) == 1


def test_crashes_that_were_none_are_withdrawn_at_the_peers():
    """Guards against resets that all forwarders but the one that knows count."""
    nodes = build_nodes()
    now = run(nodes, 0.0, 3.0)
    first, second, _ = nodes.values()
    for number in range(3):
        job = build_job(now, parts=[(0xF, 100), (number, 100)], fingerprint=9)
        lost = first.balancer.submit(job, now)
        beside = second.balancer.submit(build_job(now), now)
        # The forwarder that knows is not the one that lost the connection.
        beside.backend = second.balancer.registry.backends[lost.backend.name]
        beside.connected_at = now
        now = run(nodes, now, now + 0.3)
        first.balancer.handle_attempt_end(lost, BROKEN, now)
        now = run(nodes, now, now + 0.6)
        second.balancer.record_event(beside, now)
        now = run(nodes, now, now + 0.3)
        second.balancer.record_event(beside, now)
        now = run(nodes, now, now + 0.3)
    for node in nodes.values():
        assert not node.balancer.crash_guard.parts.suspects
        assert not node.balancer.crash_guard.suspects.is_blocked(9, now)
