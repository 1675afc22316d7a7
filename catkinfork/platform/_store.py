"""Reading of the platform's store."""

import base64
import binascii
from urllib.parse import urlencode

import msgspec

from catkinfork.forwarding import FetchError
from catkinfork.topology import (
    BaseSource,
    Changes,
    HistoryLostError,
    Item,
    SourceError,
)

# The store keeps what operators and backend servers publish under these prefixes.
PREFIXES = ("op/", "servers/")
# Time for which the store holds a watch without events, milliseconds. It bounds how
# long a connection that has gone silent goes unnoticed.
WATCH_MS = 1000
READ_TIMEOUT_S = 1.0
WATCH_MARGIN_S = 0.6
MAX_PAGES = 1000


class ItemDocument(msgspec.Struct):
    """An item, or its removal."""

    key: str
    revision: int
    value: str = ""
    removed: bool = False


class RangeDocument(msgspec.Struct):
    """A page of items. ``current_rev`` is the store's revision."""

    items: list[ItemDocument]
    current_rev: int
    more_pages: bool = False


class WatchDocument(msgspec.Struct):
    """Changes after a revision."""

    events: list[ItemDocument]
    current_rev: int


_RANGE = msgspec.json.Decoder(RangeDocument)
_WATCH = msgspec.json.Decoder(WatchDocument)


class StoreSource(BaseSource):
    """The platform's store.

    :param client: :class:`HttpClient`.
    """

    name = "store"

    def __init__(self, client):
        self.client = client

    async def list_all(self):
        items = []
        revisions = []
        for prefix in PREFIXES:
            found, revision = await self.list_prefix(prefix)
            items += found
            revisions.append(revision)
        # Changes between the two lists come again with the first watch.
        return Changes(items, min(revisions), is_full=True)

    async def list_prefix(self, prefix):
        """Return all items of a prefix, and the revision of the first page."""
        items = []
        revision = None
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            page = await self.read("/kv-range", query, _RANGE, READ_TIMEOUT_S)
            items += [convert_item(item) for item in page.items]
            revision = page.current_rev if revision is None else revision
            if not page.more_pages or not page.items:
                break
            after = page.items[-1].key
        return items, revision

    async def wait(self, revision):
        query = {"prefix": "", "after": revision, "wait_ms": WATCH_MS}
        timeout_s = WATCH_MS / 1000 + WATCH_MARGIN_S
        page = await self.read("/kv-watch", query, _WATCH, timeout_s)
        items = [convert_item(item) for item in page.events]
        return Changes(items, page.current_rev, is_full=False)

    async def read(self, path, query, decoder, timeout_s):
        """Return the decoded response to a call."""
        try:
            target = f"{path}?{urlencode(query)}"
            response = await self.client.fetch(target, timeout_s)
        except FetchError as error:
            raise SourceError(error.detail) from error
        if response.status == 410:
            raise HistoryLostError("history is gone")
        if response.status != 200:
            raise SourceError(f"status {response.status}")
        try:
            return decoder.decode(response.body)
        except (msgspec.DecodeError, binascii.Error) as error:
            raise SourceError(f"unreadable response: {error}") from error


def convert_item(document):
    """Return an item in the product's type."""
    if document.removed:
        return Item(document.key, None, document.revision)
    try:
        value = base64.b64decode(document.value, validate=True)
    except binascii.Error:
        # Kept as it is: the decoder reports it with its key.
        value = b""
    return Item(document.key, value, document.revision)
