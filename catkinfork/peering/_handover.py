"""How long a forwarder that stops stays for those that start."""

from catkinfork.peering._joining import MAX_JOIN_S
from catkinfork.peering._peers import FRESHNESS_TIMEOUT_S, REMOVAL_TIMEOUT_S

# Time after which a peer that was first heard knows enough, though nobody has told it
# what it missed, seconds: it is the first one of a fleet, or of an earlier release.
SETTLING_TIME_S = MAX_JOIN_S + 0.8


class HandoverPlan:
    """Decides whether a forwarder that stops stays until a peer has what it knows.

    Origins of streams and crash counts are held in memory alone. While one forwarder
    runs that has them, those that start can ask it. If all of them are stopping, the
    one that was told to stop last stays: its grace ends last.

    Load pattern: all forwarders are stopped in turn, or at once, and start so slowly
    that none of them would run for a moment.

    :param directory: :class:`PeerDirectory`.
    :param leaving_since: Unix time at which this forwarder began to drain,
        milliseconds. Peers compare the same figures, so that a clock that is wrong may
        choose another forwarder, but never none.
    """

    def __init__(self, directory, leaving_since):
        self.directory = directory
        self.rank = (leaving_since, directory.own_address)

    def must_stay(self, now):
        """Return whether no other forwarder has, or will pass on, what this one knows.

        A forwarder that has heard no peer for a minute has nobody to wait for.
        """
        fresh = self.directory.list_heard(now, FRESHNESS_TIMEOUT_S)
        if any(self.can_replace(peer, now) for peer in fresh):
            return False
        return bool(self.directory.list_heard(now, REMOVAL_TIMEOUT_S))

    def can_replace(self, peer, now):
        """Return whether a peer has what this forwarder knows, and stays for longer.

        :param peer: :class:`Peer` that is heard.
        """
        if not peer.has_joined and now - peer.started_at < SETTLING_TIME_S:
            return False
        return not peer.is_leaving or (peer.leaving_since, peer.address) > self.rank
