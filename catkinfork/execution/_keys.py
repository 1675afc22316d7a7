"""Idempotency keys: their age and the servers that may run them."""

from uuid import UUID

from catkinfork.membership import rank_candidates

UUID_TEXT_LENGTH = 36
TIME_SHIFT_BITS = 80


def read_key_time(key):
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


def rank_owners(view, workspace, key, target):
    """Rank the backend servers that may run a key, the owner first.

    Routers and agents must rank alike; servers that are out of service are included,
    lost ones are not.

    :param view: :class:`DocumentView`.
    :param workspace: workspace name.
    :param key: idempotency key.
    :param target: model or service name.
    :returns: list of names of backend servers.
    """
    pool = view.pool_of_target.get(target, "")
    servers = view.list_key_servers(pool, target)
    return rank_candidates(f"{workspace}\x00{key}", servers)


def find_acting_owner(view, owners):
    """Return the highest-ranked server that is in service, or None."""
    return next((name for name in owners if view.is_in_service(name)), None)
