"""Assignment of idempotency keys to backend servers."""

from catkinfork.membership import rank_candidates


def rank_key_servers(view, workspace, key, target):
    """Rank the backend servers that may own a key, the owner first.

    Routers and agents compute the same ranking. Servers that are out of service are
    included, lost ones are not.

    :param view: :class:`DocumentView`.
    :param workspace: workspace name.
    :param key: idempotency key.
    :param target: model or service name.
    :returns: list of names of backend servers.
    """
    pool = view.pool_of_target.get(target, "")
    candidates = view.list_key_servers(pool, target)
    # A key is a header value and contains no line feed, so the pair is unambiguous.
    return rank_candidates(f"{workspace}\n{key}", candidates)


def find_acting_owner(view, ranked):
    """Return the highest-ranked server that is in service, or None."""
    return next((name for name in ranked if view.is_in_service(name)), None)
