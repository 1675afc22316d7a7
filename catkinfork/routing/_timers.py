"""Timeouts, and updates of waiting requests after summaries and documents."""

from catkinfork.observability import log_event
from catkinfork.protocol import Send
from catkinfork.routing._admission import (
    check_blocked,
    check_expected_wait,
    check_placement,
)
from catkinfork.routing._attempts import MAX_SILENCES, SILENCE_TIMEOUT_S
from catkinfork.routing._events import REQUEST_SUSPECTED
from catkinfork.routing._refusals import (
    DEADLINE_EXCEEDED,
    FIRST_BYTE_TIMEOUT,
    OWNER_UNREACHABLE,
    build_refusal,
)
from catkinfork.routing._responses import abort_attempt, resume_attempt


def refuse_expired(state, now, actions):
    """Refuse the open requests whose deadline has passed."""
    for entry in state.pop_expired(now):
        detail = f"after {now - entry.submitted_at:.3f} s"
        refusal = build_refusal(DEADLINE_EXCEEDED, entry.outcome, detail)
        state.refuse(entry, refusal, now, actions)


def check_attempts(state, now, actions):
    """Check live attempts for timeouts, silence and acknowledgements that are due."""
    timeout_s = state.settings.gateway.first_byte_timeout_s
    for attempt in list(state.attempts.live.values()):
        if attempt.next_sequence == 0 and now - attempt.started_at >= timeout_s:
            detail = f"{now - attempt.started_at:.1f} s of {timeout_s:.1f} s"
            refusal = build_refusal(FIRST_BYTE_TIMEOUT, attempt.entry.outcome, detail)
            state.refuse(attempt.entry, refusal, now, actions)
        elif now - attempt.silence_timer_started_at >= SILENCE_TIMEOUT_S:
            handle_silence(state, attempt, now, actions)
        elif attempt.is_ack_due(now):
            actions.append(Send(attempt.agent, attempt.build_ack(now)))


def handle_silence(state, attempt, now, actions):
    """Resume a silent attempt, or abort it after ``MAX_SILENCES`` timeouts."""
    attempt.n_silences += 1
    attempt.silence_timer_started_at = now
    if attempt.n_silences > MAX_SILENCES:
        abort_attempt(state, attempt, now, actions)
        return
    resume_attempt(state, attempt, "silence", now, actions)


def refuse_unreachable_owners(state, now, actions):
    """Refuse waiting keyed requests whose key owner is missing from summaries."""
    for pool in list(state.queues.groups):
        pool_state = state.get_pool_state(pool)
        missing = [
            entry
            for demand_class, queue in state.queues.list_classes(pool)
            for entry in queue.values()
            if demand_class.required
            and pool_state.is_unlisted(demand_class.required, entry.submitted_at, now)
        ]
        for entry in missing:
            refusal = build_refusal(
                OWNER_UNREACHABLE, entry.outcome, entry.demand_class.required
            )
            state.refuse(entry, refusal, now, actions)


def update_waiting_requests(state, pool, now, actions):
    """Refuse blocked and slow requests and mark suspects after a pool summary."""
    pool_state = state.get_pool_state(pool)
    for entry in state.queues.list_waiting(pool):
        refusal = check_blocked(state, entry, now)
        if refusal is not None:
            state.refuse(entry, refusal, now, actions)
        elif not entry.is_suspect and pool_state.is_suspect(entry.fingerprint, now):
            mark_suspect(state, entry, now, actions)
    refuse_long_waits(state, pool, now, actions)


def mark_suspect(state, entry, now, actions):
    """Move a waiting request to the demand class of its fingerprint as a suspect."""
    entry.is_suspect = True
    event = log_event(
        REQUEST_SUSPECTED,
        workspace=entry.request.workspace,
        request_id=entry.request.request_id,
        fingerprint=entry.fingerprint,
    )
    actions.append(event)
    demand_class = entry.demand_class._replace(suspect=entry.fingerprint)
    state.dequeue(entry)
    state.enqueue(entry, demand_class)


def refuse_long_waits(state, pool, now, actions):
    """Refuse waiting requests whose expected remaining wait exceeds their deadline.

    The summary gives the expected wait of a request at the end of the queue. For a
    waiting request it is scaled by its position in the queue of its workspace.
    """
    waits_s = {}
    positions = {}
    for entry in state.queues.list_waiting(pool):
        workspace = entry.request.workspace
        if workspace not in waits_s:
            waits_s[workspace] = state.estimate_wait(pool, workspace, now)
        positions[workspace] = positions.get(workspace, 0) + 1
        n_waiting = max(state.queues.get_size(workspace)[0], positions[workspace])
        refusal = check_expected_wait(
            entry, waits_s[workspace] * positions[workspace] / n_waiting, now
        )
        if refusal is not None:
            state.refuse(entry, refusal, now, actions)


def reclassify_waiting(state, now, actions):
    """Reclassify or refuse all waiting requests after a document was applied."""
    for entry in state.queues.list_waiting():
        entry.redirect = ""
        entry.n_redirects = 0
        refusal = check_placement(state, entry, now)
        if refusal is not None:
            state.refuse(entry, refusal, now, actions)
            continue
        state.dequeue(entry)
        state.enqueue(entry, state.classify(entry))
