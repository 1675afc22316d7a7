"""Parsing: every fault is reported with its path, and no invalid document passes."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from catkinfork.document import MAX_DOCUMENT_BYTES, parse_document
from catkinfork.document.tests.samples import (
    change_document,
    encode_document,
    make_document,
)

SERVER = ("backend_servers", 0)
SECOND = ("backend_servers", 1)
WORKSPACE = ("workspaces", 0)

# Path, value set there (... removes it), part of the fault's detail. The path of the
# fault is the first entry, followed by the fourth or replaced by the fifth.
FAULTS = [
    (("environment",), ..., "missing, expected 1 to 63"),
    (("environment",), "", "1 to 63"),
    (("environment",), "a\n", "1 to 63"),
    (("version",), 0, "0 is not allowed, expected whole number from 1"),
    (("version",), 2**53, "from 1 to 9007199254740991"),
    (("version",), True, "true is not allowed"),
    (("version",), 1.0, "whole number"),
    (("version",), "12", '"12" is not allowed'),
    (("workspaces",), {}, "an object is not allowed, expected list"),
    (("workspaces", 0), [], "a list of 0 is not allowed"),
    (("extra",), 1, "unknown key, expected one of environment, version"),
    ((*WORKSPACE, "shares"), 1, "unknown key"),
    ((*WORKSPACE, "share"), 0, "from 0.001 to 1000000"),
    ((*WORKSPACE, "max_waiting"), 0, "from 1 to 100000"),
    ((*WORKSPACE, "name"), "tours", "used twice", "", "workspaces[1].name"),
    ((*WORKSPACE, "key_digests"), ["A" * 64], "64 lower-case hex digits", "[0]"),
    (
        (*WORKSPACE, "key_digests"),
        ["c" * 64],
        "used twice, first in workspaces[0].key_digests[0]",
        "",
        "workspaces[1].key_digests[1]",
    ),
    (("data_centres", 0, "state"), "lost", "in_service or out"),
    (("data_centres", 0, "name"), "kicukiro", "twice", "", "data_centres[1].name"),
    (("pools", 0, "kind"), "other", "engine or service"),
    (("pools", 0, "max_cost"), None, "null is not allowed"),
    (("pools", 0, "name"), "ledger", "used twice", "", "pools[1].name"),
    ((*SERVER, "pool"), "x", '"x" is not defined in pools'),
    ((*SERVER, "data_centre"), "x", "not defined in data_centres"),
    ((*SERVER, "name"), "ledger-1", "used twice", "", "backend_servers[1].name"),
    *(
        ((*SERVER, "agent"), address, "expected IP number and port")
        for address in (
            *("host:7100", "10.0.0.5:0", "10.0.0.5:70000", "10.0.0.256:1"),
            *("0.0.0.0:1", "fd00::5:1", "[fd00::05]:1", "10.0.0.5", "10.0.0.5:07"),
        )
    ),
    ((*SECOND, "agent"), "10.0.0.5:7100", "used twice"),
    ((*SERVER, "serves"), [], "list of at least 1"),
    ((*SERVER, "serves"), ["a", "a"], "used twice", "[1]"),
    ((*SERVER, "serves"), ["a b"], "1 to 127", "[0]"),
    (
        (*SERVER, "serves"),
        ["ledger"],
        "served in pools assistant and ledger",
        "",
        "backend_servers[1].serves[0]",
    ),
    ((*SECOND, "serves"), ["a/b"], "for a service", "[0]"),
    ((*SERVER, "max_places"), -1, "from 1 to 10000"),
    ((*SERVER, "checks_fence"), 0, "true or false"),
    ((*SERVER, "state"), "off", "in_service or out or lost"),
]


def format_path(keys, suffix="", path=""):
    """Return the path of a fault as it is reported."""
    parts = (f"[{key}]" if isinstance(key, int) else f".{key}" for key in keys)
    return path or "".join(parts).removeprefix(".") + suffix


def list_faults(document):
    return parse_document(encode_document(document)).err() or []


def test_valid_document_is_read():
    """Guards against refusing a valid document."""
    view = parse_document(encode_document(make_document())).ok()
    assert view.identity[0] == 12
    assert view.workspaces["tours"].max_waiting == 200
    assert view.workspace_of_key_digest["c" * 64] == "tours"
    assert view.pool_of_target["org/contract-draft:2"] == "assistant"
    assert view.is_in_service("ledger-1")


@pytest.mark.parametrize("case", FAULTS)
def test_fault_has_path_value_and_range(case):
    """Guards against a fault that is missed or reported with another path."""
    keys, value, detail, *expected = case
    document = make_document()
    change_document(document, keys, value)
    faults = list_faults(document)
    found = [fault for fault in faults if fault.path == format_path(keys, *expected)]
    assert len(found) == 1
    assert detail in found[0].detail


def test_all_faults_are_listed_at_once():
    """Guards against faults that are reported only after others are corrected."""
    document = make_document()
    paths = [
        "region",
        "workspaces[0].share",
        "pools[0].kind",
        "backend_servers[0].name",
    ]
    change_document(document, ("region",), ...)
    change_document(document, ("workspaces", 0, "share"), "3")
    change_document(document, ("pools", 0, "kind"), 1)
    change_document(document, ("backend_servers", 0, "name"), "-")
    change_document(document, ("backend_servers", 1, "agent"), "10.0.0.5:7100")
    change_document(document, ("backend_servers", 1, "pool"), "none")
    paths += ["backend_servers[1].pool", "backend_servers[1].agent"]
    assert [fault.path for fault in list_faults(document)] == paths


@pytest.mark.parametrize(
    ("content", "detail"),
    [
        (b"", "not JSON"),
        (b"{", "not JSON"),
        (b"\xff\xfe", "not JSON"),
        (b'{"version": NaN}', "not JSON"),
        (b'{"version": 1e400}', "not JSON"),
        (b'{"version": ' + b"9" * 5000 + b"}", "not JSON"),
        (b"[" * 100000, "not JSON"),
        (b"[" * 500 + b"]" * 500, "a list of 1 is not allowed, expected an object"),
        (b"[]", "expected an object"),
        (b" " * (MAX_DOCUMENT_BYTES + 1), "1048577 bytes, expected at most 1048576"),
        (
            b'{"pools": [{"name": "a", "kind": 1, "kind": 2}]}',
            'key "kind" appears twice',
        ),
    ],
)
def test_malformed_content_is_reported(content, detail):
    """Guards against an exception, or a duplicate key that is silently dropped."""
    faults = parse_document(content).err()
    assert any(fault.path == "" and detail in fault.detail for fault in faults)


def test_caller_key_in_place_of_digest_is_not_shown():
    """Guards against an API key in logs if it is entered in place of its digest."""
    document = make_document()
    change_document(document, ("workspaces", 0, "key_digests"), ["sk-secret-key"])
    text = " ".join(fault.describe() for fault in list_faults(document))
    assert "a text of 13 characters" in text
    assert "secret" not in text


def list_paths(value, path=()):
    """Return the paths of all values in a document."""
    children = []
    if isinstance(value, (dict, list)):
        items = value.items() if isinstance(value, dict) else enumerate(value)
        children = [
            child_path
            for key, child in items
            for child_path in list_paths(child, (*path, key))
        ]
    return [path, *children] if path else children


JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**70), 2**70) | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@settings(derandomize=True, max_examples=120, deadline=None, database=None)
@given(path=st.sampled_from(list_paths(make_document())), value=JSON)
def test_any_value_anywhere_is_judged(path, value):
    """Guards against values that crash the checks or pass with a wrong type."""
    document = make_document()
    change_document(document, path, value)
    result = parse_document(encode_document(document))
    if result.is_ok():
        plain = msgspec.to_builtins(result.ok().document)
        msgspec.convert(plain, type(result.ok().document), strict=True)
        msgspec.msgpack.encode(result.ok().version)
    else:
        assert all(fault.detail and len(fault.detail) < 400 for fault in result.err())
