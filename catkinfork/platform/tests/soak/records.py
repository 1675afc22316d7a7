"""What callers, backend servers and processes have seen in a run."""

import time
from typing import NamedTuple

UNSAFE, SAFE, STREAM = "unsafe", "safe", "stream"

# Endings of a request, as its caller sees them.
COMPLETE = "complete"
CUT = "cut"
NO_RESPONSE = "no response"
LEFT = "left by the caller"
# A caller that closes its half of the connection counts as one that has left (GONE).
HALF_CLOSED = "cut after the caller closed its half"
WRONG = "wrong body"
NOT_CONNECTED = "not connected"

# Outcomes of a request at a backend server.
ANSWERED = "answered"
REJECTED = "rejected"
CRASHED = "crashed"
ABANDONED = "abandoned"
CHANGED = "changed"

# Disruptions. Their target is a host, a backend server or, for the store, a host too.
STOP, RELOAD, CONFIGURATION, LEAVING = "stop", "reload", "configuration", "leaving"
KILL, PAUSE, CRASH, STORE, LINK = "kill", "pause", "crash", "store", "link"
TROUBLE, START = "trouble", "start"
LIMIT, AWAY = "limit", "turned away"
# From when the store has accepted that a server leaves until the server exits.
WITHDRAWN = "withdrawn"
DRIVER = "driver"
ALL_HOSTS = "*"


class Request(NamedTuple):
    """A client attempt.

    :param position: number of the request on its connection, from 1.
    :param sent_at: when its last byte was sent; None if it was not sent whole.
    :param after_close: whether the response before it on its connection announced that
        the connection closes.
    """

    id: str
    kind: str
    host: str
    position: int
    began_at: float
    sent_at: float | None
    ended_at: float
    deadline_at: float
    status: int
    ending: str
    after_close: bool = False


class Run(NamedTuple):
    """A request at a backend server.

    :param began_at: when the server began to work on it.
    :param ended_at: when its last byte was written, or the run ended otherwise.
    """

    id: str
    server: str
    began_at: float
    ended_at: float
    outcome: str


class Arrival(NamedTuple):
    """A request that reaches a plain server, with what the answer asks for.

    :param answered_at: when the answer was written; None if there was none.
    :param limit: requests a second that the answer names as the limit; 0 for none.
    :param pause_s: time for which the server wants nothing from the host, seconds.
    """

    id: str
    server: str
    arrived_at: float
    answered_at: float | None
    limit: float = 0.0
    pause_s: float = 0.0
    is_leaving: bool = False


class Span(NamedTuple):
    """A disruption with its begin and its end."""

    kind: str
    target: str
    began_at: float
    ended_at: float


class Signal(NamedTuple):
    """A signal to a process.

    :param is_early: whether it had had no time yet to set its handlers.
    """

    at: float
    name: str
    is_early: bool = False


class Exit(NamedTuple):
    """The end of a process.

    :param code: exit code; negative for a signal.
    """

    host: str
    started_at: float
    ended_at: float
    code: int
    signals: tuple[Signal, ...]


class Event(NamedTuple):
    """An event of a stream."""

    number: int
    version: str
    server: str


class Try(NamedTuple):
    """An attempt of a stream.

    :param n_before: events that the caller had before it.
    :param n_events: events that it brought.
    """

    request_id: str
    host: str
    began_at: float
    n_before: int
    n_events: int


class Stream(NamedTuple):
    """A stream over all attempts of its caller."""

    name: str
    n_expected: int
    events: tuple[Event, ...]
    is_whole: bool
    tries: tuple[Try, ...]


class VersionCount(NamedTuple):
    """Number of backend servers of a version that serve, from a time on."""

    at: float
    version: str
    n_servers: int


class Records:
    """All records of a run. Times are seconds since its start."""

    def __init__(self):
        self.started_at = time.monotonic()
        self.requests = []
        self.runs = []
        self.arrivals = []
        self.spans = []
        self.exits = []
        self.streams = []
        self.version_counts = []

    def now(self):
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    def add_span(self, kind, target, began_at):
        """Record a disruption that ends now."""
        self.spans.append(Span(kind, target, began_at, self.now()))

    def write(self, path):
        """Write all records to a file, one a line."""
        kinds = (
            self.requests,
            self.runs,
            self.arrivals,
            self.spans,
            self.exits,
            self.streams,
        )
        path.write_text("".join(f"{one}\n" for kind in kinds for one in kind))
