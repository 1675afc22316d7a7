"""Topology state of peers, used while the store cannot be read."""

import msgspec

from catkinfork.forwarding import AdminResponse, FetchError, HttpClient
from catkinfork.topology import (
    BasePeers,
    BaseSource,
    Changes,
    Departure,
    Item,
    SourceError,
)

STATE_PATH = "/state"
READ_TIMEOUT_S = 0.8


class StateDocument(msgspec.Struct, array_like=True):
    """Items of the store as known to one forwarder."""

    revision: int
    items: list[tuple[str, bytes, int]]
    era: int = 0
    departed: list[Departure] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StateDocument)


def build_state_response(state):
    """Return the items of a :class:`TopologyState` as an :class:`AdminResponse`."""
    items = [(item.key, item.value, item.revision) for item in state.items.values()]
    document = StateDocument(
        state.revision, items, state.era, list(state.registry.departed.values())
    )
    return AdminResponse(200, b"application/msgpack", _ENCODER.encode(document))


class PeerSource(BaseSource):
    """Reads the topology state of a peer.

    :param client: :class:`HttpClient` for the control address of the peer.
    """

    def __init__(self, client):
        self.client = client
        self.name = f"peer {client.address}"

    async def list_all(self):
        try:
            response = await self.client.fetch(STATE_PATH, READ_TIMEOUT_S)
            document = _DECODER.decode(response.body)
        except FetchError as error:
            raise SourceError(error.detail) from error
        except msgspec.DecodeError as error:
            raise SourceError(f"malformed state: {error}") from error
        items = [Item(*fields) for fields in document.items]
        return Changes(
            items,
            document.revision,
            is_full=True,
            era=document.era,
            departed=tuple(document.departed),
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
        address = f"{peer.address}:{self.control_port}"
        if self.source is None or self.source.client.address != address:
            if self.source is not None:
                self.source.client.close()
            self.source = PeerSource(HttpClient(address, self.loop))
        return self.source
