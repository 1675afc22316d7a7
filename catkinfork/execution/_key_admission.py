"""Admission of requests with an idempotency key."""

from typing import NamedTuple

from catkinfork.document import LOST, find_acting_owner, rank_key_servers
from catkinfork.execution import _codes as codes
from catkinfork.execution._key_records import (
    ANSWERED,
    CLOSED,
    PENDING,
    RELEASED,
    RUNNING,
    KeyRecord,
    KeyRecords,
)

# Every process applies a document within this time (requirement R10). Until then,
# another server may still run keys that the new ranking assigns to this one.
DOCUMENT_PROPAGATION_S = 6.0


class KeyRefusal(NamedTuple):
    """The start is refused."""

    code: str
    outcome: str
    is_retryable: bool
    redirect: str = ""


class KeyAttach(NamedTuple):
    """The key has run, is running or is pending; the attempt shares its answer."""

    record: KeyRecord


class KeyRun(NamedTuple):
    """The key may run here once the higher-ranked servers have released it."""

    record: KeyRecord
    servers: list[str]


def refuse_unknown(code):
    """Return a refusal of a key that may have run."""
    return KeyRefusal(code, codes.OUTCOME_UNKNOWN, False)


class KeyAdmission:
    """Admits or refuses keyed starts, and decides claims of other servers.

    :param settings: :class:`ExecutionSettings`.
    :param backend_server: name of this backend server.
    :param wall_offset_s: wall-clock time minus monotonic time.
    """

    def __init__(self, settings, backend_server, wall_offset_s):
        self.backend_server = backend_server
        self.records = KeyRecords(settings, wall_offset_s)
        self.view = None
        self.key_servers = None
        self.is_lost = False

    def apply_document(self, view, now):
        """Apply a document; raise the floor if it may move keys to this server.

        :returns: cause of the raised floor, empty if it was not raised.
        """
        previous = self.key_servers
        entry = view.backend_servers.get(self.backend_server)
        self.view = view
        if entry is None:
            self.key_servers = {}
            return ""
        if entry.state == LOST:
            self.is_lost = True
        servers = view.list_pool(entry.pool)
        targets = {target for server in servers for target in server.serves}
        self.key_servers = {
            target: frozenset(view.list_key_servers(entry.pool, target))
            for target in targets
        }
        if previous is None:
            self.records.raise_floor(now)
            return "first_document"
        if previous == self.key_servers:
            return ""
        is_stopped = self.has_only_lost_servers_removed(previous)
        self.records.raise_floor(now, 0.0 if is_stopped else DOCUMENT_PROPAGATION_S)
        return "key_servers_changed"

    def find_server(self):
        """Return the entry of this backend server in the document in force."""
        return self.view.backend_servers[self.backend_server]

    def has_only_lost_servers_removed(self, previous):
        """Return whether the only change is the removal of servers marked lost.

        A lost server has stopped, so no process still runs its keys.
        """
        for target in previous.keys() | self.key_servers.keys():
            before = previous.get(target, frozenset())
            after = self.key_servers.get(target, frozenset())
            if after - before:
                return False
            for name in before - after:
                entry = self.view.backend_servers.get(name)
                if entry is None or entry.state != LOST:
                    return False
        return True

    def decide(self, start, now):
        """Decide on a keyed start with a valid ticket.

        :returns: :class:`KeyRefusal`, :class:`KeyAttach` or :class:`KeyRun`.
        """
        if self.is_lost:
            return refuse_unknown(codes.SERVER_LOST)
        record = self.records.find(start.workspace, start.key)
        if record is not None:
            return self.decide_known(record, start)
        owners = rank_key_servers(self.view, start.workspace, start.key, start.target)
        owner = find_acting_owner(self.view, owners)
        if owner != self.backend_server:
            return KeyRefusal(codes.NOT_OWNER, codes.NOT_RUN, True, owner or "")
        code = self.records.check_new(start.key, now, start.age_ms / 1000)
        if code:
            return refuse_unknown(code)
        record = self.add(start, PENDING, now)
        if record is None:
            return refuse_unknown(codes.KEY_RECORDS_FULL)
        return KeyRun(record, owners[: owners.index(owner)])

    def add(self, start, state, now):
        """Add a record for the key of a start, or return None if there is no room."""
        return self.records.add(
            start.workspace, start.key, start.fingerprint, state, now
        )

    def decide_known(self, record, start):
        """Decide on a start whose key has a record."""
        if record.state == RELEASED:
            return KeyRefusal(
                codes.KEY_RELEASED, codes.OUTCOME_UNKNOWN, True, record.released_to
            )
        if record.fingerprint != start.fingerprint:
            return refuse_unknown(codes.KEY_REUSED)
        if record.state == CLOSED:
            return KeyRefusal(codes.KEY_CLOSED, codes.NOT_RUN, False)
        if record.state in (PENDING, RUNNING):
            answer = record.execution.answer
            is_whole = answer.has_all_parts
            return (
                KeyAttach(record) if is_whole else refuse_unknown(codes.ANSWER_NOT_KEPT)
            )
        if record.state == ANSWERED and record.answer is not None:
            return KeyAttach(record)
        if record.state == ANSWERED:
            return refuse_unknown(codes.ANSWER_NOT_KEPT)
        return refuse_unknown(codes.KEY_OUTCOME_UNKNOWN)

    def close_unstarted(self, start, now):
        """Close the key of a request that is refused before it could run.

        :returns: ``not_run`` if the key never ran and never will, else ``unknown``.
        """
        age_s = start.age_ms / 1000
        if self.is_lost or self.records.check_new(start.key, now, age_s):
            return codes.OUTCOME_UNKNOWN
        owners = rank_key_servers(self.view, start.workspace, start.key, start.target)
        if not owners or owners[0] != self.backend_server:
            return codes.OUTCOME_UNKNOWN
        record = self.add(start, CLOSED, now)
        return codes.OUTCOME_UNKNOWN if record is None else codes.NOT_RUN

    def decide_claim(self, claim, now):
        """Return the verdict on a claim of a key that is not pending here."""
        if self.is_lost or claim.backend_server != self.backend_server:
            return codes.OUTCOME_UNKNOWN
        record = self.records.find(claim.workspace, claim.key)
        if record is None:
            age_s = claim.age_ms / 1000
            return self.records.release(
                claim.workspace, claim.key, claim.claimant, now, age_s
            )
        if record.state == RELEASED:
            return RELEASED
        return codes.OUTCOME_UNKNOWN if record.state == CLOSED else "ran"
