"""Log events between forwarders, 1100 to 1199."""

from catkinfork.observability import Event

PEER_REGAINED = Event(
    1100,
    "info",
    "peer_regained",
    "another forwarder is heard; its load is counted",
    ("peer", "incarnation", "silent_s", "is_leaving"),
)
PEER_LOST = Event(
    1101,
    "warning",
    "peer_lost",
    "another forwarder is silent; its load is no longer counted",
    ("peer", "incarnation", "silent_s", "is_leaving"),
)

EVENTS = (PEER_REGAINED, PEER_LOST)
