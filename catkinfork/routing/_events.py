"""Log events of the routing package, numbers 200 to 299."""

from catkinfork.observability import Event

REQUEST_STARTED = Event(
    200,
    "info",
    "request_started",
    "a request was sent to an agent on a granted ticket",
    (
        "workspace",
        "request_id",
        "backend_server",
        "reason",
        "attempt",
        "ticket",
        "wait_s",
        "n_waiting",
        "time_left_s",
    ),
)
REQUEST_REFUSED = Event(
    201,
    "info",
    "request_refused",
    "a request ended without a complete response",
    (
        "workspace",
        "request_id",
        "backend_server",
        "reason",
        "outcome",
        "n_waiting",
        "age_s",
        "detail",
    ),
)
REQUEST_REQUEUED = Event(
    202,
    "info",
    "request_requeued",
    "a request was queued again after an attempt ended",
    (
        "workspace",
        "request_id",
        "backend_server",
        "reason",
        "n_tries",
        "n_tokens",
        "is_suspect",
    ),
)
REQUEST_REDIRECTED = Event(
    203,
    "info",
    "request_redirected",
    "an agent named the backend server that holds the record of the key",
    ("workspace", "request_id", "backend_server", "reason", "redirect", "n_redirects"),
)
REQUEST_ANSWERED = Event(
    204,
    "debug",
    "request_answered",
    "the response is complete",
    ("workspace", "request_id", "backend_server", "n_parts", "n_tries", "age_s"),
)
REQUEST_ABANDONED = Event(
    205,
    "info",
    "request_abandoned",
    "the caller disconnected before the response was complete",
    ("workspace", "request_id", "backend_server", "age_s"),
)
TICKET_RETURNED = Event(
    210,
    "debug",
    "ticket_returned",
    "an unused ticket was returned to its agent",
    ("workspace", "backend_server", "reason", "ticket", "dispatcher", "number"),
)
ATTEMPT_RESUMED = Event(
    220,
    "warning",
    "attempt_resumed",
    "parts are missing or late; the link is replaced and the parts requested again",
    (
        "workspace",
        "request_id",
        "backend_server",
        "reason",
        "next_sequence",
        "n_silences",
    ),
)
ATTEMPT_LOST = Event(
    221,
    "warning",
    "attempt_lost",
    "an attempt ended without a complete response and may have run",
    ("workspace", "request_id", "backend_server", "reason", "n_parts", "n_tries"),
)
DISPATCHERS_CHANGED = Event(
    230,
    "info",
    "dispatchers_changed",
    "demand for a pool is now sent to other dispatchers",
    ("pool", "dispatchers", "n_waiting"),
)
REQUEST_SUSPECTED = Event(
    240,
    "warning",
    "request_suspected",
    "a waiting request has the fingerprint of one that was in flight at a crash",
    ("workspace", "request_id", "fingerprint"),
)
DRAIN_STARTED = Event(
    250,
    "info",
    "drain_started",
    "new requests are refused; open requests run to completion",
    ("n_open", "n_waiting"),
)

EVENTS = (
    REQUEST_STARTED,
    REQUEST_REFUSED,
    REQUEST_REQUEUED,
    REQUEST_REDIRECTED,
    REQUEST_ANSWERED,
    REQUEST_ABANDONED,
    TICKET_RETURNED,
    ATTEMPT_RESUMED,
    ATTEMPT_LOST,
    DISPATCHERS_CHANGED,
    REQUEST_SUSPECTED,
    DRAIN_STARTED,
)
