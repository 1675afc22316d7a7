"""Acknowledgements, resumes and cancellations by routers."""

from catkinfork.execution import _codes as codes
from catkinfork.protocol import Send, StartRefused


class DeliveryHandler:
    """Handles messages of routers about attempts that they started earlier.

    :param identity: :class:`Sender` of this process.
    :param runner: :class:`Runner`.
    """

    def __init__(self, identity, runner):
        self.identity = identity
        self.runner = runner

    def handle_response_ack(self, sender, ack, now):
        """Drop the parts that a router has acknowledged."""
        attempts = self.runner.attempts
        entry = attempts.find(ack.attempt)
        if entry is None or entry.answer is None:
            return []
        entry.answer.acknowledge(ack.attempt, ack.next_sequence)
        attempts.extend_retention(ack.attempt, now)
        if entry.answer.is_acked_by(ack.attempt):
            entry.answer.remove_listener(ack.attempt)
            entry.answer = entry.execution = None
            attempts.close(ack.attempt, now)
        return []

    def handle_resume(self, sender, resume, now):
        """Resend parts, or report the outcome of the attempt."""
        attempts = self.runner.attempts
        attempt = resume.attempt
        if resume.agent_incarnation != self.identity.incarnation:
            return [refuse_unknown(attempt, codes.AGENT_RESTARTED)]
        entry = attempts.find(attempt)
        if entry is None and not attempts.is_forgotten(attempt):
            refusal = StartRefused(attempt, codes.ATTEMPT_UNKNOWN, codes.NOT_RUN, True)
            attempts.refuse(refusal, now)
            return [Send(attempt.router, refusal)]
        if entry is not None and entry.refusal is not None:
            return [Send(attempt.router, entry.refusal)]
        if entry is None or entry.answer is None:
            return [refuse_unknown(attempt, codes.ATTEMPT_FORGOTTEN)]
        entry.answer.acknowledge(attempt, resume.next_sequence)
        attempts.extend_retention(attempt, now)
        return entry.answer.send_from(attempt, resume.next_sequence, now)

    def handle_cancel(self, sender, cancel, now):
        """Abandon an attempt, which cancels its execution if it is cancellable."""
        attempts = self.runner.attempts
        attempt = cancel.attempt
        entry = attempts.find(attempt)
        if entry is None:
            # The start may still arrive, and must not run then.
            code = codes.ATTEMPT_CANCELLED
            attempts.refuse(StartRefused(attempt, code, codes.NOT_RUN, True), now)
            return []
        if entry.answer is None:
            return []
        return self.runner.abandon(attempt, entry, codes.ATTEMPT_CANCELLED, now)


def refuse_unknown(attempt, code):
    """Return the send of a refusal of an attempt that may have run."""
    refusal = StartRefused(attempt, code, codes.OUTCOME_UNKNOWN, False)
    return Send(attempt.router, refusal)
