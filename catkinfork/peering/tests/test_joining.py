"""What forwarders are told once, over restarts in turn of all of them."""

import random

import msgspec
import pytest

from catkinfork.balancing import StreamOrigin
from catkinfork.peering import JoinPlan, PeerDirectory, SnapshotExchange
from catkinfork.peering import decode_snapshot as decode
from catkinfork.peering._joining import (
    MAX_ANSWERS,
    MAX_ASKED,
    MAX_JOIN_S,
    MAX_KNOWLEDGE_S,
    MAX_LATE_S,
    SETTLED_MS,
)
from catkinfork.peering._snapshots import Snapshot
from catkinfork.peering.tests.joining import JoiningFleet
from catkinfork.peering.tests.nodes import Node

V1 = StreamOrigin("s", "v1")
V2 = StreamOrigin("s", "v2")
LIFETIME_S = 60.0
N_STREAMS = 40


def begin_streams(fleet):
    """Begin streams of two versions at all forwarders in rotation."""
    nodes = list(fleet.nodes.values())
    for key in range(N_STREAMS):
        origin = V1 if key % 2 else V2
        streams = nodes[key % len(nodes)].balancer.streams
        streams.record(key, origin, LIFETIME_S, fleet.now)
    fleet.run(0.5)


def check_origins(fleet):
    """Check that each forwarder knows where all streams began."""
    for node in fleet.nodes.values():
        records = [
            node.balancer.streams.find(key, fleet.now) for key in range(N_STREAMS)
        ]
        origins = [record and record.origin for record in records]
        assert origins == [V1 if key % 2 else V2 for key in range(N_STREAMS)]


@pytest.mark.parametrize(("n_nodes", "n_at_once"), [(2, 1), (4, 1), (5, 2), (9, 4)])
@pytest.mark.parametrize("seed", [1, 2])
def test_origins_outlive_a_restart_in_turn(n_nodes, n_at_once, seed):
    """Guards against streams of two versions that nobody knows after planned work.

    Load pattern: streams last for longer than the restart of all forwarders in turn,
    one or several at once, in any order.
    """
    fleet = JoiningFleet(n_nodes, seed)
    fleet.run(2.0)
    begin_streams(fleet)
    order = list(fleet.addresses)
    random.Random(seed).shuffle(order)
    for start in range(0, n_nodes, n_at_once):
        fleet.restart(order[start : start + n_at_once])
        check_origins(fleet)


def test_forwarders_that_all_start_at_once_wait_for_a_bounded_time():
    """Guards against a fleet that is not ready as nobody can answer."""
    fleet = JoiningFleet(6)
    fleet.run(MAX_JOIN_S + 0.1)
    assert all(node.joined_at <= MAX_JOIN_S + 0.02 for node in fleet.nodes.values())
    assert all(node.plan.n_answers == 0 for node in fleet.nodes.values())


def restart_unheard(fleet, unheard_s):
    """Restart a forwarder that hears nobody for a time, as all seeds are down."""
    (address,) = fleet.addresses[-1:]
    fleet.stop(address)
    fleet.cut_off = set(fleet.addresses[:-1])
    node = fleet.start(address)
    fleet.run(unheard_s)
    assert node.joined_at is not None
    assert node.plan.n_asked == 0
    fleet.cut_off = set()
    return node


@pytest.mark.parametrize("n_nodes", [2, 4, 9])
@pytest.mark.parametrize("unheard_s", [MAX_JOIN_S + 0.1, 3.0, 20.0])
def test_forwarder_that_hears_its_peers_late_learns_what_it_missed(n_nodes, unheard_s):
    """Guards against a forwarder that was ready alone and never asks.

    Load pattern: all seeds are down while it starts, and the peers that it hears of
    later know of streams and crashes that they do not tell again.
    """
    fleet = JoiningFleet(n_nodes)
    fleet.run(2.0)
    begin_streams(fleet)
    node = restart_unheard(fleet, unheard_s)
    fleet.run(1.0)
    assert node.plan.n_answers > 0
    check_origins(fleet)


def test_forwarder_that_learned_from_an_ignorant_peer_asks_older_ones():
    """Guards against the answer of a peer that was ready alone and knows nothing."""
    fleet = JoiningFleet(4)
    fleet.run(2.0)
    begin_streams(fleet)
    first, second = fleet.addresses[2:]
    for address in (first, second):
        fleet.stop(address)
    fleet.cut_off = set(fleet.addresses[:2])
    fleet.start(first)
    fleet.run(1.5)
    fleet.start(second)
    fleet.run(1.5)
    assert fleet.nodes[second].plan.n_answers == 1
    fleet.cut_off = set()
    fleet.run(1.0)
    check_origins(fleet)


def test_late_questions_end():
    """Guards against forwarders that go on asking for ever.

    All have started at once, and those that are heard later are younger.
    """
    fleet = JoiningFleet(6)
    fleet.run(2.0)
    assert all(node.plan.n_asked == 0 for node in fleet.nodes.values())
    fleet.restart(fleet.addresses[-2:])
    fleet.run(5.0)
    older = [fleet.nodes[address] for address in fleet.addresses[:-2]]
    assert all(node.plan.n_asked == 0 for node in older)
    plan, peers = build_plan(40)
    for peer in peers.values():
        peer.incarnation = 1
    n_asked = sum(plan.find_late(0.5 * step) is not None for step in range(400))
    assert n_asked <= MAX_ASKED
    assert build_plan(40)[0].find_late(MAX_LATE_S) is None


def test_peer_that_knows_more_than_a_late_answer_is_asked():
    """Guards against a forwarder that takes a late answer for an older one.

    The peer that answers a minute after the start was started just before it.
    """
    plan, peers = build_plan(2)
    first, second = peers.values()
    first.incarnation = plan.incarnation - 1000
    second.incarnation = plan.incarnation - 30_000
    second.is_fresh = False
    assert plan.find_late(60.0) == first.address
    plan.record_answer(first.address, True, 61.0, 60.0)
    second.is_fresh = True
    assert plan.find_late(61.0) == second.address


def test_late_answer_adds_nothing_to_the_retry_budget():
    """Guards against requests that count twice, and allow more retries.

    A forwarder that was ready has counted them from the frames of its peers.
    """
    fleet = JoiningFleet(2)
    fleet.run(2.0)
    node, other = fleet.nodes.values()
    budgets = [one.balancer.pools["s"].retry_budget for one in (node, other)]
    for _ in range(100):
        budgets[1].record_request(fleet.now)
    before = budgets[0].count_all(fleet.now)
    snapshot = decode(other.snapshots.build(fleet.now))
    node.snapshots.apply(snapshot, fleet.now, is_late=True)
    assert budgets[0].count_all(fleet.now) == before
    node.snapshots.apply(snapshot, fleet.now)
    assert budgets[0].count_all(fleet.now) != before


def test_forwarder_without_peers_is_ready_at_once():
    """Guards against a wait for peers that do not exist."""
    plan = JoinPlan(PeerDirectory("10.0.0.1", ["10.0.0.1"], 0.0), 1, random.Random(1))
    plan.start(5.0)
    assert plan.is_done(5.0)


def test_silent_peers_are_passed_over():
    """Guards against streams that are unknown as the first peers asked are wedged.

    They send frames and do not answer questions.
    """
    fleet = JoiningFleet(6)
    fleet.run(2.0)
    begin_streams(fleet)
    fleet.is_silent = lambda address: address != fleet.addresses[-1]
    fleet.restart(fleet.addresses[:1])
    check_origins(fleet)


def test_answer_of_a_forwarder_that_has_not_joined_is_not_enough():
    """Guards against two forwarders that start at once and learn from each other only.

    The one that knows is heard last.
    """
    directory = PeerDirectory("10.0.0.1", ["10.0.0.2"], 0.0)
    plan = JoinPlan(directory, 1, random.Random(1))
    plan.start(0.0)
    directory.peers["10.0.0.2"].is_fresh = True
    assert plan.find_next(0.0) == "10.0.0.2"
    plan.record_answer("10.0.0.2", False, 0.0, 0.0)
    assert plan.find_next(0.01) is None
    assert not plan.is_done(0.9)
    directory.add(["10.0.0.3"], 0.9)
    directory.peers["10.0.0.3"].is_fresh = True
    asked = {plan.find_next(0.9), plan.find_next(1.1)}
    assert "10.0.0.3" in asked
    plan.record_answer("10.0.0.3", True, MAX_KNOWLEDGE_S, 1.1)
    assert plan.is_done(1.1)


def build_plan(n_peers):
    """Return a plan of a forwarder that hears some peers."""
    directory = PeerDirectory("10.0.1.0", [f"10.0.0.{n}" for n in range(n_peers)], 0.0)
    for peer in directory.peers.values():
        peer.is_fresh = True
    plan = JoinPlan(directory, 10 * SETTLED_MS, random.Random(1))
    plan.start(0.0)
    return plan, directory.peers


def test_peers_that_know_more_are_asked_first():
    """Guards against answers of peers that are about to stop or have just started."""
    plan, peers = build_plan(9)
    for number, peer in enumerate(peers.values()):
        peer.is_leaving = number < 3
        peer.incarnation = 10 * SETTLED_MS - (1 if number < 6 else 2 * SETTLED_MS)
    order = []
    while len(order) < 8:
        order.append(plan.find_next(float(len(order))))
    numbers = [int(address.rpartition(".")[2]) for address in order]
    assert set(numbers[:3]) == {6, 7, 8}
    assert set(numbers[3:6]) == {3, 4, 5}
    assert set(numbers[6:]) < {0, 1, 2}


def test_questions_of_a_large_fleet_are_bounded():
    """Guards against questions to hundreds of peers by each of as many forwarders."""
    plan, _ = build_plan(200)
    n_asked = 0
    for step in range(200):
        n_asked += plan.find_next(step / 100) is not None
    assert n_asked <= MAX_ASKED
    plan, _ = build_plan(200)
    while not plan.is_done(0.0):
        plan.record_answer(plan.find_next(0.0), True, 5.0, 0.0)
    assert plan.n_answers == MAX_ANSWERS


def build_exchange(address, now):
    """Return the snapshots of a forwarder without network I/O."""
    node = Node(address, [])
    return SnapshotExchange(node.balancer, node.exchange.crash_notices, now)


def test_what_a_forwarder_knows_is_dated():
    """Guards against a forwarder that counts as informed since its start only."""
    older = build_exchange("10.0.0.1", 100.0)
    older.is_joined = True
    younger = build_exchange("10.0.0.2", 150.0)
    younger.apply(decode(older.build(160.0)), 160.0)
    assert younger.known_since == pytest.approx(100.0, abs=0.01)
    unjoined = build_exchange("10.0.0.3", 0.0)
    younger.apply(decode(unjoined.build(160.0)), 160.0)
    assert younger.known_since == pytest.approx(100.0, abs=0.01)


def test_versions_that_left_are_in_the_snapshot():
    """Guards against engines that are believed by a forwarder that has just started.

    A server of another version may have written the stream, and has left.
    """
    knowing = build_exchange("10.0.0.1", 0.0)
    knowing.balancer.registry.versions.record_told("s", "v2", 70.0)
    joining = build_exchange("10.0.0.2", 100.0)
    joining.balancer.registry.versions.record_told("s", "v2", 20.0)
    joining.apply(decode(knowing.build(100.0)), 100.0)
    versions = joining.balancer.registry.versions
    assert versions.list_left("s", 69.0) == {"v2"}
    assert versions.list_left("s", 71.0) == set()


ODD_STREAMS = [
    None,
    7,
    "x",
    [],
    ["s", "v1"],
    ["s", "v1", [[7, -5]]],
    ["s", "v1", [[-7, 1000]]],
    ["s", "v1", [[7, 1.5]]],
    ["s", "v1", [7]],
    ["s", "x" * 1000, [[7, 1000]]],
    ["s" * 1000, "v1", [[7, 1000]]],
    [7, "v1", [[7, 1000]]],
]


@pytest.mark.parametrize("odd", ODD_STREAMS, ids=lambda odd: str(odd)[:40])
def test_odd_entry_of_a_snapshot_is_left_out(odd):
    """Guards against a snapshot that cannot be used for one entry."""
    sound = ["s", "v2", [[8, 5000]]]
    others = [[]] * (len(msgspec.structs.fields(Snapshot)) - 3)
    fields = [True, 1000, [odd, sound, odd], *others, 17, "later field"]
    data = msgspec.msgpack.encode(fields)
    exchange = build_exchange("10.0.0.1", 5.0)
    exchange.apply(decode(data), 5.0)
    assert exchange.balancer.streams.find(7, 5.0) is None
    assert exchange.balancer.streams.find(8, 5.0).origin == V2


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"[" * 100_000,
        b"\x91" * 100_000,
        msgspec.msgpack.encode({}),
        msgspec.msgpack.encode([]),
        msgspec.msgpack.encode([True]),
        msgspec.msgpack.encode([True, -1]),
        msgspec.msgpack.encode(["x", 1]),
        msgspec.msgpack.encode([True, 1, 7]),
    ],
    ids=range(10),
)
def test_malformed_snapshot_is_rejected(data):
    """Guards against a forwarder that fails at the answer of a peer."""
    assert decode(data) is None


def test_snapshot_of_a_full_table_is_bounded():
    """Guards against snapshots that grow beyond what a peer reads (docs, section 2)."""
    exchange = build_exchange("10.0.0.1", 0.0)
    for key in range(40_000):
        origin = V1 if key % 2 else V2
        exchange.balancer.streams.record_told((1 << 63) + key, origin, 600.0, 1.0)
    data = exchange.build(1.0)
    assert len(data) < 16 * 32_768
    assert sum(len(entry[2]) for entry in decode(data).streams) == 32_768
