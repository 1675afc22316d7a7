"""Requests that were in flight at crashes, over all agents of a pool."""

from typing import NamedTuple

MAX_CRASHES = 2
BLOCK_TIME_S = 600.0
# An agent reports its latest suspects only, up to this many; from there on a
# missing one may have been left out.
MAX_REPORTED_SUSPECTS = 64
# Entries of a summary or an acknowledgement, whose frames are limited to 64 KiB.
MAX_LISTED_FINGERPRINTS = 256


class CrashRecord(NamedTuple):
    """Crashes of one incarnation of an agent with a fingerprint in flight.

    :param n_crashes: number of the crashes.
    :param latest_at: time of the latest, on this process's clock.
    """

    n_crashes: int
    latest_at: float


class SuspectTable:
    """Crash counts of fingerprints, and which fingerprints are blocked.

    Crashes are summed over agents and their incarnations: an agent that restarts
    forgets its own count, but the crash has happened. ``blocked`` holds the blocked
    fingerprints, the one that was blocked first at the front.
    """

    def __init__(self):
        self.crashes = {}
        self.inherited = {}
        self.blocked = {}

    def record_suspects(self, agent, incarnation, suspects, now):
        """Take the suspects of a report.

        A suspect that the same process no longer reports has run without a crash
        there, or its crash is too old.

        :returns: list of fingerprints that are blocked from now on.
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
        """Drop what an agent reported before and does not report now."""
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
        """Take suspects and blocked fingerprints from another dispatcher's summary.

        A summary has no ages, so an inherited entry lasts for a whole block time.
        """
        counts = dict.fromkeys(suspects, 1) | dict.fromkeys(blocked, MAX_CRASHES)
        self.inherited = {
            fingerprint: CrashRecord(n_crashes, now)
            for fingerprint, n_crashes in counts.items()
        }
        for fingerprint in set(self.inherited) | set(self.blocked):
            self.update_block(fingerprint, now)

    def update_block(self, fingerprint, now):
        """Decide anew whether a fingerprint is blocked.

        :returns: whether it was not blocked before and is now.
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
        """Return fingerprints with a recent crash, at most ``MAX_LISTED``, sorted."""
        known = set(self.crashes) | set(self.inherited)
        found = sorted(key for key in known if self.count_crashes(key, now) > 0)
        return found[:MAX_LISTED_FINGERPRINTS]

    def list_blocked(self):
        """Return the fingerprints that were blocked last, at most ``MAX_LISTED``."""
        return list(self.blocked)[-MAX_LISTED_FINGERPRINTS:]

    def remove_expired(self, now):
        """Drop crashes that are older than the block time."""
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
    """Return whether crashes still count."""
    return now - item.latest_at < BLOCK_TIME_S
