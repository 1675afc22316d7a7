"""Numbered log events."""

from typing import NamedTuple


class Event(NamedTuple):
    """An entry of the catalogue in ``docs/events.md``.

    :param number: stable number; the hundreds name the package.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    :param name: short name in snake case.
    :param text: what has happened.
    :param fields: names of the fields, in the order in which they are printed.
    """

    number: int
    level: str
    name: str
    text: str
    fields: tuple[str, ...]


class LogEvent(NamedTuple):
    """Action: log an event.

    :param event: entry of the catalogue.
    :param values: values of the event's fields, in its order.
    """

    event: Event
    values: tuple


def log_event(event, **values):
    """Return the action that logs an event.

    :param event: entry of the catalogue.
    :param values: one value for each field of the event.
    :returns: :class:`LogEvent`.
    :raises KeyError: if a field of the event is missing.
    """
    return LogEvent(event, tuple(values[name] for name in event.fields))
