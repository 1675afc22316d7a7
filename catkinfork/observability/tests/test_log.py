"""Log events: reserved names, rate limit and a reader that does not read."""

import os

import logbook

from catkinfork.observability import EventLog, log_event
from catkinfork.observability._buffer import MAX_LINES_PER_S, BufferedHandler
from catkinfork.processes import list_events
from catkinfork.settings import LogSettings

RESERVED = {"time", "level", "event", "name", "process"}


def list_all_events():
    """Return all events of the catalogue."""
    return [event for events in list_events().values() for event in events]


def test_fields_do_not_hide_what_every_line_has():
    """Guards against an event field that overwrites a fixed key of the JSON line."""
    assert not [event for event in list_all_events() if RESERVED & set(event.fields)]


def test_numbers_are_unique():
    """Guards against two events with the same number."""
    numbers = [event.number for event in list_all_events()]
    assert len(numbers) == len(set(numbers))


def build_log():
    """Return a log that writes to a pipe, its handler and the read end of the pipe."""
    reader, writer = os.pipe()
    handler = BufferedHandler(writer, logbook.INFO)
    return EventLog(LogSettings("json", "info"), "p", handler), handler, reader


def write_lines(log, n_lines, level="info"):
    """Write several lines of the same event."""
    event = next(event for event in list_all_events() if event.level == level)
    values = dict.fromkeys(event.fields, "x" * 200)
    for _ in range(n_lines):
        log.write(log_event(event, **values))


def test_lines_are_written_together():
    """Guards against a system call per log line."""
    log, handler, reader = build_log()
    write_lines(log, 3)
    handler.flush()
    assert os.read(reader, 100_000).count(b"\n") == 3


def test_volume_is_bounded_and_the_rest_is_counted():
    """Guards against log output that costs more than handling the logged requests."""
    log, handler, _ = build_log()
    write_lines(log, MAX_LINES_PER_S + 50)
    assert handler.start_second() == 50
    write_lines(log, 1)
    assert handler.start_second() == 0


def test_warnings_are_not_dropped_for_other_lines():
    """Guards against a stop that does not log which requests it has cut.

    Requests that end in the same second have used up the limit; warnings have their
    own.
    """
    _, handler, _ = build_log()
    for level in [logbook.INFO] * MAX_LINES_PER_S + [logbook.WARNING, logbook.INFO]:
        handler.emit(logbook.LogRecord("log", level, "line"))
    assert len(handler.lines) == MAX_LINES_PER_S + 1
    assert handler.start_second() == 1
    for _ in range(MAX_LINES_PER_S + 1):
        handler.emit(logbook.LogRecord("log", logbook.WARNING, "line"))
    assert handler.start_second() == 1


def test_warnings_are_written_beside_a_flood_of_other_lines():
    """Guards against a log that says nothing of why a flooded forwarder is behind."""
    log, handler, _ = build_log()
    write_lines(log, MAX_LINES_PER_S + 1)
    write_lines(log, MAX_LINES_PER_S + 5, "warning")
    assert handler.start_second() == 6
    assert len(handler.lines) == 2 * MAX_LINES_PER_S


def test_reader_that_does_not_read_blocks_nothing():
    """Guards against a process that blocks or runs out of memory if its output is not
    read.
    """
    log, handler, reader = build_log()
    n_dropped = 0
    for _ in range(30):
        write_lines(log, MAX_LINES_PER_S)
        handler.flush()
        n_dropped += handler.start_second()
    assert len(handler.buffer) < 3_000_000
    assert n_dropped > 0
    assert os.read(reader, 100_000)


def test_no_line_is_cut_when_the_pipe_is_full():
    """Guards against a line that runs into a later one.

    Another process reads the pipe while lines are flushed, and a write that fits only
    in part must not be taken in part.
    """
    log, handler, reader = build_log()
    for _ in range(40):
        write_lines(log, 9)
        handler.flush()
        handler.start_second()
    assert handler.buffer
    received = b""
    while len(received) < 100_000 and not received.endswith(b"}\n"):
        received += os.read(reader, 100_000)
    assert received.endswith(b"\n")
    assert all(line.startswith(b"{") for line in received.splitlines())
    assert all(line.endswith(b"}") for line in received.splitlines())
    received += drain_pipe(handler, reader)
    assert received.count(b"\n") == 360


def drain_pipe(handler, reader):
    """Flush the rest of a handler's buffer and return what was read meanwhile."""
    received = b""
    while handler.buffer:
        handler.flush()
        received += os.read(reader, 100_000)
    return received


def test_flush_writes_everything_that_the_pipe_takes():
    """Guards against lines that are written seconds late though nothing blocks."""
    log, handler, reader = build_log()
    write_lines(log, 20)
    handler.flush()
    assert handler.buffer == b""
    assert os.read(reader, 100_000).count(b"\n") == 20
