"""A sample of the operator's document, for tests of its check."""

import json
from copy import deepcopy

KEY = "secret-key-of-a"
_SAMPLE = {
    "version": 12,
    "routes": [
        {
            "name": "chat",
            "host": "assistant.example",
            "prefix": "/chat/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "aim_ms": 400,
            "gap_target_ms": 300,
            "max_attempts": 2,
            "priority": 1,
            "sticky": True,
            "resumable": True,
            "traffic_split": [
                {"service": "assistant", "weight": 3},
                {"service": "trial", "weight": 1.5},
            ],
        },
        {
            "name": "read",
            "host": "site.example",
            "prefix": "/read/",
            "kind": "safe",
            "timeout_ms": 600,
            "aim_ms": 145,
            "service": "ledger",
            "max_attempts": 2,
            "public": False,
        },
    ],
    "services": [
        {
            "name": "assistant",
            "health_path": "/healthz",
            "max_connections": 96,
            "protocol": "h1",
            "tls": False,
            "cold_s": 6.5,
            "cold_per_s": 3,
            "engine": {"slots": 64, "kv_capacity": 689345, "kv_bytes": 2048},
        },
        {"name": "trial", "engine": {"slots": 8, "kv_capacity": 1000}},
        {"name": "ledger", "engine": None},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
        "tokens_per_s": 907.5,
    },
    "tenants": [
        {"name": "a", "api_keys": [KEY], "priority": 0},
        {"name": "b", "api_keys": ["secret-key-of-b"]},
    ],
}


class JsonText(str):
    """JSON text of a value, which is written as it is."""

    __slots__ = ()


class Fields(tuple):
    """Names and values of a JSON object, which may have a name more than once."""

    __slots__ = ()


def make_document(**changes):
    """Return a document without findings, with changed fields."""
    return deepcopy(_SAMPLE) | changes


def change_document(document, path, value):
    """Set the value at a path; ``...`` removes it."""
    *parents, last = path
    for step in parents:
        document = document[step]
    if value is ...:
        del document[last]
    else:
        document[last] = value


def write_json(value):
    """Return JSON text with the values of :class:`JsonText` and :class:`Fields`."""
    if isinstance(value, JsonText):
        return str(value)
    if isinstance(value, dict | Fields):
        pairs = value.items() if isinstance(value, dict) else value
        texts = (f"{json.dumps(name)}: {write_json(item)}" for name, item in pairs)
        return "{" + ", ".join(texts) + "}"
    if isinstance(value, list):
        return "[" + ", ".join(map(write_json, value)) + "]"
    return json.dumps(value)


def encode_document(document):
    """Return the bytes of a document."""
    return write_json(document).encode("utf-8", "surrogatepass")
