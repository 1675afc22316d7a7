"""The state of a peer with odd values, which is read while the store fails."""

import asyncio
import math

import anyio
import msgspec
import pytest

from catkinfork.forwarder._peer_source import (
    PeerSource,
    PeerSources,
    build_state_response,
)
from catkinfork.forwarding import FetchedResponse, ResponseHead
from catkinfork.peering import PeerDirectory
from catkinfork.platform import PlatformDecoder
from catkinfork.platform.tests.test_odd_entries import ODD_CASES, encode_entry
from catkinfork.topology import (
    MAX_INTEGER,
    BackendRegistry,
    Changes,
    Item,
    SourceError,
    TopologyState,
)

SOUND = ["servers/i-1", encode_entry(), 4]
DEPARTURE = ["i-9", 1000, 7]


class Client:
    """HTTP client with a fixed response."""

    address = "10.0.0.2:8785"

    def __init__(self, body):
        self.body = body

    async def fetch(self, target, timeout_s, second):
        """Return the response."""
        return FetchedResponse(ResponseHead(200, b"", (), 0, "length"), self.body)


def read(document):
    """Return the changes that are read from a peer."""
    data = document if isinstance(document, bytes) else msgspec.msgpack.encode(document)
    return anyio.run(PeerSource(Client(data)).list_all)


def build_state(events):
    """Return a new state with the decoder of the platform."""
    registry = BackendRegistry(events.append)
    return TopologyState(registry, PlatformDecoder(), lambda _: None, events.append)


@pytest.mark.parametrize(
    "odd",
    [
        None,
        7,
        "x",
        [],
        {},
        ["servers/i-2", b"x"],
        ["servers/i-2", None, 5],
        ["servers/i-2", "x", 5],
        ["servers/i-2", b"x", -1],
        ["servers/i-2", b"x", 2**63],
        ["servers/i-2", b"x", 1.5],
        ["servers/i-2", b"x", math.nan],
        [7, b"x", 5],
        [b"\xff", b"x", 5],
    ],
    ids=str,
)
def test_odd_item_of_a_peer_is_left_out(odd):
    """Guards against a state that cannot be used for one item, or not be handed on."""
    changes = read([9, [odd, SOUND, odd], 1, [DEPARTURE]])
    assert [item.key for item in changes.items] == ["servers/i-1"]
    assert [tuple(departure) for departure in changes.departed] == [("i-9", 1000, 7)]


@pytest.mark.parametrize(
    "odd",
    [None, ["i-9", 1, -1], ["i-9", 2**63, 1], ["i-9", 1.5, 1], [7, 1, 1], ["i-9"], []],
    ids=str,
)
def test_odd_departure_of_a_peer_is_left_out(odd):
    """Guards against a departure that outlasts all starts of a backend server."""
    changes = read([9, [SOUND], 1, [odd, DEPARTURE, odd]])
    assert len(changes.items) == 1
    assert [tuple(departure) for departure in changes.departed] == [("i-9", 1000, 7)]


@pytest.mark.parametrize(
    "document",
    [
        b"",
        b"\xc1",
        b"\x91" * 100_000 + b"\xc0",
        b"<html>",
        [],
        {},
        [9],
        [-1, []],
        [2**63, []],
        [1.5, []],
        [9, None],
        [9, [], -1],
        [9, [], 10**18],
        [9, [], 2**64 - 1],
    ],
    ids=lambda document: str(document)[:20],
)
def test_odd_state_of_a_peer_is_a_failure_of_the_source(document):
    """Guards against an era or revision that the store never reaches, and failures."""
    with pytest.raises(SourceError):
        read(document)


def test_odd_entries_are_handed_on_without_harm():
    """Guards against odd entries that a peer cannot be told, or that it stumbles on."""
    events = []
    items = [
        Item(f"servers/odd-{number}", encode_entry(**dict([case.values])), 2)
        for number, case in enumerate(ODD_CASES)
    ]
    sound = [
        Item(f"servers/i-{number}", encode_entry(born=str(number)), 3)
        for number in (0, MAX_INTEGER)
    ]
    first = build_state(events)
    first.apply(Changes([*items, *sound], 3, is_full=True), "store", 0.0, 0.0)
    assert len(first.registry.list_ready("ledger")) == 2
    gone = Item(f"servers/i-{MAX_INTEGER}", None, 4)
    first.apply(Changes([gone], 4, is_full=False), "store", 1.0, 1.0)
    changes = read(build_state_response(first).body)
    second = build_state(events)
    second.apply(changes, "peer", 0.0, 0.0)
    assert [one.name for one in second.registry.list_ready("ledger")] == ["i-0"]
    assert changes.departed == tuple(first.registry.departed.values())
    names = {event.event.name for event in events}
    assert names == {"backend_added", "backend_leaving", "entry_ignored"}


@pytest.mark.parametrize("address", ["10.0.0.2", "::1"])
def test_peer_of_any_address_has_a_source(address):
    """Guards against an address that cannot be read, which ended the process."""

    async def main():
        loop = asyncio.get_running_loop()
        directory = PeerDirectory("10.0.0.1", [address], loop.time())
        peer = directory.peers[address]
        peer.heard_at = loop.time()
        peer.version = 7
        sources = PeerSources(directory, 8785, loop)
        source = sources.find_newer_configuration(1)
        assert source.client.pool.port == 8785
        assert source.client.pool.host == address

    anyio.run(main)
