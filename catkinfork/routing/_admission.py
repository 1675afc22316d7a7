"""Admission control for new requests."""

from catkinfork.routing._refusals import (
    DEADLINE_EXCEEDED,
    DEFAULT_RETRY_AFTER_S,
    DRAINING,
    NO_BACKEND_SERVER,
    NO_DOCUMENT,
    OWNER_UNREACHABLE,
    QUEUE_BYTES_FULL,
    QUEUE_FULL,
    REQUEST_BLOCKED,
    UNKNOWN_TARGET,
    UNKNOWN_WORKSPACE,
    WAIT_TOO_LONG,
    build_refusal,
)

# Agents block a crashing request for 10 minutes by default (block_time_s).
BLOCKED_RETRY_AFTER_S = 600.0


def check_admission(state, entry, now):
    """Run all admission checks; return the first refusal, or None.

    :param state: :class:`RouterState`.
    :param entry: :class:`OpenRequest` that is not open yet.
    :param now: monotonic time in seconds.
    """
    checks = (
        check_router,
        check_placement,
        check_blocked,
        check_queue,
        check_wait,
        check_owner,
    )
    for check in checks:
        refusal = check(state, entry, now)
        if refusal is not None:
            return refusal
    return None


def check_router(state, entry, now):
    """Check that the router accepts requests and the deadline has not passed."""
    if state.is_draining:
        return build_refusal(DRAINING, entry.outcome)
    if state.view is None:
        return build_refusal(NO_DOCUMENT, entry.outcome)
    time_left_s = entry.request.deadline - now
    if time_left_s <= 0:
        detail = f"{-time_left_s:.3f} s ago"
        return build_refusal(DEADLINE_EXCEEDED, entry.outcome, detail)
    return None


def check_placement(state, entry, now):
    """Check that a backend server in service can run the request.

    Waiting requests are checked again when a new document is applied.
    """
    request = entry.request
    if request.workspace not in state.view.workspaces:
        return build_refusal(UNKNOWN_WORKSPACE, entry.outcome, request.workspace)
    pool = state.view.pool_of_target.get(request.target)
    if pool is None:
        return build_refusal(UNKNOWN_TARGET, entry.outcome, request.target)
    if state.n_in_service_by_target[request.target] == 0:
        return build_refusal(NO_BACKEND_SERVER, entry.outcome, request.target)
    return None


def check_owner(state, entry, now):
    """Check that a recent pool summary lists the owner of the idempotency key."""
    if not entry.request.key:
        return None
    demand_class = state.classify(entry)
    owner = demand_class.required
    if state.get_pool_state(demand_class.pool).is_unlisted(owner, now, now):
        return build_refusal(OWNER_UNREACHABLE, entry.outcome, owner)
    return None


def check_blocked(state, entry, now):
    """Check that the request is not blocked for crashing backend servers."""
    pool = state.view.pool_of_target[entry.request.target]
    if not state.get_pool_state(pool).is_blocked(entry.fingerprint, now):
        return None
    fingerprint = entry.fingerprint.hex()
    return build_refusal(
        REQUEST_BLOCKED, entry.outcome, fingerprint, BLOCKED_RETRY_AFTER_S
    )


def check_queue(state, entry, now):
    """Check the limits of the workspace's queue in requests and bytes."""
    workspace = entry.request.workspace
    n_waiting, n_bytes = state.queues.get_size(workspace)
    max_waiting = state.view.workspaces[workspace].max_waiting
    pool = state.view.pool_of_target[entry.request.target]
    wait_s = state.estimate_wait(pool, workspace, now)
    retry_after_s = max(DEFAULT_RETRY_AFTER_S, wait_s)
    if n_waiting >= max_waiting:
        detail = f"{n_waiting} of {max_waiting}"
        return build_refusal(QUEUE_FULL, entry.outcome, detail, retry_after_s)
    max_bytes = state.settings.routing.max_waiting_bytes
    if n_bytes + entry.n_bytes > max_bytes:
        detail = f"{n_bytes} + {entry.n_bytes} of {max_bytes} bytes"
        return build_refusal(QUEUE_BYTES_FULL, entry.outcome, detail, retry_after_s)
    return None


def check_wait(state, entry, now):
    """Check that the expected wait of a new request ends before its deadline."""
    request = entry.request
    pool = state.view.pool_of_target[request.target]
    wait_s = state.estimate_wait(pool, request.workspace, now)
    return check_expected_wait(entry, wait_s, now)


def check_expected_wait(entry, wait_s, now):
    """Return a refusal if an expected wait ends after the deadline, else None."""
    time_left_s = entry.request.deadline - now
    if wait_s <= time_left_s:
        return None
    detail = f"{wait_s:.1f} s expected, {time_left_s:.1f} s left"
    retry_after_s = max(DEFAULT_RETRY_AFTER_S, wait_s)
    return build_refusal(WAIT_TOO_LONG, entry.outcome, detail, retry_after_s)
