"""Requests that crash the backend servers that run them."""

# Crashes after which a request is refused. A connection may also be lost for another
# reason, so that one loss proves nothing.
MAX_CRASHES = 3
FORGET_AFTER_S = 60.0
MAX_SUSPECTS = 4096


class Suspect:
    """Lost attempts of one fingerprint.

    :param now: monotonic seconds.
    """

    __slots__ = ("n_own", "peers", "seen_at")

    def __init__(self, now):
        self.n_own = 0
        self.peers = {}
        self.seen_at = now

    @property
    def n_crashes(self):
        """Return the crashes seen by all forwarders."""
        return self.n_own + sum(self.peers.values())


class SuspectTable:
    """Counts lost attempts by the fingerprint of the request."""

    def __init__(self):
        self.suspects = {}

    def note_crash(self, fingerprint, now):
        """Count an attempt whose connection was lost.

        :returns: the crashes of this fingerprint that this forwarder has seen.
        """
        suspect = self.open(fingerprint, now)
        suspect.n_own += 1
        return suspect.n_own

    def note_peer(self, peer, fingerprint, n_crashes, now):
        """Take a peer's count; 0 when the peer has seen the request succeed."""
        if n_crashes == 0:
            self.clear(fingerprint)
            return
        self.open(fingerprint, now).peers[peer] = n_crashes

    def clear(self, fingerprint):
        """Forget a fingerprint whose request has succeeded.

        :returns: whether it was a suspect.
        """
        return self.suspects.pop(fingerprint, None) is not None

    def is_blocked(self, fingerprint, now):
        """Return whether requests with this fingerprint are refused."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return False
        if now - suspect.seen_at > FORGET_AFTER_S:
            del self.suspects[fingerprint]
            return False
        return suspect.n_crashes >= MAX_CRASHES

    def open(self, fingerprint, now):
        """Return the entry of a fingerprint, newest last."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect(now)
        suspect.seen_at = now
        self.suspects[fingerprint] = suspect
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        return suspect
