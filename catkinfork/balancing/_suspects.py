"""Detection of requests that crash the backend servers that run them."""

# Crashes after which a request is refused. A single lost connection is no proof, as it
# may have another cause.
MAX_CRASHES = 3
SUSPECT_TTL_S = 60.0
MAX_SUSPECTS = 4096


class Suspect:
    """Crash counts of one fingerprint by forwarder.

    :param now: monotonic time, seconds.
    """

    __slots__ = ("n_own_crashes", "peers", "seen_at")

    def __init__(self, now):
        self.n_own_crashes = 0
        self.peers = {}
        self.seen_at = now

    @property
    def n_crashes(self):
        """Return the crashes that all forwarders have seen."""
        return self.n_own_crashes + sum(self.peers.values())


class SuspectTable:
    """Crash counts by request fingerprint."""

    def __init__(self):
        self.suspects = {}

    def record_crash(self, fingerprint, now):
        """Record an attempt whose connection was lost.

        :returns: crashes of this fingerprint that this forwarder has seen.
        """
        suspect = self.find_or_add(fingerprint, now)
        suspect.n_own_crashes += 1
        return suspect.n_own_crashes

    def record_peer_crashes(self, peer, fingerprint, n_crashes, now):
        """Set the crash count of a peer; 0 if the request has succeeded there."""
        if n_crashes == 0:
            self.clear(fingerprint)
            return
        self.find_or_add(fingerprint, now).peers[peer] = n_crashes

    def withdraw_crash(self, fingerprint):
        """Remove a lost attempt that was no crash.

        :returns: crashes of this fingerprint that this forwarder has seen.
        """
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return 0
        suspect.n_own_crashes = max(0, suspect.n_own_crashes - 1)
        return suspect.n_own_crashes

    def replace_peer_crashes(self, peer, fingerprint, n_crashes):
        """Set the lower crash count of a peer that has withdrawn some."""
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and peer in suspect.peers:
            suspect.peers[peer] = n_crashes

    def clear(self, fingerprint):
        """Remove a fingerprint whose request has succeeded.

        :returns: whether crashes had been recorded for it.
        """
        return self.suspects.pop(fingerprint, None) is not None

    def is_blocked(self, fingerprint, now):
        """Return whether requests with this fingerprint are refused."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return False
        if now - suspect.seen_at > SUSPECT_TTL_S:
            del self.suspects[fingerprint]
            return False
        return suspect.n_crashes >= MAX_CRASHES

    def find_or_add(self, fingerprint, now):
        """Return the entry of a fingerprint, moved to the most recently used end."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect(now)
        suspect.seen_at = now
        self.suspects[fingerprint] = suspect
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]
        return suspect
