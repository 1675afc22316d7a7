"""Log events of the topology, 800 to 899."""

from catkinfork.observability import Event

CONFIGURATION_ADOPTED = Event(
    800,
    "info",
    "configuration_adopted",
    "a configuration is in force from now on",
    ("version", "previous_version", "source", "revision"),
)
CONFIGURATION_REJECTED = Event(
    801,
    "error",
    "configuration_rejected",
    "a configuration cannot be read and is not adopted",
    ("key", "source", "detail"),
)
BACKEND_ADDED = Event(
    802,
    "info",
    "backend_added",
    "a backend server takes requests from now on",
    ("backend_server", "service", "address", "data_centre", "cold_s"),
)
BACKEND_LEAVING = Event(
    803,
    "info",
    "backend_leaving",
    "a backend server takes no new requests from now on",
    ("backend_server", "service", "reason"),
)
ENTRY_IGNORED = Event(
    804,
    "warning",
    "entry_ignored",
    "an entry of a backend server cannot be read or is older than the one known",
    ("key", "source", "detail"),
)
EVACUATION_CHANGED = Event(
    805,
    "warning",
    "evacuation_changed",
    "a data centre is taken out of service or taken back",
    ("data_centre", "is_evacuated"),
)
SOURCE_LOST = Event(
    806,
    "warning",
    "source_lost",
    "the store does not answer as expected; what is known stays in force",
    ("source", "detail", "revision"),
)
SOURCE_REGAINED = Event(
    807,
    "info",
    "source_regained",
    "the store answers again",
    ("source", "failed_s", "revision"),
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
)
