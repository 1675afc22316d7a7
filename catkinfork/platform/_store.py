"""Client for the platform's key-value store."""

import base64
from math import inf
from typing import Annotated, Generic, NamedTuple, TypeVar
from urllib.parse import urlencode

import msgspec

from catkinfork.forwarding import FetchError, FetchTimeoutError
from catkinfork.observability import log_event
from catkinfork.platform._documents import (
    CONFIGURATION_KEY,
    ENTRY_PREFIX,
    MAX_ENTRY_BYTES,
)
from catkinfork.topology import (
    ERA_IGNORED,
    MAX_ERA,
    MAX_INTEGER,
    BaseSource,
    Changes,
    EraChangedError,
    HistoryLostError,
    Item,
    PastEntries,
    SourceError,
    SourceTimeoutError,
)

# Prefixes of the keys that operators and backend servers publish.
PREFIXES = ("op/", ENTRY_PREFIX)
# Long-poll timeout of a watch, milliseconds. It bounds the time until an unresponsive
# connection is detected.
WATCH_TIMEOUT_MS = 1000
READ_TIMEOUT_S = 1.0
# Timeout of a watch that is to return at once, milliseconds, and of its response.
CHECK_WAIT_MS = 1
CHECK_TIMEOUT_S = 0.5
WATCH_TIMEOUT_MARGIN_S = 0.6
# Time for which the store keeps its history, seconds.
HISTORY_S = 20.0
# Length of the text of the largest value that is read of an entry, in base64.
MAX_ENTRY_TEXT = 4 * (MAX_ENTRY_BYTES // 3 + 1)
# Counts the restores of the store from a copy.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = len(str(MAX_ERA))


# Errors of a response that cannot be decoded. A nested one exceeds the recursion limit.
MALFORMED = (msgspec.DecodeError, RecursionError)

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
ItemType = TypeVar("ItemType")


class ItemDocument(msgspec.Struct):
    """An item or its removal."""

    key: str
    revision: Revision
    value: str = ""
    removed: bool = False
    created: Revision = 0


class KeyDocument(msgspec.Struct):
    """The key of an item whose other fields cannot be read."""

    key: str


class RangeDocument(msgspec.Struct, Generic[ItemType]):
    """A page of items. ``current_rev`` is the revision of the store."""

    items: list[ItemType]
    current_rev: Revision
    more_pages: bool = False


class WatchDocument(msgspec.Struct, Generic[ItemType]):
    """Changes since a revision."""

    current_rev: Revision
    items: list[ItemType] = msgspec.field(name="events")


class PageDecoder:
    """Decodes pages of items, of which some may be odd.

    :param document_type: generic type of the page.
    """

    def __init__(self, document_type):
        self.strict = msgspec.json.Decoder(document_type[ItemDocument])
        self.lenient = msgspec.json.Decoder(document_type[msgspec.Raw])

    def decode(self, body):
        """Return the decoded page.

        An item that cannot be read counts as written at the revision of the page, with
        an empty value; one without a key is left out.

        :raises MALFORMED: if the page cannot be read.
        """
        try:
            return self.strict.decode(body)
        except MALFORMED:
            page = self.lenient.decode(body)
        items = [decode_item(raw, page.current_rev) for raw in page.items]
        page.items = [item for item in items if item is not None]
        return page


def decode_item(raw, revision):
    """Return an item of a page, without its value if it cannot be read, or None.

    :param raw: the item as JSON.
    :param revision: revision of the page.
    """
    try:
        return msgspec.json.decode(raw, type=ItemDocument)
    except MALFORMED:
        pass
    try:
        key = msgspec.json.decode(raw, type=KeyDocument).key
    except MALFORMED:
        return None
    return ItemDocument(key, revision)


class Page(NamedTuple):
    """A page of a list.

    :param items: :class:`Item` entries.
    :param revision: revision of the store.
    :param era: era of the store in which it was read.
    """

    items: list
    revision: int
    era: int


_RANGE = PageDecoder(RangeDocument)
_WATCH = PageDecoder(WatchDocument)


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
            items += page.items
        # The first watch returns changes between the reads again.
        revision = min(page.revision for page in pages)
        return Changes(items, revision, is_full=True, era=self.era)

    async def list_pages(self, prefix):
        """Return the :class:`Page` entries of all items with a prefix.

        Each page is converted before the next one is read, as they may be large.

        :raises SourceError: if the pages do not come to an end.
        """
        pages = []
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            document = await self.read("/kv-range", query, _RANGE, READ_TIMEOUT_S)
            items = [convert_item(item) for item in document.items]
            pages.append(Page(items, document.current_rev, self.era))
            if not document.more_pages:
                return pages
            if not items or items[-1].key <= after:
                raise SourceError("a page of the list does not go on after the last")
            after = items[-1].key

    async def wait(self, revision):
        timeout_s = WATCH_TIMEOUT_MS / 1000 + WATCH_TIMEOUT_MARGIN_S
        return await self.watch(revision, WATCH_TIMEOUT_MS, timeout_s)

    async def read_changes(self, revision):
        return await self.watch(revision, CHECK_WAIT_MS, CHECK_TIMEOUT_S)

    async def retry(self, revision):
        return await self.watch(revision, CHECK_WAIT_MS, READ_TIMEOUT_S)

    async def read_past(self, revision):
        """Return the past entries, from the oldest revision that the store still has.

        The store does not state it: the search halves the range in each step.
        """
        era = self.era
        lost, kept = -1, revision
        after = 0
        items = []
        while kept - lost > 1:
            try:
                changes = await self.watch(
                    after, CHECK_WAIT_MS, CHECK_TIMEOUT_S, ENTRY_PREFIX
                )
                kept, items = after, changes.items
            except HistoryLostError:
                lost = after
            if self.era != era:
                raise EraChangedError("the era of the store has changed meanwhile")
            after = (lost + kept) // 2
        return PastEntries(items, HISTORY_S if kept else inf)

    async def watch(self, revision, wait_ms, timeout_s, prefix=""):
        """Return the :class:`Changes` after a revision.

        :param wait_ms: time for which the store waits for a change, milliseconds.
        :param timeout_s: time for which the response is awaited, seconds.
        :param prefix: prefix of the keys.
        """
        era = self.era
        query = {"prefix": prefix, "after": revision, "wait_ms": wait_ms}
        page = await self.read("/kv-watch", query, _WATCH, timeout_s)
        if self.era != era:
            raise EraChangedError("the era of the store has changed during a watch")
        items = [convert_item(item) for item in page.items]
        return Changes(items, page.current_rev, is_full=False, era=era)

    async def read(self, path, query, decoder, timeout_s):
        """Return the decoded response to a request.

        :raises HistoryLostError: if the store no longer has the requested changes.
        :raises SourceError: if there is no valid response.
        """
        try:
            target = f"{path}?{urlencode(query)}"
            response = await self.client.fetch(target, timeout_s)
        except FetchTimeoutError as error:
            raise SourceTimeoutError(error.detail) from error
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
        except MALFORMED as error:
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
    if len(document.value) > MAX_ENTRY_TEXT and document.key != CONFIGURATION_KEY:
        # Nobody reads a larger value, of which another writer may have written many.
        return Item(document.key, b"", document.revision, document.created)
    try:
        value = base64.b64decode(document.value, validate=True)
    except ValueError:
        # Malformed, or not ASCII. An empty value makes the decoder report the item with
        # its key.
        value = b""
    return Item(document.key, value, document.revision, document.created)
