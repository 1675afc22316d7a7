"""What the head of a backend server's response says about its request."""

from typing import NamedTuple

from catkinfork.balancing import BROKEN, FAILED, MISDIRECTED, REJECTED, SERVED
from catkinfork.forwarding._messages import MISDIRECTED_REQUEST

# Statuses which promise a caller that its request has not run.
PROMISE_STATUSES = frozenset({408, MISDIRECTED_REQUEST, 429, 503})


class ResponseFault(NamedTuple):
    """Why a response is not relayed.

    :param outcome: outcome of its attempt.
    :param detail: description for the log.
    """

    outcome: str
    detail: str


def find_fault(exchange, head):
    """Return the :class:`ResponseFault` of a response, or None if it is relayed.

    :param exchange: :class:`Exchange`.
    :param head: :class:`ResponseHead`.
    """
    names = exchange.server.names
    status = f"status {head.status}"
    rejection = find_rejection(head, names)
    if exchange.attempt.is_ambiguous(head):
        return ResponseFault(BROKEN, f"{status} without request id")
    if rejection is not None:
        return ResponseFault(rejection, status)
    if head.status >= 500 and can_retry(exchange):
        return ResponseFault(FAILED, status)
    if head.status in PROMISE_STATUSES and not exchange.job.route.is_repeatable:
        # Relayed, it would promise what the backend server does not state.
        return ResponseFault(FAILED, f"{status} of a possible run")
    if head.status < 300 and not is_authentic(head, names):
        return ResponseFault(BROKEN, "response without signature or request id")
    if exchange.has_response_started and not exchange.relay.accepts(head):
        return ResponseFault(FAILED, f"{status} for a resumed stream")
    return None


def can_retry(exchange):
    """Return whether the request would be retried if its attempt fails."""
    now = exchange.server.loop.time()
    placement = exchange.attempt.placement
    return exchange.server.balancer.can_retry(placement, FAILED, now)


def find_rejection(head, names):
    """Return the outcome of a request that was not executed, or None.

    :param head: :class:`ResponseHead`.
    :param names: :class:`HeaderNames`.
    """
    if head.status == MISDIRECTED_REQUEST:
        return MISDIRECTED
    if head.status >= 400 and head.find_header(names.not_run) is not None:
        return REJECTED
    return None


def classify_outcome(head, names):
    """Return the outcome of an attempt with a complete response.

    :param head: :class:`ResponseHead`.
    :param names: :class:`HeaderNames`.
    """
    rejection = find_rejection(head, names)
    if rejection is not None:
        return rejection
    is_sound = is_authentic(head, names) if head.status < 300 else head.status < 500
    return SERVED if is_sound else FAILED


def is_authentic(head, names):
    """Return whether a response is signed, has an id and has no content coding.

    One that also states that the request was not executed contradicts itself.

    Without its id, a late copy of another response on a reused connection could not be
    told from the response to this request.

    :param head: :class:`ResponseHead`.
    :param names: :class:`HeaderNames`.
    """
    return (
        head.find_header(names.seal) is not None
        and head.find_header(names.request_id) is not None
        and head.find_header(b"content-encoding") is None
        and head.find_header(names.not_run) is None
    )
