"""Rows of the page: quantity, sizes, measures and mechanism that limits the cost."""

from typing import NamedTuple

from benchmarks.capacity import targets
from benchmarks.capacity.harness import TICKS_PER_S

CHANGES_PER_S = targets.CHANGES_PER_DAY / targets.DAY_S
HOST_CHANGES_PER_S = targets.HOST_CHANGES_PER_DAY / targets.DAY_S
RESTARTS_PER_S = targets.RESTARTS_PER_DAY / targets.DAY_S
PROCESSOR = "processor"
TRAFFIC = "traffic"
MEMORY = "memory"
MESSAGES = "messages"
BUDGETS = {
    PROCESSOR: targets.BUDGET_CORE_PERCENT,
    TRAFFIC: targets.BUDGET_TRAFFIC_KB_PER_S,
    MEMORY: targets.BUDGET_MEMORY_MB,
}
UNITS = {PROCESSOR: "% of a core", TRAFFIC: "KB/s", MEMORY: "MB"}
CONTROL = {
    PROCESSOR: ("processor",),
    TRAFFIC: ("sent_bytes", "received_bytes"),
    MEMORY: ("memory",),
    MESSAGES: ("sent_messages", "received_messages"),
}
DATA = {
    PROCESSOR: ("data_processor",),
    TRAFFIC: ("data_sent_bytes", "data_received_bytes"),
    MESSAGES: ("data_sent_messages", "data_received_messages"),
}


class Row(NamedTuple):
    """A quantity that one role's cost grows with.

    :param role: ``router``, ``dispatcher`` or ``agent``.
    :param probe: name of the probe that measures the slopes.
    :param sizes: size in cells (designed), and size with whole pools (as built).
    :param growth: what the quantity grows with.
    :param mechanism: what limits the cost, or is planned to bring it under the budget.
    :param measures: names of measures by kind of cost.
    :param factor: occurrences of the cost a second.
    :param times: multipliers at the two sizes, for a cost that grows with a product.
    :param has_fixed: whether the cost includes the intercept.
    :param is_summed: whether the sum of the role includes the row.
    :param label: name of the row; if empty, the quantity of the probe.
    """

    role: str
    probe: str
    sizes: tuple[float, float]
    growth: str
    mechanism: str
    measures: dict[str, tuple[str, ...]] = CONTROL
    factor: float = 1.0
    times: tuple[float, float] = (1.0, 1.0)
    has_fixed: bool = False
    is_summed: bool = True
    label: str = ""


PER_CHANGE_ROUTER = {
    PROCESSOR: ("receive", "parse", "adopt_router"),
    TRAFFIC: ("reply",),
    MEMORY: ("memory",),
}
PER_CHANGE_AGENT = {**PER_CHANGE_ROUTER, PROCESSOR: ("receive", "parse", "adopt_agent")}
CELLS = "cells of one pool in one data centre (designed, not built)"
LIVENESS = (
    "is to fall by taking parts and acknowledgements as signs of life, so that only "
    "quiet links are probed (not built)"
)
HOSTS = "conditional reads: the whole list only when it has changed"
DOCUMENT = "version hints; the document is sent once for each change"
RANKING = "one ranking for each change of the list of routers"
TICKS = f"{TICKS_PER_S} ticks a second while requests are open, 20 a second otherwise"


def list_shared_rows(role, peers, links, per_change):
    """Return the rows that routers and agents have in common.

    :param role: ``router`` or ``agent``.
    :param peers: sizes of the row of peers.
    :param links: sizes of the row of open connections.
    :param per_change: measures of a change of the document by kind of cost.
    """
    every = (TICKS_PER_S, TICKS_PER_S)
    return [
        Row(role, "loop_ticks", every, "constant", TICKS, has_fixed=True),
        Row(role, "peers", peers, "peers with traffic, and candidates", LIVENESS),
        Row(
            role,
            "loop_links",
            links,
            "as the peers",
            "one connection for each direction, closed after 60 s without use",
            {MEMORY: ("resident",)},
        ),
        Row(
            role,
            "loop_hosts",
            (targets.N_HOSTS, targets.N_HOSTS),
            "routers and agents, changes of the list a day",
            HOSTS,
            factor=HOST_CHANGES_PER_S,
            has_fixed=True,
        ),
        Row(
            role,
            "document_workspaces",
            (targets.N_WORKSPACES, targets.N_WORKSPACES),
            "workspaces, changes a day",
            DOCUMENT,
            per_change,
            factor=CHANGES_PER_S,
            has_fixed=True,
        ),
    ]


ROUTER_ROWS = [
    Row(
        "router",
        "router_pools",
        (targets.N_MODELS, targets.N_MODELS),
        "pools with waiting requests",
        "whole demand of a pool every 0.5 s to two dispatchers; is to fall by demand "
        "by difference (not built)",
    ),
    Row(
        "router",
        "router_requests",
        (targets.REQUESTS_PER_ROUTER, targets.REQUESTS_PER_ROUTER),
        "requests/s over routers",
        "demand on change, at most every 50 ms once the dispatcher knows the class",
    ),
    Row(
        "router",
        "router_waiting",
        (targets.WAITING_PER_ROUTER, targets.WAITING_PER_ROUTER),
        "backlog over routers",
        "one bounded queue for each workspace; demand holds classes, not requests",
    ),
    Row(
        "router",
        "router_in_flight",
        (targets.IN_FLIGHT_PER_ROUTER, targets.IN_FLIGHT_PER_ROUTER),
        "tokens/s × time between tokens / routers",
        "attempts are scanned every 50 ms, not on every tick",
    ),
    Row(
        "router",
        "router_dispatchers",
        (targets.N_CELLS, targets.N_MODELS),
        "pools, or cells",
        "passive dispatchers scan every 50 ms",
        {PROCESSOR: ("processor",), MEMORY: ("memory",)},
    ),
    Row(
        "router",
        "router_reviews",
        (targets.ROUTERS_PER_CELL, targets.N_ROUTERS),
        "routers × pools; ranked on change, reviewed ten times a second",
        RANKING,
        has_fixed=True,
    ),
    *list_shared_rows(
        "router",
        (targets.ROUTER_PEERS_IN_CELLS, targets.ROUTER_PEERS),
        (targets.ROUTER_PEERS_IN_CELLS, targets.ROUTER_PEERS),
        PER_CHANGE_ROUTER,
    ),
]
DISPATCHER_ROWS = [
    Row(
        "dispatcher",
        "dispatcher_routers",
        (targets.ROUTERS_PER_CELL, targets.N_ROUTERS),
        "routers with waiting requests",
        CELLS + "; and a longer interval for repeated demands and summaries in which "
        "nothing has changed (not built)",
    ),
    Row(
        "dispatcher",
        "dispatcher_agents",
        (targets.AGENTS_PER_CELL, targets.AGENTS_PER_POOL),
        "backend servers of the unit",
        CELLS + "; answers at most every 0.25 s",
    ),
    Row(
        "dispatcher",
        "dispatcher_backlogged",
        (
            targets.BACKLOGGED_PER_CELL,
            targets.BACKLOGGED_PER_CELL * targets.N_DATA_CENTRES,
        ),
        "workspaces × routers at which each waits",
        CELLS + "; demand by difference in place of the whole every 0.5 s (not built)",
    ),
    Row(
        "dispatcher",
        "dispatcher_backlogged",
        (targets.N_BACKLOGGED, targets.N_BACKLOGGED * targets.N_DATA_CENTRES),
        "the same if all 280 wait in one unit",
        "demand by difference (not built)",
        is_summed=False,
        label="all 280 backlogged workspaces in one unit",
    ),
    Row(
        "dispatcher",
        "dispatcher_requests",
        (targets.REQUESTS_PER_CELL, targets.REQUESTS_PER_POOL),
        "requests/s of the unit",
        CELLS,
    ),
    Row(
        "dispatcher",
        "peers",
        (targets.DISPATCHER_PEERS_IN_CELLS, targets.DISPATCHER_PEERS),
        "routers and agents that probe a candidate",
        CELLS + "; " + LIVENESS,
    ),
    Row(
        "dispatcher",
        "document_workspaces",
        (targets.N_WORKSPACES, targets.N_WORKSPACES),
        "agents of the unit × document × changes a day",
        CELLS + "; the average of a day, the burst is worked out below",
        {PROCESSOR: ("send",), TRAFFIC: ("content",)},
        factor=CHANGES_PER_S,
        times=(targets.AGENTS_PER_CELL, targets.AGENTS_PER_POOL),
        has_fixed=True,
        label="agents that ask for each new document",
    ),
    Row(
        "dispatcher",
        "dispatcher_served",
        (targets.SERVED_PER_AGENT, targets.SERVED_PER_AGENT),
        "agents of the unit × workspaces, at a takeover",
        "whole reports only after a change of dispatcher",
        factor=RESTARTS_PER_S,
        times=(targets.AGENTS_PER_CELL, targets.AGENTS_PER_POOL),
        label="whole reports after a takeover, one for each of 120 restarts a day",
    ),
]
AGENT_ROWS = [
    Row(
        "agent",
        "agent_requests",
        (targets.REQUESTS_PER_AGENT, targets.REQUESTS_PER_AGENT),
        "requests/s over agents",
        "reports on change, at most every 5 ms",
    ),
    Row(
        "agent",
        "agent_in_flight",
        (targets.IN_FLIGHT_PER_AGENT, targets.IN_FLIGHT_PER_AGENT),
        "tokens/s × time between tokens / agents",
        "deadlines and keepalives are scanned on every tick; a scan every 50 ms, as "
        "in routers, would do (not built)",
    ),
    Row(
        "agent",
        "agent_free_places",
        (targets.IN_FLIGHT_PER_AGENT, targets.IN_FLIGHT_PER_AGENT),
        "free places, nearly with the square",
        "is to fall by renewing all open tickets together, once a lifetime (not built)",
        is_summed=False,
        label="free places when no work waits (at most all 54)",
    ),
    Row(
        "agent",
        "agent_keys",
        (targets.KEY_RECORDS, targets.KEY_RECORDS),
        "keyed requests, up to the bound",
        "max_key_records; the oldest are evicted and raise the floor",
        {MEMORY: ("memory",)},
    ),
    Row(
        "agent",
        "agent_served",
        (targets.SERVED_PER_AGENT, targets.SERVED_PER_AGENT),
        "workspaces that use the model",
        "totals that changed; whole reports only after a change of dispatcher",
        factor=RESTARTS_PER_S,
    ),
    Row(
        "agent",
        "agent_reviews",
        (targets.ROUTERS_PER_CELL, targets.N_ROUTERS),
        "routers; ranked on change, reviewed ten times a second",
        RANKING,
        has_fixed=True,
    ),
    *list_shared_rows(
        "agent",
        (targets.AGENT_PEERS_IN_CELLS, targets.AGENT_PEERS),
        (targets.AGENT_PEERS_IN_CELLS, targets.AGENT_PEERS),
        PER_CHANGE_AGENT,
    ),
]
DATA_ROWS = [
    Row(role, probe, (size, size), growth, mechanism, DATA)
    for role, probe, size, growth, mechanism in (
        (
            "router",
            "router_parts",
            targets.PARTS_PER_ROUTER,
            "tokens/s over routers",
            "one part for each token; a batch of parts in a frame is not built",
        ),
        (
            "router",
            "router_in_flight",
            targets.IN_FLIGHT_PER_ROUTER,
            "keepalives and acknowledgements of requests without parts",
            "one keepalive and one acknowledgement every 0.5 s",
        ),
        (
            "router",
            "router_requests",
            targets.REQUESTS_PER_ROUTER,
            "requests/s over routers",
            "Start with the body",
        ),
        (
            "agent",
            "agent_parts",
            targets.PARTS_PER_AGENT,
            "tokens/s over agents",
            "one part for each token; a batch of parts in a frame is not built",
        ),
        (
            "agent",
            "agent_in_flight",
            targets.IN_FLIGHT_PER_AGENT,
            "keepalives and acknowledgements of requests without parts",
            "one keepalive and one acknowledgement every 0.5 s",
        ),
        (
            "agent",
            "agent_requests",
            targets.REQUESTS_PER_AGENT,
            "requests/s over agents",
            "Start with the body",
        ),
    )
]
ROLE_ROWS = {
    "router": ROUTER_ROWS,
    "dispatcher": DISPATCHER_ROWS,
    "agent": AGENT_ROWS,
}
