"""Records of the idempotency keys that ran here or must never run here."""

from collections import OrderedDict

from catkinfork.execution._codes import (
    KEY_IN_FUTURE,
    KEY_QUIET_TIME,
    KEY_TOO_OLD,
)
from catkinfork.execution._key_time import parse_key_time
from catkinfork.protocol import check_invariant

PENDING = "pending"
RUNNING = "running"
ANSWERED = "answered"
UNCERTAIN = "uncertain"
RELEASED = "released"
CLOSED = "closed"

ACTIVE_STATES = (PENDING, RUNNING)
# A node may use 256 MB, of which 200,000 records without answers take 115 MB.
MAX_TOTAL_ANSWER_BYTES = 48 * 1024 * 1024


class KeyRecord:
    """State of one key.

    :param name: pair of workspace and key.
    :param fingerprint: digest of workspace and body of the first submission.
    :param state: ``pending`` (has not run yet), ``running``, ``answered``,
        ``uncertain`` (may have run, without a complete answer), ``released`` or
        ``closed`` (never runs here).
    :param key_ms: creation time of a time-ordered key, None for an opaque one.
    :param now: monotonic time in seconds.
    """

    __slots__ = (
        "answer",
        "created_at",
        "execution",
        "fingerprint",
        "key_ms",
        "name",
        "released_to",
        "state",
    )

    def __init__(self, name, fingerprint, state, key_ms, now):
        self.name = name
        self.fingerprint = fingerprint
        self.state = state
        self.key_ms = key_ms
        self.created_at = now
        self.answer = None
        self.execution = None
        self.released_to = ""


class KeyRecords:
    """Bounded table of key records.

    A time-ordered key without a record that is not newer than ``floor_ms`` may have
    run, and so may an opaque key that was submitted before ``quiet_until``.

    :param settings: :class:`ExecutionSettings`.
    :param wall_offset_s: wall-clock time minus monotonic time.
    """

    def __init__(self, settings, wall_offset_s):
        self.settings = settings
        self.wall_offset_s = wall_offset_s
        self.time_ordered = OrderedDict()
        self.opaque = OrderedDict()
        self.answers = OrderedDict()
        self.n_answer_bytes = 0
        self.floor_ms = 0
        self.quiet_until = float("-inf")

    def compute_wall_ms(self, now):
        """Return the wall-clock time in milliseconds."""
        return int((now + self.wall_offset_s) * 1000)

    def raise_floor(self, now, propagation_s=0.0):
        """Treat keys without a record from before now as keys that may have run.

        :param now: monotonic time in seconds.
        :param propagation_s: time for which other processes may still run keys.
        """
        margin_ms = int((self.settings.key_margin_s + propagation_s) * 1000)
        self.floor_ms = max(self.floor_ms, self.compute_wall_ms(now) + margin_ms)
        quiet_until = now + propagation_s + self.settings.quiet_time_s
        self.quiet_until = max(self.quiet_until, quiet_until)

    def find(self, workspace, key):
        """Return the record of a key, or None."""
        name = (workspace, key)
        return self.time_ordered.get(name) or self.opaque.get(name)

    def check_new(self, key, now, age_s=0.0):
        """Check whether a key without a record is certain not to have run.

        :param age_s: time since the request was accepted by a router, in seconds.
        :returns: a refusal code, empty if the key may run or be released.
        """
        key_ms = parse_key_time(key)
        if key_ms is None:
            # A caller repeats an opaque key only within the quiet time, but the request
            # may wait at a router beyond it. The time of submission decides.
            return KEY_QUIET_TIME if now - age_s < self.quiet_until else ""
        if key_ms <= self.floor_ms:
            return KEY_TOO_OLD
        # A key dated in the future may have run before a restart and would still be
        # newer than the floor.
        margin_ms = self.settings.key_margin_s * 1000
        return KEY_IN_FUTURE if key_ms > self.compute_wall_ms(now) + margin_ms else ""

    def add(self, workspace, key, fingerprint, state, now):
        """Add a record for a key that passed :meth:`check_new`.

        :returns: the record, or None if there is no room for it.
        """
        if not self.ensure_room(now):
            return None
        key_ms = parse_key_time(key)
        # The eviction of a record may have raised the floor above this key.
        if key_ms is not None and key_ms <= self.floor_ms:
            return None
        record = KeyRecord((workspace, key), fingerprint, state, key_ms, now)
        self.select_table(record)[record.name] = record
        return record

    def select_table(self, record):
        """Return the table that holds a record."""
        return self.opaque if record.key_ms is None else self.time_ordered

    def ensure_room(self, now):
        """Evict the oldest inactive record if the table is full.

        :returns: whether there is room for one more.
        """
        if len(self.time_ordered) + len(self.opaque) < self.settings.max_key_records:
            return True
        oldest = now - self.settings.quiet_time_s
        for record in self.opaque.values():
            if record.created_at > oldest:
                break
            if record.state not in ACTIVE_STATES:
                expires_at = record.created_at + self.settings.quiet_time_s
                self.quiet_until = max(self.quiet_until, expires_at)
                self.remove(record)
                return True
        for record in self.time_ordered.values():
            if record.state not in ACTIVE_STATES:
                self.floor_ms = max(self.floor_ms, record.key_ms)
                self.remove(record)
                return True
        return False

    def remove(self, record):
        """Remove a record that is evicted or whose key has not run."""
        self.drop_answer(record)
        del self.select_table(record)[record.name]

    def record_start(self, record):
        """Record that a key is about to run.

        :raises InvariantError: if it has run, or its record was removed.
        """
        is_held = self.find(*record.name) is record
        detail = f"key of {record.name[0]} in state {record.state}, held {is_held}"
        check_invariant(is_held and record.state == PENDING, "key_runs_once", detail)
        record.state = RUNNING

    def record_answer(self, record):
        """Record that a key has completed, and keep its answer if it fits."""
        record.state = ANSWERED
        record.execution = None
        if not record.answer.is_recordable:
            record.answer = None
            return
        self.answers[record.name] = record
        self.n_answer_bytes += record.answer.estimate_bytes()
        while self.n_answer_bytes > MAX_TOTAL_ANSWER_BYTES:
            self.drop_answer(next(iter(self.answers.values())))

    def drop_answer(self, record):
        """Drop a recorded answer; the outcome of the key is then ``unknown``."""
        if self.answers.pop(record.name, None) is not None:
            self.n_answer_bytes -= record.answer.estimate_bytes()
        record.answer = None

    def finalize(self, record, state):
        """Set a final state without an answer."""
        record.state = state
        record.execution = None
        record.answer = None

    def release(self, workspace, key, claimant, now, age_s=0.0):
        """Record that a key will never run here because another server may run it.

        :returns: ``released``, or ``unknown`` if the key may have run here.
        """
        if self.check_new(key, now, age_s):
            return "unknown"
        record = self.add(workspace, key, b"", RELEASED, now)
        if record is None:
            return "unknown"
        record.released_to = claimant
        return RELEASED

    def check_invariants(self):
        """Check the bound on the number of records.

        :raises InvariantError: if it is exceeded.
        """
        n_records = len(self.time_ordered) + len(self.opaque)
        max_records = self.settings.max_key_records
        detail = f"{n_records} records, expected <= {max_records}"
        check_invariant(n_records <= max_records, "key_records_bounded", detail)
