"""Bytes that other writers left in the store, and what the decoder makes of them."""

import json

import pytest

from catkinfork.platform import PlatformDecoder
from catkinfork.platform.tests.standins import build_config
from catkinfork.platform.tests.test_documents import ENTRY
from catkinfork.topology import EntryItem, EvacuationItem, Item, UnreadableItem

DEPTH = 100_000
NESTED = "[" * DEPTH + "]" * DEPTH
NESTED_OBJECT = '{"a":' * DEPTH + "1" + "}" * DEPTH


def encode(document, **fields):
    """Return a document as JSON, with further fields given as JSON."""
    added = "".join(f',"{name}":{value}' for name, value in fields.items())
    return (json.dumps(document)[:-1] + added + "}").encode()


def decode(key, value):
    """Decode one item."""
    return PlatformDecoder().decode(Item(key, value, 1))


ODD_BYTES = {
    "empty": b"",
    "space": b" ",
    "null": b"null",
    "scalar": b"7",
    "text": b'"ready"',
    "array": b"[]",
    "empty object": b"{}",
    "binary": bytes(range(256)),
    "nested array": NESTED.encode(),
    "open array": b"[" * DEPTH,
    "nested object": NESTED_OBJECT.encode(),
    "open object": b'{"a":' * DEPTH,
}


def list_odd_bytes(document):
    """Return bytes that are no valid form of a document, by name."""
    data = encode(document)
    return ODD_BYTES | {
        "cut": data[:-5],
        "more after the end": data + b"{}",
        "invalid UTF-8": data[:-1] + b',"version":"\xff"}',
        "byte order mark": b"\xef\xbb\xbf" + data,
        "UTF-16": data.decode().encode("utf-16"),
        "nested unknown field": encode(document, other=NESTED),
        "nested unknown object": encode(document, other=NESTED_OBJECT),
        "nested field": encode(document, version=NESTED),
        "huge integer": encode(document, version="1" * 100_000),
        "not a number": encode(document, version="NaN"),
        "too large a number": encode(document, version="1e999"),
    }


@pytest.mark.parametrize("name", list_odd_bytes(ENTRY))
def test_odd_bytes_are_no_entry(name):
    """Guards against bytes that end the process, such as deeply nested ones."""
    decoded = decode("servers/i-1", list_odd_bytes(ENTRY)[name])
    assert isinstance(decoded, UnreadableItem)
    assert decoded.name == "i-1"


@pytest.mark.parametrize("name", list_odd_bytes(ENTRY))
def test_odd_bytes_are_no_configuration(name):
    """Guards against bytes that end the process, or replace what is in force."""
    decoded = decode("op/config", list_odd_bytes(build_config(7))[name])
    assert isinstance(decoded, UnreadableItem)
    assert decoded.name == ""


@pytest.mark.parametrize("name", ODD_BYTES)
def test_value_of_an_evacuation_is_not_read(name):
    """Guards against an evacuation that is ignored; only its key says something."""
    decoded = decode("op/evacuate/gasabo", ODD_BYTES[name])
    assert decoded == EvacuationItem("gasabo", True)


@pytest.mark.parametrize(
    "value",
    [
        encode(ENTRY, other='{"a": [1, {"b": null}]}'),
        encode(ENTRY, other="1" * 300),
        encode(ENTRY, other="1e300"),
        encode(ENTRY, slots="6"),
        b" \n" + encode(ENTRY) + b"\n",
    ],
)
def test_fields_of_newer_backends_are_ignored(value):
    """Guards against a check that rejects what newer software adds to an entry."""
    assert isinstance(decode("servers/i-1", value), EntryItem)
