"""Reading of JSON text: size, encoding, nesting and duplicate fields."""

import json
import re
from collections import Counter
from typing import NamedTuple

from catkinfork.validation._findings import ERROR, Finding

MAX_CONTENT_BYTES = 10 * 1024 * 1024
# A configuration has 5 levels. The limit keeps a margin to the depth at which decoders
# exceed the recursion limit, which depends on the caller.
MAX_DEPTH = 64
# Field names of other writers are quoted up to this length.
MAX_NAME_LENGTH = 60
ROOT_PATH = "$"
_SURROGATE = re.compile("[\ud800-\udfff]")
_PLAIN_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_]*", re.ASCII)


class UnusableError(Exception):
    """Content that is not a JSON document that can be checked.

    :param detail: cause, on one line.
    """

    def __init__(self, detail):
        super().__init__(detail)
        self.detail = detail


class JsonObject(NamedTuple):
    """A JSON object with all of its fields, including duplicates."""

    pairs: list


def extend_path(path, name):
    """Return the JSON path of a field of an object."""
    if _PLAIN_NAME.fullmatch(name) and len(name) <= MAX_NAME_LENGTH:
        return f"{path}.{name}"
    return f"{path}[{quote_name(name)}]"


def quote_name(name):
    """Return a field name in quotes, with escapes and of limited length."""
    shown = name[:MAX_NAME_LENGTH]
    return json.dumps(shown) + ("..." if len(shown) < len(name) else "")


def check_json(content):
    """Check that content is JSON, and return a finding for each duplicate field.

    :param content: bytes of the JSON text.
    :raises UnusableError: if the content is too large, is not UTF-8 or not JSON, or is
        nested too deeply.
    """
    if len(content) > MAX_CONTENT_BYTES:
        raise UnusableError(f"more than {MAX_CONTENT_BYTES} bytes")
    try:
        text = content.decode("utf-8")
    except UnicodeDecodeError as error:
        detail = f"not UTF-8: {error.reason} (byte {error.start})"
        raise UnusableError(detail) from None
    try:
        # Integers stay strings, as Python limits their number of digits.
        value = json.loads(
            text,
            object_pairs_hook=JsonObject,
            parse_int=str,
            parse_constant=reject_constant,
        )
    except RecursionError:
        raise UnusableError(describe_depth()) from None
    except ValueError as error:
        raise UnusableError(f"not JSON: {error}") from None
    return check_structure(value)


def reject_constant(name):
    """Reject ``NaN`` and the infinities, which Python reads and JSON does not have.

    :raises ValueError: always.
    """
    raise ValueError(f"{name} is not a number in JSON")


def describe_depth():
    """Return the description of content that is nested too deeply."""
    return f"nested more than {MAX_DEPTH} levels deep"


def check_structure(value):
    """Return a finding for each duplicate field of parsed JSON.

    :raises UnusableError: if the value is nested too deeply or has invalid text.
    """
    findings = []
    waiting = [(ROOT_PATH, value, 1)]
    while waiting:
        path, value, depth = waiting.pop()
        if isinstance(value, str):
            check_unicode(path, value)
        if not isinstance(value, JsonObject | list):
            continue
        if depth > MAX_DEPTH:
            raise UnusableError(describe_depth())
        if isinstance(value, JsonObject):
            for name, _ in value.pairs:
                check_unicode(path, name)
            findings += check_duplicates(path, value)
            children = [(extend_path(path, name), item) for name, item in value.pairs]
        else:
            children = [(f"{path}[{i}]", item) for i, item in enumerate(value)]
        waiting += [(where, child, depth + 1) for where, child in reversed(children)]
    return findings


def check_unicode(path, text):
    """Check a text of an escape for half of a character, which decoders reject.

    :raises UnusableError: if it has one.
    """
    if _SURROGATE.search(text):
        raise UnusableError(f"not Unicode: a text of {path} has a lone surrogate")


def check_duplicates(path, value):
    """Return a finding for each field that an object has more than once."""
    counts = Counter(name for name, _ in value.pairs)
    return [
        Finding(
            ERROR,
            extend_path(path, name),
            f"the field appears {count} times in one object; only the last one counts",
        )
        for name, count in counts.items()
        if count > 1
    ]
