"""Topology state of peers, used while the store cannot be read."""

from typing import Annotated, Generic, NamedTuple, TypeVar

import msgspec

from catkinfork.forwarding import (
    AdminResponse,
    FetchError,
    HttpClient,
    SecondRequest,
)
from catkinfork.topology import (
    MAX_ERA,
    MAX_INTEGER,
    BasePeers,
    BaseSource,
    Changes,
    Departure,
    Item,
    SourceError,
)

STATE_PATH = "/state"
READ_TIMEOUT_S = 0.8
# Time after which a connection without an answer counts as silent, and a new one is
# tried, seconds.
SILENCE_S = 0.3
# Errors of a state that cannot be decoded; a nested one exceeds the recursion limit.
MALFORMED = (msgspec.DecodeError, RecursionError)

Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Era = Annotated[int, msgspec.Meta(ge=0, le=MAX_ERA)]
StateItem = tuple[str, bytes, Integer]
EntryType = TypeVar("EntryType")
DepartureType = TypeVar("DepartureType")


class DepartureDocument(NamedTuple):
    """A :class:`Departure`."""

    name: str
    started_ms: Integer
    sequence: Integer


class StateDocument(msgspec.Struct, Generic[EntryType, DepartureType], array_like=True):
    """Items of the store as known to one forwarder."""

    revision: Integer
    items: list[EntryType]
    era: Era = 0
    departed: list[DepartureType] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StateDocument[StateItem, DepartureDocument])
_LENIENT_DECODER = msgspec.msgpack.Decoder(StateDocument[msgspec.Raw, msgspec.Raw])
_ITEM_DECODER = msgspec.msgpack.Decoder(StateItem)
_DEPARTURE_DECODER = msgspec.msgpack.Decoder(DepartureDocument)


def build_state_response(state):
    """Return the items of a :class:`TopologyState` as an :class:`AdminResponse`."""
    items = [(item.key, item.value, item.revision) for item in state.items.values()]
    document = StateDocument(
        state.revision, items, state.era, list(state.registry.departed.values())
    )
    return AdminResponse(200, b"application/msgpack", _ENCODER.encode(document))


def decode_state(data):
    """Return the :class:`StateDocument` of a peer, without odd items and departures.

    :raises MALFORMED: if the state is malformed as a whole.
    """
    try:
        return _DECODER.decode(data)
    except MALFORMED:
        document = _LENIENT_DECODER.decode(data)
    document.items = decode_valid(document.items, _ITEM_DECODER)
    document.departed = decode_valid(document.departed, _DEPARTURE_DECODER)
    return document


def decode_valid(values, decoder):
    """Return the decoded form of those values that are not malformed."""
    decoded = []
    for value in values:
        try:
            decoded.append(decoder.decode(value))
        except MALFORMED:
            continue
    return decoded


def format_control_address(ip, port):
    """Return the control address of a peer as ``host:port``."""
    return f"[{ip}]:{port}" if ":" in ip else f"{ip}:{port}"


class PeerSource(BaseSource):
    """Reads the topology state of a peer.

    :param client: :class:`HttpClient` for the control address of the peer.
    """

    def __init__(self, client):
        self.client = client
        self.name = f"peer {client.address}"

    async def list_all(self):
        try:
            second = SecondRequest(SILENCE_S, STATE_PATH)
            response = await self.client.fetch(
                STATE_PATH, READ_TIMEOUT_S, second=second
            )
            document = decode_state(response.body)
        except FetchError as error:
            raise SourceError(error.detail) from error
        except MALFORMED as error:
            raise SourceError(f"malformed state: {error}") from error
        items = [Item(*fields) for fields in document.items]
        return Changes(
            items,
            document.revision,
            is_full=True,
            era=document.era,
            departed=tuple(Departure(*fields) for fields in document.departed),
        )

    async def wait(self, revision):
        return await self.list_all()


class PeerSources(BasePeers):
    """Sources of the peers that a :class:`PeerDirectory` lists.

    :param directory: :class:`PeerDirectory`.
    :param control_port: port of the control address at all forwarders.
    :param loop: event loop.
    """

    def __init__(self, directory, control_port, loop):
        self.directory = directory
        self.control_port = control_port
        self.loop = loop
        self.source = None

    def has_any(self):
        return bool(self.directory.peers)

    def count_forwarders(self):
        return self.directory.count_forwarders(self.loop.time())

    def find_newer(self, position):
        peers = self.directory.list_live(self.loop.time())
        newer = [peer for peer in peers if (peer.era, peer.revision) > position]
        return self.open_source(
            max(newer, key=lambda peer: (peer.era, peer.revision), default=None)
        )

    def find_newer_configuration(self, version):
        peers = self.directory.list_live(self.loop.time())
        newer = [peer for peer in peers if peer.version > version]
        return self.open_source(max(newer, key=lambda peer: peer.version, default=None))

    def open_source(self, peer):
        """Return the source of a peer; the last one is kept open."""
        if peer is None:
            return None
        address = format_control_address(peer.address, self.control_port)
        if self.source is None or self.source.client.address != address:
            if self.source is not None:
                self.source.client.close()
            self.source = PeerSource(HttpClient(address, self.loop))
        return self.source
