"""Log events of the processes, 100 to 199."""

from catkinfork.observability import Event

PROCESS_STARTED = Event(
    101,
    "info",
    "process_started",
    "a process listens on its ports",
    ("role", "address", "data_centre", "incarnation"),
)
PROCESS_READY = Event(
    102,
    "info",
    "process_ready",
    "a process has a document in force and accepts work",
    ("role", "version", "digest", "waited_s"),
)
STOP_REQUESTED = Event(
    103,
    "info",
    "stop_requested",
    "a process received a stop signal; its readiness check fails from now on",
    ("role", "n_open"),
)
PROCESS_STOPPED = Event(
    104,
    "info",
    "process_stopped",
    "a process stops after its drain",
    ("role", "n_left", "waited_s"),
)
FRAME_REJECTED = Event(
    105,
    "warning",
    "frame_rejected",
    "an internal message was rejected and dropped",
    ("reason", "peer", "detail"),
)
KEYS_CHANGED = Event(
    106,
    "info",
    "fleet_keys_changed",
    "the fleet keys were reloaded",
    ("signing_key_id", "n_keys"),
)
KEY_FILE_FAILED = Event(
    107,
    "error",
    "fleet_keys_unreadable",
    "the key file could not be read; the keys in use stay",
    ("detail",),
)
LINK_REPLACED = Event(
    108,
    "warning",
    "link_replaced",
    "an unresponsive connection was closed and is being reopened",
    ("peer",),
)
FRAME_UNSENDABLE = Event(
    109,
    "error",
    "frame_unsendable",
    "an internal message was not sent because it exceeds the size limit",
    ("peer", "detail"),
)
MESSAGE_FOR_ANOTHER_ROLE = Event(
    110,
    "warning",
    "message_for_another_role",
    "an internal message arrived that this role does not handle",
    ("peer", "message"),
)
HANDLER_FAILED = Event(
    111,
    "error",
    "http_handler_failed",
    "an HTTP request failed with an unexpected exception",
    ("port", "path", "failure", "detail"),
)

EVENTS = (
    PROCESS_STARTED,
    PROCESS_READY,
    STOP_REQUESTED,
    PROCESS_STOPPED,
    FRAME_REJECTED,
    KEYS_CHANGED,
    KEY_FILE_FAILED,
    LINK_REPLACED,
    FRAME_UNSENDABLE,
    MESSAGE_FOR_ANOTHER_ROLE,
    HANDLER_FAILED,
)
