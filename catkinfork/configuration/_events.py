"""Log events of the configuration package, 500 to 599."""

from catkinfork.observability import Event

DOCUMENT_ADOPTED = Event(
    500,
    "info",
    "document_adopted",
    "a document has been put in force",
    ("version", "digest", "previous_version", "source"),
)
DOCUMENT_REJECTED = Event(
    501,
    "error",
    "document_rejected",
    "a document is invalid and is not adopted",
    ("digest", "source", "n_faults", "first_fault"),
)
DOCUMENT_OLDER = Event(
    502,
    "info",
    "document_older",
    "a document older than the one in force is ignored",
    ("version", "digest", "in_force", "source"),
)
DOCUMENT_CONFLICT = Event(
    503,
    "error",
    "document_conflict",
    "two documents have the same version; the one with the greater digest is used",
    ("version", "in_force", "other", "source"),
)
DOCUMENT_REQUESTED = Event(
    504,
    "debug",
    "document_requested",
    "a peer has a newer document, which is requested from it",
    ("peer", "version", "digest"),
)
SOURCE_FAILED = Event(
    510,
    "warning",
    "configuration_source_failed",
    "a read of the configuration service failed; the document stays in force",
    ("url", "reason", "detail"),
)
SOURCE_RECOVERED = Event(
    511,
    "info",
    "configuration_source_recovered",
    "the configuration service responds again",
    ("url", "failed_s"),
)
HOST_LIST_FAILED = Event(
    520,
    "warning",
    "host_list_failed",
    "a read of the host list failed; the last list stays in use",
    ("url", "reason", "detail"),
)
HOST_LIST_RECOVERED = Event(
    521,
    "info",
    "host_list_recovered",
    "the host list responds again",
    ("url", "failed_s"),
)
HOST_ENTRY_IGNORED = Event(
    522,
    "warning",
    "host_entry_ignored",
    "an entry of the host list is malformed and is ignored",
    ("url", "position", "detail"),
)

EVENTS = (
    DOCUMENT_ADOPTED,
    DOCUMENT_REJECTED,
    DOCUMENT_OLDER,
    DOCUMENT_CONFLICT,
    DOCUMENT_REQUESTED,
    SOURCE_FAILED,
    SOURCE_RECOVERED,
    HOST_LIST_FAILED,
    HOST_LIST_RECOVERED,
    HOST_ENTRY_IGNORED,
)
