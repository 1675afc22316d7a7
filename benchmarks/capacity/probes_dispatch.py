"""Probes of the costs of the dispatcher of a pool or cell."""

from benchmarks.capacity import targets
from benchmarks.capacity.documents import (
    build_view,
    format_agent_address,
    format_pool_name,
    format_router_address,
    format_server_name,
    format_workspace_name,
)
from benchmarks.capacity.harness import (
    TICK_S,
    Node,
    Probe,
    add_traced_memory,
    build_sender,
    encode,
    measure_traced_bytes,
)
from catkinfork.dispatch import Dispatcher
from catkinfork.protocol import (
    AgentReport,
    Delivered,
    Demand,
    DemandEntry,
    PoolSummary,
    Send,
    Ticket,
    WorkspaceSummary,
)

POOL = format_pool_name(0)
SPAN_S = 3.0
DEMAND_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 0.25
N_FEW_ROUTERS = 8


def build_dispatcher(n_servers, rng):
    """Return a node and its dispatcher; the document has one pool."""
    node = Node(format_router_address(0))
    dispatcher = Dispatcher(POOL, node.identity, rng)
    view = build_view(n_servers=n_servers, n_pools=1)
    node.call_core(dispatcher.adopt, view, 0.0)
    dispatcher.set_standbys([format_router_address(1)])
    return node, dispatcher


def build_entries(names):
    """Return demand entries of waiting workspaces."""
    return [
        DemandEntry(name, POOL, "", format_server_name(0), b"", 2, 400 + position)
        for position, name in enumerate(names)
    ]


def draw_names(n_backlogged, n_entries, rng):
    """Return a random sample of the workspaces, which wait at one router."""
    numbers = rng.sample(range(n_backlogged), min(n_entries, n_backlogged))
    return [format_workspace_name(number) for number in numbers]


def build_demand(number, sequence, entries):
    """Return the frame of a router's demand."""
    sender = build_sender(format_router_address(number))
    grantor = build_sender(format_router_address(0)).incarnation
    return encode(sender, Demand(POOL, sequence, 0, grantor, entries))


def build_report(number, sequence, n_running, now):
    """Return the frame of a report of a busy agent with two changed totals."""
    delivered = [
        Delivered(format_workspace_name(position), round(now * 900) + 1000, 3, 7, 500)
        for position in (number, number + 100)
    ]
    report = AgentReport(
        format_server_name(number),
        POOL,
        sequence,
        "warm",
        n_running,
        n_running,
        b"",
        [],
        delivered,
        sequence == 1,
        [],
    )
    return encode(build_sender(format_agent_address(number)), report)


def schedule_frames(numbers, interval_s, build_frame, span_s):
    """Return lists of frames by tick; each sender has its own offset.

    :param build_frame: function of a number, a sequence and a time.
    """
    n_ticks = round(span_s / TICK_S)
    frames_by_tick = [[] for _ in range(n_ticks)]
    numbers = list(numbers)
    for position, number in enumerate(numbers):
        due_at = interval_s * position / len(numbers)
        sequence = 1
        while due_at < span_s:
            frame = build_frame(number, sequence, due_at)
            frames_by_tick[min(n_ticks - 1, int(due_at / TICK_S))].append(frame)
            due_at += interval_s
            sequence += 1
    return frames_by_tick


def deliver_frames(node, core, schedules, span_s):
    """Deliver the scheduled frames and tick the dispatcher, tick by tick."""
    for number in range(round(span_s / TICK_S)):
        now = number * TICK_S
        for frames_by_tick in schedules:
            node.handle_frames(frames_by_tick[number], core.handle, now)
        node.call_core(core.tick, now)
        node.pop_sent_messages()
    return node


def measure_state_refresh(n_routers, n_agents, n_backlogged, n_entries, rng):
    """Measure a dispatcher without free places while senders refresh their state."""
    entries = {
        number: build_entries(draw_names(n_backlogged, n_entries, rng))
        for number in range(n_routers)
    }
    demands = schedule_frames(
        range(n_routers),
        DEMAND_INTERVAL_S,
        lambda number, sequence, now: build_demand(number, sequence, entries[number]),
        SPAN_S,
    )
    reports = schedule_frames(
        range(n_agents),
        REPORT_INTERVAL_S,
        lambda number, sequence, now: build_report(
            number, sequence, targets.IN_FLIGHT_PER_AGENT, now
        ),
        SPAN_S,
    )
    node, dispatcher = build_dispatcher(max(n_agents, 1), rng)
    node.reset_counts()
    before = measure_traced_bytes()
    deliver_frames(node, dispatcher, [demands, reports], SPAN_S)
    return add_traced_memory(node.compute_measures(SPAN_S), before)


def run_routers(size, rng):
    """Measure routers that send demand, each with one waiting workspace."""
    return measure_state_refresh(
        size, targets.AGENTS_PER_CELL, targets.BACKLOGGED_PER_CELL, 1, rng
    )


def run_agents(size, rng):
    """Measure reporting backend servers, with few routers."""
    return measure_state_refresh(
        N_FEW_ROUTERS, size, targets.BACKLOGGED_PER_CELL, 1, rng
    )


def run_backlogged(size, rng):
    """Measure backlogged workspaces, each waiting at a fixed number of routers."""
    n_entries = round(size * targets.ROUTERS_PER_BACKLOGGED / targets.ROUTERS_PER_CELL)
    return measure_state_refresh(
        targets.ROUTERS_PER_CELL, targets.AGENTS_PER_CELL, size, n_entries, rng
    )


def run_served(size, rng):
    """Measure full reports after a takeover by the workspaces that they list."""
    node, dispatcher = build_dispatcher(1, rng)
    node.reset_counts()
    delivered = [
        Delivered(format_workspace_name(number), 100000 + number, 1, 7, 500)
        for number in range(size)
    ]
    sender = build_sender(format_agent_address(0))
    before = measure_traced_bytes()
    n_reports = 20
    for sequence in range(1, n_reports + 1):
        report = AgentReport(
            format_server_name(0),
            POOL,
            sequence,
            "warm",
            8,
            8,
            b"",
            [Ticket(sequence, 0)],
            delivered,
            True,
            [],
        )
        node.handle_frames(
            [encode(sender, report)], dispatcher.handle, sequence * TICK_S
        )
    # The measures are per report instead of per second.
    return add_traced_memory(node.compute_measures(n_reports), before)


def run_summary_entries(size, rng):
    """Measure a summary by the workspaces that it lists."""
    workspaces = [
        WorkspaceSummary(format_workspace_name(number), 1234.5 + number, 20, 900)
        for number in range(size)
    ]
    servers = [format_server_name(number) for number in range(targets.AGENTS_PER_CELL)]
    summary = PoolSummary(POOL, 1000, workspaces, [], [], 324, servers)
    return measure_message(summary)


def run_demand_entries(size, rng):
    """Measure a demand by its classes."""
    names = [format_workspace_name(number) for number in range(size)]
    return measure_message(Demand(POOL, 1000, 500, 1, build_entries(names)))


def measure_message(message):
    """Return the measures of sending one message."""
    node = Node(format_router_address(0))
    n_sent = 20
    for _ in range(n_sent):
        node.call_core(send_message, message)
    return node.compute_measures(n_sent)


def send_message(message):
    """Return the action that sends a message."""
    return [Send(format_router_address(1), message)]


PER_MESSAGE = {"processor": "ms/message", "sent_bytes": "B/message"}
PROBES = (
    Probe(
        "summary_entries",
        "dispatcher",
        "workspaces in a summary",
        (22, 70, 140, 210, 280),
        targets.N_BACKLOGGED,
        run_summary_entries,
        PER_MESSAGE,
        has_state=False,
    ),
    Probe(
        "demand_entries",
        "router",
        "classes in a demand",
        (2, 4, 8, 16, 32),
        targets.ENTRIES_PER_DEMAND,
        run_demand_entries,
        PER_MESSAGE,
        has_state=False,
    ),
    Probe(
        "dispatcher_routers",
        "dispatcher",
        "routers heard",
        (24, 49, 98, 195, 390),
        targets.N_ROUTERS,
        run_routers,
    ),
    Probe(
        "dispatcher_agents",
        "dispatcher",
        "backend servers reporting",
        (6, 12, 23, 35, 47),
        targets.AGENTS_PER_POOL,
        run_agents,
    ),
    Probe(
        "dispatcher_backlogged",
        "dispatcher",
        f"backlogged workspaces, each at {targets.ROUTERS_PER_BACKLOGGED} routers",
        (22, 70, 140, 210, 280),
        targets.N_BACKLOGGED,
        run_backlogged,
    ),
    Probe(
        "dispatcher_served",
        "dispatcher",
        "workspaces in a whole report",
        (100, 200, 300, 431, 600),
        targets.SERVED_PER_AGENT,
        run_served,
        {
            "processor": "ms/report",
            "received_bytes": "B/report",
            "received_messages": "messages/report",
            "sent_messages": "messages/report",
            "sent_bytes": "B/report",
        },
    ),
)
