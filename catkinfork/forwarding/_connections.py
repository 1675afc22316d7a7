"""Limit of the connections of callers."""

import resource
from math import inf

# Fraction of the descriptors that connections of callers may use; the rest is for
# backend servers, peers, operators and files.
CALLER_SHARE = 0.6
# Fraction of the limit above which responses close the connection of their caller, and
# to which idle connections are closed once the limit is exceeded.
CROWDED_SHARE = 0.7
# Time between two searches for idle connections, seconds.
SEARCH_INTERVAL_S = 0.02


class ConnectionLimit:
    """Bounds the connections that are kept open for callers.

    Load pattern: callers of a flood open a connection for each request and leave it
    open. Within seconds no descriptor is left, and the event loop closes connections
    that it has just accepted, with the requests on them.

    :param n_descriptors: descriptors that the process may open.
    """

    def __init__(self, n_descriptors):
        self.n_max = max(1, int(CALLER_SHARE * n_descriptors))
        self.n_crowded = int(CROWDED_SHARE * self.n_max)
        self.next_search_at = -inf

    def is_crowded(self, n_connections):
        """Return whether callers should open a connection for their next request."""
        return n_connections > self.n_crowded

    def count_excess(self, n_connections, now):
        """Return the number of idle connections to close now.

        :param now: monotonic time, seconds.
        """
        if n_connections <= self.n_max or now < self.next_search_at:
            return 0
        self.next_search_at = now + SEARCH_INTERVAL_S
        return n_connections - self.n_crowded


def count_descriptors():
    """Return the number of descriptors that this process may open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]
