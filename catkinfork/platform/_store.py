"""Client for the platform's key-value store."""

from math import inf
from typing import NamedTuple
from urllib.parse import urlencode

from catkinfork.forwarding import FetchError, FetchTimeoutError, SecondRequest
from catkinfork.observability import log_event
from catkinfork.platform._documents import ENTRY_PREFIX
from catkinfork.platform._pages import (
    MALFORMED,
    PageDecoder,
    PageReader,
    RangeDocument,
    WatchDocument,
)
from catkinfork.topology import (
    CONNECTION_REPLACED,
    ERA_IGNORED,
    MAX_ERA,
    BaseSource,
    Changes,
    EraChangedError,
    HistoryLostError,
    PartialList,
    PastEntries,
    SourceError,
    SourceTimeoutError,
)

# Prefixes of the keys that operators and backend servers publish.
OPERATOR_PREFIX = "op/"
PREFIXES = (OPERATOR_PREFIX, ENTRY_PREFIX)
# Long-poll timeout of a watch, milliseconds. It bounds the time until an unresponsive
# connection is detected.
WATCH_TIMEOUT_MS = 1000
READ_TIMEOUT_S = 1.0
# Timeout of a watch that is to return at once, milliseconds, and of its response.
CHECK_WAIT_MS = 1
CHECK_TIMEOUT_S = 0.5
WATCH_TIMEOUT_MARGIN_S = 0.6
# Time beyond that of a watch after which a connection without an answer counts as
# silent, and a new one is tried, seconds.
SILENCE_S = 0.3
# Time for which the store keeps its history, seconds.
HISTORY_S = 20.0
# Counts the restores of the store from a copy.
ERA_HEADER = b"store-era"
MAX_ERA_DIGITS = len(str(MAX_ERA))


class Page(NamedTuple):
    """A page of a list.

    :param items: :class:`Item` entries.
    :param revision: revision of the store.
    :param era: era of the store in which it was read.
    """

    items: list
    revision: int
    era: int


_RANGE = PageDecoder(RangeDocument, "items")
_WATCH = PageDecoder(WatchDocument, "events")


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
            pages += await self.list_pages(prefix, self.on_long_read)
        if any(page.era != self.era for page in pages):
            raise EraChangedError("the era of the store has changed between two pages")
        for page in pages:
            items += page.items
        # The first watch returns changes between the reads again.
        revision = min(page.revision for page in pages)
        return Changes(items, revision, is_full=True, era=self.era)

    async def list_pages(self, prefix, on_page=None):
        """Return the :class:`Page` entries of all items with a prefix.

        Each page is converted before the next one is read, as they may be large.

        :param on_page: callable that is called before each further page, or None.
        :raises SourceError: if the pages do not come to an end.
        """
        pages = []
        after = ""
        while True:
            query = {"prefix": prefix}
            if after:
                query["after"] = after
            reader = PageReader(_RANGE)
            document = await self.read("/kv-range", query, reader, READ_TIMEOUT_S)
            items = document.items
            pages.append(Page(items, document.current_rev, self.era))
            if not document.more_pages:
                return pages
            if not items or items[-1].key <= after:
                raise SourceError("a page of the list does not go on after the last")
            after = items[-1].key
            if on_page is not None:
                on_page()

    async def wait(self, revision):
        timeout_s = WATCH_TIMEOUT_MS / 1000 + WATCH_TIMEOUT_MARGIN_S
        return await self.watch(
            revision, WATCH_TIMEOUT_MS, timeout_s, on_items=self.hand_on
        )

    async def read_changes(self, revision):
        return await self.watch(revision, CHECK_WAIT_MS, CHECK_TIMEOUT_S)

    async def retry(self, revision):
        return await self.watch(
            revision, CHECK_WAIT_MS, READ_TIMEOUT_S, on_items=self.hand_on
        )

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

    async def watch(self, revision, wait_ms, timeout_s, prefix="", on_items=None):
        """Return the :class:`Changes` after a revision.

        :param wait_ms: time for which the store waits for a change, milliseconds.
        :param timeout_s: time for which the response is awaited, seconds.
        :param prefix: prefix of the keys.
        :param on_items: callable that takes the head and items of a long response.
        """
        era = self.era
        query = {"prefix": prefix, "after": revision, "wait_ms": wait_ms}
        reader = PageReader(_WATCH, on_items)
        page = await self.read("/kv-watch", query, reader, timeout_s, wait_ms=wait_ms)
        if self.era != era:
            raise EraChangedError("the era of the store has changed during a watch")
        return Changes(page.items, page.current_rev, is_full=False, era=era)

    def hand_on(self, head, items):
        """Hand on items of a long watch, unless they may be of another era.

        :returns: whether they were applied.
        """
        self.on_long_read()
        stated = head.find_header(ERA_HEADER) or b""
        if stated.strip() != b"%d" % self.era:
            return False
        return self.on_items(items, self.era)

    async def read_operator_items(self):
        """Return all items of the operator, and the prefix of their keys."""
        era = self.era
        pages = await self.list_pages(OPERATOR_PREFIX)
        if self.era != era:
            raise EraChangedError("the era of the store has changed between two pages")
        items = [item for page in pages for item in page.items]
        revision = min(page.revision for page in pages)
        return PartialList(OPERATOR_PREFIX, items, revision, era)

    async def read(self, path, query, reader, timeout_s, wait_ms=0):
        """Return the page in the response to a request.

        If the connection stays silent, a new one is asked for what is there now.

        :param reader: :class:`PageReader`.
        :param wait_ms: time for which the store may wait, milliseconds.
        :raises HistoryLostError: if the store no longer has the requested changes.
        :raises SourceError: if there is no valid response.
        """
        try:
            target = f"{path}?{urlencode(query)}"
            now_query = query | {"wait_ms": CHECK_WAIT_MS} if wait_ms else query
            second = SecondRequest(
                wait_ms / 1000 + SILENCE_S, f"{path}?{urlencode(now_query)}"
            )
            response = await self.client.fetch(target, timeout_s, reader, second)
        except FetchTimeoutError as error:
            raise SourceTimeoutError(error.detail) from error
        except FetchError as error:
            raise SourceError(error.detail) from error
        if response.is_second:
            self.log_replaced(second.silence_s)
        self.record_era(response.head.find_header(ERA_HEADER))
        if response.status == 410:
            raise HistoryLostError(
                "changes since this revision are no longer available"
            )
        if response.status != 200:
            raise SourceError(f"unexpected status {response.status}")
        try:
            return reader.finish(response.body)
        except MALFORMED as error:
            raise SourceError(f"malformed response: {error}") from error

    def log_replaced(self, silence_s):
        """Log that a silent connection was replaced."""
        self.write_log(
            log_event(CONNECTION_REPLACED, source=self.name, silence_s=silence_s)
        )

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
