"""Requests that are refused because they would crash a backend server."""

from catkinfork.balancing._events import CRASH_RECORDED, REQUEST_BLOCKED
from catkinfork.balancing._hashes import hash_name
from catkinfork.balancing._jobs import SUSPECT, Refusal
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
        self.write_log = write_log
        self.suspects = SuspectTable(rng)
        self.parts = SuspectPartTable(rng, write_log)

    def check(self, job, now):
        """Return a refusal if a request would crash the backend server that runs it.

        It, or others that share a part of its prompt, have crashed several.
        """
        is_blocked = self.suspects.is_blocked(job.fingerprint, now, job.request_id)
        part = self.parts.find_refused(job.shared_parts, now)
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

    def record_served(self, placement, now):
        """Clear a request that was served, and its parts if an answer was generated."""
        job = placement.job
        if self.suspects.clear(job.fingerprint, now):
            self.changes.suspects[job.fingerprint] = 0
        started_at = placement.first_event_at
        if started_at is None:
            return
        for part in job.shared_parts:
            if self.parts.record_served(part, started_at):
                self.changes.served_parts[part] = started_at

    def record_crash(self, placement, now):
        """Count an attempt whose connection was lost."""
        job = placement.job
        n_crashes = self.suspects.record_crash(job.fingerprint, now)
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
        entry = placement.backend.entry
        # A backend server may start again under its name.
        crashed = hash_name(f"{entry.name}/{entry.started_ms}")
        for part in placement.job.shared_parts:
            crash = PartCrash(part, crashed)
            self.parts.record_crash(crash, now)
            self.changes.part_crashes[crash] = now

    def record_peer_part_crash(self, crash, crashed_at):
        """Count a crash that a peer has seen; tell it if the part is cleared.

        :param crash: :class:`PartCrash`.
        :param crashed_at: monotonic time of the crash, seconds.
        """
        if not self.parts.record_crash(crash, crashed_at):
            self.changes.served_parts[crash.part] = self.parts.served[crash.part]

    def repeat_part_crashes(self):
        """Add the crashes of refused prompt parts to the next frames.

        A forwarder that has started, or has lost a frame, learns of them.
        """
        self.changes.part_crashes.update(self.parts.list_refused_crashes())
