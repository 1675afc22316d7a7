"""Log events of the forwarder, 1000 to 1099."""

from catkinfork.observability import Event

REQUEST_FINISHED = Event(
    1000,
    "info",
    "request_finished",
    "a request has got its final response, or its caller has left",
    (
        "request_id",
        "workspace",
        "route",
        "service",
        "status",
        "outcome",
        "detail",
        "backend_servers",
        "n_runs",
        "waited_s",
        "first_s",
        "total_s",
        "max_pause_s",
        "cost",
        "n_missing_tokens",
        "n_candidates",
        "news_age_s",
        "configuration",
    ),
)
ATTEMPT_ENDED = Event(
    1001,
    "info",
    "attempt_ended",
    "an attempt ended without a response that was passed on",
    (
        "request_id",
        "backend_server",
        "outcome",
        "detail",
        "attempt_s",
        "is_repeated",
        "last_event_id",
    ),
)
REQUEST_REJECTED = Event(
    1002,
    "info",
    "request_rejected",
    "a request was refused before it was routed",
    ("peer", "status", "code", "request_id"),
)
DRAIN_STARTED = Event(
    1003,
    "info",
    "forwarder_draining",
    "the process takes no new connections soon and ends its requests",
    ("n_requests", "n_connections", "grace_s"),
)
FORWARDER_STOPPED = Event(
    1004,
    "info",
    "forwarder_stopped",
    "the process ends",
    ("n_requests_left", "waited_s"),
)
FORWARDER_STARTED = Event(
    1005,
    "info",
    "forwarder_started",
    "the process serves callers from now on",
    ("host", "address", "data_centre", "incarnation"),
)
SETTINGS_RELOADED = Event(
    1006,
    "info",
    "settings_reloaded",
    "a changed settings file has been read",
    ("n_faults", "first_fault", "changed"),
)
READINESS_CHANGED = Event(
    1007,
    "info",
    "readiness_changed",
    "the process tells the balancer whether it takes connections",
    ("is_ready", "reason"),
)
LOG_LINES_DROPPED = Event(
    1008,
    "warning",
    "log_lines_dropped",
    "log lines were left out to bound the volume",
    ("n_lines",),
)
CALLBACK_FAILED = Event(
    1009,
    "error",
    "callback_failed",
    "an exception reached the event loop",
    ("message", "error"),
)

EVENTS = (
    REQUEST_FINISHED,
    ATTEMPT_ENDED,
    REQUEST_REJECTED,
    DRAIN_STARTED,
    FORWARDER_STOPPED,
    FORWARDER_STARTED,
    SETTINGS_RELOADED,
    READINESS_CHANGED,
    LOG_LINES_DROPPED,
    CALLBACK_FAILED,
)
