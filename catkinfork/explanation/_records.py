"""Log lines of forwarders as records."""

from datetime import datetime
from typing import NamedTuple

import msgspec


class Record(NamedTuple):
    """One log line.

    :param host: name of the process that wrote it.
    :param at: time by the clock of its host, seconds since the epoch.
    :param name: name of the event.
    :param fields: all fields of the line.
    """

    host: str
    at: float
    name: str
    fields: dict


class LogFiles(NamedTuple):
    """Contents of several log files.

    :param records: :class:`Record` entries, those of each file in their order.
    :param n_unreadable: lines that are no records.
    """

    records: list
    n_unreadable: int


def parse_line(line):
    """Return the :class:`Record` of a log line, or None if it is none.

    A log collector may have put its own columns before the line.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        fields = msgspec.json.decode(line[start:])
        at = datetime.fromisoformat(fields["time"]).timestamp()
        return Record(fields["process"], at, fields["name"], fields)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None


def read_logs(paths):
    """Read log files.

    :param paths: paths of the files.
    :returns: :class:`LogFiles`.
    :raises OSError: if a file cannot be read.
    """
    records = []
    n_unreadable = 0
    for path in paths:
        with open(path, encoding="utf-8", errors="replace") as file:
            for line in file:
                record = parse_line(line)
                if record is not None:
                    records.append(record)
                elif line.strip():
                    n_unreadable += 1
    return LogFiles(records, n_unreadable)
