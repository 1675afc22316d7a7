"""Types of log events."""

from typing import NamedTuple


class Event(NamedTuple):
    """A kind of log event, listed in the catalogue ``docs/events.md``.

    :param number: stable number; its hundreds identify the package.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param name: stable name in snake case.
    :param text: description of what happened.
    :param fields: names of the fields, in the order in which they are printed.
    """

    number: int
    level: str
    name: str
    text: str
    fields: tuple[str, ...]


class LogEvent(NamedTuple):
    """Action that logs an event.

    :param event: :class:`Event` to log.
    :param values: values of the event's fields, in the order of ``event.fields``.
    """

    event: Event
    values: tuple


def log_event(event, **values):
    """Return the action that logs an event.

    :param event: :class:`Event` to log.
    :param values: one value for each field of the event.
    :returns: :class:`LogEvent`.
    :raises KeyError: if a field of the event is missing.
    """
    return LogEvent(event, tuple(values[name] for name in event.fields))
