"""Log events of the topology, 800 to 899."""

from catkinfork.observability import Event

CONFIGURATION_ADOPTED = Event(
    800,
    "info",
    "configuration_adopted",
    "a new configuration has been put in force",
    ("version", "previous_version", "source", "revision"),
)
CONFIGURATION_REJECTED = Event(
    801,
    "error",
    "configuration_rejected",
    "a configuration is malformed and has been rejected",
    ("key", "source", "detail"),
)
BACKEND_ADDED = Event(
    802,
    "info",
    "backend_added",
    "a backend server has been added and receives requests",
    ("backend_server", "service", "version", "address", "data_centre", "cold_s"),
)
BACKEND_LEAVING = Event(
    803,
    "info",
    "backend_leaving",
    "a backend server is draining or gone and receives no new requests",
    ("backend_server", "service", "reason"),
)
ENTRY_IGNORED = Event(
    804,
    "warning",
    "entry_ignored",
    "an entry of a backend server is malformed, older than the known one, or of a "
    "service that is not configured and kept until it is; n_unlogged entries since the "
    "last line with this key have none",
    ("key", "source", "detail", "n_unlogged"),
)
EVACUATION_CHANGED = Event(
    805,
    "warning",
    "evacuation_changed",
    "a data centre has been evacuated or put back in service",
    ("data_centre", "is_evacuated"),
)
SOURCE_LOST = Event(
    806,
    "warning",
    "source_lost",
    "the store is failing; the last known state stays in force",
    ("source", "detail", "revision"),
)
SOURCE_REGAINED = Event(
    807,
    "info",
    "source_regained",
    "the store has recovered",
    ("source", "failed_s", "revision"),
)
STORE_RESTORED = Event(
    808,
    "warning",
    "store_restored",
    "the store was restored from a copy; its items were read again in full",
    ("era", "previous_era", "revision", "previous_revision", "source", "n_missing"),
)
ERA_IGNORED = Event(
    809,
    "warning",
    "era_ignored",
    "an answer of the store states no era, or one that is invalid or older",
    ("value", "era", "detail"),
)
BACKEND_THROTTLED = Event(
    810,
    "info",
    "backend_throttled",
    "a backend server asked this host to pause, with a 503 and Retry-After; a pause of "
    "0 means that the value is invalid and ignored",
    ("backend_server", "service", "value", "pause_s"),
)
BACKEND_LIMITED = Event(
    811,
    "info",
    "backend_limited",
    "a backend server has named, changed or lifted (null) the rate of requests that it "
    "takes from all hosts together; n_unlogged changes since the last line have none",
    (
        "backend_server",
        "service",
        "limit_per_s",
        "previous_per_s",
        "source",
        "n_unlogged",
    ),
)
RATE_LIMIT_IGNORED = Event(
    812,
    "warning",
    "rate_limit_ignored",
    "a backend server names a limit of its request rate that is no decimal number; the "
    "one before stays in force",
    ("backend_server", "service", "value"),
)
UPDATE_FAILED = Event(
    813,
    "error",
    "update_failed",
    "an update of the topology has failed unexpectedly; the last known state stays in "
    "force, and the next update is tried; n_unlogged failures since the last line have "
    "none",
    ("source", "detail", "location", "n_unlogged"),
)
FIGURE_IGNORED = Event(
    814,
    "warning",
    "figure_ignored",
    "figures of a new configuration cannot be right, of which `detail` has the "
    "first; their last good values stay in force, and the rest of it is adopted",
    ("version", "source", "n_figures", "detail"),
)
REMOVAL_HELD = Event(
    815,
    "info",
    "removal_held",
    "the entry of a backend server is gone, and may have expired in an outage of the "
    "store; the server is used until its entry is back or `held_s` have passed",
    ("backend_server", "service", "held_s"),
)
PAST_READ = Event(
    816,
    "info",
    "past_read",
    "the history of the store was read for backend servers that left before this "
    "process knew them: `n_left` starts ended in it, and if `has_unknown` is set, "
    "others did whose entries are older than the history",
    ("source", "n_items", "n_left", "has_unknown", "covered_s"),
)
CONNECTION_REPLACED = Event(
    817,
    "info",
    "connection_replaced",
    "a connection to a source was silent, and a new one answered at once: this is no "
    "outage of the source",
    ("source", "silence_s"),
)

EVENTS = (
    CONFIGURATION_ADOPTED,
    CONFIGURATION_REJECTED,
    BACKEND_ADDED,
    BACKEND_LEAVING,
    ENTRY_IGNORED,
    EVACUATION_CHANGED,
    SOURCE_LOST,
    SOURCE_REGAINED,
    STORE_RESTORED,
    ERA_IGNORED,
    BACKEND_THROTTLED,
    BACKEND_LIMITED,
    RATE_LIMIT_IGNORED,
    UPDATE_FAILED,
    FIGURE_IGNORED,
    REMOVAL_HELD,
    PAST_READ,
    CONNECTION_REPLACED,
)
