"""Client for the platform's key-value store."""

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

# Prefixes of the keys that operators and backend servers publish.
PREFIXES = ("op/", "servers/")
# Long-poll timeout of a watch, milliseconds. It bounds the time until an unresponsive
# connection is detected.
WATCH_TIMEOUT_MS = 1000
READ_TIMEOUT_S = 1.0
WATCH_TIMEOUT_MARGIN_S = 0.6
MAX_PAGES = 1000


class ItemDocument(msgspec.Struct):
    """An item or its removal."""

    key: str
    revision: int
    value: str = ""
    removed: bool = False


class RangeDocument(msgspec.Struct):
    """A page of items. ``current_rev`` is the revision of the store."""

    items: list[ItemDocument]
    current_rev: int
    more_pages: bool = False


class WatchDocument(msgspec.Struct):
    """Changes since a revision."""

    events: list[ItemDocument]
    current_rev: int


_RANGE = msgspec.json.Decoder(RangeDocument)
_WATCH = msgspec.json.Decoder(WatchDocument)


class StoreSource(BaseSource):
    """Reads items and their changes from the platform's store.

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
        # The first watch returns changes between the two reads again.
        return Changes(items, min(revisions), is_full=True)

    async def list_prefix(self, prefix):
        """Return all items with a prefix, and the store revision at the first page."""
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
        query = {"prefix": "", "after": revision, "wait_ms": WATCH_TIMEOUT_MS}
        timeout_s = WATCH_TIMEOUT_MS / 1000 + WATCH_TIMEOUT_MARGIN_S
        page = await self.read("/kv-watch", query, _WATCH, timeout_s)
        items = [convert_item(item) for item in page.events]
        return Changes(items, page.current_rev, is_full=False)

    async def read(self, path, query, decoder, timeout_s):
        """Return the decoded response to a request.

        :raises HistoryLostError: if the store no longer has the requested changes.
        :raises SourceError: if there is no valid response.
        """
        try:
            target = f"{path}?{urlencode(query)}"
            response = await self.client.fetch(target, timeout_s)
        except FetchError as error:
            raise SourceError(error.detail) from error
        if response.status == 410:
            raise HistoryLostError(
                "changes since this revision are no longer available"
            )
        if response.status != 200:
            raise SourceError(f"unexpected status {response.status}")
        try:
            return decoder.decode(response.body)
        except (msgspec.DecodeError, binascii.Error) as error:
            raise SourceError(f"malformed response: {error}") from error


def convert_item(document):
    """Convert a document to an :class:`Item`."""
    if document.removed:
        return Item(document.key, None, document.revision)
    try:
        value = base64.b64decode(document.value, validate=True)
    except binascii.Error:
        # An empty value makes the decoder report the item with its key.
        value = b""
    return Item(document.key, value, document.revision)
