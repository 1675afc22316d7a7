"""Which backend server runs the requests of an idempotency key."""

from catkinfork.membership import rank_candidates


def rank_key_servers(view, workspace, key, pool, target):
    """Rank the backend servers that may run a key, those out of service included.

    :param view: :class:`DocumentView`.
    :param workspace: workspace name.
    :param key: idempotency key.
    :param pool: pool name.
    :param target: model or service name.
    :returns: list of names, first choice first.
    """
    candidates = view.list_key_servers(pool, target)
    return rank_candidates(workspace + "\n" + key, candidates)


def find_acting_owner(view, workspace, key, pool, target):
    """Return the first ranked server that is in service, empty for none."""
    for name in rank_key_servers(view, workspace, key, pool, target):
        if view.is_in_service(name):
            return name
    return ""
