"""Events that a backend client reports."""

from typing import NamedTuple

from catkinfork.protocol import AttemptId


class BackendHead(NamedTuple):
    """Status and headers of a response."""

    attempt: AttemptId
    status: int
    headers: list[tuple[str, str]]


class BackendData(NamedTuple):
    """A part of a response body.

    :param attempt: attempt id.
    :param data: body bytes.
    :param units: service units since the previous event.
    """

    attempt: AttemptId
    data: bytes
    units: int


class BackendEnd(NamedTuple):
    """A response is complete.

    :param attempt: attempt id.
    :param units: service units of the whole attempt.
    """

    attempt: AttemptId
    units: int


class BackendFailure(NamedTuple):
    """An attempt ended without a complete response.

    :param attempt: attempt id.
    :param kind: ``refused``, ``reset``, ``overloaded``, ``silent``, ``cancelled`` or
        ``too_expensive``.
    :param detail: what happened.
    """

    attempt: AttemptId
    kind: str
    detail: str


class BackendHealth(NamedTuple):
    """State of the backend server."""

    is_up: bool
    is_cold: bool
