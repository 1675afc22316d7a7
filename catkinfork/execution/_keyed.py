"""Decisions about requests with an idempotency key."""

from typing import NamedTuple

from catkinfork.document import LOST, find_acting_owner, rank_key_servers
from catkinfork.execution import _codes as codes
from catkinfork.execution._records import (
    ANSWERED,
    CLOSED,
    PENDING,
    RELEASED,
    RUNNING,
    KeyRecord,
    KeyRecords,
)

# A document is in force everywhere within this time (R10). Until then another server
# may still run keys that the new ranking gives to this one.
DOCUMENT_SPREAD_S = 6.0


class KeyRefusal(NamedTuple):
    """The request does not run here."""

    code: str
    outcome: str
    is_retryable: bool
    redirect: str = ""


class KeyAttach(NamedTuple):
    """The key has run or is about to; its answer is shared."""

    record: KeyRecord


class KeyRun(NamedTuple):
    """The key may run here once the servers ranked before have released it."""

    record: KeyRecord
    servers: list[str]


def refuse_unknown(code):
    """Return a refusal of a key that may have run."""
    return KeyRefusal(code, codes.OUTCOME_UNKNOWN, False)


class KeyDesk:
    """Decides what a keyed start leads to, and answers claims.

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

    def adopt(self, view, now):
        """Take a document; raise the floor if it may move keys to this server.

        :returns: cause of a raised floor, empty if it stays.
        """
        former = self.key_servers
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
        if former is None:
            self.records.raise_floor(now)
            return "first_document"
        if former == self.key_servers:
            return ""
        is_stopped = self.only_lost(former)
        self.records.raise_floor(now, 0.0 if is_stopped else DOCUMENT_SPREAD_S)
        return "key_servers_changed"

    def find_server(self):
        """Return the entry of this backend server in the document in force."""
        return self.view.backend_servers[self.backend_server]

    def only_lost(self, former):
        """Return whether the key servers changed only by servers marked lost.

        A lost server has stopped, so no other process still runs its keys.
        """
        for target in former.keys() | self.key_servers.keys():
            before = former.get(target, frozenset())
            after = self.key_servers.get(target, frozenset())
            if after - before:
                return False
            for name in before - after:
                entry = self.view.backend_servers.get(name)
                if entry is None or entry.state != LOST:
                    return False
        return True

    def decide(self, start, now):
        """Decide about a keyed start with a valid ticket.

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
        """Add a record for the key of a start, None if there is no room."""
        return self.records.add(
            start.workspace, start.key, start.fingerprint, state, now
        )

    def decide_known(self, record, start):
        """Decide about a key that has a record."""
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
            is_whole = answer.is_complete_copy
            return (
                KeyAttach(record) if is_whole else refuse_unknown(codes.ANSWER_NOT_KEPT)
            )
        if record.state == ANSWERED and record.answer is not None:
            return KeyAttach(record)
        if record.state == ANSWERED:
            return refuse_unknown(codes.ANSWER_NOT_KEPT)
        return refuse_unknown(codes.KEY_OUTCOME_UNKNOWN)

    def close_new(self, start, now):
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

    def answer_claim(self, claim, now):
        """Return the verdict on a claim of a key that is not waiting here."""
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
