"""Log events of peering, 1100 to 1199."""

from catkinfork.observability import Event

PEER_REGAINED = Event(
    1100,
    "info",
    "peer_regained",
    "frames from a peer arrive again; its load is included",
    ("peer", "incarnation", "silent_s", "is_leaving"),
)
PEER_LOST = Event(
    1101,
    "warning",
    "peer_lost",
    "a peer has timed out; its load is no longer included",
    ("peer", "incarnation", "silent_s", "is_leaving"),
)

EVENTS = (PEER_REGAINED, PEER_LOST)
