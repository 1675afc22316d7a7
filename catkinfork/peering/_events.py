"""Log events between forwarders, 860 to 869."""

from catkinfork.observability import Event

PEER_REGAINED = Event(
    860,
    "info",
    "peer_regained",
    "another forwarder is heard; its load is counted",
    ("peer", "incarnation", "silent_s", "is_leaving"),
)
PEER_LOST = Event(
    861,
    "warning",
    "peer_lost",
    "another forwarder is silent; its load is no longer counted",
    ("peer", "incarnation", "silent_s", "is_leaving"),
)

EVENTS = (PEER_REGAINED, PEER_LOST)
