"""Frames with values that cannot be right: they are left out, and the others hold."""

import math

import msgspec
import pytest

from catkinfork.balancing import Placement
from catkinfork.balancing.tests.support import build_job
from catkinfork.peering import PeerDirectory, PeerSocket, decode_frame
from catkinfork.peering._frames import Frame, encode_frame
from catkinfork.peering._peers import MAX_PEERS
from catkinfork.peering.tests.nodes import Node, build_nodes, run
from catkinfork.topology import (
    MAX_DURATION_S,
    MAX_INTEGER,
    MAX_NAME_LENGTH,
    MAX_SLOTS,
)

SENDER = "10.0.0.2"
NAMES = [field.name for field in msgspec.structs.fields(Frame)]
HEADER = {
    "sender": SENDER,
    "incarnation": 5,
    "sequence": 1,
    "is_leaving": False,
    "version": 3,
    "revision": 9,
    "leaving_since": 1000,
    "has_joined": True,
}
# A sound entry of each list.
ENTRIES = {
    "loads": [7, 1, 2, 3],
    "uses": [7, 8, 2, 3],
    "repeats": [7, 2, 1],
    "parts": [7, 2**64 - 1, 100],
    "suspects": [2**64 - 1, 2],
    "turns": [7, 12.5],
    "part_crashes": [2**64 - 1, 7, 40],
    "served_parts": [2**64 - 1, 40],
    "leaving": [7, 1000],
    "rate_limits": [7, 1000, 2.5, 40],
    "part_probes": [2**64 - 1, 40],
    "part_runs": [2**64 - 1, 7, 40],
    "survivors": [7, 40],
    "withdrawn": [2**64 - 1, 2],
    "speeds": [7, 1000, 2, 30_000, 9_000],
}
ODD_VALUES = [None, True, "1", b"1", [], -1, -(2**63), 0.5, -0.5, math.nan, -math.inf]
# Values that are right in some fields only.
UNBOUNDED = [2**64 - 1, math.inf, 1e300]
FLOATS = {("turns", 1), ("rate_limits", 2)}


def build_values():
    """Return the fields of a frame with one sound entry in each list."""
    values = dict.fromkeys(NAMES, [])
    values |= HEADER | {"is_full": True, "peers": ["10.0.0.3"], "era": 1}
    return values | {name: [entry] for name, entry in ENTRIES.items()}


def encode(values):
    """Return a frame as a datagram."""
    return msgspec.msgpack.encode([values[name] for name in NAMES])


def list_odd_entries():
    """Return the parameters: name of a list and an odd entry of it."""
    cases = []
    for name, sound in ENTRIES.items():
        cases += [(name, odd) for odd in (None, 7, "x", {}, [], sound[:-1], [[[]]])]
        cases.append((name, [*sound, 1]))
        for number in range(len(sound)):
            odd_values = ODD_VALUES + UNBOUNDED
            if (name, number) in FLOATS:
                odd_values = [odd for odd in ODD_VALUES if odd != 0.5]
            elif sound[number] == 2**64 - 1:
                odd_values = ODD_VALUES
            for odd in odd_values:
                cases.append((name, [*sound[:number], odd, *sound[number + 1 :]]))
    return [pytest.param(*case, id=f"{case[0]}-{case[1]}") for case in cases]


def test_sound_frame_is_decoded():
    """Guards against a bound that leaves out what peers tell."""
    frame = decode_frame(encode(build_values()))
    for name, entry in ENTRIES.items():
        assert [list(found) for found in getattr(frame, name)] == [entry]
    assert frame.peers == ["10.0.0.3"]
    lifted = build_values() | {"rate_limits": [[7, 1000, math.inf, 40]]}
    assert decode_frame(encode(lifted)).rate_limits[0].rate == math.inf


@pytest.mark.parametrize(("name", "odd"), list_odd_entries())
def test_odd_entry_is_left_out_and_the_others_hold(name, odd):
    """Guards against a value of a peer that stops or misleads the decisions."""
    values = build_values()
    values[name] = [odd, ENTRIES[name], odd]
    frame = decode_frame(encode(values))
    for other, entry in ENTRIES.items():
        assert [list(found) for found in getattr(frame, other)] == [entry]
    assert (frame.sender, frame.version, frame.era) == (SENDER, 3, 1)


@pytest.mark.parametrize("odd", [None, True, "1", [], -1, 0.5, 2**63, math.nan])
@pytest.mark.parametrize(
    "name", ["incarnation", "sequence", "version", "revision", "leaving_since"]
)
def test_frame_with_an_odd_number_is_malformed(name, odd):
    """Guards against a version that no later one exceeds, or that cannot be sent."""
    assert decode_frame(encode(build_values() | {name: odd})) is None


ODD_ADDRESSES = ["", "host", "10.0.0.300", "10.0.0.3:80", "a\0b", "x" * 9000, "\u0661"]


@pytest.mark.parametrize("address", ODD_ADDRESSES)
def test_odd_address_is_no_peer(address):
    """Guards against an address to which no datagram can be sent: that raised."""
    assert decode_frame(encode(build_values() | {"sender": address})) is None
    values = build_values() | {"peers": [address, "10.0.0.3"]}
    assert decode_frame(encode(values)).peers == ["10.0.0.3"]


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\x91" * 60_000,
        b"\x91" * 60_000 + b"\xc0",
        b"\x81\x01" * 30_000 + b"\xc0",
        encode(build_values())[:-9],
        encode(build_values()) + b"\xc0",
        b"\x9f",
        b"\xdd\xff\xff\xff\xff",
        msgspec.msgpack.encode({"sender": SENDER}),
        msgspec.msgpack.encode([SENDER, 5, 1]),
        msgspec.msgpack.encode([SENDER, 5, 1, False, 3, 9, True, 7]),
    ],
    ids=lambda data: f"{data[:6]}({len(data)})",
)
def test_malformed_datagram_is_no_frame(data):
    """Guards against a datagram that raises, such as a deeply nested one."""
    assert decode_frame(data) is None


def test_nested_unknown_field_of_a_newer_frame():
    """Guards against a frame of a newer peer that raises."""
    data = bytearray(encode(build_values()))
    # The head of an array of more than 15 values: 0xdc and the number of values.
    assert data[0] == 0xDC
    data[2] += 1
    assert decode_frame(bytes(data) + b"\xc0").sender == SENDER
    assert decode_frame(bytes(data) + b"\x91" * 50_000 + b"\xc0") is None


class Transport:
    """Transport that raises as those of the event loop do."""

    def __init__(self):
        self.sent = []

    def sendto(self, data, address):
        """Send to IPv4 addresses only."""
        if ":" in address[0]:
            raise ValueError("socket family mismatch or a DNS lookup is required")
        self.sent.append(address)


def test_address_of_another_family_does_not_end_the_task():
    """Guards against the end of the task that sends frames, and of the process."""
    socket = PeerSocket(lambda frame: None, 7400)
    socket.connection_made(Transport())
    socket.send("::1", b"")
    socket.send("10.0.0.3", b"")
    assert socket.transport.sent == [("10.0.0.3", 7400)]
    assert socket.n_errors == 1


def test_number_of_peers_is_bounded():
    """Guards against memory that grows with the addresses that a frame makes up."""
    directory = PeerDirectory("10.0.0.1", [SENDER], 0.0)
    directory.add([f"10.{n >> 16}.{n >> 8 & 255}.{n & 255}" for n in range(70_000)], 0)
    assert len(directory.peers) == MAX_PEERS
    frame = Frame(sender="10.200.0.1", **{name: HEADER[name] for name in NAMES[1:6]})
    assert directory.handle_header(frame, 0.0) is None


def build_totals(node, sequence, n_tokens, n_requests):
    """Return a frame with totals of workspace ``a``, as the node decodes it."""
    service, workspace = (node.exchange.compute_hash(name) for name in "sa")
    values = build_values() | dict.fromkeys(ENTRIES, [])
    values |= {
        "sequence": sequence,
        "peers": [],
        "uses": [[service, workspace, n_tokens, n_tokens]],
        "repeats": [[service, n_requests, n_requests]],
    }
    return decode_frame(encode(values))


def test_totals_that_go_back_are_not_counted():
    """Guards against negative service, after which a workspace gets all of it."""
    node = Node("10.0.0.1", [SENDER])
    pool = node.balancer.pools["s"]
    now = 10.0
    for sequence, total in enumerate((1000, 3000, 5, 10), start=1):
        now += 0.01
        frame = build_totals(node, sequence, total, total)
        node.exchange.handle_frame(frame, now)
    assert 1900 < pool.shares.read_received("a", now) <= 2005
    assert pool.retry_budget.peer_requests.sum(now) == 2005
    assert pool.retry_budget.peer_retries.sum(now) == 2005


def test_extreme_totals_of_a_peer_leave_placement_working():
    """Guards against a total within its bounds that stops placement or frames."""
    nodes = build_nodes(2)
    now = run(nodes, 0.0, 3.0)
    node = nodes["10.0.0.1"]
    hashes = [node.exchange.compute_hash(name) for name in ("b0", "s", "a")]
    top = 2**53
    values = build_values() | {
        "incarnation": 2**63 - 1,
        "sequence": 2**63 - 1,
        "leaving_since": 2**63 - 1,
        "loads": [[hashes[0], top, top, top]],
        "uses": [[hashes[1], hashes[2], top, top]],
        "repeats": [[hashes[1], top, top]],
        "turns": [[hashes[1], float(top)]],
        "parts": [[hashes[0], 5, top], [hashes[0], 6, 0]],
        "suspects": [[3, top]],
        "part_crashes": [[5, 7, top]],
        "served_parts": [[5, top]],
        "leaving": [[hashes[0], 2**63 - 1]],
        "rate_limits": [[hashes[0], 2**63 - 1, 1e300, top]],
        "part_probes": [[5, top]],
        "part_runs": [[5, 7, top]],
        "survivors": [[7, top]],
        "withdrawn": [[3, top]],
        "peers": [],
    }
    node.exchange.handle_frame(decode_frame(encode(values)), now)
    placement = node.balancer.submit(build_job(now, parts=[(5, 60)]), now)
    assert placement.backend.name == "b1"
    for _ in range(200):
        now += 0.01
        for _, data in node.exchange.tick(now):
            assert encode_frame(decode_frame(data)) == data


@pytest.mark.parametrize("n_slots", [1, MAX_SLOTS])
@pytest.mark.parametrize("cold_s", [0.0, MAX_DURATION_S])
@pytest.mark.parametrize("number", [0, MAX_INTEGER])
def test_extreme_entries_leave_placement_and_frames_working(n_slots, cold_s, number):
    """Guards against values within the bounds that later code stumbles on."""
    node = Node("10.0.0.1", [SENDER])
    entry = node.balancer.registry.backends["b0"].entry._replace(
        n_slots=n_slots, cold_s=cold_s, sequence=number, started_ms=number
    )
    now = 1.0
    for name in ("b0", "b1", "i" * MAX_NAME_LENGTH):
        extreme = entry._replace(name=name, data_centre="z" * MAX_NAME_LENGTH)
        node.balancer.registry.apply_entry(extreme, now, "test")
    placed = [node.balancer.submit(build_job(now), now) for _ in range(6)]
    assert sum(isinstance(one, Placement) for one in placed) >= 3
    for backend in node.balancer.registry.backends.values():
        node.balancer.mark_leaving(backend)
        node.balancer.record_rate_limit(backend, 0.5, now)
    for _ in range(200):
        now += 0.01
        for _, data in node.exchange.tick(now):
            frame = decode_frame(data)
            assert encode_frame(frame) == data
    assert node.balancer.dispatch_queued(now) is not None


ODD_STREAMS = [
    None,
    7,
    [7, "v1"],
    [7, 5, [[1, 1000]]],
    [-1, "v1", [[1, 1000]]],
    [2**32, "v1", [[1, 1000]]],
    [7, "x" * 1000, [[1, 1000]]],
    [7, "v1", [[-1, 1000]]],
    [7, "v1", [["a", 1000]]],
    [7, "v1", [[1, -5]]],
    [7, "v1", [[1, 0.5]]],
    [7, "v1", [[1, 2**60]]],
    [7, "v1", [[1]]],
]


@pytest.mark.parametrize("odd", ODD_STREAMS, ids=str)
def test_odd_streams_are_left_out_and_the_others_hold(odd):
    """Guards against an origin of a stream that no forwarder can have meant."""
    sound = [7, "v1", [(2**64 - 1, 14_000)]]
    frame = decode_frame(encode(build_values() | {"streams": [odd, sound]}))
    assert [list(found) for found in frame.streams] == [sound]


@pytest.mark.parametrize("odd", [None, -1, 0.5, "a", []])
def test_odd_questions_are_left_out(odd):
    """Guards against a question of a peer that stops the exchange."""
    frame = decode_frame(encode(build_values() | {"stream_questions": [odd, 5]}))
    assert frame.stream_questions == [5]
