"""Log events of the dispatcher, 300 to 399."""

from catkinfork.observability import Event

GRANT_SENT = Event(
    300,
    "info",
    "grant_sent",
    "granted a free place to a waiting request",
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
    "an agent has reported; this router is now the dispatcher of the pool",
    ("pool", "agent", "n_counters", "summary_age_s"),
)
DISPATCHER_PASSIVE = Event(
    302,
    "info",
    "dispatcher_passive",
    "no live agent reports to this router; it no longer dispatches for the pool",
    ("pool",),
)
AGENT_SILENT = Event(
    303,
    "warning",
    "agent_silent",
    "no report within the timeout; the agent's tickets are invalid",
    ("pool", "backend_server", "agent", "silent_s", "n_tickets"),
)
AGENT_RESTARTED = Event(
    304,
    "warning",
    "agent_restarted",
    "a new incarnation reports; tickets of the old one are invalid",
    ("pool", "backend_server", "agent", "old_incarnation", "incarnation"),
)
FINGERPRINT_BLOCKED = Event(
    305,
    "warning",
    "fingerprint_blocked",
    "request in flight during repeated crashes; its fingerprint is refused",
    ("pool", "fingerprint", "n_crashes"),
)
GRANTS_UNSEEN = Event(
    306,
    "warning",
    "grants_unseen",
    "a router did not confirm grants in time; they count as lost",
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
    "raised the counter of a workspace that returned from idle",
    ("pool", "workspace", "counter", "lift"),
)
BOUND_EXCEEDED = Event(
    390,
    "error",
    "bound_exceeded",
    "a grant violated the fair order or the fairness bound",
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
