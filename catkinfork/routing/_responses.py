"""Responses from agents, and handling of attempts that end without one."""

from catkinfork.membership import ReplaceConnection
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
    AGENT_RESTARTED,
    NOT_RUN,
    OWNER_UNREACHABLE,
    REDIRECT_LOOP,
    REQUEST_BLOCKED,
    RETRIES_EXHAUSTED,
    UNKNOWN,
    build_agent_refusal,
    build_refusal,
)
from catkinfork.routing._requests import Respond
from catkinfork.routing._starts import compute_time_left_ms

# Ticket races resolve after a few refused starts; a longer series is a fault.
MAX_REFUSED_STARTS = 20
MAX_REDIRECTS = 5
# Failures that another attempt would meet again.
NON_RETRYABLE_FAILURES = frozenset(
    {"cancelled", "deadline_exceeded", "response_too_large", "too_expensive"}
)
BACKEND_CRASHED = "backend_crashed"
# Crashes after which this router no longer retries a request.
MAX_CRASHES = 2
# Failures that do not mark the request as a suspected cause of a crash.
NON_CRASH_FAILURES = NON_RETRYABLE_FAILURES | {
    "agent_lost",
    "attempt_forgotten",
    "attempt_unknown",
    "backend_overloaded",
    "router_silent",
}


def handle_response_part(state, sender, part, now, actions):
    """Process a response part; only the next one in sequence is forwarded.

    A gap in the sequence makes the router request the missing parts again; duplicates
    are dropped.
    """
    attempt = state.attempts.find(sender, part.attempt)
    if attempt is None:
        handle_unmatched_part(state, sender, part, actions)
        return
    attempt.record_activity(now)
    if part.sequence > attempt.next_sequence:
        if attempt.is_resume_due(now):
            resume_attempt(state, attempt, "gap", now, actions)
        return
    if part.is_keepalive or part.sequence < attempt.next_sequence:
        return
    if part.failure:
        attempt.next_sequence += 1
        actions.append(Send(attempt.agent, attempt.build_ack(now)))
        state.attempts.record_completion(attempt)
        fail_attempt(state, attempt, part.failure, True, now, actions)
        return
    forward_part(state, attempt, part, now, actions)


def forward_part(state, attempt, part, now, actions):
    """Forward a part to the caller and acknowledge it to the agent when due."""
    entry = attempt.entry
    attempt.next_sequence += 1
    if entry.n_parts_sent == 0:
        attempt.start = None
        entry.release_payload()
    entry.n_parts_sent += 1
    if part.is_last:
        finish_attempt(state, attempt, now, actions)
    elif attempt.is_ack_due(now):
        actions.append(Send(attempt.agent, attempt.build_ack(now)))
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
    """Close a request after the last part of its response."""
    entry = attempt.entry
    actions.append(Send(attempt.agent, attempt.build_ack(now)))
    state.attempts.record_completion(attempt)
    state.attempts.remove(attempt)
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


def handle_unmatched_part(state, sender, part, actions):
    """Answer a part of an attempt that is no longer live, so that the agent ends it.

    A completed attempt is acknowledged, any other is cancelled. Only keepalives and
    final parts are answered, so that a burst of late parts does not cause a burst of
    answers.
    """
    state.counters.n_unmatched_parts += 1
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

    If the agent has sent nothing for the attempt, its start may have been lost and is
    sent again first. It has the same attempt id and ticket, and the agent runs it at
    most once.
    """
    entry = attempt.entry
    state.counters.n_resumed += 1
    if state.attempts.allow_link_replacement(attempt.agent, now):
        actions.append(ReplaceConnection(attempt.agent))
    if is_start_resend_allowed(state, attempt):
        time_left_ms = compute_time_left_ms(entry.request, now)
        start = attempt.start._replace(deadline_ms=time_left_ms)
        actions.append(Send(attempt.agent, start))
    actions.append(Send(attempt.agent, attempt.build_resume(now)))
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


def is_start_resend_allowed(state, attempt):
    """Return whether an unacknowledged start may be sent again."""
    entry = attempt.entry
    if attempt.has_activity or not state.view.is_in_service(attempt.backend_server):
        return False
    return entry.is_idempotent or entry.request.key != ""


def handle_start_refused(state, sender, message, now, actions):
    """Requeue, redirect or refuse a request whose start an agent refused."""
    attempt = state.attempts.find(sender, message.attempt)
    if attempt is None:
        return
    entry = attempt.entry
    may_have_run = message.outcome != NOT_RUN and not entry.request.key
    if may_have_run or attempt.next_sequence > 0:
        is_retryable = message.is_retryable
        fail_attempt(state, attempt, message.code, is_retryable, now, actions)
        return
    state.attempts.remove(attempt)
    entry.n_tries -= 1
    entry.n_refused_starts += 1
    if message.redirect and entry.request.key:
        redirect_request(state, attempt, message, now, actions)
        return
    if message.is_retryable and is_requeue_allowed(entry):
        requeue_request(state, attempt, message.code, now, actions)
        return
    # A retryable refusal leaves the idempotency key open, so a copy of the request may
    # still run.
    is_key_open = entry.request.key and message.is_retryable
    is_not_run = message.outcome == NOT_RUN and not (entry.may_have_run or is_key_open)
    outcome = NOT_RUN if is_not_run else UNKNOWN
    refusal = build_agent_refusal(
        message.code,
        outcome,
        f"the agent of {attempt.backend_server} refused the request",
    )
    state.refuse(entry, refusal, now, actions)


def is_requeue_allowed(entry):
    """Return whether a request may be queued again after a refused start."""
    if entry.n_refused_starts > MAX_REFUSED_STARTS:
        return False
    return entry.is_idempotent or not entry.may_have_run


def redirect_request(state, attempt, message, now, actions):
    """Queue a keyed request for the backend server that holds its key record."""
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
    is_out_of_service = not state.view.is_in_service(message.redirect)
    if entry.n_redirects > MAX_REDIRECTS:
        code = OWNER_UNREACHABLE if is_out_of_service else REDIRECT_LOOP
        detail = f"{entry.n_redirects} redirects, the last to {message.redirect}"
        refusal = build_refusal(code, entry.outcome, detail)
        state.refuse(entry, refusal, now, actions)
        return
    if is_out_of_service:
        # The agent may still have an older document. The start carries the version of
        # this router's document, which the agent then requests.
        entry.redirect = ""
    requeue_request(state, attempt, message.code, now, actions)


def requeue_request(state, attempt, reason, now, actions):
    """Insert a request at the head of its queue, or refuse it if it cannot run."""
    entry = attempt.entry
    refusal = check_placement(state, entry, now) or check_blocked(state, entry, now)
    if refusal is not None:
        state.refuse(entry, refusal, now, actions)
        return
    state.enqueue(entry, state.classify(entry), is_first=True)
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


def abort_attempt(state, attempt, now, actions):
    """Cancel and fail an attempt at an unresponsive agent, which may still run it."""
    actions.append(Send(attempt.agent, Cancel(attempt.id)))
    fail_attempt(state, attempt, AGENT_LOST.code, True, now, actions)


def fail_attempt(state, attempt, code, is_retryable, now, actions):
    """End an attempt that may have run, and retry or refuse its request.

    :param code: code of the failure.
    :param is_retryable: whether another attempt may succeed.
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
    is_final = code in NON_RETRYABLE_FAILURES or not is_retryable
    if is_final or entry.n_parts_sent or not entry.is_idempotent:
        detail = f"on {attempt.backend_server} after {entry.n_parts_sent} parts"
        state.refuse(entry, build_failure_refusal(code, detail), now, actions)
        return
    retry_request(state, attempt, code, now, actions)


def build_failure_refusal(code, detail):
    """Build the refusal for a request whose last attempt failed."""
    for known in (AGENT_LOST, AGENT_RESTARTED):
        if code == known.code:
            return build_refusal(known, UNKNOWN, detail)
    return build_agent_refusal(code, UNKNOWN, f"the response failed {detail}")


def retry_request(state, attempt, code, now, actions):
    """Requeue an idempotent request within its attempt limit and the retry budget."""
    entry = attempt.entry
    if code not in NON_CRASH_FAILURES:
        entry.is_suspect = True
    if code == BACKEND_CRASHED:
        entry.n_crashes += 1
    if entry.n_crashes >= MAX_CRASHES:
        # The dispatcher blocks it as well, but may already have sent another grant.
        detail = f"{entry.n_crashes} crashes"
        refusal = build_refusal(REQUEST_BLOCKED, UNKNOWN, detail)
        state.refuse(entry, refusal, now, actions)
        return
    max_attempts = state.settings.routing.max_attempts
    if entry.n_tries >= max_attempts or not state.budget.acquire_token():
        detail = (
            f"{code}, {entry.n_tries} of {max_attempts} attempts, "
            f"{state.budget.n_tokens:.1f} retry tokens left"
        )
        refusal = build_refusal(RETRIES_EXHAUSTED, UNKNOWN, detail)
        state.refuse(entry, refusal, now, actions)
        return
    state.counters.n_retries += 1
    requeue_request(state, attempt, code, now, actions)
