"""Client for the platform's key-value store."""

import base64
import binascii
from typing import NamedTuple
from urllib.parse import urlencode

import msgspec

from catkinfork.forwarding import FetchError
from catkinfork.observability import log_event
from catkinfork.topology import (
    ERA_IGNORED,
    BaseSource,
    Changes,
    EraChangedError,
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
# Counts the restores of the store from a copy.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = 18


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


class Page(NamedTuple):
    """A page of a list.

    :param era: era of the store in which it was read.
    """

    document: RangeDocument
    era: int


_RANGE = msgspec.json.Decoder(RangeDocument)
_WATCH = msgspec.json.Decoder(WatchDocument)


class StoreSource(BaseSource):
    """Reads items and their changes from the platform's store.

    :param client: :class:`HttpClient`.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    name = "store"

    def __init__(self, client, write_log):
        self.client = client
        self.write_log = write_log
        self.era = 0
        self.is_era_valid = True

    async def list_all(self):
        items = []
        pages = []
        for prefix in PREFIXES:
            pages += await self.list_pages(prefix)
        if any(page.era != self.era for page in pages):
            raise EraChangedError("the era of the store has changed between two pages")
        for page in pages:
            items += [convert_item(item) for item in page.document.items]
        # The first watch returns changes between the reads again.
        revision = min(page.document.current_rev for page in pages)
        return Changes(items, revision, is_full=True, era=self.era)

    async def list_pages(self, prefix):
        """Return the :class:`Page` entries of all items with a prefix."""
        pages = []
        after = ""
        for _ in range(MAX_PAGES):
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            document = await self.read("/kv-range", query, _RANGE, READ_TIMEOUT_S)
            pages.append(Page(document, self.era))
            if not document.more_pages or not document.items:
                break
            after = document.items[-1].key
        return pages

    async def wait(self, revision):
        era = self.era
        query = {"prefix": "", "after": revision, "wait_ms": WATCH_TIMEOUT_MS}
        timeout_s = WATCH_TIMEOUT_MS / 1000 + WATCH_TIMEOUT_MARGIN_S
        page = await self.read("/kv-watch", query, _WATCH, timeout_s)
        if self.era != era:
            raise EraChangedError("the era of the store has changed during a watch")
        items = [convert_item(item) for item in page.events]
        return Changes(items, page.current_rev, is_full=False, era=era)

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
        self.record_era(response.head.find_header(ERA_HEADER))
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

    def record_era(self, value):
        """Record the era that an answer states, whatever its status.

        An answer without a valid era counts as one of the era known so far: the next
        valid one shows whether a new era has begun.

        :param value: value of the header, or None.
        :raises SourceError: if the era is older than the known one.
        """
        stated = (value or b"").strip()
        if not stated.isdigit() or len(stated) > MAX_ERA_DIGITS:
            if value is not None or self.era:
                self.log_invalid_era(value, "absent or not a number")
            return
        if int(stated) < self.era:
            self.log_invalid_era(value, "older than the known era")
            raise SourceError("answer of an older era")
        self.era = int(stated)
        self.is_era_valid = True

    def log_invalid_era(self, value, detail):
        """Log the first of several answers without a valid era."""
        if not self.is_era_valid:
            return
        self.is_era_valid = False
        stated = (value or b"")[:MAX_ERA_DIGITS].decode("latin-1")
        self.write_log(
            log_event(ERA_IGNORED, value=stated, era=self.era, detail=detail)
        )


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
