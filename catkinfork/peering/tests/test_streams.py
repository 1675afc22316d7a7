"""Origins of streams over forwarders that lose datagrams, start again or are killed."""

import random

import pytest

from catkinfork.balancing import StreamOrigin
from catkinfork.peering import Frame, decode_frame
from catkinfork.peering._frames import MAX_FRAME_BYTES, StreamEntry
from catkinfork.peering._stream_notices import MAX_STREAMS_PER_FRAME
from catkinfork.peering.tests.nodes import Node, build_nodes, deliver, run

V1 = StreamOrigin("s", "v1")
V2 = StreamOrigin("s", "v1.2")
LIFETIME_S = 14.0


def list_origins(nodes, key, now):
    """Return the origin of a stream as known to each node."""
    records = [node.balancer.streams.find(key, now) for node in nodes.values()]
    return [record and record.origin for record in records]


def test_peers_learn_the_origin_of_each_stream():
    """Guards against an origin that is lost with the host that carried the stream."""
    nodes = build_nodes(4)
    now = run(nodes, 0.0, 3.0)
    first, second, *_ = nodes.values()
    for key in range(100):
        first.balancer.streams.record(key, V1, LIFETIME_S, now)
        second.balancer.streams.record(1000 + key, V2, LIFETIME_S, now)
    now = run(nodes, now, now + 0.3)
    for key in range(100):
        assert list_origins(nodes, key, now) == [V1] * 4
        assert list_origins(nodes, 1000 + key, now) == [V2] * 4


def test_lost_datagrams_lose_few_origins():
    """Guards against an origin that depends on a single datagram."""
    nodes = build_nodes(4)
    now = run(nodes, 0.0, 3.0)
    rng = random.Random(5)
    first = nodes["10.0.0.1"]
    for key in range(400):
        first.balancer.streams.record(key, V1, LIFETIME_S, now)
        deliver(nodes, now, is_lost=lambda: rng.random() < 0.05)
        now += 0.01
    now = run(nodes, now, now + 0.3, is_lost=lambda: rng.random() < 0.05)
    n_known = sum(list_origins(nodes, key, now).count(V1) for key in range(400))
    assert n_known >= 0.98 * 4 * 400


def test_forwarder_that_started_later_asks_its_peers():
    """Guards against streams that are unknown at a host that has just started."""
    nodes = build_nodes(3)
    now = run(nodes, 0.0, 3.0)
    nodes["10.0.0.2"].balancer.streams.record(7, V1, LIFETIME_S, now)
    now = run(nodes, now, now + 1.0)
    killed = nodes["10.0.0.3"] = Node("10.0.0.3", ["10.0.0.1"], incarnation=2)
    now = run(nodes, now, now + 1.0)
    assert killed.balancer.streams.find(7, now) is None
    killed.balancer.streams.ask(7)
    killed.balancer.streams.ask(8)
    now = run(nodes, now, now + 0.1)
    assert list_origins(nodes, 7, now) == [V1] * 3
    assert list_origins(nodes, 8, now) == [None] * 3
    assert not killed.balancer.streams.questions


@pytest.mark.parametrize("n_nodes", [4, 28])
def test_origin_survives_the_kill_of_half_of_the_hosts(n_nodes):
    """Guards against origins that are known to the killed hosts only."""
    nodes = build_nodes(n_nodes)
    now = run(nodes, 0.0, 3.0)
    addresses = list(nodes)
    rng = random.Random(1)
    for key in range(200):
        node = nodes[rng.choice(addresses)]
        node.balancer.streams.record(key, V1, LIFETIME_S, now)
        deliver(nodes, now)
        now += 0.005
    now = run(nodes, now, now + 0.2)
    for address in addresses[: n_nodes // 2]:
        nodes[address] = Node(address, addresses, incarnation=2)
    now = run(nodes, now, now + 1.0)
    asking = nodes[addresses[0]]
    for key in range(200):
        asking.balancer.streams.ask(key)
    now = run(nodes, now, now + 1.0)
    assert all(asking.balancer.streams.find(key, now) for key in range(200))


def test_uncertain_origin_is_told():
    """Guards against a peer that goes on with an origin that has become uncertain."""
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    first = nodes["10.0.0.1"]
    first.balancer.streams.record(7, V1, LIFETIME_S, now)
    now = run(nodes, now, now + 0.2)
    first.balancer.streams.record(7, None, LIFETIME_S, now)
    now = run(nodes, now, now + 0.2)
    records = [node.balancer.streams.find(7, now) for node in nodes.values()]
    assert [record.origin for record in records] == [None, None]


def test_flood_of_streams_fits_into_datagrams():
    """Guards against datagrams that are fragmented or a backlog that never ends."""
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    node = nodes["10.0.0.1"]
    for key in range(1000):
        node.balancer.streams.record((1 << 64) - 1 - key, V2, LIFETIME_S, now)
    n_frames = 0
    while node.balancer.streams.has_news:
        for _, data in node.exchange.tick(now):
            n_frames += 1
            assert len(data) <= MAX_FRAME_BYTES
        now += 0.01
    assert n_frames <= 2 * 1000 / MAX_STREAMS_PER_FRAME + 2


@pytest.mark.parametrize(
    "entry",
    [
        StreamEntry(1, "v1", [(7, 1000)]),
        StreamEntry(0, "", [(7, -5)]),
        StreamEntry(0, "x" * 1000, [(7, 1000)]),
    ],
    ids=["unknown service", "negative lifetime", "long version"],
)
def test_odd_entries_yield_no_origin(entry):
    """Guards against an origin that no forwarder can have meant."""
    node = Node("10.0.0.1", [])
    frame = Frame("10.0.0.2", 1, 1, False, 1, 1, streams=[entry])
    node.exchange.handle_frame(frame, 5.0)
    record = node.balancer.streams.find(7, 5.0)
    assert record is None or record.origin is None


def test_lifetime_told_by_a_peer_is_bounded():
    """Guards against records that a peer makes stay for good."""
    node = Node("10.0.0.1", [])
    hashed = node.exchange.compute_hash("s")
    entry = StreamEntry(hashed, "v1", [(7, 10**15)])
    frame = Frame("10.0.0.2", 1, 1, False, 1, 1, streams=[entry])
    node.exchange.handle_frame(frame, 5.0)
    assert node.balancer.streams.find(7, 5.0).expires_at <= 605.0


def test_usage_is_told_beside_a_flood_of_streams():
    """Guards against fair shares that are dropped from frames for the sake of streams.

    Usage orders the queues of all forwarders, and is cleared once a frame is built.
    """
    node = Node("10.0.0.1", ["10.0.0.2"])
    for key in range(400):
        key += 1 << 63
        origin = StreamOrigin("s", f"v1.{key % 8}")
        node.balancer.streams.record(key, origin, LIFETIME_S, 1.0)
    for key in range(200):
        node.balancer.streams.ask((1 << 62) + key)
    workspaces = [("s", f"workspace-{number}") for number in range(60)]
    shares = node.balancer.pools["s"].shares
    for service, workspace in workspaces:
        shares.record_demand(workspace, 200_000, 1.0)
        shares.record_service(workspace, 100_000, 1.0)
        node.balancer.changes.workspaces.add((service, workspace))
    node.exchange.next_refresh_at = 100.0
    ((_, data),) = node.exchange.tick(1.0)
    assert len(decode_frame(data).uses) == len(workspaces)
