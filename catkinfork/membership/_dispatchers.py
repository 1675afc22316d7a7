"""Which routers act as dispatchers of a pool."""

from typing import NamedTuple

# The second takes over when the first dies, and meets processes whose views differ.
N_DISPATCHERS = 2
# One more than the dispatchers, so that the next one is known to be live or not.
N_PROBED = 3


class DispatcherChoice(NamedTuple):
    """Dispatchers of a pool as one process sees them.

    :param chosen: live routers in rendezvous order, at most two.
    :param probed: routers whose liveness the process must know. Their number grows
        with that of the dead ones ranked first, not with that of the routers.
    """

    chosen: list[str]
    probed: list[str]


def choose_dispatchers(ranked, live, dead):
    """Choose the dispatchers of a pool.

    :param ranked: inner addresses of the listed routers, in the pool's order.
    :param live: those of them that may act as dispatcher.
    :param dead: those of them that are known not to answer.
    :returns: :class:`DispatcherChoice`.
    """
    chosen = [address for address in ranked if address in live][:N_DISPATCHERS]
    return DispatcherChoice(chosen, list_probed(ranked, dead))


def list_probed(ranked, dead):
    """Return the first routers of a ranking, with three that are not known dead.

    Dead ones among them are probed as well, so that their return is noticed.
    """
    n_candidates = 0
    for position, address in enumerate(ranked):
        n_candidates += address not in dead
        if n_candidates == N_PROBED:
            return ranked[: position + 1]
    return ranked
