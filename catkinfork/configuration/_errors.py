"""Failures of the platform's services, as values of ``result.Err``."""

from typing import NamedTuple


class SourceUnreachable(NamedTuple):
    """The connection is refused, reset or cannot be opened."""

    url: str
    detail: str
    reason = "unreachable"


class SourceSilent(NamedTuple):
    """The service does not answer in time; its connection is closed."""

    url: str
    detail: str
    reason = "silent"


class NoSuchValue(NamedTuple):
    """The service has no value for the environment."""

    url: str
    detail: str
    reason = "no_such_value"


class UnexpectedAnswer(NamedTuple):
    """The answer does not follow the protocol: status, header, form or size."""

    url: str
    detail: str
    reason = "unexpected_answer"


SourceError = SourceUnreachable | SourceSilent | NoSuchValue | UnexpectedAnswer
