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

TRANSFER_SOURCE_EXCLUDED = Event(
    906,
    "warning",
    "transfer_source_excluded",
    "no prompt tokens are fetched from an engine for a time: a request that was to "
    "fetch some had no first event within the time allowed for a prefill of its whole "
    "prompt behind the tokens ahead of it, or its attempt broke off before",
    (
        "backend_server",
        "service",
        "cause",
        "pause_s",
        "n_exclusions",
        "target",
        "n_transfer_tokens",
        "n_prompt_tokens",
        "n_ahead_tokens",
        "allowed_s",
        "attempt_s",
        "request_id",
    ),
)
TRANSFERS_STOPPED = Event(
    907,
    "warning",
    "transfers_stopped",
    "the engines of a service fetch no prompt tokens for a time, as most transfers "
    "failed",
    ("service", "failure_rate", "n_exclusions", "pause_s"),
)
TRANSFERS_SWITCHED = Event(
    908,
    "info",
    "transfers_switched",
    "the engines of a service fetch cached prompt tokens from now on, or no longer, by "
    "the rate of their links and their share of the service tokens per second",
    (
        "service",
        "is_enabled",
        "speedup",
        "min_speedup",
        "link_tokens_per_s",
        "engine_tokens_per_s",
        "n_engines",
    ),
)

STREAMS_PAUSE = Event(
    910,
    "info",
    "streams_pause",
    "a backend server begins or ceases to send events of streams too late more often "
    "than its service; long streams avoid it while it does",
    ("backend_server", "service", "is_pausing", "excess_rate", "n_events"),
)

BACKEND_SPEED_CHANGED = Event(
    909,
    "info",
    "backend_speed_changed",
    "an engine starts or stops counting as slower than the others of its service, by "
    "the time to the first event per token of work of the attempts of all forwarders",
    (
        "backend_server",
        "service",
        "is_slow",
        "speed",
        "n_attempts",
        "us_per_token",
        "service_us_per_token",
        "window_s",
    ),
)

LATE_QUEUED = Event(
    911,
    "info",
    "late_requests_queued",
    "requests that can no longer meet their latency target are queued "
    "(`on_time_first`), at most once a second for each service; `n_placed_on_time`, "
    "`n_placed_late` and `n_refused` count since the start, and `allowances` has the "
    "time from placement to first event that each route needs",
    (
        "service",
        "n_queued",
        "n_queued_tokens",
        "n_late",
        "n_late_tokens",
        "n_placed_on_time",
        "n_placed_late",
        "n_refused",
        "tokens_per_s",
        "late_tokens_per_s",
        "owed_tokens_per_s",
        "n_owed_tokens",
        "backlog_s",
        "allowances",
    ),
)

LOAD_SPREAD = Event(
    912,
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
    TRANSFER_SOURCE_EXCLUDED,
    TRANSFERS_STOPPED,
    TRANSFERS_SWITCHED,
    STREAMS_PAUSE,
    BACKEND_SPEED_CHANGED,
    LATE_QUEUED,
    LOAD_SPREAD,
)
