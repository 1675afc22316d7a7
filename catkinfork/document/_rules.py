"""Allowed values of the document's fields."""

import json
import re
from ipaddress import ip_address
from typing import Any, NamedTuple

from catkinfork.document._types import (
    ENGINE,
    IN_SERVICE,
    LOST,
    OUT,
    SERVICE,
    BackendServer,
    DataCentre,
    Document,
    Pool,
    Workspace,
)

# The version travels in msgpack integers and in JSON, where larger integers lose
# digits in readers that use doubles.
MAX_VERSION = 2**53 - 1
MAX_SHOWN_CHARACTERS = 60
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", re.ASCII)
_TARGET = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}", re.ASCII)
_DIGEST = re.compile(r"[0-9a-f]{64}", re.ASCII)
_ADDRESS = re.compile(r"(\[[^\]]+\]|[0-9.]+):([1-9][0-9]{0,4})", re.ASCII)
_MAX_PORT = 65535


class Whole(NamedTuple):
    """A whole number between two bounds, both included."""

    minimum: int
    maximum: int

    @property
    def allowed(self):
        return f"whole number from {self.minimum} to {self.maximum}"

    def accepts(self, value):
        is_whole = isinstance(value, int) and not isinstance(value, bool)
        return is_whole and self.minimum <= value <= self.maximum


class Number(NamedTuple):
    """A number between two bounds, both included."""

    minimum: float
    maximum: float

    @property
    def allowed(self):
        return f"number from {self.minimum} to {self.maximum}"

    def accepts(self, value):
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        return is_number and self.minimum <= value <= self.maximum


class Text(NamedTuple):
    """A text that matches a pattern as a whole.

    :param is_hidden: whether faults leave out the value, because it may be a secret.
    """

    pattern: re.Pattern
    allowed: str
    is_hidden: bool = False

    def accepts(self, value):
        return isinstance(value, str) and self.pattern.fullmatch(value) is not None


class Choice(NamedTuple):
    """One of a few words."""

    words: tuple[str, ...]

    @property
    def allowed(self):
        return " or ".join(self.words)

    def accepts(self, value):
        return isinstance(value, str) and value in self.words


class Flag(NamedTuple):
    """True or false."""

    allowed: str = "true or false"

    def accepts(self, value):
        return isinstance(value, bool)


class Address(NamedTuple):
    """An IP number of a host and a port, in the usual short form.

    Addresses are compared as text across the fleet, so only one form is allowed.
    """

    allowed: str = "IP number and port, as in 10.0.0.5:7100 or [fd00::5]:7100"

    def accepts(self, value):
        match = _ADDRESS.fullmatch(value) if isinstance(value, str) else None
        if match is None or int(match[2]) > _MAX_PORT:
            return False
        host = match[1].strip("[]")
        try:
            number = ip_address(host)
        except ValueError:
            return False
        if (number.version == 6) != match[1].startswith("["):
            return False
        is_host = not (number.is_unspecified or number.is_multicast)
        return is_host and str(number) == host


class ListOf(NamedTuple):
    """A list of values or of records.

    :param item: rule of a value, or the ``NamedTuple`` type of a record.
    :param minimum: least number of entries.
    """

    item: Any
    minimum: int = 0

    @property
    def allowed(self):
        return f"list of at least {self.minimum}" if self.minimum else "list"

    def accepts(self, value):
        return isinstance(value, list) and len(value) >= self.minimum


NAME = Text(_NAME, "1 to 63 letters, digits, '.', '_' or '-', a letter or digit first")
TARGET = Text(
    _TARGET,
    "1 to 127 letters, digits, '.', '_', ':', '/' or '-', a letter or digit first",
)
# A caller's key that is pasted in place of its digest must not show up in logs.
DIGEST = Text(_DIGEST, "SHA-256 digest as 64 lower-case hex digits", is_hidden=True)

RULES = {
    Document: {
        "environment": NAME,
        "version": Whole(1, MAX_VERSION),
        "region": NAME,
        "workspaces": ListOf(Workspace),
        "data_centres": ListOf(DataCentre),
        "pools": ListOf(Pool),
        "backend_servers": ListOf(BackendServer),
    },
    Workspace: {
        "name": NAME,
        "share": Number(0.001, 1000000),
        "key_digests": ListOf(DIGEST),
        "max_waiting": Whole(1, 100000),
    },
    DataCentre: {"name": NAME, "state": Choice((IN_SERVICE, OUT))},
    Pool: {
        "name": NAME,
        "kind": Choice((ENGINE, SERVICE)),
        "max_cost": Whole(1, 1000000000),
    },
    BackendServer: {
        "name": NAME,
        "data_centre": NAME,
        "pool": NAME,
        "agent": Address(),
        "serves": ListOf(TARGET, minimum=1),
        "max_places": Whole(1, 10000),
        "checks_fence": Flag(),
        "state": Choice((IN_SERVICE, OUT, LOST)),
    },
}


def describe_value(value, is_hidden=False):
    """Return a JSON value as short text for a fault.

    :param is_hidden: whether to leave out the content of a text.
    """
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if is_hidden:
        is_text = isinstance(value, str)
        return f"a text of {len(value)} characters" if is_text else "a value"
    text = json.dumps(value)
    if len(text) > MAX_SHOWN_CHARACTERS:
        return text[:MAX_SHOWN_CHARACTERS] + "..."
    return text
