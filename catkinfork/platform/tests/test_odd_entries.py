"""Values that other writers left in the store, and what the decoder makes of them."""

import json

import pytest

from catkinfork.platform import PlatformDecoder
from catkinfork.platform.tests.test_documents import ENTRY
from catkinfork.platform.tests.test_odd_documents import NESTED
from catkinfork.topology import (
    MAX_DURATION_S,
    MAX_INTEGER,
    MAX_NAME_LENGTH,
    MAX_SLOTS,
    EntryItem,
    Item,
    UnreadableItem,
)

LONG = "x" * (MAX_NAME_LENGTH + 1)

# JSON of values that no field may have. Some are no valid JSON, but lenient writers
# write them.
NEVER = [
    "null",
    "true",
    "[]",
    "{}",
    "[[1]]",
    '{"a": 1}',
    "NaN",
    "Infinity",
    "-Infinity",
    "1e999",
    "-1e999",
    "-1",
    "-1e300",
    "1" * 5000,
    "-" + "1" * 5000,
    "9" * 400,
    str(2**64),
    str(-(2**63) - 1),
    '"\\ud800"',
    '"\\u0000"',
    NESTED,
    '""',
]
# JSON of further values by field.
TEXT = [
    "7",
    '"a\\r\\nx-other: 1"',
    '"a\\u0000b"',
    '"a\\u007fb"',
    '"a\\u0085b"',
    '"a\\u2028b"',
    json.dumps(LONG),
    json.dumps("x" * 1_000_000),
]
WHOLE = ['"6"', '"six"', "1.5", "1e3", str(MAX_INTEGER + 1)]
ADDRESSES = [
    "10.0.0.1",
    "10.0.0.1:",
    ":8000",
    ":",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:-1",
    "10.0.0.1:+80",
    "10.0.0.1:1e3",
    "10.0.0.1: 80",
    "10.0.0.1:80 ",
    "10.0.0.1:8_0",
    "10.0.0.1:0x50",
    "10.0.0.1:\u00b2",
    "10.0.0.1:\u0663",
    "10.0.0.1:" + "1" * 5000,
    "10.0.0.1:" + "0" * 5000 + "80",
    " 10.0.0.1:80",
    "10.0.0.1\r\nx-other: 1:80",
    "a\0b:80",
    "a b:80",
    "a/b:80",
    "user@a:80",
    "http://a:80",
    "a..b:80",
    ".:80",
    "x" * 64 + ":80",
    "x." * 200 + "x:80",
    "b\u00fccher:80",
    "::1:80",
    "[::1:80",
    "[]:80",
    "[nowhere]:80",
    "10.0.0.1:80:80",
    "10.0.0.300:80",
    "10.0.0:80",
]
ODD_VALUES = {
    "service": TEXT,
    "zone": TEXT,
    "version": TEXT,
    "address": TEXT + [json.dumps(address) for address in ADDRESSES],
    "slots": [*WHOLE, "0", str(MAX_SLOTS + 1)],
    "sequence": WHOLE,
    "born": WHOLE,
    "cold_remaining_ms": ['"1"', "1e308", str(int(MAX_DURATION_S * 1000) + 1)],
    "state": ['"resting"', '"READY"', '" ready"', "1", json.dumps(LONG)],
}
VALID_VALUES = {
    "service": ['"ledger"', '"l\\u00e9dger"', json.dumps("x" * MAX_NAME_LENGTH)],
    "zone": ['"gasabo-2"', '"q\\u00fcx"'],
    "version": ['"v1.2+a b"', json.dumps("x" * MAX_NAME_LENGTH)],
    "address": [
        '"127.0.0.1:1"',
        '"10.0.0.1:65535"',
        '"[::1]:80"',
        '"[fe80::1%eth0]:80"',
        '"host:80"',
        '"host-1.example_2:80"',
    ],
    "slots": ["1", str(MAX_SLOTS)],
    "sequence": ["0", str(MAX_INTEGER)],
    "born": ["0", str(MAX_INTEGER)],
    "cold_remaining_ms": ["0", "0.5", "1e3", str(int(MAX_DURATION_S * 1000))],
    "state": ['"ready"', '"draining"'],
}


def encode_entry(**changed):
    """Return an entry as JSON, with fields given as JSON or None to leave them out."""
    fields = {name: json.dumps(value) for name, value in ENTRY.items()} | changed
    parts = [f'"{name}":{value}' for name, value in fields.items() if value is not None]
    return ("{" + ",".join(parts) + "}").encode()


def decode(key, value):
    """Decode one item."""
    return PlatformDecoder().decode(Item(key, value, 1))


def describe(value):
    """Return a short id for a value."""
    return value if len(value) < 30 else f"{value[:12]}({len(value)})"


def list_cases(values):
    """Return the parameters of all values by field."""
    return [
        pytest.param(field, value, id=f"{field}-{describe(value)}")
        for field, listed in values.items()
        for value in listed
    ]


ODD_CASES = list_cases({name: NEVER + listed for name, listed in ODD_VALUES.items()})


@pytest.mark.parametrize(("field", "value"), ODD_CASES)
def test_odd_field_makes_the_entry_unreadable(field, value):
    """Guards against an odd entry that ends the process or names a server to use."""
    decoded = decode("servers/i-1", encode_entry(**{field: value}))
    assert isinstance(decoded, UnreadableItem)
    assert decoded.name == "i-1"
    assert len(decoded.detail) < 400
    assert decoded.detail.isprintable()


@pytest.mark.parametrize("field", [name for name in ENTRY if name != "born"])
def test_absent_field_makes_the_entry_unreadable(field):
    """Guards against a default in place of what a backend server did not say."""
    assert isinstance(
        decode("servers/i-1", encode_entry(**{field: None})), UnreadableItem
    )


@pytest.mark.parametrize(("field", "value"), list_cases(VALID_VALUES))
def test_unusual_but_valid_field_is_taken(field, value):
    """Guards against a check that leaves out a sound backend server."""
    decoded = decode("servers/i-1", encode_entry(**{field: value}))
    assert isinstance(decoded, EntryItem), decoded


@pytest.mark.parametrize(
    "value",
    [
        b" " * 1_000_000 + encode_entry(),
        encode_entry(other='"' + "x" * 1_000_000 + '"'),
        encode_entry()[:-1] + b',"slots":-1}',
    ],
    ids=["space", "text", "repeated field"],
)
def test_odd_entry_is_unreadable(value):
    """Guards against an entry of a megabyte, or one that says two things."""
    decoded = decode("servers/i-1", value)
    assert isinstance(decoded, UnreadableItem)
    assert (decoded.name, decoded.is_entry) == ("i-1", True)
    assert len(decoded.detail) < 400


ODD_NAMES = ["", "a/b", "/", "a b", "a\r\nx-other: 1", "a\0", "\u00fc", "\ud800", LONG]


@pytest.mark.parametrize("value", [encode_entry(), b"{"])
@pytest.mark.parametrize("name", ODD_NAMES)
def test_odd_id_names_no_backend(name, value):
    """Guards against an id that breaks the header in which it is sent."""
    decoded = decode("servers/" + name, value)
    assert isinstance(decoded, UnreadableItem)
    assert decoded.is_entry


@pytest.mark.parametrize("name", ["", "a\nb", LONG, "\ud800"])
def test_odd_data_centre_is_not_evacuated(name):
    """Guards against an evacuation of a data centre that cannot exist."""
    decoded = decode("op/evacuate/" + name, b"{}")
    assert isinstance(decoded, UnreadableItem)
    assert not decoded.name
