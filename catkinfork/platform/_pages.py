"""Pages of the store: items with their revisions, of which some may be odd."""

import base64
import re
from typing import Annotated, Generic, TypeVar

import msgspec

from catkinfork.forwarding import BaseBodyReader
from catkinfork.platform._documents import CONFIGURATION_KEY, MAX_ENTRY_BYTES
from catkinfork.topology import MAX_INTEGER, Item

# Length of the text of the largest value that is read of an entry, in base64.
MAX_ENTRY_TEXT = 4 * (MAX_ENTRY_BYTES // 3 + 1)
# Size of an item from which on its value is only read if it is the configuration.
LARGE_ITEM_BYTES = MAX_ENTRY_TEXT + 4096
# Largest item of a long page, bytes.
MAX_ITEM_BYTES = 16 << 20
# Errors of a response that cannot be decoded. A nested one exceeds the recursion limit.
MALFORMED = (msgspec.DecodeError, RecursionError)

# An item is an object, which may hold others: the depth of them that is read in a long
# page. All repetitions are possessive, so that a part of an item is scanned once.
MAX_DEPTH = 4
STRING = rb'"[^"\\]*+(?:\\.[^"\\]*+)*+"'


def build_value_pattern(depth):
    """Return the pattern of an object or a list, with others inside."""
    inside = rb'[^{}\[\]"]++|' + STRING
    if depth > 1:
        inside += b"|" + build_value_pattern(depth - 1)
    return rb"[{\[](?:" + inside + rb")*+[}\]]"


ITEM = re.compile(build_value_pattern(MAX_DEPTH), re.DOTALL)
SCALAR = re.compile(rb'(?:[^{}\[\],"\s]++|' + STRING + rb")(?=[\s,\]])", re.DOTALL)
SEPARATOR = re.compile(rb"[\s,]*+")

Revision = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
ItemType = TypeVar("ItemType")


class ItemDocument(msgspec.Struct):
    """An item or its removal."""

    key: str
    revision: Revision
    value: str = ""
    removed: bool = False
    created: Revision = 0


class ValuelessDocument(msgspec.Struct):
    """An item whose value nobody reads."""

    key: str
    revision: Revision
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
    :param field: name of the list of items.
    """

    def __init__(self, document_type, field):
        self.strict = msgspec.json.Decoder(document_type[ItemDocument])
        self.lenient = msgspec.json.Decoder(document_type[msgspec.Raw])
        self.begin = re.compile(rb'"%b"\s*:\s*\[' % field.encode())

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


class PageReader(BaseBodyReader):
    """Reads a page; the items of a long one while it arrives.

    A watch returns all changes since a revision, however many or large they are. What
    nobody reads of them is dropped item by item.

    :param decoder: :class:`PageDecoder`.
    :param on_items: callable that takes the head of the response and the :class:`Item`
        entries that have arrived, and returns whether they are settled, or None.

    ``items`` has the items read so far that are not settled, and ``odd_items`` the keys
    of those that count as written at the revision of the page, known at its end.
    """

    def __init__(self, decoder, on_items=None):
        self.decoder = decoder
        self.on_items = on_items
        self.buffer = bytearray()
        self.begin = b""
        self.items = []
        self.odd_items = []
        self.is_in_items = False
        self.is_at_end = False
        self.is_long = False

    def read_part(self, head, data):
        """Take the next part of a long page.

        :raises ValueError: if an item exceeds the limit, or is nested too deeply.
        """
        self.is_long = True
        self.buffer += data
        if self.is_at_end or not self.find_begin():
            return
        # Any item ends with a bracket, and a large value has none.
        if b"}" in data or b"]" in data:
            self.split()
        if len(self.buffer) > MAX_ITEM_BYTES:
            raise ValueError(f"an item of a page exceeds {MAX_ITEM_BYTES} bytes")
        if self.on_items is not None and self.on_items(head, self.items):
            self.items = []

    def find_begin(self):
        """Find the begin of the list of items, and return whether it was found."""
        if self.is_in_items:
            return True
        found = self.decoder.begin.search(self.buffer)
        if found is None:
            return False
        end = found.end()
        # A search result holds the buffer, which could not be changed.
        del found
        self.begin = bytes(self.buffer[:end])
        del self.buffer[:end]
        self.is_in_items = True
        return True

    def split(self):
        """Read all items that the buffer holds as a whole."""
        data = bytes(self.buffer)
        end = 0
        while True:
            end = SEPARATOR.match(data, end).end()
            if data[end : end + 1] == b"]":
                self.is_at_end = True
                break
            found = ITEM.match(data, end) or SCALAR.match(data, end)
            if found is None:
                break
            self.read_item(found[0])
            end = found.end()
        del self.buffer[:end]

    def read_item(self, raw):
        """Read one item."""
        item = decode_item(raw, None)
        if item is None:
            return
        if item.revision is None:
            self.odd_items.append(item.key)
        else:
            self.items.append(convert_item(item))

    def finish(self, body):
        """Return the page with its :class:`Item` entries.

        :param body: the whole body, if it was not long.
        :raises MALFORMED: if the page cannot be read.
        """
        if not self.is_long:
            page = self.decoder.decode(body)
            page.items = [convert_item(item) for item in page.items]
            return page
        page = self.decoder.decode(self.begin + bytes(self.buffer))
        odd = [Item(key, b"", page.current_rev) for key in self.odd_items]
        page.items = self.items + odd
        return page


def decode_item(raw, revision):
    """Return an item of a page, without its value if it cannot be read, or None.

    :param raw: the item as JSON.
    :param revision: revision of the page, or None if it is not known yet.
    """
    try:
        if len(raw) > LARGE_ITEM_BYTES:
            item = msgspec.json.decode(raw, type=ValuelessDocument)
            if item.key != CONFIGURATION_KEY:
                return ItemDocument(
                    item.key, item.revision, "", item.removed, item.created
                )
        return msgspec.json.decode(raw, type=ItemDocument)
    except MALFORMED:
        pass
    try:
        key = msgspec.json.decode(raw, type=KeyDocument).key
    except MALFORMED:
        return None
    return ItemDocument(key, revision)


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
