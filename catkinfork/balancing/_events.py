"""Log events of the balancer, 900 to 999."""

from catkinfork.observability import Event

BACKEND_LEFT_OUT = Event(
    900,
    "warning",
    "backend_left_out",
    "a backend server is ejected: its failure rate exceeds that of its service",
    (
        "backend_server",
        "service",
        "outcome",
        "failure_rate",
        "service_rate",
        "pause_s",
        "request_id",
    ),
)
REQUEST_BLOCKED = Event(
    901,
    "warning",
    "request_blocked",
    "a request is refused because it, or others with the same prompt part, have "
    "crashed backend servers",
    ("request_id", "workspace", "fingerprint", "part"),
)
CRASH_RECORDED = Event(
    902,
    "info",
    "crash_recorded",
    "the connection of an attempt was lost; crashes are counted by request",
    (
        "request_id",
        "backend_server",
        "workspace",
        "fingerprint",
        "n_crashes",
        "parts",
    ),
)

PART_REFUSED = Event(
    903,
    "warning",
    "part_refused",
    "requests with a prompt part are refused, or served again, after crashes of "
    "backend servers that ran such requests",
    ("part", "is_refused", "n_crashes", "was_served"),
)

CRASH_WITHDRAWN = Event(
    904,
    "info",
    "crash_withdrawn",
    "a backend server goes on answering on a connection that is older than the lost "
    "ones, which therefore count as no crash",
    ("backend_server",),
)

WORKSPACE_HELD = Event(
    905,
    "warning",
    "workspace_held",
    "jobs of a workspace that lacks service wait here; `holds` counts, for samples of "
    "the latest second, the bound that holds the first of them, and `n_with_room` and "
    "`n_limited` are servers with room for it that their rates let through, or hold",
    (
        "service",
        "workspace",
        "n_queued",
        "n_queued_tokens",
        "waited_s",
        "n_requested_tokens",
        "n_placed_tokens",
        "n_demand_tokens",
        "n_local_demand_tokens",
        "n_received_tokens",
        "n_counted_tokens",
        "n_most_received_tokens",
        "holds",
        "n_with_room",
        "n_limited",
        "n_peers_ahead",
        "n_passes",
        "longest_gap_s",
        "n_fresh",
        "n_forwarders",
        "news_age_s",
    ),
)

LOAD_SPREAD = Event(
    906,
    "info",
    "load_spread",
    "how even the load of the servers of a service was in the latest seconds, as this "
    "host sees it: the largest as a multiple of the mean, the server that was busiest "
    "most often, how often it was, its part of what this host has placed, and the part "
    "of the prompts there that was cached",
    (
        "service",
        "imbalance",
        "mean_load",
        "n_idle",
        "n_servers",
        "busiest",
        "busiest_share",
        "placed_share",
        "cached_share",
        "n_placed",
        "n_drawn",
        "unseen_cost",
    ),
)

EVENTS = (
    BACKEND_LEFT_OUT,
    REQUEST_BLOCKED,
    CRASH_RECORDED,
    PART_REFUSED,
    CRASH_WITHDRAWN,
    WORKSPACE_HELD,
    LOAD_SPREAD,
)
