"""Events from the backend server and actions for its client."""

from typing import NamedTuple

from catkinfork.protocol import AttemptId, Start

REFUSED = "refused"
RESET = "reset"
OVERLOADED = "overloaded"
SILENT = "silent"
CANCELLED = "cancelled"
TOO_EXPENSIVE = "too_expensive"


class RunRequest(NamedTuple):
    """Action: send a request to the backend server.

    :param start: the message that requested it; its attempt id identifies the events.
    """

    start: Start


class CancelRequest(NamedTuple):
    """Action: cancel a request; it keeps its place until its end is reported."""

    attempt: AttemptId


class BackendHead(NamedTuple):
    """Status and headers of a response have arrived."""

    attempt: AttemptId
    status: int
    headers: list[tuple[str, str]]


class BackendData(NamedTuple):
    """Body bytes have arrived.

    :param attempt: attempt id of the request.
    :param data: body bytes.
    :param units: service units delivered since the previous event.
    """

    attempt: AttemptId
    data: bytes
    units: int


class BackendEnd(NamedTuple):
    """A response is complete.

    :param attempt: attempt id of the request.
    :param units: service units of the whole request.
    """

    attempt: AttemptId
    units: int


class BackendFailure(NamedTuple):
    """A request has ended without a complete response.

    :param attempt: attempt id of the request.
    :param kind: ``refused`` (never sent), ``reset``, ``overloaded`` (rejected with
        503 or 429), ``silent``, ``cancelled`` or ``too_expensive``.
    :param detail: description of the failure for the log.
    """

    attempt: AttemptId
    kind: str
    detail: str


class BackendHealth(NamedTuple):
    """Result of a health check.

    :param is_up: whether the backend server answers.
    :param is_cold: whether it reports that it is still warming up.
    """

    is_up: bool
    is_cold: bool


BackendEvent = BackendHead | BackendData | BackendEnd | BackendFailure | BackendHealth
