"""Soft state between forwarders over a lossy link."""

import random

import pytest

from catkinfork.balancing import BROKEN, SERVED, Placement
from catkinfork.balancing.tests.support import PLAIN, build_balancer, build_job
from catkinfork.peering import PeerDirectory, PeerExchange, decode_frame


class Node:
    """A forwarder without input and output."""

    def __init__(self, address, seeds, incarnation=1):
        self.address = address
        self.events = []
        self.directory = PeerDirectory(address, seeds, 0.0)
        self.balancer = build_balancer(n_backends=2, peers=self.directory)
        for name in ("b0", "b1"):
            self.balancer.pools["s"].find(name)
        self.exchange = PeerExchange(
            self.balancer,
            self.directory,
            incarnation,
            self.events.append,
        )

    def load(self, name="b0"):
        """Return the load of a backend server as this forwarder knows it."""
        return self.balancer.pools["s"].find(name).load


def deliver(nodes, now, is_lost=lambda: False):
    """Let all nodes send what is due."""
    for node in nodes.values():
        for address, data in node.exchange.tick(now):
            if address in nodes and not is_lost():
                nodes[address].exchange.apply(decode_frame(data), now)


def build_nodes(n_nodes=3):
    """Return nodes that know the first one as their seed."""
    names = [f"10.0.0.{number}" for number in range(1, n_nodes + 1)]
    return {name: Node(name, names[:1]) for name in names}


def run(nodes, start, end, step=0.01, **options):
    """Deliver frames for a while."""
    now = start
    while now < end:
        deliver(nodes, now, **options)
        now += step
    return now


def test_forwarders_find_each_other_through_a_seed():
    """Guards against forwarders that do not know of each other."""
    nodes = build_nodes(5)
    now = run(nodes, 0.0, 3.0)
    assert {node.directory.n_fresh(now) for node in nodes.values()} == {5}


def test_load_reaches_the_peers_and_leaves_again():
    """Guards against load that is not known, or never forgotten, at the peers."""
    nodes = build_nodes()
    now = run(nodes, 0.0, 3.0)
    first, second = list(nodes.values())[:2]
    placement = first.balancer.submit(build_job(now, n_prompt=700), now)
    name = placement.backend.name
    now = run(nodes, now, now + 0.05)
    assert second.load(name).n_all_pending == 700
    assert second.load(name).n_all_in_flight == 1
    first.balancer.finish(placement, SERVED, now)
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
            first.balancer.finish(placement, SERVED, now)
        else:
            placement = first.balancer.submit(build_job(now, n_prompt=10), now)
            open_placements.append(placement)
        now = run(nodes, now, now + 0.01, is_lost=lambda: rng.random() < 0.3)
    run(nodes, now, now + 1.5)
    for name in ("b0", "b1"):
        n_open = sum(one.backend.name == name for one in open_placements)
        assert second.load(name).n_peers_in_flight == n_open


def test_silent_peer_is_dropped_from_the_load():
    """Guards against the load of a dead forwarder that keeps a backend server idle."""
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    first, second = nodes.values()
    placement = first.balancer.submit(build_job(now), now)
    now = run(nodes, now, now + 0.1)
    assert second.load(placement.backend.name).n_all_in_flight == 1
    run({second.address: second}, now, now + 0.7)
    assert second.load(placement.backend.name).n_all_in_flight == 0
    assert second.events[-1].event.name == "peer_lost"


def test_repeated_and_older_frames_are_ignored():
    """Guards against totals of the past."""
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    first, second = nodes.values()
    first.balancer.submit(build_job(now), now)
    ((_, data),) = first.exchange.tick(now + 0.2)
    assert second.exchange.apply(decode_frame(data), now)
    assert not second.exchange.apply(decode_frame(data), now)


def test_restarted_peer_counts_anew():
    """Guards against frames of a restarted forwarder that are taken for old ones."""
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    first, second = nodes.values()
    again = Node(first.address, [first.address], incarnation=2)
    again.balancer.submit(build_job(now), now)
    again.directory.add([second.address], now)
    ((_, data),) = again.exchange.tick(now + 0.2)
    assert second.exchange.apply(decode_frame(data), now)


def test_crashes_add_up_over_forwarders():
    """Guards against a request that crashes a few backend servers by each forwarder."""
    nodes = build_nodes(3)
    now = run(nodes, 0.0, 3.0)
    for node in nodes.values():
        placement = node.balancer.submit(
            build_job(now, route=PLAIN, fingerprint=9), now
        )
        node.balancer.finish(placement, BROKEN, now)
    run(nodes, now, now + 0.1)
    assert all(node.balancer.suspects.is_blocked(9, now) for node in nodes.values())


def test_repeats_and_shares_of_peers_are_counted():
    """Guards against budgets and shares that each forwarder counts alone."""
    nodes = build_nodes(2)
    first, second = nodes.values()
    for balancer in (first.balancer, second.balancer):
        balancer.submit(build_job(0.0), 0.0)
    now = run(nodes, 0.0, 3.0)
    for _ in range(5):
        first.balancer.submit(build_job(now), now)
    run(nodes, now, now + 0.1)
    assert second.balancer.pools["s"].repeats.peer_requests.sum(now) == 5
    assert second.balancer.pools["s"].shares.read_received("a", now) > 5000


def test_unreadable_datagram_is_ignored():
    """Guards against a datagram of somebody else."""
    assert decode_frame(b"\x00garbage") is None
    assert decode_frame(b"") is None


@pytest.mark.parametrize("n_peers", [3, 30, 300])
def test_datagrams_are_bounded_at_any_size(n_peers):
    """Guards against an exchange whose cost grows with the size of the fleet."""
    node = Node("10.9.9.9", [f"10.0.{n // 200}.{n % 200}" for n in range(n_peers)])
    n_sent = 0
    for tick in range(1000):
        now = tick * 0.005
        node.balancer.submit(build_job(now), now)
        for _, data in node.exchange.tick(now):
            assert len(data) <= 1400
            n_sent += 1
    assert n_sent <= 5.0 * 420 + n_peers


def test_floods_at_different_forwarders_get_even_shares():
    """Guards against a forwarder that refills the room of its own requests for ever."""
    nodes = build_nodes(2)
    first, second = nodes.values()
    for node in nodes.values():
        node.balancer.registry.remove("b1", 0.0, 0.0)
    now = run(nodes, 0.0, 3.0)
    n_served = {"a": 0, "b": 0}
    running = []
    for step in range(600):
        # Workspace b comes first and holds all room when workspace a begins.
        for node, workspace in ((second, "b"), (first, "a")):
            if step >= 100 or node is second:
                job = build_job(now, workspace=workspace, n_prompt=2000)
                running.append((node, node.balancer.submit(job, now)))
        if step % 2:
            node, placement = running.pop(0)
            node.balancer.note_begun(placement, now)
            node.balancer.finish(placement, SERVED, now)
            if step >= 200:
                n_served[placement.job.workspace] += 1
            running += [(node, one) for _, one in node.balancer.pump(now)]
        now = run(nodes, now, now + 0.01)
        for node in (first, second):
            running += [(node, one) for _, one in node.balancer.pump(now)]
        running = [pair for pair in running if isinstance(pair[1], Placement)]
    assert n_served["a"] > 0.7 * n_served["b"]
