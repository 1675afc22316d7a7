"""Probes of the costs of a router, except those of its dispatchers."""

from benchmarks.capacity import targets
from benchmarks.capacity.documents import (
    build_router_settings,
    build_view,
    format_agent_address,
    format_data_centre_name,
    format_pool_name,
    format_router_address,
    format_server_name,
    format_workspace_name,
)
from benchmarks.capacity.harness import (
    INCARNATION,
    TICK_S,
    Node,
    Probe,
    add_traced_memory,
    build_sender,
    encode,
    measure_traced_bytes,
)
from catkinfork.configuration import Host
from catkinfork.dispatch import Dispatcher
from catkinfork.processes import RouterProcess
from catkinfork.protocol import (
    Grant,
    GrantEntry,
    PoolSummary,
    ResponsePart,
    Start,
    WorkspaceSummary,
)
from catkinfork.routing import RouterCore, RouterRequest

SPAN_S = 4.0
SUMMARY_INTERVAL_S = 0.5
KEEPALIVE_INTERVAL_S = 0.5
REVIEWS_PER_S = 10
DISPATCHERS = [format_router_address(98), format_router_address(99)]
N_SERVERS = targets.AGENTS_PER_DATA_CENTRE


def build_router(rng, n_pools=targets.N_MODELS, n_workspaces=targets.N_WORKSPACES):
    """Return a node and its router core, with the servers of one data centre."""
    node = Node(format_router_address(0))
    core = RouterCore(build_router_settings(node.identity.name), node.identity, rng)
    view = build_view(n_workspaces=n_workspaces, n_servers=N_SERVERS, n_pools=n_pools)
    node.call_core(core.adopt, view, 0.0)
    for number in range(n_pools):
        node.call_core(core.set_dispatchers, format_pool_name(number), DISPATCHERS, 0.0)
    node.pop_sent_messages()
    return node, core


def submit(node, core, number, pool, workspace=None):
    """Submit a request with a unique body."""
    if workspace is None:
        workspace = number % targets.N_WORKSPACES
    request = RouterRequest(
        f"request-{number}",
        format_workspace_name(workspace),
        pool,
        "POST",
        "/v1/chat/completions",
        [("content-type", "application/json")],
        number.to_bytes(8, "big") + bytes(targets.BODY_BYTES - 8),
        "",
        True,
        600.0,
    )
    node.call_core(core.submit, request, 0.0)


def build_summary(pool_number, sequence, names):
    """Return the frame of a pool summary that lists the named workspaces."""
    pool = format_pool_name(pool_number)
    workspaces = [
        WorkspaceSummary(name, 1234.5 + position, 20, 900)
        for position, name in enumerate(names)
    ]
    servers = [format_server_name(number) for number in range(targets.AGENTS_PER_CELL)]
    n_places = targets.AGENTS_PER_CELL * targets.IN_FLIGHT_PER_AGENT
    summary = PoolSummary(pool, sequence, workspaces, [], [], n_places, servers)
    return encode(build_sender(DISPATCHERS[0]), summary)


def run_ticks(node, core, span_s, on_tick=None):
    """Tick a router for a span of virtual time.

    :param on_tick: function of tick number and time that delivers messages.
    """
    for number in range(round(span_s / TICK_S)):
        now = number * TICK_S
        if on_tick is not None:
            on_tick(number, now)
        node.call_core(core.tick, now)
        node.pop_sent_messages()
        node.pop_other_actions()


def run_pools(size, rng):
    """Measure pools for which requests wait at the router."""
    node, core = build_router(rng)
    n_entries = targets.ENTRIES_PER_DEMAND
    names = [format_workspace_name(number) for number in range(n_entries)]
    for pool in range(size):
        for number in range(n_entries):
            submit(node, core, pool * n_entries + number, format_pool_name(pool))
    node.reset_counts()
    ticks_per_summary = round(SUMMARY_INTERVAL_S / TICK_S)

    def on_tick(number, now):
        for pool in range(size):
            if (number + 7 * pool) % ticks_per_summary == 0:
                frame = build_summary(pool, 1 + number, names)
                node.handle_frames([frame], core.handle, now)

    run_ticks(node, core, SPAN_S, on_tick)
    return node.compute_measures(SPAN_S)


def run_dispatchers(size, rng):
    """Measure passive dispatchers, one for each pool or cell in the document."""
    node = Node(format_router_address(0))
    view = build_view(n_servers=targets.N_AGENTS, n_pools=size)
    before = measure_traced_bytes()
    cores = [
        Dispatcher(format_pool_name(number), node.identity, rng)
        for number in range(size)
    ]
    for core in cores:
        node.call_core(core.adopt, view, 0.0)
    node.reset_counts()
    for core in cores:
        node.call_core(core.adopt, view, 0.0)
    adopt_ms = node.processor_s * 1000
    node.reset_counts()
    span_s = 1.0
    for number in range(round(span_s / TICK_S)):
        for core in cores:
            node.call_core(core.tick, number * TICK_S)
    values = node.compute_measures(span_s)
    values["adopt"] = adopt_ms
    return add_traced_memory(values, before)


def build_hosts(n_routers):
    """Return a host list with the given number of routers and all agents."""
    routers = [
        Host(
            format_router_address(number),
            "router",
            format_data_centre_name(number % targets.N_DATA_CENTRES),
            "live",
        )
        for number in range(n_routers)
    ]
    agents = [
        Host(
            format_agent_address(number),
            "agent",
            format_data_centre_name(number % targets.N_DATA_CENTRES),
            "live",
        )
        for number in range(targets.N_AGENTS)
    ]
    return tuple(routers + agents)


def prepare_process(process, n_routers, view):
    """Set hosts and document of a process, and disable its messages and log."""
    process.send = lambda action: None
    process.log.write = lambda action: None
    process.hosts = build_hosts(n_routers)
    process.configuration.view = view
    for address in process.list_routers():
        process.peers.record_sender(build_sender(address), 0.0)
    return process


def measure_periodic_review(node, process, n_reviews):
    """Measure how a process ranks its dispatchers and checks for silent peers."""
    node.call_core(process.review_dispatchers, 0.0)
    node.reset_counts()
    for number in range(n_reviews):
        now = 0.001 * number
        node.call_core(process.review_dispatchers, now)
        node.call_core(process.review, now)
    return node.compute_measures(n_reviews / REVIEWS_PER_S)


def run_reviews(size, rng):
    """Measure the review of routers for each of 13 pools, ten times a second."""
    return measure_reviews(size, targets.N_MODELS)


def run_pool_reviews(size, rng):
    """Measure pools or cells for which 390 routers are reviewed ten times a second."""
    return measure_reviews(targets.N_ROUTERS, size)


def measure_reviews(n_routers, n_pools):
    """Return the measures of the periodic review by a router."""
    view = build_view(n_workspaces=10, n_pools=n_pools)
    process = prepare_process(
        RouterProcess(build_router_settings(format_router_address(0))), n_routers, view
    )
    process.adopt(view, 0.0)
    return measure_periodic_review(Node(format_router_address(0)), process, 5)


def start_attempts(node, core, n_attempts):
    """Submit requests, grant them places and return pairs of agent and attempt id."""
    for number in range(n_attempts):
        submit(node, core, number, format_pool_name(0))
    node.pop_sent_messages()
    entries = [
        GrantEntry(
            number + 1,
            number + 1,
            format_server_name(server := number % 5 * targets.N_MODELS),
            format_agent_address(server),
            INCARNATION,
            format_workspace_name(number),
            format_pool_name(0),
            "",
            "",
            b"",
        )
        for number in range(n_attempts)
    ]
    frame = encode(build_sender(DISPATCHERS[0]), Grant(format_pool_name(0), entries))
    node.handle_frames([frame], core.handle, 0.0)
    starts = [
        (destination, message.attempt)
        for destination, message, _ in node.pop_sent_messages()
        if isinstance(message, Start)
    ]
    assert len(starts) == n_attempts
    return starts


def build_part(agent, attempt, sequence, data, is_keepalive=False):
    """Return the frame of a response part."""
    status, headers = 0, []
    if sequence == 0 and not is_keepalive:
        status, headers = 200, [("content-type", "text/event-stream")]
    part = ResponsePart(
        attempt, sequence, status, headers, data, False, "", 0, is_keepalive
    )
    return encode(build_sender(agent), part)


def run_in_flight(size, rng):
    """Measure requests in flight that receive only keepalives."""
    node, core = build_router(rng)
    before = measure_traced_bytes()
    starts = start_attempts(node, core, size)
    for agent, attempt in starts:
        node.handle_frames([build_part(agent, attempt, 0, b"")], core.handle, 0.0)
    node.pop_sent_messages()
    node.pop_other_actions()
    memory = measure_traced_bytes() - before
    node.reset_counts()
    ticks_per_keepalive = round(KEEPALIVE_INTERVAL_S / TICK_S)

    def on_tick(number, now):
        for position, (agent, attempt) in enumerate(starts):
            if (number + position) % ticks_per_keepalive == 0:
                frame = build_part(agent, attempt, 1, b"", is_keepalive=True)
                node.handle_frames([frame], core.handle, now)

    run_ticks(node, core, SPAN_S, on_tick)
    values = node.compute_measures(SPAN_S)
    if memory:
        values["memory"] = memory
    return values


def run_parts(size, rng):
    """Measure response parts a second, distributed over the requests in flight."""
    node, core = build_router(rng)
    starts = start_attempts(node, core, targets.IN_FLIGHT_PER_ROUTER)
    sequences = [0] * len(starts)
    node.reset_counts()
    span_s = 2.0
    data = b"x" * targets.PART_BYTES
    progress = {"n_parts": 0}

    def on_tick(number, now):
        n_parts = int(size * (now + TICK_S))
        for part in range(progress["n_parts"], n_parts):
            position = part % len(starts)
            agent, attempt = starts[position]
            frame = build_part(agent, attempt, sequences[position], data)
            sequences[position] += 1
            node.handle_frames([frame], core.handle, now)
        progress["n_parts"] = n_parts

    run_ticks(node, core, span_s, on_tick)
    return node.compute_measures(span_s)


def run_waiting(size, rng):
    """Measure requests that wait at the router in a fixed set of classes."""
    node, core = build_router(rng)
    before = measure_traced_bytes()
    for number in range(size):
        pool = format_pool_name(number % targets.N_MODELS)
        submit(node, core, number, pool, number % targets.ENTRIES_PER_DEMAND)
    node.pop_sent_messages()
    memory = measure_traced_bytes() - before
    node.reset_counts()
    run_ticks(node, core, SPAN_S)
    values = node.compute_measures(SPAN_S)
    if memory:
        values["memory"] = memory
    return values


PROBES = (
    Probe(
        "router_pools",
        "router",
        "pools with waiting requests",
        (2, 4, 7, 10, 13),
        targets.N_MODELS,
        run_pools,
        has_state=False,
    ),
    Probe(
        "router_dispatchers",
        "router",
        "passive dispatchers",
        (13, 26, 52, 78, 104),
        targets.N_CELLS,
        run_dispatchers,
        {"adopt": "ms/change"},
    ),
    Probe(
        "router_reviews",
        "router",
        "routers ranked for 13 pools",
        (49, 98, 195, 290, 390),
        targets.N_ROUTERS,
        run_reviews,
        has_state=False,
    ),
    Probe(
        "router_pool_reviews",
        "router",
        "pools or cells for which 390 routers are ranked",
        (7, 13, 26, 52, 104),
        targets.N_CELLS,
        run_pool_reviews,
        has_state=False,
    ),
    Probe(
        "router_waiting",
        "router",
        "requests waiting",
        (95, 110, 125, 150, 180),
        targets.WAITING_PER_ROUTER,
        run_waiting,
    ),
    Probe(
        "router_in_flight",
        "router",
        "requests in flight",
        (10, 20, 41, 62, 83),
        targets.IN_FLIGHT_PER_ROUTER,
        run_in_flight,
    ),
    Probe(
        "router_parts",
        "router",
        "parts/s passed on",
        (167, 333, 667, 1000, 1333),
        targets.PARTS_PER_ROUTER,
        run_parts,
        has_state=False,
    ),
)
