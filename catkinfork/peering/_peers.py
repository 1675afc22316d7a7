"""Which forwarders there are, and how fresh their news is."""

# Silence after which a peer's load is no longer counted, seconds.
FRESHNESS_TIMEOUT_S = 0.5
# Silence after which a peer no longer counts as a forwarder that may use its share.
LIVENESS_TIMEOUT_S = 10.0
# Silence after which a peer that is no seed is forgotten.
REMOVAL_TIMEOUT_S = 60.0
# Forwarders that are assumed while none has been heard.
MIN_FORWARDERS = 2


class Peer:
    """What is known of one forwarder.

    :param address: its IP number.
    :param now: monotonic seconds.
    """

    def __init__(self, address, now):
        self.address = address
        self.added_at = now
        self.heard_at = None
        self.incarnation = 0
        self.sequence = 0
        self.is_leaving = False
        self.version = 0
        self.revision = 0
        self.repeats = {}
        self.uses = {}
        self.is_counted = False
        self.fresh_since = 0.0


class PeerDirectory:
    """Forwarders by IP number.

    :param own_address: IP number of this forwarder.
    :param seeds: IP numbers to begin with.
    :param now: monotonic seconds.
    """

    def __init__(self, own_address, seeds, now):
        self.own_address = own_address
        self.seeds = set(seeds)
        self.peers = {}
        self.add(seeds, now)

    def add(self, addresses, now):
        """Add forwarders that are not known yet."""
        for address in addresses:
            if address != self.own_address and address not in self.peers:
                self.peers[address] = Peer(address, now)

    def handle_header(self, frame, now):
        """Take the head of a frame.

        :returns: the :class:`Peer`, or None if the frame is older than the last one.
        """
        if frame.sender == self.own_address:
            return None
        self.add([frame.sender], now)
        peer = self.peers[frame.sender]
        if frame.incarnation < peer.incarnation:
            return None
        if frame.incarnation > peer.incarnation:
            peer.incarnation = frame.incarnation
            peer.sequence = 0
            peer.repeats = {}
            peer.uses = {}
        elif frame.sequence <= peer.sequence:
            return None
        peer.sequence = frame.sequence
        peer.heard_at = now
        peer.is_leaving = frame.is_leaving
        peer.version = frame.version
        peer.revision = frame.revision
        return peer

    def list_addresses(self):
        """Return the IP numbers of all forwarders that may be alive."""
        return list(self.peers)

    def list_heard(self, now):
        """Return the peers heard within the time for which they count as live."""
        return [
            peer
            for peer in self.peers.values()
            if peer.heard_at is not None and now - peer.heard_at < LIVENESS_TIMEOUT_S
        ]

    def remove_expired(self, now):
        """Return peers whose news is too old to be counted, and forget lost ones."""
        expired = []
        for address, peer in list(self.peers.items()):
            heard_at = peer.heard_at if peer.heard_at is not None else peer.added_at
            silent_s = now - heard_at
            if peer.is_counted and silent_s >= FRESHNESS_TIMEOUT_S:
                peer.is_counted = False
                expired.append(peer)
            if silent_s >= REMOVAL_TIMEOUT_S and address not in self.seeds:
                del self.peers[address]
        return expired

    def n_fresh(self, now):
        """Return the forwarders whose news is fresh, this one included."""
        n_peers = sum(
            1
            for peer in self.peers.values()
            if peer.heard_at is not None and now - peer.heard_at < FRESHNESS_TIMEOUT_S
        )
        return 1 + n_peers

    def n_forwarders(self, now):
        """Return the forwarders that may serve requests, this one included."""
        return max(MIN_FORWARDERS, 1 + len(self.list_heard(now)))

    def news_age_s(self, now):
        """Return the age of the oldest news that is counted, seconds."""
        ages = [now - peer.heard_at for peer in self.peers.values() if peer.is_counted]
        return max(ages, default=0.0)
