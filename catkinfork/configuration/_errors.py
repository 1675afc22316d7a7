"""Errors of the platform's services, returned in ``result.Err``."""

from typing import NamedTuple


class SourceUnreachable(NamedTuple):
    """The connection is refused, reset or cannot be established."""

    url: str
    detail: str
    reason = "unreachable"


class SourceTimeout(NamedTuple):
    """The service does not respond in time; the connection is closed."""

    url: str
    detail: str
    reason = "silent"


class ValueNotFound(NamedTuple):
    """The service has no value for the environment."""

    url: str
    detail: str
    reason = "no_such_value"


class UnexpectedResponse(NamedTuple):
    """The status, headers, format or size of the response violates the protocol."""

    url: str
    detail: str
    reason = "unexpected_answer"


SourceError = SourceUnreachable | SourceTimeout | ValueNotFound | UnexpectedResponse
