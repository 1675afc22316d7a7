"""Crashes of whole requests, as forwarders tell each other."""

from catkinfork.balancing import CrashCount
from catkinfork.peering._ages import compute_age_ms
from catkinfork.peering._frames import CrashCountEntry, SuspectEntry

# Counts that each full frame repeats, in rotation.
MAX_REPEATED_COUNTS = 8


class CrashNotices:
    """Tells and records how often requests have crashed backend servers.

    :param balancer: :class:`Balancer`.
    :param compute_hash: callable that returns the 32-bit hash of a name.
    """

    def __init__(self, balancer, compute_hash):
        self.balancer = balancer
        self.suspects = balancer.crash_guard.suspects
        self.compute_hash = compute_hash
        self.offset = 0

    def compute_source(self, address, incarnation):
        """Return the source of the crashes that a process has seen."""
        return self.compute_hash(f"{address}/{incarnation}")

    def fill(self, frame, is_full, now):
        """Add the changed totals of this forwarder to a frame.

        A full one repeats what is known of refused requests, also of what other
        forwarders have seen: they may have stopped, and peers may have been cut off.
        """
        changes = self.balancer.changes.suspects
        frame.suspects = [SuspectEntry(*pair) for pair in changes.items()]
        if is_full:
            counts = self.suspects.list_counts(now, refused_only=True)
            start = self.offset % max(1, len(counts))
            self.offset = start + MAX_REPEATED_COUNTS
            frame.crash_counts = [
                self.build_entry(count, now)
                for count in (counts[start:] + counts[:start])[:MAX_REPEATED_COUNTS]
            ]

    def build_entry(self, count, now):
        """Return the entry of a :class:`CrashCount`."""
        return CrashCountEntry(
            count.fingerprint,
            count.source,
            count.n_crashes,
            compute_age_ms(count.crashed_at, now),
            compute_age_ms(count.seen_at, now),
        )

    def record(self, peer, frame, now):
        """Record what a peer tells."""
        for fingerprint, n_crashes in frame.suspects:
            source = self.compute_source(peer.address, peer.incarnation)
            self.suspects.record_peer_crashes(source, fingerprint, n_crashes, now)
        self.record_entries(frame.crash_counts, now)

    def record_entries(self, entries, now):
        """Record counts; those of requests that were served since are told as such."""
        for fingerprint, source, n_crashes, crash_age_ms, seen_age_ms in entries:
            crashed_at = now - crash_age_ms / 1000
            seen_at = now - seen_age_ms / 1000
            count = CrashCount(fingerprint, source, n_crashes, crashed_at, seen_at)
            if self.suspects.record_told(count, now):
                continue
            # A total of 0 would also take back what was seen since.
            if self.suspects.find(fingerprint, now) is None:
                self.balancer.changes.suspects[fingerprint] = 0
