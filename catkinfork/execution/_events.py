"""Log events of the execution package, 400 to 499."""

from catkinfork.observability import Event

START = Event(
    401,
    "info",
    "execution_started",
    "a request was sent to the backend server",
    ("request_id", "workspace", "target", "n_running", "n_places"),
)
REFUSAL = Event(
    402,
    "info",
    "execution_refused",
    "a start was refused",
    ("request_id", "workspace", "code", "outcome"),
)
END = Event(
    403,
    "info",
    "execution_ended",
    "a request has ended at the backend server",
    ("request_id", "workspace", "failure", "units", "n_running"),
)
LIMIT = Event(
    404,
    "info",
    "limit_changed",
    "the number of places has changed",
    ("state", "n_places", "cause"),
)
STATE = Event(
    405,
    "warning",
    "state_changed",
    "the backend server has started or stopped taking new work",
    ("state", "n_places"),
)
CRASH = Event(
    406,
    "error",
    "backend_crashed",
    "the backend server failed while requests were in flight",
    ("cause", "n_in_flight"),
)
DISPATCHER = Event(
    407,
    "info",
    "dispatcher_changed",
    "reports go to another dispatcher; open tickets are revoked",
    ("dispatcher",),
)
FLOOR = Event(
    408,
    "warning",
    "key_floor_raised",
    "keys that are not newer than the floor and have no record are refused",
    ("floor_ms", "cause"),
)
CLAIM = Event(
    409,
    "info",
    "key_claim_decided",
    "the claim of a key at the higher-ranked servers was decided",
    ("request_id", "workspace", "verdict"),
)
PAUSE = Event(
    410,
    "warning",
    "pause_detected",
    "the process was paused; tickets are revoked, waiting requests returned",
    ("pause_s",),
)

EVENTS = (
    START,
    REFUSAL,
    END,
    LIMIT,
    STATE,
    CRASH,
    DISPATCHER,
    FLOOR,
    CLAIM,
    PAUSE,
)
