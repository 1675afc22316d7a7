"""Requests that are refused because they would crash a backend server."""

from math import inf

from catkinfork.balancing._events import (
    CRASH_RECORDED,
    CRASH_WITHDRAWN,
    REQUEST_BLOCKED,
)
from catkinfork.balancing._hashes import hash_name
from catkinfork.balancing._jobs import SUSPECT, Refusal
from catkinfork.balancing._survivors import SurvivorTable
from catkinfork.balancing._suspect_parts import PartCrash, SuspectPartTable
from catkinfork.balancing._suspects import SuspectTable
from catkinfork.observability import log_event

RETRY_AFTER_S = 30.0
# Time after its first event from which a request is not blamed for a crash, seconds:
# those that crash an engine do so as it begins to generate.
MAX_CRASH_ONSET_S = 0.5


class CrashGuard:
    """Crashes by whole request and by prompt part, and the refusals that follow.

    :param changes: :class:`ChangeSet` for the peers.
    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, changes, rng, write_log):
        self.changes = changes
        self.rng = rng
        self.write_log = write_log
        self.suspects = SuspectTable(rng)
        self.parts = SuspectPartTable(rng, write_log)
        self.survivors = SurvivorTable()

    def check(self, job, now):
        """Return a refusal if a request would crash the backend server that runs it.

        It, or others that share a part of its prompt, have crashed several.
        """
        is_blocked = self.suspects.is_blocked(job.fingerprint, now, job.request_id)
        part = self.find_refused_part(job, now)
        if not is_blocked and part is None:
            return None
        self.write_log(
            log_event(
                REQUEST_BLOCKED,
                request_id=job.request_id,
                workspace=job.workspace,
                fingerprint=f"{job.fingerprint:016x}",
                part="" if part is None else f"{part:x}",
            )
        )
        return Refusal(SUSPECT, RETRY_AFTER_S)

    def find_refused_part(self, job, now):
        """Return the first refused part of a job that is no probe, or None."""
        if not self.parts.has_refused(now):
            return None
        parts = job.shared_parts
        held = self.parts.list_held(parts)
        if not held:
            return None
        draw = self.draw(job)
        return self.parts.find_refused(parts, held, draw, job.probed_at, now)

    def draw(self, job):
        """Return the random number by which a job may be a probe.

        It stays, as a job that waits is checked often. One that has reached a backend
        server is no probe again.
        """
        if job.probe_draw is None:
            job.probe_draw = self.rng.random()
        if job.probed_at is not None and job.n_runs:
            job.probed_at = None
            job.probe_draw = inf
        return job.probe_draw

    def record_placed(self, job, now):
        """Record, and tell the peers, if a job with refused parts is placed."""
        for part in self.parts.list_held(job.shared_parts):
            job.probed_at = now
            self.parts.record_probe(part, now)
            self.changes.part_probes[part] = now

    def record_not_placed(self, job, now):
        """Record that a job could not be placed when it arrived."""
        self.parts.defer_probe(job.shared_parts, now)

    def record_served(self, placement, now):
        """Clear a request that was served, and its parts if an answer was generated."""
        job = placement.job
        if self.suspects.clear(job.fingerprint, now):
            self.changes.suspects[job.fingerprint] = 0
        if placement.first_event_at is not None:
            self.record_served_parts(placement)

    def record_later_event(self, placement, now):
        """Clear the parts of a request whose answer goes on after its begin.

        Load pattern: requests that crash engines come so often that no answer on the
        shared parts ends before its engine does.
        """
        is_onset = now - placement.first_event_at < MAX_CRASH_ONSET_S
        if not is_onset and not placement.has_cleared_parts:
            self.record_served_parts(placement)

    def record_served_parts(self, placement):
        """Clear the shared parts of a request on which an answer was generated."""
        placement.has_cleared_parts = True
        started_at = placement.first_event_at
        for part in placement.job.shared_parts:
            if self.parts.record_served(part, started_at):
                self.changes.served_parts[part] = started_at

    def record_crash(self, placement, now):
        """Count an attempt whose connection was lost."""
        job = placement.job
        n_crashes = self.suspects.record_crash(job.fingerprint, now)
        server = hash_start(placement)
        self.survivors.record_crash(server, now, job.fingerprint)
        self.changes.suspects[job.fingerprint] = n_crashes
        first_event_at = placement.first_event_at
        if first_event_at is None or now - first_event_at < MAX_CRASH_ONSET_S:
            self.record_part_crashes(placement, now)
        self.write_log(
            log_event(
                CRASH_RECORDED,
                request_id=job.request_id,
                backend_server=placement.backend.name,
                workspace=job.workspace,
                fingerprint=f"{job.fingerprint:016x}",
                n_crashes=n_crashes,
                parts=",".join(f"{part.name:x}" for part in job.parts),
            )
        )

    def record_part_crashes(self, placement, now):
        """Count a crash against the shared parts of a request."""
        server = hash_start(placement)
        for part in placement.job.shared_parts:
            crash = PartCrash(part, server)
            self.parts.record_crash(crash, now, placement.placed_at)
            self.changes.part_crashes[crash] = now

    def record_event(self, placement, now):
        """Withdraw crashes that an event of another request disproves.

        They count until then, so that those of a request that crashes each server are
        not counted late.
        """
        if not self.survivors.may_prove(placement):
            return
        server = hash_start(placement)
        if self.survivors.is_proof(server, placement, now):
            self.write_log(
                log_event(CRASH_WITHDRAWN, backend_server=placement.backend.name)
            )
            self.changes.survivors[server] = now
            self.record_survivor(server, now)

    def record_survivor(self, server, survived_at):
        """Withdraw the crashes of a backend server that has survived.

        :param server: hash of its name and start.
        :param survived_at: monotonic time until which it has, seconds.
        """
        self.parts.remove_crashes(server, survived_at)
        for fingerprint in self.survivors.record_survivor(server, survived_at):
            n_crashes = self.suspects.withdraw_crash(fingerprint)
            self.changes.withdrawn[fingerprint] = n_crashes

    def record_peer_part_crash(self, crash, crashed_at, placed_at):
        """Count a crash that a peer has seen; tell it if it is known to be none.

        :param crash: :class:`PartCrash`.
        :param crashed_at: monotonic time of the crash, seconds.
        :param placed_at: monotonic time at which the lost request was placed, seconds.
        """
        if self.survivors.has_survived(crash.backend, crashed_at):
            survived_at = self.survivors.survived_at[crash.backend]
            self.changes.survivors[crash.backend] = survived_at
            return
        self.survivors.record_crash(crash.backend, crashed_at)
        if not self.parts.record_crash(crash, crashed_at, placed_at):
            self.changes.served_parts[crash.part] = self.parts.served[crash.part]

    def repeat_part_crashes(self, now):
        """Add the crashes and the latest probes of prompt parts to the next frames.

        A forwarder that has started, or has lost a frame, learns of them.
        """
        self.changes.part_crashes.update(self.parts.list_crashes_to_repeat(now))
        self.changes.part_probes.update(self.parts.list_probes_to_repeat(now))


def is_open_probe(placement):
    """Return whether an attempt is to tell if a prompt part crashes, and has not."""
    return placement.job.probed_at is not None and not placement.has_cleared_parts


def hash_start(placement):
    """Return the hash of a backend server, which may start again under its name."""
    return hash_name(f"{placement.backend.name}/{placement.started_ms}")
