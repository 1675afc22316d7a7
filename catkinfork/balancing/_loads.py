"""Load of backend servers, summed over all forwarders."""

from typing import NamedTuple

from catkinfork.balancing._prefixes import PrefixCache


class LoadFigures(NamedTuple):
    """Load from one forwarder at a backend server.

    :param n_in_flight: requests in flight.
    :param n_pending_tokens: uncached prompt tokens of requests without a first event.
    :param n_memory_tokens: prompt and expected output tokens of the requests in flight.
    """

    n_in_flight: int = 0
    n_pending_tokens: int = 0
    n_memory_tokens: int = 0


NO_LOAD = LoadFigures()


class BackendLoad:
    """Load of one backend server from this forwarder and its peers.

    :param n_memory_tokens: engine memory in tokens, 0 for a plain backend server.
    """

    __slots__ = (
        "n_in_flight",
        "n_memory_tokens",
        "n_peers_in_flight",
        "n_peers_memory_tokens",
        "n_peers_pending_tokens",
        "n_pending_tokens",
        "peers",
        "prefixes",
    )

    def __init__(self, n_memory_tokens):
        self.n_in_flight = 0
        self.n_pending_tokens = 0
        self.n_memory_tokens = 0
        self.peers = {}
        self.n_peers_in_flight = 0
        self.n_peers_pending_tokens = 0
        self.n_peers_memory_tokens = 0
        self.prefixes = PrefixCache(n_memory_tokens)

    @property
    def own_load(self):
        """Return the load from this forwarder."""
        return LoadFigures(
            self.n_in_flight, self.n_pending_tokens, self.n_memory_tokens
        )

    @property
    def n_all_in_flight(self):
        """Return the requests in flight of all forwarders."""
        return self.n_in_flight + self.n_peers_in_flight

    @property
    def n_all_pending_tokens(self):
        """Return the pending prompt tokens of all forwarders."""
        return self.n_pending_tokens + self.n_peers_pending_tokens

    @property
    def n_all_memory_tokens(self):
        """Return the engine memory that requests of all forwarders use or will use."""
        return self.n_memory_tokens + self.n_peers_memory_tokens

    def set_peer_load(self, peer, figures):
        """Replace the load from a peer.

        :param peer: address of the peer.
        :param figures: :class:`LoadFigures`; without requests in flight, the peer is
            removed.
        """
        before = self.peers.pop(peer, NO_LOAD)
        if figures.n_in_flight:
            self.peers[peer] = figures
        else:
            figures = NO_LOAD
        self.n_peers_in_flight += figures.n_in_flight - before.n_in_flight
        self.n_peers_pending_tokens += (
            figures.n_pending_tokens - before.n_pending_tokens
        )
        self.n_peers_memory_tokens += figures.n_memory_tokens - before.n_memory_tokens

    def add_attempt(self, job, n_missing_tokens):
        """Add an attempt of this forwarder."""
        self.n_in_flight += 1
        self.n_pending_tokens += n_missing_tokens
        self.n_memory_tokens += job.n_prompt_tokens + job.n_output_tokens
        if job.parts:
            self.prefixes.record_use(job.parts)

    def record_first_event(self, placement):
        """Record the first event of an attempt; its prompt is no longer pending."""
        if not placement.has_first_event:
            placement.has_first_event = True
            self.n_pending_tokens -= placement.n_missing_tokens

    def remove_attempt(self, placement):
        """Remove an attempt of this forwarder."""
        self.record_first_event(placement)
        self.n_in_flight -= 1
        job = placement.job
        self.n_memory_tokens -= job.n_prompt_tokens + job.n_output_tokens
