"""Requests that were in flight at crashes, over all agents of a pool."""

from typing import NamedTuple

MAX_CRASHES = 2
BLOCK_TIME_S = 600.0


class Crashes(NamedTuple):
    """Crashes of one incarnation of an agent with a fingerprint in flight.

    :param n_crashes: number of the crashes.
    :param latest_at: time of the latest, on this process's clock.
    """

    n_crashes: int
    latest_at: float


class SuspectTable:
    """Crash counts of fingerprints, and which fingerprints are blocked.

    Crashes are summed over agents and their incarnations: an agent that restarts
    forgets its own count, but not the crash.
    """

    def __init__(self):
        self.crashes = {}
        self.inherited = {}

    def take(self, agent, incarnation, suspects, now):
        """Take the suspects of a report.

        :returns: list of fingerprints that are blocked from now on.
        """
        blocked = []
        for suspect in suspects:
            latest_at = now - suspect.age_s
            if now - latest_at >= BLOCK_TIME_S:
                continue
            was_blocked = self.is_blocked(suspect.fingerprint, now)
            by_agent = self.crashes.setdefault(suspect.fingerprint, {})
            by_agent[agent, incarnation] = Crashes(suspect.n_crashes, latest_at)
            if not was_blocked and self.is_blocked(suspect.fingerprint, now):
                blocked.append(suspect.fingerprint)
        return blocked

    def inherit(self, suspects, blocked, now):
        """Take suspects and blocked fingerprints from another dispatcher's summary.

        A summary has no ages, so an inherited entry lasts for a whole block time.
        """
        counts = dict.fromkeys(suspects, 1) | dict.fromkeys(blocked, MAX_CRASHES)
        self.inherited = {
            fingerprint: Crashes(n_crashes, now)
            for fingerprint, n_crashes in counts.items()
        }

    def count_crashes(self, fingerprint, now):
        """Return the number of crashes within the block time."""
        known = self.crashes.get(fingerprint, {}).values()
        n_known = sum(item.n_crashes for item in known if is_recent(item, now))
        inherited = self.inherited.get(fingerprint)
        if inherited is None or not is_recent(inherited, now):
            return n_known
        return max(n_known, inherited.n_crashes)

    def is_blocked(self, fingerprint, now):
        """Return whether a fingerprint is refused."""
        return self.count_crashes(fingerprint, now) >= MAX_CRASHES

    def list_all(self, now):
        """Return the fingerprints with a crash within the block time, sorted."""
        known = set(self.crashes) | set(self.inherited)
        return sorted(key for key in known if self.count_crashes(key, now) > 0)

    def list_blocked(self, now):
        """Return the blocked fingerprints, sorted."""
        known = set(self.crashes) | set(self.inherited)
        return sorted(key for key in known if self.is_blocked(key, now))

    def drop_old(self, now):
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


def is_recent(crashes, now):
    """Return whether crashes still count."""
    return now - crashes.latest_at < BLOCK_TIME_S
