"""Starts of attempts, and claims of keys."""

from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.execution._execution import Execution
from catkinfork.execution._keyed import KeyAttach, KeyRefusal
from catkinfork.execution._records import PENDING, RELEASED
from catkinfork.observability import log_event
from catkinfork.protocol import ClaimReply, Send


class StartDesk:
    """Decides about starts and about claims of keys.

    :param identity: :class:`Sender` of this process.
    :param capacity: :class:`Capacity`.
    :param suspects: :class:`SuspectBook`.
    :param keys: :class:`KeyDesk`, which also holds the document in force.
    :param claims: :class:`ClaimBook`.
    :param runner: :class:`Runner`.
    """

    def __init__(self, identity, capacity, suspects, keys, claims, runner):
        self.identity = identity
        self.capacity = capacity
        self.suspects = suspects
        self.keys = keys
        self.claims = claims
        self.runner = runner

    def take_start(self, sender, start, now):
        """Start an attempt, or refuse it; a repeated start changes nothing."""
        entry = self.runner.attempts.find(start.attempt)
        if entry is not None:
            refusal = entry.refusal
            return [Send(start.attempt.router, refusal)] if refusal else []
        age_s = None
        if start.agent_incarnation == self.identity.incarnation:
            age_s = self.capacity.tickets.take(start.ticket, now)
        if age_s is None:
            return self.refuse(start, codes.TICKET_INVALID, True, now)
        self.capacity.handover.note_age(age_s)
        if start.target not in self.keys.find_server().serves:
            return self.refuse(start, codes.TARGET_NOT_SERVED, True, now)
        if start.deadline_ms <= 0:
            outcome = codes.OUTCOME_UNKNOWN if start.key else codes.NOT_RUN
            return self.refuse(start, codes.DEADLINE_EXCEEDED, False, now, outcome)
        if start.key:
            return self.start_keyed(start, now)
        if self.suspects.is_blocked(start.fingerprint):
            return self.refuse(start, codes.REQUEST_BLOCKED, False, now)
        return self.runner.add(Execution(start, None), find_deadline(start, now), now)

    def refuse(self, start, code, is_retryable, now, outcome=codes.NOT_RUN):
        """Refuse an attempt that has not run."""
        return self.runner.refuse(start, code, outcome, is_retryable, now)

    def start_keyed(self, start, now):
        """Start an attempt with a key."""
        records = self.keys.records
        is_known = records.find(start.workspace, start.key) is not None
        if not is_known and self.suspects.is_blocked(start.fingerprint):
            outcome = self.keys.close_new(start, now)
            return self.refuse(start, codes.REQUEST_BLOCKED, False, now, outcome)
        decision = self.keys.decide(start, now)
        if isinstance(decision, KeyRefusal):
            return self.runner.refuse(
                start,
                decision.code,
                decision.outcome,
                decision.is_retryable,
                now,
                decision.redirect,
            )
        record = decision.record
        deadline = find_deadline(start, now)
        if isinstance(decision, KeyAttach):
            execution = record.execution
            answer = execution.answer if execution else record.answer
            return self.runner.listen(start.attempt, answer, execution, deadline, now)
        execution = record.execution = Execution(start, record)
        actions = self.runner.add(execution, deadline, now)
        if decision.servers:
            execution.is_claiming = True
            actions += self.claims.claim(
                execution, decision.servers, self.keys.view, now
            )
        return actions

    def take_claim(self, sender, claim, now):
        """Release a key if it has not run here, or say what is known of it."""
        actions = []
        record = self.keys.records.find(claim.workspace, claim.key)
        if record is not None and record.state == PENDING:
            code = codes.KEY_RELEASED
            claimant = claim.claimant
            actions += self.runner.give_back(record.execution, code, now, claimant)
        verdict = self.keys.answer_claim(claim, now)
        reply = ClaimReply(claim.claim, self.keys.backend_server, verdict)
        return [*actions, Send(sender.name, reply)]

    def take_claim_reply(self, sender, reply, now):
        """Take the answer to a claim of this server."""
        decided = self.claims.take_reply(reply)
        if decided is None:
            return []
        execution, verdict = decided
        if verdict == RELEASED:
            execution.is_claiming = False
            return [log_claim(execution, verdict)]
        code = codes.KEY_RAN_ELSEWHERE if verdict == "ran" else codes.OWNER_UNREACHABLE
        return self.end_claim(execution, code, now)

    def end_expired_claims(self, now):
        """Refuse the keys whose claims were not answered in time."""
        actions = []
        for execution in self.claims.take_expired(now):
            actions += self.end_claim(execution, codes.OWNER_UNREACHABLE, now)
        return actions

    def end_claim(self, execution, code, now):
        """Refuse a key that another server may have run."""
        self.runner.discard(execution)
        refusals = self.runner.refuse_listeners(
            execution, code, codes.OUTCOME_UNKNOWN, False, now
        )
        return [log_claim(execution, code), *refusals]


def find_deadline(start, now):
    """Return the monotonic time of the caller's deadline."""
    return now + start.deadline_ms / 1000


def log_claim(execution, verdict):
    """Return the log event of a decided claim."""
    start = execution.start
    values = {"request_id": start.request_id, "workspace": start.workspace}
    return log_event(events.CLAIM, verdict=verdict, **values)
