"""What the head of a backend server's response says about its request."""

from catkinfork.balancing import MISDIRECTED, REJECTED
from catkinfork.forwarding._messages import MISDIRECTED_REQUEST


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
