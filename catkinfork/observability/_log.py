"""Formatting and output of log events as plain text or JSON lines."""

import sys
from datetime import UTC, datetime

import logbook
import msgspec

from catkinfork.observability._buffer import build_stdout_handler

_LEVELS = {
    "debug": logbook.DEBUG,
    "info": logbook.INFO,
    "warning": logbook.WARNING,
    "error": logbook.ERROR,
}


def format_value(value):
    """Return a field value as plain text, quoted if necessary."""
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, float):
        return f"{value:.3f}"
    text = str(value)
    if not text or any(character in text for character in ' "='):
        return msgspec.json.encode(text).decode()
    return text


def format_plain(action, process):
    """Return an event as one line of plain text.

    :param action: :class:`LogEvent`.
    :param process: name of the process.
    """
    event = action.event
    timestamp = datetime.now(UTC).isoformat(timespec="milliseconds")
    fields = " ".join(
        f"{name}={format_value(value)}"
        for name, value in zip(event.fields, action.values, strict=True)
    )
    prefix = f"{timestamp} {event.level.upper()} E{event.number} {event.name}"
    return f"{prefix} process={process} {fields}".rstrip()


def format_json(action, process):
    """Return an event as one line of JSON.

    :param action: :class:`LogEvent`.
    :param process: name of the process.
    """
    event = action.event
    line = {
        "time": datetime.now(UTC).isoformat(timespec="milliseconds"),
        "level": event.level,
        "event": event.number,
        "name": event.name,
        "process": process,
    }
    for name, value in zip(event.fields, action.values, strict=True):
        line[name] = value.hex() if isinstance(value, bytes) else value
    return msgspec.json.encode(line).decode()


class EventLog:
    """Writes log events and counts them by number.

    :param settings: :class:`LogSettings`.
    :param process: name of the process in each line.
    :param handler: ``logbook.Handler`` that writes the lines, by default to standard
        error.
    """

    def __init__(self, settings, process, handler=None):
        self.settings = settings
        self.process = process
        self.logger = logbook.Logger("catkinfork")
        self.format = format_json if settings.format == "json" else format_plain
        self.handler = handler or logbook.StreamHandler(
            sys.stderr,
            level=_LEVELS[settings.level],
            format_string="{record.message}",
            bubble=False,
        )
        self.n_events = {}

    def write(self, action):
        """Count an event and write it if its level is high enough.

        :param action: :class:`LogEvent`.
        """
        event = action.event
        self.n_events[event.number] = self.n_events.get(event.number, 0) + 1
        if _LEVELS[event.level] < self.handler.level:
            return
        with self.handler.applicationbound():
            line = self.format(action, self.process)
            self.logger.log(_LEVELS[event.level], "{}", line)


def build_buffered_log(settings, process):
    """Return an event log that writes to standard output without blocking.

    :param settings: :class:`LogSettings`.
    :param process: name of the process in each line.
    """
    handler = build_stdout_handler(_LEVELS[settings.level])
    return EventLog(settings, process, handler)
