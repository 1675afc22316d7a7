"""Directory of the forwarders, with their liveness and freshness."""

from collections import deque
from math import inf

# Silence after which the load of a peer is no longer included.
FRESHNESS_TIMEOUT_S = 0.5
# Silence after which a peer no longer counts as a forwarder that uses its share.
LIVENESS_TIMEOUT_S = 10.0
# Silence after which a peer that is not a seed is removed.
REMOVAL_TIMEOUT_S = 60.0
# Silence after which a peer may come back with a lower incarnation: its clock was ahead
# when it started before. Datagrams are not late by as much.
SUCCESSION_TIMEOUT_S = 1.0
# Former incarnations of a peer that are remembered.
MAX_FORMER_INCARNATIONS = 16
# Lower bound of the assumed number of forwarders.
MIN_FORWARDERS = 2
# Peers that are known at once, many times as many as a fleet has.
MAX_PEERS = 4096


class Peer:
    """State of one peer.

    :param address: IP address of the peer.
    :param now: monotonic time, seconds.

    ``former`` has its incarnations before the current one, which have ended, and
    ``started_at`` is the monotonic time at which the current one was first heard.
    ``leaving_since`` is in Unix milliseconds, 0 if the peer does not drain, and
    ``has_joined`` states whether others have told it what it missed.
    """

    def __init__(self, address, now):
        self.address = address
        self.added_at = now
        self.heard_at = None
        self.incarnation = 0
        self.started_at = inf
        self.former = deque(maxlen=MAX_FORMER_INCARNATIONS)
        self.sequence = 0
        self.is_leaving = False
        self.leaving_since = 0
        self.has_joined = False
        self.version = 0
        self.era = 0
        self.revision = 0
        self.repeats = {}
        self.uses = {}
        self.speeds = {}
        self.is_fresh = False
        self.fresh_since = 0.0

    def accepts(self, frame, now):
        """Return whether a frame is news of the current incarnation or of a later one.

        Incarnations are ordered by their time of start while frames of the current one
        arrive, and by arrival once it is silent.
        """
        if frame.incarnation == self.incarnation:
            return frame.sequence > self.sequence
        if frame.incarnation in self.former:
            return False
        if frame.incarnation > self.incarnation:
            return True
        return now - self.heard_at >= SUCCESSION_TIMEOUT_S

    def start_incarnation(self, incarnation, now):
        """Forget the totals of the incarnation before."""
        self.former.append(self.incarnation)
        self.incarnation = incarnation
        self.started_at = now
        self.sequence = 0
        self.repeats = {}
        self.uses = {}
        self.speeds = {}


class PeerDirectory:
    """Peers by IP address.

    :param own_address: IP address of this forwarder.
    :param seeds: IP addresses of the initial peers, which are never removed.
    :param now: monotonic time, seconds.

    ``freshness_timeout_s`` is the silence after which the load of a peer no longer
    counts, seconds.
    """

    def __init__(self, own_address, seeds, now):
        self.own_address = own_address
        self.seeds = set(seeds)
        self.peers = {}
        self.freshness_timeout_s = FRESHNESS_TIMEOUT_S
        self.add(seeds, now)

    def add(self, addresses, now):
        """Add peers that are not known yet."""
        for address in addresses:
            if address == self.own_address or address in self.peers:
                continue
            if len(self.peers) < MAX_PEERS:
                self.peers[address] = Peer(address, now)

    def handle_header(self, frame, now):
        """Update a peer from the header fields of its frame.

        :returns: the :class:`Peer`, or None if the frame is outdated, a duplicate, from
            this forwarder or from one too many.
        """
        if frame.sender == self.own_address:
            return None
        self.add([frame.sender], now)
        peer = self.peers.get(frame.sender)
        if peer is None or not peer.accepts(frame, now):
            return None
        if frame.incarnation != peer.incarnation:
            peer.start_incarnation(frame.incarnation, now)
        peer.sequence = frame.sequence
        peer.heard_at = now
        peer.is_leaving = frame.is_leaving
        peer.leaving_since = frame.leaving_since
        peer.has_joined = frame.has_joined
        peer.version = frame.version
        peer.era = frame.era
        peer.revision = frame.revision
        return peer

    def list_addresses(self):
        """Return the IP addresses of all known peers."""
        return list(self.peers)

    def list_live(self, now):
        """Return the peers heard within the liveness timeout."""
        return self.list_heard(now, LIVENESS_TIMEOUT_S)

    def remove_expired(self, now):
        """Remove peers after the removal timeout, and return newly stale ones."""
        expired = []
        for address, peer in list(self.peers.items()):
            heard_at = peer.heard_at if peer.heard_at is not None else peer.added_at
            silent_s = now - heard_at
            if peer.is_fresh and silent_s >= self.freshness_timeout_s:
                peer.is_fresh = False
                expired.append(peer)
            if silent_s >= REMOVAL_TIMEOUT_S and address not in self.seeds:
                del self.peers[address]
        return expired

    def list_heard(self, now, timeout_s):
        """Return the peers heard within a timeout, seconds."""
        return [
            peer
            for peer in self.peers.values()
            if peer.heard_at is not None and now - peer.heard_at < timeout_s
        ]

    def count_fresh(self, now):
        """Return the number of forwarders with fresh state, including this one."""
        return 1 + len(self.list_heard(now, self.freshness_timeout_s))

    def count_forwarders(self, now):
        """Return the number of live forwarders, including this one."""
        return max(MIN_FORWARDERS, 1 + len(self.list_live(now)))

    def compute_state_age_s(self, now):
        """Return the age of the oldest peer state that is included, seconds."""
        ages = [now - peer.heard_at for peer in self.peers.values() if peer.is_fresh]
        return max(ages, default=0.0)
