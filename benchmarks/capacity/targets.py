"""Target size of design section 1.4, and assumptions on its distribution over nodes."""

N_ROUTERS = 390
N_AGENTS = 600
N_MODELS = 13
N_DATA_CENTRES = 8
N_REGIONS = 2
N_WORKSPACES = 2800
N_BACKLOGGED = 280
REQUESTS_PER_S = 1900
TOKENS_PER_S = 520000
TOKEN_INTERVAL_S = 0.062
CHANGES_PER_DAY = 300
RESTARTS_PER_DAY = 120
PLATFORM_CALLS_PER_S = 2000
DAY_S = 86400

BUDGET_CORE_PERCENT = 4.6
BUDGET_MEMORY_MB = 256
BUDGET_TRAFFIC_KB_PER_S = 20

# The following are assumptions, which design section 1.4 does not specify.
# Models that one workspace uses concurrently.
MODELS_PER_WORKSPACE = 2
# Waiting requests of a backlogged workspace in one cell, each at a random router.
WAITING_PER_WORKSPACE_AND_CELL = 20
# API key digests of each workspace.
KEYS_PER_WORKSPACE = 2
# Dispatcher candidates that a process probes for each of its pools.
N_CANDIDATES = 3
# Peers that sent anything other than heartbeats within this time are probed.
ACTIVE_FOR_S = 5.0
PART_BYTES = 190
BODY_BYTES = 4096
KEY_RECORDS = 200000
# Memory of the unpacked wheels of the pex file, from design section 8.
UNPACKED_MB = 40


def count_distinct(n_draws, n_items):
    """Return the expected number of distinct items among random draws."""
    return n_items * (1 - (1 - 1 / n_items) ** n_draws)


N_CELLS = N_MODELS * N_DATA_CENTRES
ROUTERS_PER_CELL = round(N_ROUTERS / N_DATA_CENTRES)
AGENTS_PER_CELL = round(N_AGENTS / N_CELLS)
AGENTS_PER_DATA_CENTRE = N_AGENTS // N_DATA_CENTRES
AGENTS_PER_POOL = round(N_AGENTS / N_MODELS)
REQUESTS_PER_CELL = REQUESTS_PER_S / N_CELLS
REQUESTS_PER_POOL = REQUESTS_PER_S / N_MODELS
REQUESTS_PER_ROUTER = REQUESTS_PER_S / N_ROUTERS
REQUESTS_PER_AGENT = REQUESTS_PER_S / N_AGENTS
IN_FLIGHT = TOKENS_PER_S * TOKEN_INTERVAL_S
IN_FLIGHT_PER_ROUTER = round(IN_FLIGHT / N_ROUTERS)
IN_FLIGHT_PER_AGENT = round(IN_FLIGHT / N_AGENTS)
PARTS_PER_ROUTER = round(TOKENS_PER_S / N_ROUTERS)
PARTS_PER_AGENT = round(TOKENS_PER_S / N_AGENTS)

# Each agent of a model eventually serves every workspace that uses the model.
SERVED_PER_AGENT = round(N_WORKSPACES * MODELS_PER_WORKSPACE / N_MODELS)
# A backlogged workspace waits in the cells of its models within one region.
BACKLOGGED_PER_POOL = round(N_BACKLOGGED * MODELS_PER_WORKSPACE / N_MODELS)
BACKLOGGED_PER_CELL = round(BACKLOGGED_PER_POOL / N_REGIONS)
ROUTERS_PER_BACKLOGGED = round(
    count_distinct(WAITING_PER_WORKSPACE_AND_CELL, ROUTERS_PER_CELL)
)
ENTRIES_PER_DEMAND = round(
    BACKLOGGED_PER_CELL * ROUTERS_PER_BACKLOGGED / ROUTERS_PER_CELL
)
WAITING_PER_ROUTER = round(
    BACKLOGGED_PER_CELL * N_MODELS * WAITING_PER_WORKSPACE_AND_CELL / ROUTERS_PER_CELL
)


def count_router_peers(n_candidate_routers, n_agents):
    """Return the number of candidates and agents with traffic that a router probes."""
    candidates = count_distinct(N_MODELS * N_CANDIDATES, n_candidate_routers)
    n_streams = IN_FLIGHT_PER_ROUTER + REQUESTS_PER_ROUTER * ACTIVE_FOR_S
    return round(candidates + count_distinct(n_streams, n_agents))


def count_agent_peers(n_routers):
    """Return the number of candidates and routers with traffic that an agent probes."""
    n_streams = IN_FLIGHT_PER_AGENT + REQUESTS_PER_AGENT * ACTIVE_FOR_S
    return round(N_CANDIDATES + count_distinct(n_streams, n_routers))


ROUTER_PEERS_IN_CELLS = count_router_peers(ROUTERS_PER_CELL, AGENTS_PER_DATA_CENTRE)
ROUTER_PEERS = count_router_peers(N_ROUTERS, N_AGENTS)
AGENT_PEERS_IN_CELLS = count_agent_peers(ROUTERS_PER_CELL)
AGENT_PEERS = count_agent_peers(N_ROUTERS)
# A dispatcher candidate answers the probes of all routers and agents of its cell or
# pool.
DISPATCHER_PEERS_IN_CELLS = ROUTERS_PER_CELL + AGENTS_PER_CELL
DISPATCHER_PEERS = N_ROUTERS + AGENTS_PER_POOL
N_HOSTS = N_ROUTERS + N_AGENTS
# Each of 120 restarts or replacements and 8 failures changes the list twice: the host
# leaves and its successor joins.
HOST_CHANGES_PER_DAY = 2 * (120 + 8)
