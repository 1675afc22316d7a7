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

SPEED_FIGURES_IGNORED = Event(
    1102,
    "warning",
    "speed_figures_ignored",
    "figures of a peer on the speed of engines cannot be right and were left out; one "
    "line a minute, with the latest figures",
    (
        "peer",
        "incarnation",
        "n_ignored",
        "backend_server_hash",
        "n_attempts",
        "time_us",
        "n_tokens",
        "period_s",
    ),
)

EVENTS = (PEER_REGAINED, PEER_LOST, SPEED_FIGURES_IGNORED)
