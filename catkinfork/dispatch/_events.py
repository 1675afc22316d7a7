"""Log events of the dispatcher, 300 to 399."""

from catkinfork.observability import Event

GRANT_SENT = Event(
    300,
    "info",
    "grant_sent",
    "a free place was given to a waiting request",
    (
        "pool",
        "workspace",
        "target",
        "backend_server",
        "router",
        "number",
        "ticket",
        "reason",
        "placement",
        "counter",
        "next_counter",
        "estimate",
        "wait_ms",
        "n_waiting",
        "n_candidates",
    ),
)
DISPATCHER_ACTIVE = Event(
    301,
    "info",
    "dispatcher_active",
    "agents report here; this router now grants the places of the pool",
    ("pool", "agent", "n_counters", "summary_age_s"),
)
DISPATCHER_PASSIVE = Event(
    302,
    "info",
    "dispatcher_passive",
    "no agent of the pool reports here any more",
    ("pool",),
)
AGENT_SILENT = Event(
    303,
    "warning",
    "agent_silent",
    "no report within the timeout; the agent's tickets are void",
    ("pool", "backend_server", "agent", "silent_s", "n_tickets"),
)
AGENT_RESTARTED = Event(
    304,
    "warning",
    "agent_restarted",
    "a new incarnation reports; tickets of the old one are void",
    ("pool", "backend_server", "agent", "old_incarnation", "incarnation"),
)
FINGERPRINT_BLOCKED = Event(
    305,
    "warning",
    "fingerprint_blocked",
    "a request was in flight at too many crashes and is refused",
    ("pool", "fingerprint", "n_crashes"),
)
GRANTS_UNSEEN = Event(
    306,
    "warning",
    "grants_unseen",
    "a router has not confirmed grants; they count as lost",
    ("pool", "router", "first_number", "n_grants"),
)
ROUTER_SILENT = Event(
    307,
    "warning",
    "router_silent",
    "no demand within the timeout; the router's requests are no longer counted",
    ("pool", "router", "silent_s", "n_waiting"),
)
WORKSPACE_LIFTED = Event(
    308,
    "debug",
    "workspace_lifted",
    "a workspace returned from idle without credit",
    ("pool", "workspace", "counter", "lift"),
)
BOUND_EXCEEDED = Event(
    390,
    "error",
    "bound_exceeded",
    "the fair order or the bound on the gap was violated",
    ("pool", "error", "detail"),
)

EVENTS = (
    GRANT_SENT,
    DISPATCHER_ACTIVE,
    DISPATCHER_PASSIVE,
    AGENT_SILENT,
    AGENT_RESTARTED,
    FINGERPRINT_BLOCKED,
    GRANTS_UNSEEN,
    ROUTER_SILENT,
    WORKSPACE_LIFTED,
    BOUND_EXCEEDED,
)
