"""Validation rules for the fields of a document."""

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

# Versions are sent in msgpack and in JSON. JSON readers that use doubles lose the
# digits of larger integers.
MAX_VERSION = 2**53 - 1
MAX_EXCERPT_CHARACTERS = 60
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,62}", re.ASCII)
_TARGET = re.compile(r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}", re.ASCII)
_DIGEST = re.compile(r"[0-9a-f]{64}", re.ASCII)
_ADDRESS = re.compile(r"(\[[^\]]+\]|[0-9.]+):([1-9][0-9]{0,4})", re.ASCII)
_MAX_PORT = 65535


class IntegerRange(NamedTuple):
    """An integer between two bounds, both inclusive."""

    minimum: int
    maximum: int

    @property
    def allowed(self):
        return f"whole number from {self.minimum} to {self.maximum}"

    def accepts(self, value):
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        return is_integer and self.minimum <= value <= self.maximum


class NumberRange(NamedTuple):
    """A number between two bounds, both inclusive."""

    minimum: float
    maximum: float

    @property
    def allowed(self):
        return f"number from {self.minimum} to {self.maximum}"

    def accepts(self, value):
        is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
        return is_number and self.minimum <= value <= self.maximum


class MatchingString(NamedTuple):
    """A string that matches a pattern in full.

    :param pattern: compiled pattern.
    :param allowed: description of the allowed values, for faults.
    :param is_secret: whether faults omit the value, because it may be a secret.
    """

    pattern: re.Pattern
    allowed: str
    is_secret: bool = False

    def accepts(self, value):
        return isinstance(value, str) and self.pattern.fullmatch(value) is not None


class Choice(NamedTuple):
    """One of several strings."""

    values: tuple[str, ...]

    @property
    def allowed(self):
        return " or ".join(self.values)

    def accepts(self, value):
        return isinstance(value, str) and value in self.values


class Boolean(NamedTuple):
    """A boolean."""

    allowed: str = "true or false"

    def accepts(self, value):
        return isinstance(value, bool)


class SocketAddress(NamedTuple):
    """The IP address of a host and a port, in canonical form.

    The fleet compares addresses as strings, so only one form is allowed.
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
        is_host_address = not (number.is_unspecified or number.is_multicast)
        return is_host_address and str(number) == host


class ListOf(NamedTuple):
    """A list of values or of records.

    :param item: rule of the values, or the ``NamedTuple`` type of the records.
    :param minimum: least number of entries.
    """

    item: Any
    minimum: int = 0

    @property
    def allowed(self):
        return f"list of at least {self.minimum}" if self.minimum else "list"

    def accepts(self, value):
        return isinstance(value, list) and len(value) >= self.minimum


NAME = MatchingString(
    _NAME, "1 to 63 letters, digits, '.', '_' or '-', a letter or digit first"
)
TARGET = MatchingString(
    _TARGET,
    "1 to 127 letters, digits, '.', '_', ':', '/' or '-', a letter or digit first",
)
# An API key that is entered in place of its digest must not appear in logs.
DIGEST = MatchingString(
    _DIGEST, "SHA-256 digest as 64 lower-case hex digits", is_secret=True
)

RULES = {
    Document: {
        "environment": NAME,
        "version": IntegerRange(1, MAX_VERSION),
        "region": NAME,
        "workspaces": ListOf(Workspace),
        "data_centres": ListOf(DataCentre),
        "pools": ListOf(Pool),
        "backend_servers": ListOf(BackendServer),
    },
    Workspace: {
        "name": NAME,
        "share": NumberRange(0.001, 1000000),
        "key_digests": ListOf(DIGEST),
        "max_waiting": IntegerRange(1, 100000),
    },
    DataCentre: {"name": NAME, "state": Choice((IN_SERVICE, OUT))},
    Pool: {
        "name": NAME,
        "kind": Choice((ENGINE, SERVICE)),
        "max_cost": IntegerRange(1, 1000000000),
    },
    BackendServer: {
        "name": NAME,
        "data_centre": NAME,
        "pool": NAME,
        "agent": SocketAddress(),
        "serves": ListOf(TARGET, minimum=1),
        "max_places": IntegerRange(1, 10000),
        "checks_fence": Boolean(),
        "state": Choice((IN_SERVICE, OUT, LOST)),
    },
}


def describe_value(value, is_secret=False):
    """Return a short description of a JSON value for a fault.

    :param value: decoded JSON value.
    :param is_secret: whether to omit the value.
    """
    if isinstance(value, dict):
        return "an object"
    if isinstance(value, list):
        return f"a list of {len(value)}"
    if is_secret:
        is_string = isinstance(value, str)
        return f"a text of {len(value)} characters" if is_string else "a value"
    text = json.dumps(value)
    if len(text) > MAX_EXCERPT_CHARACTERS:
        return text[:MAX_EXCERPT_CHARACTERS] + "..."
    return text
