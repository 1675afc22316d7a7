"""Detection of prompt parts that crash the engines that generate an answer on them.

Load pattern: requests that share one prompt part, and otherwise have nothing in common,
arrive at all forwarders and crash every engine that runs them. Each crash also ends the
sound requests that run there, and those share other parts with the crashing requests.
"""

from collections import OrderedDict
from math import inf
from typing import NamedTuple

from catkinfork.balancing._events import PART_REFUSED
from catkinfork.observability import log_event

# Crashed backend servers after which a part that was never served is refused.
MAX_CRASHES = 3
# The same for a part that has been served before. It is more likely to have been lost
# with others.
MAX_CRASHES_SERVED = 5
# Time between two crashes that count against a part, seconds. Servers that end together
# have another cause: a request ends the one that runs it.
MIN_CRASH_INTERVAL_S = 0.25
# Time for which a crash counts against a part that is not refused, seconds.
CRASH_TTL_S = 60.0
# Time after the last crash until one request with a refused part is let through,
# seconds; up to twice as long, so that the forwarders do not all try at once.
PROBE_INTERVAL_S = 120.0
MAX_SUSPECT_PARTS = 1024
MAX_SERVED_PARTS = 8192


class PartCrash(NamedTuple):
    """A crash counted against a prompt part.

    :param part: id of the part.
    :param backend: hash of the backend server that crashed.
    """

    part: int
    backend: int


class SuspectPart:
    """Crashes that a prompt part may have caused.

    ``crashed_at`` has the monotonic time at which each backend server crashed, by its
    hash.
    """

    __slots__ = ("crashed_at", "probe_at")

    def __init__(self):
        self.crashed_at = {}
        self.probe_at = 0.0

    @property
    def n_crashes(self):
        """Return the number of crashed backend servers."""
        return len(self.crashed_at)

    def has_crash_near(self, crashed_at):
        """Return whether a crash at about the same time counts already."""
        return any(
            abs(crashed_at - other) < MIN_CRASH_INTERVAL_S
            for other in self.crashed_at.values()
        )

    def is_explained_by(self, other):
        """Return whether another part may have caused all of the crashes."""
        return all(other.has_crash_near(at) for at in self.crashed_at.values())


class SuspectPartTable:
    """Crashes by prompt part, known at this forwarder or told by its peers.

    A request that is served clears its parts of the crashes before its start, at all
    forwarders: a part that crashes engines crashes each one. Of the remaining parts,
    one that was never served and explains the crashes of the others is refused in their
    place.

    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, rng, write_log):
        self.rng = rng
        self.write_log = write_log
        self.suspects = OrderedDict()
        self.served = OrderedDict()
        self.refused = set()
        self.is_outdated = False

    def record_crash(self, crash, crashed_at):
        """Count a crash against a part, unless a request was served since.

        :param crash: :class:`PartCrash`.
        :param crashed_at: monotonic time of the crash, seconds.
        :returns: whether the part is not cleared of the crash.
        """
        if crashed_at < self.served.get(crash.part, -inf):
            return False
        suspect = self.suspects.get(crash.part)
        if suspect is None:
            suspect = self.suspects[crash.part] = SuspectPart()
            self.limit_suspects()
        if crash.backend in suspect.crashed_at or suspect.has_crash_near(crashed_at):
            return True
        suspect.crashed_at[crash.backend] = crashed_at
        suspect.probe_at = crashed_at + PROBE_INTERVAL_S * (1.0 + self.rng.random())
        self.is_outdated = True
        return True

    def limit_suspects(self):
        """Remove the oldest part that is not refused if there are too many."""
        if len(self.suspects) <= MAX_SUSPECT_PARTS:
            return
        for part in self.suspects:
            if part not in self.refused:
                break
        del self.suspects[part]
        self.refused.discard(part)

    def record_served(self, part, started_at):
        """Clear a part of the crashes before the start of a request that was served.

        :param started_at: monotonic time at which its response began, here or at a
            peer.
        :returns: whether there were such crashes, or this is the first such request of
            a part that crashes count against.
        """
        is_first = part not in self.served
        self.served[part] = max(started_at, self.served.get(part, -inf))
        self.served.move_to_end(part)
        if len(self.served) > MAX_SERVED_PARTS:
            self.served.popitem(last=False)
        suspect = self.suspects.get(part)
        if suspect is None:
            return False
        cleared = [
            backend
            for backend, crashed_at in suspect.crashed_at.items()
            if crashed_at < started_at
        ]
        for backend in cleared:
            del suspect.crashed_at[backend]
        if not suspect.crashed_at:
            del self.suspects[part]
        is_news = is_first or bool(cleared)
        self.is_outdated = self.is_outdated or is_news
        return is_news

    def find_refused(self, parts, now):
        """Return the first of some parts that is refused, or None.

        One request is let through as a probe once no crash was learned of for long.

        :param parts: ids of parts.
        """
        if not self.has_refused(now):
            return None
        for part in parts:
            if part in self.refused and not self.allows_probe(part, now):
                return part
        return None

    def has_refused(self, now):
        """Return whether any part is refused."""
        if self.is_outdated:
            self.update_refused(now)
        return bool(self.refused)

    def allows_probe(self, part, now):
        """Return whether a request with a refused part is let through now."""
        suspect = self.suspects[part]
        if now < suspect.probe_at:
            return False
        suspect.probe_at = now + PROBE_INTERVAL_S * (1.0 + self.rng.random())
        return True

    def update_refused(self, now):
        """Determine the parts that are refused."""
        self.is_outdated = False
        self.remove_expired(now)
        unserved = {
            part: suspect
            for part, suspect in self.suspects.items()
            if part not in self.served and suspect.n_crashes >= MAX_CRASHES
        }
        refused = {
            part
            for part, suspect in unserved.items()
            if not any(
                suspect.n_crashes < other.n_crashes and suspect.is_explained_by(other)
                for other in unserved.values()
            )
        }
        causes = [unserved[part] for part in refused]
        refused |= {
            part
            for part, suspect in self.suspects.items()
            if suspect.n_crashes >= MAX_CRASHES_SERVED
            and part not in unserved
            and not any(suspect.is_explained_by(cause) for cause in causes)
        }
        for part in refused ^ self.refused:
            self.log_change(part, part in refused)
        self.refused = refused

    def log_change(self, part, is_refused):
        """Log that a part is refused, or served again."""
        suspect = self.suspects.get(part)
        self.write_log(
            log_event(
                PART_REFUSED,
                part=f"{part:x}",
                is_refused=is_refused,
                n_crashes=suspect.n_crashes if suspect is not None else 0,
                was_served=part in self.served,
            )
        )

    def list_refused_crashes(self):
        """Return the crashes of the refused parts.

        :returns: pairs of :class:`PartCrash` and its monotonic time.
        """
        return [
            (PartCrash(part, backend), crashed_at)
            for part in self.refused
            if part in self.suspects
            for backend, crashed_at in self.suspects[part].crashed_at.items()
        ]

    def remove_expired(self, now):
        """Remove old crashes of parts that are not refused."""
        for part, suspect in list(self.suspects.items()):
            if part in self.refused:
                continue
            for backend, crashed_at in list(suspect.crashed_at.items()):
                if now - crashed_at > CRASH_TTL_S:
                    del suspect.crashed_at[backend]
            if not suspect.crashed_at:
                del self.suspects[part]
