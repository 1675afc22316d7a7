"""Responses of agents, and attempts that end without one."""

from catkinfork.membership import ReplaceLink
from catkinfork.observability import log_event
from catkinfork.protocol import Cancel, ResponseAck, Send
from catkinfork.routing._admission import check_blocked, check_placement
from catkinfork.routing._events import (
    ATTEMPT_LOST,
    ATTEMPT_RESUMED,
    REQUEST_ANSWERED,
    REQUEST_REDIRECTED,
    REQUEST_REQUEUED,
)
from catkinfork.routing._refusals import (
    AGENT_LOST,
    NO_BACKEND_SERVER,
    NOT_RUN,
    REDIRECT_LOOP,
    RETRIES_EXHAUSTED,
    UNKNOWN,
    make_agent_refusal,
    make_refusal,
)
from catkinfork.routing._requests import Respond
from catkinfork.routing._starts import compute_time_left

# Ticket races end after a few rounds; a longer series is a fault.
MAX_REFUSED_STARTS = 20
MAX_REDIRECTS = 3
# Failures that the backend server survives and that would occur again.
FINAL_FAILURES = frozenset({"cancelled", "too_expensive", "deadline_exceeded"})


def handle_part(state, sender, part, now, actions):
    """Pass the next expected part of a live attempt on, and drop others."""
    attempt = state.attempts.find(sender, part.attempt)
    if attempt is None:
        answer_stray_part(state, sender, part, actions)
        return
    attempt.note_sign(now)
    if part.sequence > attempt.next_sequence:
        if attempt.resumed_sequence != attempt.next_sequence:
            resume_attempt(state, attempt, "gap", now, actions)
        return
    if part.is_keepalive or part.sequence < attempt.next_sequence:
        return
    if part.failure:
        is_crash = part.failure not in FINAL_FAILURES
        lose_attempt(state, attempt, part.failure, is_crash, now, actions)
        return
    forward_part(state, attempt, part, now, actions)


def forward_part(state, attempt, part, now, actions):
    """Pass a part on to the caller and acknowledge it when due."""
    entry = attempt.entry
    attempt.next_sequence += 1
    entry.n_sent += 1
    if part.is_last:
        finish_attempt(state, attempt, now, actions)
    elif attempt.is_ack_due(now):
        actions.append(Send(attempt.agent, attempt.make_ack(now)))
    actions.append(
        Respond(
            entry.request.request_id,
            part.status,
            part.headers,
            part.data,
            part.is_last,
        )
    )


def finish_attempt(state, attempt, now, actions):
    """Close a request whose response is complete."""
    entry = attempt.entry
    actions.append(Send(attempt.agent, attempt.make_ack(now)))
    state.attempts.remove(attempt)
    state.attempts.note_complete(attempt)
    state.close_request(entry)
    state.counters.n_answered += 1
    event = log_event(
        REQUEST_ANSWERED,
        workspace=entry.request.workspace,
        request_id=entry.request.request_id,
        backend_server=attempt.backend_server,
        n_parts=attempt.next_sequence,
        n_tries=entry.n_tries,
        age_s=now - entry.submitted_at,
    )
    actions.append(event)


def answer_stray_part(state, sender, part, actions):
    """Let the agent end an attempt of this router that is not live.

    Only a keepalive or a last part is answered, so that a burst of late parts does not
    cause as many answers.
    """
    state.counters.n_stray_parts += 1
    if (
        part.attempt.router != state.identity.name
        or part.attempt in state.attempts.live
    ):
        return
    if not (part.is_keepalive or part.is_last or part.failure):
        return
    next_sequence = state.attempts.ended.get(part.attempt)
    if next_sequence is None:
        actions.append(Send(sender.name, Cancel(part.attempt)))
    else:
        actions.append(Send(sender.name, ResponseAck(part.attempt, next_sequence)))


def resume_attempt(state, attempt, reason, now, actions):
    """Replace the link to an agent and request the missing parts.

    A start of which the agent has shown no sign is repeated first, with the same
    attempt id and ticket, which the agent runs at most once.
    """
    entry = attempt.entry
    state.counters.n_resumed += 1
    if state.attempts.take_replacement(attempt.agent, now):
        actions.append(ReplaceLink(attempt.agent))
    if not attempt.is_heard and (entry.is_idempotent or entry.request.key):
        time_left_ms = compute_time_left(entry.request, now)
        start = attempt.start._replace(deadline_ms=time_left_ms)
        actions.append(Send(attempt.agent, start))
    actions.append(Send(attempt.agent, attempt.make_resume()))
    event = log_event(
        ATTEMPT_RESUMED,
        workspace=entry.request.workspace,
        request_id=entry.request.request_id,
        backend_server=attempt.backend_server,
        reason=reason,
        next_sequence=attempt.next_sequence,
        n_silences=attempt.n_silences,
    )
    actions.append(event)


def handle_start_refused(state, sender, message, now, actions):
    """Queue a request again that an agent did not run, or refuse it."""
    attempt = state.attempts.find(sender, message.attempt)
    if attempt is None or attempt.next_sequence > 0:
        return
    entry = attempt.entry
    state.attempts.remove(attempt)
    entry.n_tries -= 1
    entry.n_refused_starts += 1
    is_lost = message.outcome == UNKNOWN and not entry.request.key
    entry.may_have_run = entry.may_have_run or is_lost
    if message.redirect and entry.request.key:
        redirect_request(state, attempt, message, now, actions)
        return
    if message.is_retryable and may_start_again(entry):
        requeue_request(state, attempt, message.code, now, actions)
        return
    outcome = message.outcome if not entry.may_have_run else UNKNOWN
    outcome = outcome if outcome == NOT_RUN else UNKNOWN
    refusal = make_agent_refusal(
        message.code, outcome, f"the agent of {attempt.backend_server} refused it"
    )
    state.refuse(entry, refusal, now, actions)


def may_start_again(entry):
    """Return whether a request may be sent again after a refused start."""
    if entry.n_refused_starts > MAX_REFUSED_STARTS:
        return False
    return entry.is_idempotent or not entry.may_have_run


def redirect_request(state, attempt, message, now, actions):
    """Queue a keyed request for the server that holds the record of its key."""
    entry = attempt.entry
    entry.redirect = message.redirect
    entry.n_redirects += 1
    event = log_event(
        REQUEST_REDIRECTED,
        workspace=entry.request.workspace,
        request_id=entry.request.request_id,
        backend_server=attempt.backend_server,
        reason=message.code,
        redirect=message.redirect,
        n_redirects=entry.n_redirects,
    )
    actions.append(event)
    if entry.n_redirects > MAX_REDIRECTS:
        detail = f"{entry.n_redirects} redirects"
        refusal = make_refusal(REDIRECT_LOOP, entry.outcome, detail)
        state.refuse(entry, refusal, now, actions)
        return
    requeue_request(state, attempt, message.code, now, actions)


def requeue_request(state, attempt, reason, now, actions):
    """Put a request at the head of its queue, unless it can no longer run."""
    entry = attempt.entry
    refusal = check_placement(state, entry, now) or check_blocked(state, entry, now)
    if refusal is not None:
        state.refuse(entry, refusal, now, actions)
        return
    demand_class = state.classify(entry)
    if demand_class is None:
        refusal = make_refusal(NO_BACKEND_SERVER, entry.outcome)
        state.refuse(entry, refusal, now, actions)
        return
    state.enqueue(entry, demand_class, now, is_first=True)
    state.counters.n_requeued += 1
    event = log_event(
        REQUEST_REQUEUED,
        workspace=entry.request.workspace,
        request_id=entry.request.request_id,
        backend_server=attempt.backend_server,
        reason=reason,
        n_tries=entry.n_tries,
        n_tokens=state.budget.n_tokens,
        is_suspect=entry.is_suspect,
    )
    actions.append(event)


def lose_attempt(state, attempt, code, is_crash, now, actions):
    """End an attempt that may have run, and retry the request if that is allowed.

    :param code: code of the failure.
    :param is_crash: whether the backend server may have crashed with the request.
    """
    entry = attempt.entry
    state.attempts.remove(attempt)
    entry.may_have_run = True
    event = log_event(
        ATTEMPT_LOST,
        workspace=entry.request.workspace,
        request_id=entry.request.request_id,
        backend_server=attempt.backend_server,
        reason=code,
        n_parts=attempt.next_sequence,
        n_tries=entry.n_tries,
    )
    actions.append(event)
    is_final = code in FINAL_FAILURES
    if is_final or entry.n_sent or not entry.is_idempotent:
        detail = f"on {attempt.backend_server} after {attempt.next_sequence} parts"
        state.refuse(entry, make_loss(code, detail), now, actions)
        return
    retry_request(state, attempt, code, is_crash, now, actions)


def make_loss(code, detail):
    """Return the refusal of a request whose attempt was lost."""
    if code == AGENT_LOST.code:
        return make_refusal(AGENT_LOST, UNKNOWN, detail)
    return make_agent_refusal(code, UNKNOWN, f"the response failed {detail}")


def retry_request(state, attempt, code, is_crash, now, actions):
    """Queue an idempotent request again if the budget allows it."""
    entry = attempt.entry
    entry.is_suspect = entry.is_suspect or is_crash
    max_attempts = state.settings.routing.max_attempts
    if entry.n_tries >= max_attempts or not state.budget.take():
        detail = (
            f"{code}, {entry.n_tries} of {max_attempts} attempts, "
            f"{state.budget.n_tokens:.1f} retries left"
        )
        refusal = make_refusal(RETRIES_EXHAUSTED, UNKNOWN, detail)
        state.refuse(entry, refusal, now, actions)
        return
    state.counters.n_retries += 1
    requeue_request(state, attempt, code, now, actions)
