"""Pages of the store with odd items, from the response to the decoded items."""

import base64
import json

import anyio
import pytest

from catkinfork.platform import PlatformDecoder
from catkinfork.platform.tests.test_documents import ENTRY, build_response, build_source
from catkinfork.platform.tests.test_odd_documents import NESTED, NESTED_OBJECT
from catkinfork.topology import (
    MAX_INTEGER,
    EntryItem,
    Item,
    SourceError,
    UnreadableItem,
)

VALUE = json.dumps(base64.b64encode(json.dumps(ENTRY).encode()).decode())
SOUND = f'{{"key":"servers/i-1","revision":4,"lease":0,"value":{VALUE}}}'
# Fields of the item servers/i-2, as JSON.
ODD_FIELDS = {
    "value is a number": '"revision":5,"value":7',
    "value is null": '"revision":5,"value":null',
    "value is nested": '"revision":5,"value":' + "[" * 500 + "]" * 500,
    "value is no base64": '"revision":5,"value":"not base64!"',
    "value is not padded": '"revision":5,"value":"YWI"',
    "value is not ASCII": '"revision":5,"value":"\\u00fc"',
    "value has a line break": '"revision":5,"value":"YW\\nJj"',
    "value is a URL-safe form": '"revision":5,"value":"__--"',
    "value is a megabyte": '"revision":5,"value":"' + "A" * 1_000_000 + '"',
    "revision is a text": f'"revision":"5","value":{VALUE}',
    "revision is a fraction": f'"revision":5.5,"value":{VALUE}',
    "revision is negative": f'"revision":-5,"value":{VALUE}',
    "revision is absent": f'"value":{VALUE}',
    "revision is null": f'"revision":null,"value":{VALUE}',
    "revision is beyond 64 bit": f'"revision":{2**64},"value":{VALUE}',
    "revision has many digits": f'"revision":{"1" * 5000},"value":{VALUE}',
    "revision is too large a number": f'"revision":1e999,"value":{VALUE}',
    "removal is a number": f'"revision":5,"removed":7,"value":{VALUE}',
}
# Items without a key that can be read.
ODD_ITEMS = ["null", "7", "[]", "{}", '{"key":7,"revision":5}', '{"key":null}']


def read(*items, field="items", current_rev="9"):
    """Return the items of a page, as the source reads it."""
    body = f'{{"{field}":[{",".join(items)}],"current_rev":{current_rev}}}'
    source, _ = build_source(build_response(200, body.encode()))
    if field == "items":
        # Keys of both prefixes are listed in the same page here.
        return anyio.run(source.list_all).items[: len(items)]
    return anyio.run(source.wait, 1).items


@pytest.mark.parametrize("field", ["items", "events"])
@pytest.mark.parametrize("name", ODD_FIELDS)
def test_odd_item_names_no_backend_and_the_others_hold(name, field):
    """Guards against a page that cannot be used for one odd item."""
    odd = f'{{"key":"servers/i-2",{ODD_FIELDS[name]}}}'
    items = read(SOUND, odd, SOUND.replace("i-1", "i-3"), field=field)
    assert [item.key for item in items] == ["servers/i-1", "servers/i-2", "servers/i-3"]
    first, second, third = [PlatformDecoder().decode(item) for item in items]
    assert isinstance(first, EntryItem)
    assert isinstance(second, UnreadableItem)
    assert second.name == "i-2"
    assert isinstance(third, EntryItem)
    assert all(0 <= item.revision <= MAX_INTEGER for item in items)


@pytest.mark.parametrize("odd", ODD_ITEMS)
def test_item_without_a_key_is_left_out(odd):
    """Guards against a page that cannot be used for an item that is none."""
    (item,) = read(odd, SOUND, odd)[:1]
    assert item == Item("servers/i-1", json.dumps(ENTRY).encode(), 4)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"null",
        b"[]",
        NESTED.encode(),
        NESTED_OBJECT.encode(),
        b'{"items":null,"current_rev":9}',
        b'{"items":[],"events":[]}',
        b'{"items":[],"events":[],"current_rev":-1}',
        b'{"items":[],"events":[],"current_rev":%d}' % 2**64,
        b'{"items":[],"events":[],"current_rev":1e999}',
        f'{{"items":[],"events":[],"current_rev":9,"x":{NESTED}}}'.encode(),
        f'{{"items":[{NESTED}],"events":[{NESTED}],"current_rev":9}}'.encode(),
    ],
    ids=lambda body: body[:30].decode(),
)
def test_odd_page_is_a_failure_of_the_source(body):
    """Guards against a response of the store that ends the process."""
    source, _ = build_source(build_response(200, body))
    with pytest.raises(SourceError):
        anyio.run(source.list_all)
    with pytest.raises(SourceError):
        anyio.run(source.wait, 1)
