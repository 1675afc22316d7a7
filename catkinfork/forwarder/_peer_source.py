"""State that forwarders hand to each other while one of them cannot read the store."""

import msgspec

from catkinfork.forwarding import AdminResponse, FetchError
from catkinfork.topology import BaseSource, Changes, Item, SourceError

STATE_PATH = "/state"
READ_TIMEOUT_S = 0.8


class StateDocument(msgspec.Struct, array_like=True):
    """Published items as one forwarder knows them."""

    revision: int
    items: list[tuple[str, bytes, int]]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(StateDocument)


def answer_state(state):
    """Return the items of a :class:`TopologyState` as an :class:`AdminResponse`."""
    items = [(item.key, item.value, item.revision) for item in state.items.values()]
    document = StateDocument(state.revision, items)
    return AdminResponse(200, b"application/msgpack", _ENCODER.encode(document))


class PeerSource(BaseSource):
    """State of one peer.

    :param client: :class:`HttpClient` for the peer's control address.
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
            raise SourceError(f"unreadable state: {error}") from error
        items = [Item(*fields) for fields in document.items]
        return Changes(items, document.revision, is_full=True)

    async def wait(self, revision):
        return await self.list_all()
