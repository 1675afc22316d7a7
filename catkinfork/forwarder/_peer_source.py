"""Topology state of peers, used while the store cannot be read."""

import msgspec

from catkinfork.forwarding import AdminResponse, FetchError
from catkinfork.topology import BaseSource, Changes, Item, SourceError

STATE_PATH = "/state"
READ_TIMEOUT_S = 0.8


class StateDocument(msgspec.Struct, array_like=True):
    """Items of the store as known to one forwarder."""

    revision: int
    items: list[tuple[str, bytes, int]]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StateDocument)


def build_state_response(state):
    """Return the items of a :class:`TopologyState` as an :class:`AdminResponse`."""
    items = [(item.key, item.value, item.revision) for item in state.items.values()]
    document = StateDocument(state.revision, items)
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
        return Changes(items, document.revision, is_full=True)

    async def wait(self, revision):
        return await self.list_all()
