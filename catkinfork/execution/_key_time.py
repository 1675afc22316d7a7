"""Creation time of idempotency keys."""

from uuid import UUID

UUID_TEXT_LENGTH = 36
TIME_SHIFT_BITS = 80


def parse_key_time(key):
    """Return the creation time of a time-ordered key.

    :param key: idempotency key.
    :returns: milliseconds since the epoch for a UUID version 7 in the text form of
        RFC 9562, None for any other (opaque) key.
    """
    if len(key) != UUID_TEXT_LENGTH:
        return None
    try:
        value = UUID(key)
    except ValueError:
        return None
    if value.version != 7:
        return None
    return value.int >> TIME_SHIFT_BITS
