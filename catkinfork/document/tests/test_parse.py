"""Parsing: every fault is listed with its place, and nothing invalid passes."""

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

# Path, value put there (... removes it), place of the fault, part of its detail.
FAULTS = [
    (("environment",), ..., "environment", "missing"),
    (("environment",), "", "environment", "1 to 63"),
    (("environment",), "a\n", "environment", "1 to 63"),
    (("version",), 0, "version", "0 is not allowed, expected whole number from 1"),
    (("version",), 2**53, "version", "from 1 to 9007199254740991"),
    (("version",), True, "version", "true is not allowed"),
    (("version",), 1.0, "version", "whole number"),
    (("version",), "12", "version", '"12" is not allowed'),
    (("workspaces",), {}, "workspaces", "an object is not allowed, expected list"),
    (("workspaces", 0), [], "workspaces[0]", "a list of 0 is not allowed"),
    (("extra",), 1, "extra", "unknown key, expected one of environment, version"),
    ((*WORKSPACE, "shares"), 1, "workspaces[0].shares", "unknown key"),
    ((*WORKSPACE, "share"), 0, "workspaces[0].share", "from 0.001 to 1000000"),
    ((*WORKSPACE, "max_waiting"), 0, "workspaces[0].max_waiting", "from 1 to 100000"),
    ((*WORKSPACE, "name"), "tours", "workspaces[1].name", "used twice, first in"),
    (
        (*WORKSPACE, "key_digests"),
        ["A" * 64],
        "workspaces[0].key_digests[0]",
        "64 lower-case hex digits",
    ),
    (
        (*WORKSPACE, "key_digests"),
        ["c" * 64],
        "workspaces[1].key_digests[1]",
        "used twice, first in workspaces[0].key_digests[0]",
    ),
    (
        ("data_centres", 0, "state"),
        "lost",
        "data_centres[0].state",
        "in_service or out",
    ),
    (("data_centres", 0, "name"), "kicukiro", "data_centres[1].name", "used twice"),
    (("pools", 0, "kind"), "other", "pools[0].kind", "engine or service"),
    (("pools", 0, "max_cost"), None, "pools[0].max_cost", "null is not allowed"),
    (("pools", 0, "name"), "ledger", "pools[1].name", "used twice"),
    ((*SERVER, "pool"), "x", "backend_servers[0].pool", '"x" is not defined in pools'),
    ((*SERVER, "data_centre"), "x", "backend_servers[0].data_centre", "not defined in"),
    ((*SERVER, "name"), "ledger-1", "backend_servers[1].name", "used twice"),
    ((*SERVER, "agent"), "host:7100", "backend_servers[0].agent", "IP number and port"),
    (
        (*SERVER, "agent"),
        "10.0.0.5:0",
        "backend_servers[0].agent",
        "IP number and port",
    ),
    ((*SERVER, "agent"), "10.0.0.5:70000", "backend_servers[0].agent", "IP number"),
    ((*SERVER, "agent"), "10.0.0.256:1", "backend_servers[0].agent", "IP number"),
    ((*SERVER, "agent"), "0.0.0.0:1", "backend_servers[0].agent", "IP number"),
    ((*SERVER, "agent"), "fd00::5:1", "backend_servers[0].agent", "IP number"),
    ((*SERVER, "agent"), "[fd00::05]:1", "backend_servers[0].agent", "IP number"),
    ((*SECOND, "agent"), "10.0.0.5:7100", "backend_servers[1].agent", "used twice"),
    ((*SERVER, "serves"), [], "backend_servers[0].serves", "list of at least 1"),
    ((*SERVER, "serves"), ["a", "a"], "backend_servers[0].serves[1]", "used twice"),
    ((*SERVER, "serves"), ["a b"], "backend_servers[0].serves[0]", "1 to 127"),
    (
        (*SERVER, "serves"),
        ["ledger"],
        "backend_servers[1].serves[0]",
        "served in pools",
    ),
    ((*SECOND, "serves"), ["a/b"], "backend_servers[1].serves[0]", "for a service"),
    ((*SERVER, "max_places"), -1, "backend_servers[0].max_places", "from 1 to 10000"),
    ((*SERVER, "checks_fence"), 0, "backend_servers[0].checks_fence", "true or false"),
    (
        (*SERVER, "state"),
        "off",
        "backend_servers[0].state",
        "in_service or out or lost",
    ),
]


def list_faults(document):
    return parse_document(encode_document(document)).err() or []


def test_valid_document_is_read():
    """Guards against a document in the published form being refused."""
    view = parse_document(encode_document(make_document())).ok()
    assert view.identity[0] == 12
    assert view.workspaces["tours"].max_waiting == 200
    assert view.workspace_of_key["c" * 64] == "tours"
    assert view.pool_of_target["org/contract-draft:2"] == "assistant"
    assert view.is_in_service("ledger-1")


@pytest.mark.parametrize(("path", "value", "place", "detail"), FAULTS)
def test_fault_has_place_value_and_range(path, value, place, detail):
    """Guards against a fault that is missed or is reported elsewhere."""
    document = make_document()
    change_document(document, path, value)
    faults = [fault for fault in list_faults(document) if fault.place == place]
    assert len(faults) == 1
    assert detail in faults[0].detail


def test_all_faults_are_listed_at_once():
    """Guards against faults that show only after others were corrected."""
    document = make_document()
    places = [
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
    places += ["backend_servers[1].pool", "backend_servers[1].agent"]
    assert [fault.place for fault in list_faults(document)] == places


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
def test_content_that_is_no_document(content, detail):
    """Guards against a crash, or a silent choice, on content of the wrong form."""
    faults = parse_document(content).err()
    assert any(fault.place == "" and detail in fault.detail for fault in faults)


def test_caller_key_in_place_of_digest_is_not_shown():
    """Guards against a caller's key in logs when its digest was forgotten."""
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
            below for key, child in items for below in list_paths(child, (*path, key))
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
