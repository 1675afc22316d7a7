"""Log events of the execution package."""

from catkinfork.observability import Event

START = Event(
    401,
    "info",
    "request_started",
    "A request was sent to the backend server.",
    ("request", "workspace", "target", "n_running", "n_places"),
)
REFUSAL = Event(
    402,
    "info",
    "start_refused",
    "A start was refused.",
    ("request", "workspace", "code", "outcome"),
)
END = Event(
    403,
    "info",
    "request_ended",
    "A request has ended at the backend server.",
    ("request", "workspace", "failure", "units", "n_running"),
)
LIMIT = Event(
    404,
    "info",
    "limit_changed",
    "The number of places has changed.",
    ("state", "n_places", "cause"),
)
STATE = Event(
    405,
    "warning",
    "state_changed",
    "The backend server takes new work, or no longer does.",
    ("state", "n_places"),
)
CRASH = Event(
    406,
    "error",
    "backend_crashed",
    "The backend server failed while requests were in flight.",
    ("cause", "n_in_flight"),
)
DISPATCHER = Event(
    407,
    "info",
    "dispatcher_changed",
    "Reports go to another dispatcher; open tickets are void.",
    ("dispatcher",),
)
FLOOR = Event(
    408,
    "warning",
    "key_floor_raised",
    "Keys that are not newer than the floor and have no record are refused.",
    ("floor_ms", "cause"),
)
CLAIM = Event(
    409,
    "info",
    "key_claim_decided",
    "Claims of a key at the servers ranked before this one were answered.",
    ("request", "workspace", "verdict"),
)
PAUSE = Event(
    410,
    "warning",
    "pause_detected",
    "The process was paused; tickets are void and waiting requests given back.",
    ("pause_s",),
)
