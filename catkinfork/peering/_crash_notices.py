"""Crashes of backend servers, as forwarders tell each other."""

from math import inf

from catkinfork.balancing import CrashCount, PartCrash, pop_items
from catkinfork.peering._ages import compute_age_ms
from catkinfork.peering._frames import (
    CrashCountEntry,
    PartCrashEntry,
    PartProbeEntry,
    PartRunEntry,
    ServedPartEntry,
    SurvivorEntry,
    SuspectEntry,
)

# Counts that each full frame repeats, in rotation.
MAX_REPEATED_COUNTS = 8
# Crashes of prompt parts, and parts cleared of them, in one frame; the others follow in
# the next ones.
MAX_PART_CRASHES_PER_FRAME = 16


class CrashNotices:
    """Tells and records crashes by request and prompt part, and what clears of them.

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
        """Add the next crashes, probes and survivors to a frame."""
        changes = self.balancer.changes
        frame.suspects = [SuspectEntry(*pair) for pair in changes.suspects.items()]
        frame.withdrawn = [SuspectEntry(*pair) for pair in changes.withdrawn.items()]
        if is_full:
            self.balancer.crash_guard.repeat_part_crashes(now)
            frame.crash_counts = self.list_next_counts(now)
        self.fill_part_crashes(frame, now)
        frame.served_parts = pop_ages(changes.served_parts, ServedPartEntry, now)
        frame.part_probes = pop_ages(changes.part_probes, PartProbeEntry, now)
        frame.survivors = pop_ages(changes.survivors, SurvivorEntry, now)

    def list_next_counts(self, now):
        """Return the next entries of refused requests to repeat, in rotation.

        They include what other forwarders have seen: these may have stopped, and peers
        may have been cut off.
        """
        counts = self.suspects.list_counts(now, refused_only=True)
        start = self.offset % max(1, len(counts))
        self.offset = start + MAX_REPEATED_COUNTS
        return [
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

    def fill_part_crashes(self, frame, now):
        """Add crashes of prompt parts to a frame."""
        parts = self.balancer.crash_guard.parts
        changes = self.balancer.changes
        crashes = pop_items(changes.part_crashes, MAX_PART_CRASHES_PER_FRAME)
        for crash, crashed_at in crashes:
            age_ms = compute_age_ms(crashed_at, now)
            frame.part_crashes.append(PartCrashEntry(*crash, age_ms))
            placed_at = parts.find_placed_at(crash)
            if placed_at is not None:
                run_ms = compute_age_ms(placed_at, crashed_at)
                frame.part_runs.append(PartRunEntry(*crash, run_ms))

    def record(self, peer, frame, now):
        """Record the crashes that a peer has seen, and what clears of them."""
        source = self.compute_source(peer.address, peer.incarnation)
        for fingerprint, n_crashes in frame.suspects:
            self.suspects.record_peer_crashes(source, fingerprint, n_crashes, now)
        for fingerprint, n_crashes in frame.withdrawn:
            self.suspects.replace_count(source, fingerprint, n_crashes)
        self.record_entries(frame.crash_counts, now)
        self.record_part_crashes(frame, now)

    def record_part_crashes(self, frame, now):
        """Record the crashes of prompt parts that a peer has seen, and probes."""
        crash_guard = self.balancer.crash_guard
        for server, age_ms in frame.survivors:
            crash_guard.record_survivor(server, now - age_ms / 1000)
        for part, age_ms in frame.served_parts:
            crash_guard.parts.record_served(part, now - age_ms / 1000)
        runs = {(part, backend): run_ms for part, backend, run_ms in frame.part_runs}
        for part, backend, age_ms in frame.part_crashes:
            crash = PartCrash(part, backend)
            crashed_at = now - age_ms / 1000
            placed_at = crashed_at - runs.get(crash, inf) / 1000
            crash_guard.record_peer_part_crash(crash, crashed_at, placed_at)
        for part, age_ms in frame.part_probes:
            crash_guard.parts.record_probe(part, now - age_ms / 1000)

    def record_entries(self, entries, now):
        """Record counts; those of requests that were served since are told as such."""
        for fingerprint, source, n_crashes, crash_age_ms, seen_age_ms in entries:
            crashed_at = now - crash_age_ms / 1000
            seen_at = now - seen_age_ms / 1000
            count = CrashCount(fingerprint, source, n_crashes, crashed_at, seen_at)
            if self.suspects.is_outdated(count):
                n_crashes = self.suspects.count_own(fingerprint)
                self.balancer.changes.withdrawn[fingerprint] = n_crashes
            if self.suspects.record_told(count, now):
                continue
            # A total of 0 would also take back what was seen since.
            if self.suspects.find(fingerprint, now) is None:
                self.balancer.changes.suspects[fingerprint] = 0


def pop_ages(changes, build_entry, now):
    """Remove the first changes and return their entries.

    :param changes: monotonic times by key.
    :param build_entry: callable that takes the key and the age in milliseconds.
    """
    return [
        build_entry(key, compute_age_ms(at, now))
        for key, at in pop_items(changes, MAX_PART_CRASHES_PER_FRAME)
    ]
