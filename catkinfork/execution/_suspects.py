"""Crash suspects: requests in flight when the backend server crashed."""

from collections import OrderedDict

from catkinfork.protocol import Suspect

# Bounds the report; one server never has more requests in flight.
MAX_REPORTED_SUSPECTS = 64
MAX_SUSPECTS = 4096


class SuspectTable:
    """Crash suspects of this server and the fingerprints blocked in the whole fleet.

    :param settings: :class:`ExecutionSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.suspects = OrderedDict()
        self.blocked_fingerprints = frozenset()
        self.n_crashes = 0

    def record_crash(self, fingerprints, now):
        """Count a crash for each fingerprint that was in flight."""
        self.n_crashes += 1
        n_neighbours = max(len(fingerprints) - 1, 0)
        for fingerprint in dict.fromkeys(fingerprints):
            n_crashes, _, _ = self.suspects.pop(fingerprint, (0, 0, 0.0))
            self.suspects[fingerprint] = (n_crashes + 1, n_neighbours, now)
        while len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)

    def record_success(self, fingerprint):
        """Clear a suspect after it has completed without a crash."""
        self.suspects.pop(fingerprint, None)

    def set_blocked(self, fingerprints):
        """Set the fingerprints that the dispatcher blocks."""
        self.blocked_fingerprints = frozenset(fingerprints)

    def remove_expired(self, now):
        """Remove suspects whose block time has expired."""
        oldest = now - self.settings.block_time_s
        while self.suspects:
            fingerprint, (_, _, seen_at) = next(iter(self.suspects.items()))
            if seen_at > oldest:
                break
            del self.suspects[fingerprint]

    def is_suspect(self, fingerprint):
        """Return whether a fingerprint was in flight at a crash."""
        return fingerprint in self.suspects

    def is_blocked(self, fingerprint):
        """Return whether no new attempt of a fingerprint may start."""
        if fingerprint in self.blocked_fingerprints:
            return True
        n_crashes = self.suspects.get(fingerprint, (0, 0, 0.0))[0]
        return n_crashes >= self.settings.max_crashes

    def list_suspects(self, now):
        """Return the latest suspects for the report, oldest first."""
        latest = list(self.suspects.items())[-MAX_REPORTED_SUSPECTS:]
        return [
            Suspect(fingerprint, n_crashes, n_neighbours, now - seen_at)
            for fingerprint, (n_crashes, n_neighbours, seen_at) in latest
        ]
