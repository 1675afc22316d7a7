"""Numbered log events and metrics."""

from catkinfork.observability._events import Event, LogEvent, log_event
from catkinfork.observability._log import (
    EventLog,
    build_buffered_log,
    format_json,
    format_plain,
)
from catkinfork.observability._reference import format_catalogue

__all__ = [
    "Event",
    "EventLog",
    "LogEvent",
    "build_buffered_log",
    "format_catalogue",
    "format_json",
    "format_plain",
    "log_event",
]
