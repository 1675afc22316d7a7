"""A sample document for tests."""

from copy import deepcopy

import msgspec

_SAMPLE = {
    "environment": "production",
    "version": 12,
    "region": "rw-central",
    "workspaces": [
        {"name": "dealers", "share": 3, "key_digests": ["a" * 64], "max_waiting": 200},
        {"name": "tours", "share": 1.5, "key_digests": ["b" * 64, "c" * 64]},
    ],
    "data_centres": [
        {"name": "gasabo", "state": "in_service"},
        {"name": "kicukiro"},
    ],
    "pools": [
        {"name": "assistant", "kind": "engine", "max_cost": 20000},
        {"name": "ledger", "kind": "service", "max_cost": 5000},
    ],
    "backend_servers": [
        {
            "name": "runner-1",
            "data_centre": "gasabo",
            "pool": "assistant",
            "agent": "10.0.0.5:7100",
            "serves": ["org/contract-draft:2"],
            "max_places": 8,
            "checks_fence": False,
            "state": "in_service",
        },
        {
            "name": "ledger-1",
            "data_centre": "kicukiro",
            "pool": "ledger",
            "agent": "[fd00::5]:7100",
            "serves": ["ledger"],
            "max_places": 4,
        },
    ],
}


def make_document():
    """Return a copy of a valid document as JSON values."""
    return deepcopy(_SAMPLE)


def encode_document(document):
    """Encode a document as JSON."""
    return msgspec.json.encode(document)


def change_document(document, path, value):
    """Set the value at a path of keys and indices; ``...`` removes it."""
    *parents, last = path
    for key in parents:
        document = document[key]
    if value is ...:
        del document[last]
    else:
        document[last] = value
