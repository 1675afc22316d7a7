"""Checks of values that other writers have published.

Each check returns the value, or raises :class:`InvalidValueError`.
"""

from math import isfinite

# A key of the store has at most 200 bytes, so that no id or data centre is longer.
MAX_NAME_LENGTH = 200
# Largest signed integer of 64 bit, which the messages between forwarders can hold.
MAX_INTEGER = 2**63 - 1
# Largest era of the store, of 18 digits.
MAX_ERA = 10**18 - 1
# Bounds far above what a backend server has: requests at once, and seconds until it is
# warm.
MAX_SLOTS = 1_000_000
MAX_DURATION_S = 86_400.0
# Characters of an error message that quote what another writer has written.
MAX_DETAIL_LENGTH = 200


class InvalidValueError(ValueError):
    """A value of another writer cannot be right.

    :param what: name of the value.
    :param value: the value.
    :param expected: what is expected in its place.
    """

    def __init__(self, what, value, expected):
        super().__init__(f"{what} {limit_detail(repr(value))}: expected {expected}")
        self.what = what


def limit_detail(detail):
    """Return the beginning of a message, without characters that break a line."""
    shown = detail[:MAX_DETAIL_LENGTH]
    return "".join(char if char.isprintable() else "?" for char in shown)


def check_text(value, what):
    """Check a text that is logged or sent: not empty, and on one line."""
    if not 0 < len(value) <= MAX_NAME_LENGTH or not value.isprintable():
        raise InvalidValueError(
            what, value, f"1 to {MAX_NAME_LENGTH} printable characters"
        )
    return value


def check_id(value, what):
    """Check the id of a backend server, which is sent to it in a header."""
    check_text(value, what)
    if not value.isascii() or " " in value or "/" in value:
        raise InvalidValueError(what, value, "ASCII without spaces and slashes")
    return value


def check_integer(value, what, minimum=0, maximum=MAX_INTEGER):
    """Check an integer against its bounds, both included."""
    if not minimum <= value <= maximum:
        raise InvalidValueError(what, value, f"an integer {minimum} to {maximum}")
    return value


def check_number(value, what, maximum=MAX_INTEGER):
    """Check a number that has no negative values."""
    if not isfinite(value) or not 0 <= value <= maximum:
        raise InvalidValueError(what, value, f"a number 0 to {maximum:g}")
    return value
