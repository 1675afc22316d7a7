"""Crash suspects of a pool: requests in flight when a backend server crashed."""

from typing import NamedTuple

MAX_CRASHES = 2
BLOCK_TIME_S = 600.0
# An agent reports at most this many suspects, the latest ones. A fingerprint missing
# from a report of this length may have been left out.
MAX_REPORTED_SUSPECTS = 64
# Bounds the lists in summaries and acknowledgements, whose frames hold 64 KiB.
MAX_LISTED_FINGERPRINTS = 256


class CrashRecord(NamedTuple):
    """Crashes of one incarnation of an agent with a fingerprint in flight.

    :param n_crashes: number of crashes.
    :param latest_at: time of the latest crash, monotonic seconds of this process.
    """

    n_crashes: int
    latest_at: float


class SuspectTable:
    """Crash counts by fingerprint, and the blocked fingerprints.

    Crashes are summed over agents and incarnations, because an agent loses its own
    count when it restarts. ``blocked`` maps fingerprints to the time of their block,
    oldest first.
    """

    def __init__(self):
        self.crashes = {}
        self.inherited = {}
        self.blocked = {}

    def record_suspects(self, agent, incarnation, suspects, now):
        """Record the suspects of a report.

        A suspect that the same incarnation no longer reports has run there without a
        crash, or its crash has expired.

        :returns: list of newly blocked fingerprints.
        """
        source = (agent, incarnation)
        self.remove_cleared(source, suspects, now)
        newly_blocked = []
        for suspect in suspects:
            fingerprint = suspect.fingerprint
            item = CrashRecord(suspect.n_crashes, now - suspect.age_s)
            if is_recent(item, now):
                self.crashes.setdefault(fingerprint, {})[source] = item
                if self.update_block(fingerprint, now):
                    newly_blocked.append(fingerprint)
        return newly_blocked

    def remove_cleared(self, source, suspects, now):
        """Remove suspects that an incarnation reported before but reports no longer."""
        if len(suspects) >= MAX_REPORTED_SUSPECTS:
            return
        listed = {suspect.fingerprint for suspect in suspects}
        cleared = [
            fingerprint
            for fingerprint, by_agent in self.crashes.items()
            if source in by_agent and fingerprint not in listed
        ]
        for fingerprint in cleared:
            del self.crashes[fingerprint][source]
            if not self.crashes[fingerprint]:
                del self.crashes[fingerprint]
            self.update_block(fingerprint, now)

    def load_inherited(self, suspects, blocked, now):
        """Load suspects and blocked fingerprints from another dispatcher's summary.

        A summary carries no ages, so each entry is kept for the full block time.
        """
        counts = dict.fromkeys(suspects, 1) | dict.fromkeys(blocked, MAX_CRASHES)
        self.inherited = {
            fingerprint: CrashRecord(n_crashes, now)
            for fingerprint, n_crashes in counts.items()
        }
        for fingerprint in set(self.inherited) | set(self.blocked):
            self.update_block(fingerprint, now)

    def update_block(self, fingerprint, now):
        """Block or unblock a fingerprint by its current crash count.

        :returns: whether it has become blocked.
        """
        is_blocked = self.count_crashes(fingerprint, now) >= MAX_CRASHES
        was_blocked = fingerprint in self.blocked
        if is_blocked and not was_blocked:
            self.blocked[fingerprint] = now
        elif was_blocked and not is_blocked:
            del self.blocked[fingerprint]
        return is_blocked and not was_blocked

    def count_crashes(self, fingerprint, now):
        """Return the number of crashes within the block time."""
        known = self.crashes.get(fingerprint, {}).values()
        n_known = sum(item.n_crashes for item in known if is_recent(item, now))
        inherited = self.inherited.get(fingerprint)
        if inherited is None or not is_recent(inherited, now):
            return n_known
        return max(n_known, inherited.n_crashes)

    def list_suspects(self, now):
        """Return the fingerprints with a recent crash, sorted, up to the maximum."""
        known = set(self.crashes) | set(self.inherited)
        found = sorted(key for key in known if self.count_crashes(key, now) > 0)
        return found[:MAX_LISTED_FINGERPRINTS]

    def list_blocked(self):
        """Return the most recently blocked fingerprints, up to the maximum."""
        return list(self.blocked)[-MAX_LISTED_FINGERPRINTS:]

    def remove_expired(self, now):
        """Remove crashes that are older than the block time."""
        for fingerprint, by_agent in list(self.crashes.items()):
            for source, item in list(by_agent.items()):
                if not is_recent(item, now):
                    del by_agent[source]
            if not by_agent:
                del self.crashes[fingerprint]
        for fingerprint, item in list(self.inherited.items()):
            if not is_recent(item, now):
                del self.inherited[fingerprint]
        for fingerprint in list(self.blocked):
            self.update_block(fingerprint, now)


def is_recent(item, now):
    """Return whether a record is younger than the block time."""
    return now - item.latest_at < BLOCK_TIME_S
