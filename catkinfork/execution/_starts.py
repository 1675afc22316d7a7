"""Starts of attempts, and claims of keys."""

from catkinfork.execution import _codes as codes
from catkinfork.execution import _events as events
from catkinfork.execution._execution import Execution
from catkinfork.execution._key_admission import KeyAttach, KeyRefusal
from catkinfork.execution._key_records import PENDING, RELEASED
from catkinfork.observability import log_event
from catkinfork.protocol import ClaimReply, Send


class StartHandler:
    """Admits or refuses starts, and handles claims of keys.

    :param identity: :class:`Sender` of this process.
    :param capacity: :class:`Capacity`.
    :param suspects: :class:`SuspectTable`.
    :param keys: :class:`KeyAdmission`, which also holds the document in force.
    :param claims: :class:`ClaimTable`.
    :param runner: :class:`Runner`.
    """

    def __init__(self, identity, capacity, suspects, keys, claims, runner):
        self.identity = identity
        self.capacity = capacity
        self.suspects = suspects
        self.keys = keys
        self.claims = claims
        self.runner = runner

    def handle_start(self, sender, start, now):
        """Start or refuse an attempt; a duplicate start has no effect."""
        entry = self.runner.attempts.find(start.attempt)
        if entry is not None:
            refusal = entry.refusal
            return [Send(start.attempt.router, refusal)] if refusal else []
        age_s = None
        if start.agent_incarnation == self.identity.incarnation:
            age_s = self.capacity.tickets.redeem(start.ticket, now)
        if age_s is None:
            return self.refuse(start, codes.TICKET_INVALID, True, now)
        self.capacity.handover.record_ticket_age(age_s)
        if start.target not in self.keys.find_server().serves:
            return self.refuse(start, codes.TARGET_NOT_SERVED, True, now)
        if start.deadline_ms <= 0:
            outcome = codes.OUTCOME_UNKNOWN if start.key else codes.NOT_RUN
            return self.refuse(start, codes.DEADLINE_EXCEEDED, False, now, outcome)
        if start.key:
            return self.start_keyed(start, now)
        if self.suspects.is_blocked(start.fingerprint):
            return self.refuse(start, codes.REQUEST_BLOCKED, False, now)
        return self.runner.enqueue(
            Execution(start, None), compute_deadline(start, now), now
        )

    def refuse(self, start, code, is_retryable, now, outcome=codes.NOT_RUN):
        """Refuse an attempt, by default as not run."""
        return self.runner.refuse(start, code, outcome, is_retryable, now)

    def start_keyed(self, start, now):
        """Start an attempt with a key."""
        records = self.keys.records
        is_known = records.find(start.workspace, start.key) is not None
        if not is_known and self.suspects.is_blocked(start.fingerprint):
            outcome = self.keys.close_unstarted(start, now)
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
        deadline = compute_deadline(start, now)
        if isinstance(decision, KeyAttach):
            execution = record.execution
            answer = execution.answer if execution else record.answer
            return self.runner.attach(start.attempt, answer, execution, deadline, now)
        execution = record.execution = Execution(start, record)
        actions = self.runner.enqueue(execution, deadline, now)
        if decision.servers:
            execution.is_claiming = True
            actions += self.claims.send_claims(
                execution, decision.servers, self.keys.view, now
            )
        return actions

    def handle_claim(self, sender, claim, now):
        """Release a key that has not run here, or report what is known of it."""
        actions = []
        record = self.keys.records.find(claim.workspace, claim.key)
        if record is not None and record.state == PENDING:
            code = codes.KEY_RELEASED
            claimant = claim.claimant
            actions += self.runner.return_to_routers(
                record.execution, code, now, claimant
            )
        verdict = self.keys.decide_claim(claim, now)
        reply = ClaimReply(claim.claim, self.keys.backend_server, verdict)
        return [*actions, Send(sender.name, reply)]

    def handle_claim_reply(self, sender, reply, now):
        """Handle the reply to a claim of this server."""
        decided = self.claims.handle_reply(reply)
        if decided is None:
            return []
        execution, verdict = decided
        if verdict == RELEASED:
            execution.is_claiming = False
            return [log_claim(execution, verdict)]
        code = codes.KEY_RAN_ELSEWHERE if verdict == "ran" else codes.OWNER_UNREACHABLE
        return self.refuse_claimed(execution, code, now)

    def end_expired_claims(self, now):
        """Refuse the keys whose claims have timed out."""
        actions = []
        for execution in self.claims.remove_expired(now):
            actions += self.refuse_claimed(execution, codes.OWNER_UNREACHABLE, now)
        return actions

    def refuse_claimed(self, execution, code, now):
        """Refuse a key that another server may have run."""
        self.runner.discard(execution)
        refusals = self.runner.refuse_listeners(
            execution, code, codes.OUTCOME_UNKNOWN, False, now
        )
        return [log_claim(execution, code), *refusals]


def compute_deadline(start, now):
    """Return the monotonic time of the caller's deadline."""
    return now + start.deadline_ms / 1000


def log_claim(execution, verdict):
    """Return the log event of a decided claim."""
    start = execution.start
    values = {"request_id": start.request_id, "workspace": start.workspace}
    return log_event(events.CLAIM, verdict=verdict, **values)
