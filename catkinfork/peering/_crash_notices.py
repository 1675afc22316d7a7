"""Crashes of backend servers, as forwarders tell each other."""

from math import inf

from catkinfork.balancing import PartCrash, pop_items
from catkinfork.peering._ages import compute_age_ms
from catkinfork.peering._frames import (
    PartCrashEntry,
    PartProbeEntry,
    PartRunEntry,
    ServedPartEntry,
    SurvivorEntry,
    SuspectEntry,
)

# Crashes of prompt parts, and parts cleared of them, in one frame; the others follow in
# the next ones.
MAX_PART_CRASHES_PER_FRAME = 16


class CrashNotices:
    """Tells and records crashes by request and prompt part, and what clears of them.

    :param balancer: :class:`Balancer`.
    """

    def __init__(self, balancer):
        self.balancer = balancer

    def fill(self, frame, is_full, now):
        """Add the next crashes, probes and survivors to a frame."""
        changes = self.balancer.changes
        frame.suspects = [SuspectEntry(*pair) for pair in changes.suspects.items()]
        frame.withdrawn = [SuspectEntry(*pair) for pair in changes.withdrawn.items()]
        if is_full:
            self.balancer.crash_guard.repeat_part_crashes(now)
        self.fill_part_crashes(frame, now)
        frame.served_parts = pop_ages(changes.served_parts, ServedPartEntry, now)
        frame.part_probes = pop_ages(changes.part_probes, PartProbeEntry, now)
        frame.survivors = pop_ages(changes.survivors, SurvivorEntry, now)

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
        crash_guard = self.balancer.crash_guard
        for fingerprint, n_crashes in frame.suspects:
            crash_guard.suspects.record_peer_crashes(
                peer.address, fingerprint, n_crashes, now
            )
        for fingerprint, n_crashes in frame.withdrawn:
            crash_guard.suspects.replace_peer_crashes(
                peer.address, fingerprint, n_crashes
            )
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


def pop_ages(changes, build_entry, now):
    """Remove the first changes and return their entries.

    :param changes: monotonic times by key.
    :param build_entry: callable that takes the key and the age in milliseconds.
    """
    return [
        build_entry(key, compute_age_ms(at, now))
        for key, at in pop_items(changes, MAX_PART_CRASHES_PER_FRAME)
    ]
