"""Choice of the routers that act as dispatchers of a pool."""

from typing import NamedTuple

# The second takes over if the first fails, and also serves processes whose view of
# liveness differs.
N_DISPATCHERS = 2
# One more than the dispatchers, so that the liveness of the next candidate is known.
N_PROBED = 3


class DispatcherChoice(NamedTuple):
    """Dispatchers of a pool in the view of one process.

    :param chosen: live routers in rendezvous order, at most two.
    :param probed: routers whose liveness the process must know. Their number grows
        with that of the dead routers ranked first, not with that of all routers.
    """

    chosen: list[str]
    probed: list[str]


def choose_dispatchers(ranked, live, dead):
    """Choose the dispatchers of a pool.

    :param ranked: internal addresses of the listed routers, in the pool's order.
    :param live: those of them that may act as dispatcher.
    :param dead: those of them that are known to be unresponsive.
    :returns: :class:`DispatcherChoice`.
    """
    chosen = [address for address in ranked if address in live][:N_DISPATCHERS]
    return DispatcherChoice(chosen, list_probed(ranked, dead))


def list_probed(ranked, dead):
    """Return the shortest prefix of a ranking with three routers not known dead.

    Dead routers in the prefix are probed too, so that their recovery is detected.
    """
    n_candidates = 0
    for position, address in enumerate(ranked):
        n_candidates += address not in dead
        if n_candidates == N_PROBED:
            return ranked[: position + 1]
    return ranked
