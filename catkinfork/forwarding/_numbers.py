"""Numbers in headers, which callers and backend servers may choose freely."""

import re

DECIMAL_PATTERN = re.compile(rb"^(\d+)(\.\d+)?$")
# Digits of the longest number that is converted; longer ones count as the maximum.
MAX_DIGITS = 18
MAX_NUMBER = 10**MAX_DIGITS
MAX_EVENT_ID_DIGITS = 100
# Tokens of one request or prompt part; sums of them fit into the frames to the peers.
MAX_TOKENS = 1 << 31
PART_NAME_MASK = (1 << 64) - 1


def parse_number(value, maximum=MAX_NUMBER):
    """Return a decimal number, at most the maximum, or None if it is malformed.

    :param value: digits, as bytes.
    """
    digits = value.strip()
    if not digits.isdigit():
        return None
    if len(digits) > MAX_DIGITS:
        return maximum
    return min(maximum, int(digits))


def parse_decimal(value):
    """Return a number with an optional fraction, or None if it is malformed.

    Signs, exponents and dates are not allowed.

    :param value: header, as bytes.
    """
    match = DECIMAL_PATTERN.match(value.strip())
    if match is None:
        return None
    whole, fraction = match.groups()
    if len(whole) > MAX_DIGITS:
        return float(MAX_NUMBER)
    return float(whole + (fraction or b"")[: MAX_DIGITS + 1])


def parse_event_number(value):
    """Return the number in an event id, or None if the id is no number.

    :param value: event id, as bytes.
    """
    is_number = value.isdigit() and len(value) <= MAX_EVENT_ID_DIGITS
    return int(value) if is_number else None


def parse_part_name(value):
    """Return the lowest 64 bits of the id of a prompt part.

    :param value: hexadecimal digits, as bytes.
    :raises ValueError: if it is malformed.
    """
    return int(value, 16) & PART_NAME_MASK
