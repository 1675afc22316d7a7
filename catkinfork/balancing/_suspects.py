"""Detection of requests that crash the backend servers that run them."""

from math import inf
from typing import NamedTuple

from catkinfork.topology import RecentTable

# Crashes after which a request is refused. A single lost connection is no proof, as it
# may have another cause.
MAX_CRASHES = 3
# Time after the last crash until one request is let through, seconds; doubled with each
# further crash, and up to twice as long, so that the forwarders do not all try at once.
PROBE_INTERVAL_S = 60.0
# Requests let through. The rule allows three retries after the third crash in all;
# two forwarders may try at the same time.
MAX_PROBES = 2
# Time after the last crash, or the last refused request, after which crashes no longer
# count, seconds.
SUSPECT_TTL_S = 600.0
MAX_SUSPECTS = 4096


class CrashCount(NamedTuple):
    """Crashes of one fingerprint that one forwarder has seen.

    :param source: hash of the address and the incarnation of that forwarder.
    :param crashed_at: monotonic time of the last crash of the fingerprint at any
        forwarder, seconds.
    :param seen_at: the same, or that of the last refused request.
    """

    fingerprint: int
    source: int
    n_crashes: int
    crashed_at: float
    seen_at: float


class Suspect:
    """Crash counts of one fingerprint.

    ``counts`` has them by source: a forwarder that starts again counts from zero, and
    what its former process has seen still counts. ``probe`` is the id of the request
    that is let through.
    """

    __slots__ = ("counts", "crashed_at", "probe", "probe_at", "seen_at")

    def __init__(self):
        self.counts = {}
        self.crashed_at = -inf
        self.seen_at = -inf
        self.probe = None
        self.probe_at = -inf

    @property
    def n_crashes(self):
        """Return the crashes that all forwarders have seen."""
        return sum(self.counts.values())

    @property
    def is_refused(self):
        """Return whether requests are refused, but for probes."""
        return self.n_crashes >= MAX_CRASHES

    @property
    def may_be_probed(self):
        """Return whether a request may be let through at some time."""
        return self.n_crashes < MAX_CRASHES + MAX_PROBES


class SuspectTable:
    """Crash counts by request fingerprint.

    Load pattern: a client sends a request that crashes backend servers again and again,
    at any forwarder, while forwarders are restarted in turn. Refused requests keep the
    counts alive, as the client still tries; without probes, a request that lost its
    connections for another reason would then be refused for as long.

    :param rng: ``random.Random``.

    ``own_source`` is the source of the crashes that this forwarder sees, and
    ``cleared_at`` has the monotonic times at which fingerprints were cleared.
    """

    def __init__(self, rng):
        self.rng = rng
        self.own_source = 0
        self.suspects = {}
        self.cleared_at = RecentTable(MAX_SUSPECTS)

    def record_crash(self, fingerprint, now):
        """Record an attempt whose connection was lost.

        :returns: crashes of this fingerprint that this forwarder has seen.
        """
        suspect = self.find(fingerprint, now)
        known = 0 if suspect is None else suspect.counts.get(self.own_source, 0)
        self.set_count(fingerprint, self.own_source, known + 1, now, now)
        return known + 1

    def record_peer_crashes(self, source, fingerprint, n_crashes, now):
        """Set the crash count of a peer; 0 if the request has succeeded there."""
        if n_crashes == 0:
            self.clear(fingerprint, now)
            return
        suspect = self.find(fingerprint, now)
        if suspect is None or suspect.counts.get(source) != n_crashes:
            self.set_count(fingerprint, source, n_crashes, now, now)

    def record_told(self, count, now):
        """Record what a peer knows of the crashes that a forwarder has seen.

        :param count: :class:`CrashCount`.
        :returns: whether the fingerprint was not cleared since.
        """
        fingerprint, source, n_crashes, crashed_at, seen_at = count
        if crashed_at <= self.cleared_at.get(fingerprint, -inf):
            return False
        if source == self.own_source or now - seen_at > SUSPECT_TTL_S:
            return True
        suspect = self.find(fingerprint, now)
        if suspect is None or suspect.counts.get(source, 0) < n_crashes:
            self.set_count(fingerprint, source, n_crashes, crashed_at, seen_at)
        else:
            suspect.seen_at = max(suspect.seen_at, seen_at)
        return True

    def set_count(self, fingerprint, source, n_crashes, crashed_at, seen_at):
        """Set the count of a source, and delay the next probe."""
        suspect = self.suspects.pop(fingerprint, None) or Suspect()
        self.suspects[fingerprint] = suspect
        suspect.counts[source] = n_crashes
        suspect.crashed_at = max(suspect.crashed_at, crashed_at)
        suspect.seen_at = max(suspect.seen_at, seen_at)
        suspect.probe = None
        self.delay_probe(suspect, suspect.crashed_at)
        while len(self.suspects) > MAX_SUSPECTS:
            del self.suspects[next(iter(self.suspects))]

    def delay_probe(self, suspect, since):
        """Set the time at which the next request is let through."""
        n_doublings = min(MAX_PROBES, max(0, suspect.n_crashes - MAX_CRASHES))
        interval_s = PROBE_INTERVAL_S * 2**n_doublings
        suspect.probe_at = since + interval_s * (1.0 + self.rng.random())

    def clear(self, fingerprint, now):
        """Remove a fingerprint whose request has succeeded.

        :returns: whether crashes had been recorded for it.
        """
        self.cleared_at[fingerprint] = now
        return self.suspects.pop(fingerprint, None) is not None

    def is_blocked(self, fingerprint, now, request_id=None):
        """Return whether a request with this fingerprint is refused.

        One is let through as a probe after a time without crashes.

        :param request_id: id of the request, which may be a probe; it is checked again
            when it is placed.
        """
        suspect = self.find(fingerprint, now)
        if suspect is None or not suspect.is_refused:
            return False
        suspect.seen_at = now
        self.suspects[fingerprint] = self.suspects.pop(fingerprint)
        if request_id is not None and suspect.probe == request_id:
            return False
        if now < suspect.probe_at or not suspect.may_be_probed:
            return True
        suspect.probe = request_id
        self.delay_probe(suspect, now)
        return False

    def find(self, fingerprint, now):
        """Return the :class:`Suspect` of a fingerprint, or None."""
        suspect = self.suspects.get(fingerprint)
        if suspect is not None and now - suspect.seen_at > SUSPECT_TTL_S:
            del self.suspects[fingerprint]
            return None
        return suspect

    def list_counts(self, now, refused_only=False):
        """Return all counts, or those of refused requests.

        :returns: list of :class:`CrashCount`.
        """
        return [
            CrashCount(fingerprint, source, n, suspect.crashed_at, suspect.seen_at)
            for fingerprint, suspect in self.suspects.items()
            if now - suspect.seen_at <= SUSPECT_TTL_S
            and (suspect.is_refused or not refused_only)
            for source, n in suspect.counts.items()
        ]
