"""Log events of the forwarder, 1000 to 1099."""

from catkinfork.observability import Event

REQUEST_FINISHED = Event(
    1000,
    "info",
    "request_finished",
    "a request received its final response, or its caller disconnected",
    # Those that say how it ended come first: some collectors keep the begin of a line.
    (
        "request_id",
        "status",
        "outcome",
        "detail",
        "workspace",
        "route",
        "service",
        "backend_servers",
        "backend_version",
        "resumes",
        "version_source",
        "n_runs",
        "framing",
        "waited_s",
        "first_s",
        "total_s",
        "max_pause_s",
        "n_tokens",
        "cost",
        "n_missing_tokens",
        "n_candidates",
        "news_age_s",
        "configuration",
        "transfer_source",
        "n_transfer_tokens",
    ),
)
ATTEMPT_ENDED = Event(
    1001,
    "info",
    "attempt_ended",
    "an attempt ended without a complete response",
    (
        "request_id",
        "backend_server",
        "backend_version",
        "outcome",
        "detail",
        "framing",
        "attempt_s",
        "is_repeated",
        "last_event_id",
        "transfer_source",
        "n_transfer_tokens",
    ),
)
REQUEST_REJECTED = Event(
    1002,
    "info",
    "request_rejected",
    "a request was rejected before routing",
    ("peer", "status", "code", "request_id"),
)
DRAIN_STARTED = Event(
    1003,
    "info",
    "forwarder_draining",
    "the process drains: it completes requests in flight before it stops",
    ("n_requests", "n_connections", "grace_s", "signal_age_s"),
)
FORWARDER_STOPPED = Event(
    1004,
    "info",
    "forwarder_stopped",
    "the drain has ended and the process exits",
    ("n_requests_left", "waited_s", "handover_s"),
)
FORWARDER_STARTED = Event(
    1005,
    "info",
    "forwarder_started",
    "the process accepts connections",
    ("host", "address", "data_centre", "incarnation"),
)
SETTINGS_RELOADED = Event(
    1006,
    "info",
    "settings_reloaded",
    "the settings file was read again",
    ("n_faults", "first_fault", "changed"),
)
READINESS_CHANGED = Event(
    1007,
    "info",
    "readiness_changed",
    "the readiness reported to the load balancer changed",
    ("is_ready", "reason"),
)
LOG_LINES_DROPPED = Event(
    1008,
    "warning",
    "log_lines_dropped",
    "log lines were dropped to limit the volume of the log",
    ("n_lines",),
)
CALLBACK_FAILED = Event(
    1009,
    "error",
    "callback_failed",
    "a callback raised an unhandled exception",
    ("message", "error"),
)
LOOP_LAG_CHANGED = Event(
    1010,
    "warning",
    "loop_lag_changed",
    "the event loop has fallen behind or caught up",
    ("is_behind", "lag_s", "n_requests", "n_connections"),
)
FORWARDER_JOINED = Event(
    1011,
    "info",
    "forwarder_joined",
    "the process has asked its peers for what they were told before it started",
    ("n_answers", "n_asked", "waited_s", "known_s", "n_streams"),
)
ABANDONED_ATTEMPT_ENDED = Event(
    1012,
    "info",
    "abandoned_attempt_ended",
    "a backend server has ended a request for whose response nobody waited any more",
    ("request_id", "backend_server", "outcome", "attempt_s"),
)
REQUEST_CUT = Event(
    1013,
    "warning",
    "request_cut",
    "a planned stop ended a request that had been placed; times count from its signal",
    (
        "request_id",
        "sent_s",
        "cut_s",
        "placed_s",
        "head_s",
        "has_begun",
        "route",
        "backend_servers",
    ),
)
FORWARDER_INFORMED = Event(
    1014,
    "info",
    "forwarder_informed",
    "a peer that was heard late has told what the process missed before it was ready",
    ("peer", "known_s", "n_streams"),
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
    LOOP_LAG_CHANGED,
    FORWARDER_JOINED,
    ABANDONED_ATTEMPT_ENDED,
    REQUEST_CUT,
    FORWARDER_INFORMED,
)
