"""Detection of prompt parts that crash the engines that generate an answer on them.

Load pattern: requests that share one prompt part, and otherwise have nothing in common,
arrive at all forwarders and crash every engine that runs them. Each crash also ends the
sound requests that run there, and those share other parts with the crashing requests.
"""

from collections import OrderedDict
from math import inf
from typing import NamedTuple

from catkinfork.balancing._events import PART_REFUSED
from catkinfork.balancing._part_probes import (
    ProbeRecord,
    compute_probe_share,
    find_alternatives,
    is_decisive,
)
from catkinfork.observability import log_event

# Crashed backend servers after which a part that was never served is refused.
MAX_CRASHES = 3
# The same for a part that has been served before. It is more likely to have been lost
# with others. One less than the crashes that callers accept, as those of requests that
# run at the same time count once.
MAX_CRASHES_SERVED = 4
# Time between two crashes that count against a part, seconds, unless a request was
# placed between them. Servers that end together have another cause: a request ends the
# one that runs it, and the next one when it is sent there.
MIN_CRASH_INTERVAL_S = 0.25
# Time for which a crash counts against a part that is not refused, seconds.
CRASH_TTL_S = 60.0
# Crashes by which a part has to exceed another one that has the same ones, so that the
# other one is not refused. Fewer may be lost frames, or have another cause.
MIN_CRASH_LEAD = 2
# Time after the last crash until a request with a refused part is let through though
# it decides nothing, seconds; up to twice as long, so that the forwarders do not all
# try at once, and twice as long after each probe that crashed.
PROBE_INTERVAL_S = 120.0
# Time for which crashes are repeated to the peers, seconds.
REPEAT_TIME_S = 5.0
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
    hash, and ``placed_at`` that at which the latest request lost there was placed.
    """

    __slots__ = ("crashed_at", "placed_at", "probe_at", "probes")

    def __init__(self):
        self.crashed_at = {}
        self.placed_at = {}
        self.probe_at = 0.0
        self.probes = ProbeRecord()

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

    def has_crash_with(self, crashed_at, placed_at):
        """Return whether a crash at about the same time may have the same cause.

        :param placed_at: monotonic time at which the lost request was placed, seconds.
        """
        return any(
            abs(crashed_at - other) < MIN_CRASH_INTERVAL_S
            and placed_at < other
            and self.placed_at[backend] < crashed_at
            for backend, other in self.crashed_at.items()
        )

    def add_crash(self, backend, crashed_at, placed_at):
        """Add a crash; return whether it counts."""
        if backend in self.crashed_at:
            self.placed_at[backend] = max(self.placed_at[backend], placed_at)
            return False
        if self.has_crash_with(crashed_at, placed_at):
            return False
        self.crashed_at[backend] = crashed_at
        self.placed_at[backend] = placed_at
        return True

    def remove_crash(self, backend):
        """Remove the crash of a backend server."""
        del self.crashed_at[backend]
        del self.placed_at[backend]

    def is_explained_by(self, other):
        """Return whether another part may have caused all of the crashes."""
        return all(other.has_crash_near(at) for at in self.crashed_at.values())

    def is_outweighed_by(self, other):
        """Return whether another part explains the crashes, and clearly more."""
        lead = other.n_crashes - self.n_crashes
        if lead < 1 or not self.is_explained_by(other):
            return False
        return lead >= MIN_CRASH_LEAD or other.has_crashed_probe(self)

    def list_crashes_since_probe(self):
        """Return the monotonic times of the crashes since the first probe."""
        return [at for at in self.crashed_at.values() if at >= self.probes.first_at]

    def has_crashed_probe(self, other):
        """Return whether there is a crash since a probe that another one lacks."""
        return not all(
            other.has_crash_near(at) for at in self.list_crashes_since_probe()
        )


class SuspectPartTable:
    """Crashes by prompt part, known at this forwarder or told by its peers.

    A request that is served clears its parts of the crashes before its start, at all
    forwarders: a part that crashes engines crashes each one. Of the remaining parts,
    one that was never served and explains the crashes of the others is refused in their
    place. Between refused parts, requests that hold only some of them decide.

    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, rng, write_log):
        self.rng = rng
        self.write_log = write_log
        self.suspects = OrderedDict()
        self.served = OrderedDict()
        self.refused = set()
        self.alternatives = {}
        self.is_outdated = False

    def record_crash(self, crash, crashed_at, placed_at=-inf):
        """Count a crash against a part, unless a request was served since.

        :param crash: :class:`PartCrash`.
        :param crashed_at: monotonic time of the crash, seconds.
        :param placed_at: monotonic time at which the lost request was placed, seconds.
        :returns: whether the part is not cleared of the crash.
        """
        if crashed_at < self.served.get(crash.part, -inf):
            return False
        suspect = self.suspects.get(crash.part)
        if suspect is None:
            suspect = self.suspects[crash.part] = SuspectPart()
            self.limit_suspects()
        if suspect.add_crash(crash.backend, crashed_at, placed_at):
            self.delay_probe(suspect, crashed_at)
            self.is_outdated = True
        return True

    def remove_crashes(self, backend, survived_at):
        """Remove the crashes of a backend server that has survived.

        :param backend: its hash.
        :param survived_at: monotonic time until which it has, seconds.
        """
        for part, suspect in list(self.suspects.items()):
            if suspect.crashed_at.get(backend, inf) < survived_at:
                suspect.remove_crash(backend)
                self.is_outdated = True
                if not suspect.crashed_at:
                    del self.suspects[part]

    def find_placed_at(self, crash):
        """Return when the latest request with a part was placed before a crash.

        :returns: monotonic time, seconds, or None if it is unknown.
        """
        suspect = self.suspects.get(crash.part)
        placed_at = (
            -inf if suspect is None else suspect.placed_at.get(crash.backend, -inf)
        )
        return placed_at if placed_at > -inf else None

    def delay_probe(self, suspect, since):
        """Let no request through, but those that decide, for long."""
        n_failed = len(suspect.list_crashes_since_probe())
        interval_s = PROBE_INTERVAL_S * 2.0**n_failed
        suspect.probe_at = since + interval_s * (1.0 + self.rng.random())

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
            suspect.remove_crash(backend)
        if not suspect.crashed_at:
            del self.suspects[part]
        is_news = is_first or bool(cleared)
        self.is_outdated = self.is_outdated or is_news
        return is_news

    def find_refused(self, parts, held, draw, probed_at, now):
        """Return the first refused part of a request that is no probe, or None.

        A request is let through as a probe if it decides between refused parts, or once
        no crash was learned of for long.

        :param parts: ids of the parts of the request that others may have.
        :param held: those of them that are refused.
        :param draw: random number of the request, from 0 to 1.
        :param probed_at: monotonic time at which it was placed as a probe, or None.
        """
        if self.allows_decision(parts, held, now, draw, probed_at):
            return None
        for part in held:
            if now < self.suspects[part].probe_at:
                return part
        return None

    def list_held(self, parts):
        """Return those of some parts that are refused."""
        return [part for part in parts if part in self.refused]

    def allows_decision(self, parts, held, now, draw, probed_at):
        """Return whether a request may be the one that decides between parts."""
        if not is_decisive(parts, held, self.alternatives):
            return False
        names = set(held).union(*(self.alternatives[part] for part in held))
        group = [self.suspects[name] for name in names if name in self.suspects]
        if probed_at is not None:
            # It goes on elsewhere, as it has reached no backend server.
            return all(
                at < probed_at for one in group for at in one.crashed_at.values()
            )
        n_others = len(names.difference(parts))
        risk = (len(names) - n_others) / n_others
        return draw <= compute_probe_share(group, risk, now)

    def record_probe(self, part, placed_at):
        """Record a request with a refused part, placed here or at a peer.

        :param placed_at: monotonic time, seconds.
        """
        suspect = self.suspects.get(part)
        if suspect is None:
            return
        suspect.probes.record(placed_at)
        self.delay_probe(suspect, placed_at)
        self.is_outdated = True

    def defer_probe(self, parts, now):
        """Record that a request with refused parts could not be placed."""
        for part in self.list_held(parts):
            if part in self.suspects:
                self.suspects[part].probes.deferred_at = now

    def has_refused(self, now):
        """Return whether any part is refused."""
        if self.is_outdated:
            self.update_refused(now)
        return bool(self.refused)

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
            if not any(suspect.is_outweighed_by(other) for other in unserved.values())
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
        self.alternatives = {
            part: find_alternatives(self.suspects, part) for part in refused
        }

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

    def list_crashes_to_repeat(self, now):
        """Return the crashes of refused parts, and the latest ones of those with two.

        :returns: pairs of :class:`PartCrash` and its monotonic time.
        """
        return [
            (PartCrash(part, backend), crashed_at)
            for part, suspect in self.suspects.items()
            for backend, crashed_at in suspect.crashed_at.items()
            if part in self.refused
            or (suspect.n_crashes > 1 and now - crashed_at < REPEAT_TIME_S)
        ]

    def list_probes_to_repeat(self, now):
        """Return the latest probes.

        :returns: pairs of a part and the monotonic time of its probe.
        """
        return [
            (part, suspect.probes.last_at)
            for part, suspect in self.suspects.items()
            if now - suspect.probes.last_at < REPEAT_TIME_S
        ]

    def remove_expired(self, now):
        """Remove old crashes of parts that are not refused."""
        for part, suspect in list(self.suspects.items()):
            if part in self.refused:
                continue
            for backend, crashed_at in list(suspect.crashed_at.items()):
                if now - crashed_at > CRASH_TTL_S:
                    suspect.remove_crash(backend)
            if not suspect.crashed_at:
                del self.suspects[part]
