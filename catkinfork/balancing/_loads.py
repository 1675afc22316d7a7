"""Load of each backend server over all forwarders."""

from typing import NamedTuple

from catkinfork.balancing._prefixes import PrefixCache


class LoadFigures(NamedTuple):
    """What one forwarder has in flight at a backend server.

    :param n_in_flight: requests.
    :param n_pending_tokens: prompt tokens of requests that have not begun.
    :param n_memory_tokens: prompt and expected output of all requests in flight.
    """

    n_in_flight: int = 0
    n_pending_tokens: int = 0
    n_memory_tokens: int = 0


NO_LOAD = LoadFigures()


class BackendLoad:
    """Load of one backend server: this forwarder's own and that of its peers.

    :param n_memory_tokens: memory of the engine, 0 for a plain backend server.
    """

    __slots__ = (
        "n_in_flight",
        "n_memory_tokens",
        "n_peers_in_flight",
        "n_peers_memory",
        "n_peers_pending",
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
        self.n_peers_pending = 0
        self.n_peers_memory = 0
        self.prefixes = PrefixCache(n_memory_tokens)

    @property
    def own(self):
        """Return this forwarder's own figures."""
        return LoadFigures(
            self.n_in_flight, self.n_pending_tokens, self.n_memory_tokens
        )

    @property
    def n_all_in_flight(self):
        """Return the requests in flight of all forwarders."""
        return self.n_in_flight + self.n_peers_in_flight

    @property
    def n_all_pending(self):
        """Return the pending prompt tokens of all forwarders."""
        return self.n_pending_tokens + self.n_peers_pending

    @property
    def n_all_memory(self):
        """Return the memory that requests of all forwarders hold or will hold."""
        return self.n_memory_tokens + self.n_peers_memory

    def set_peer(self, peer, figures):
        """Set what a peer has in flight here.

        :param peer: name of the peer.
        :param figures: :class:`LoadFigures`; none in flight drops the peer.
        """
        before = self.peers.pop(peer, NO_LOAD)
        if figures.n_in_flight:
            self.peers[peer] = figures
        else:
            figures = NO_LOAD
        self.n_peers_in_flight += figures.n_in_flight - before.n_in_flight
        self.n_peers_pending += figures.n_pending_tokens - before.n_pending_tokens
        self.n_peers_memory += figures.n_memory_tokens - before.n_memory_tokens

    def open(self, job, n_missing_tokens):
        """Add an attempt of this forwarder."""
        self.n_in_flight += 1
        self.n_pending_tokens += n_missing_tokens
        self.n_memory_tokens += job.n_prompt_tokens + job.n_output_tokens
        if job.parts:
            self.prefixes.touch(job.parts)

    def begin(self, placement):
        """Note that an attempt has begun, so that its prompt is no longer pending."""
        if not placement.has_begun:
            placement.has_begun = True
            self.n_pending_tokens -= placement.n_missing_tokens

    def close(self, placement):
        """Remove an attempt of this forwarder."""
        self.begin(placement)
        self.n_in_flight -= 1
        job = placement.job
        self.n_memory_tokens -= job.n_prompt_tokens + job.n_output_tokens
