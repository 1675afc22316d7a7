"""What grows at the dispatcher of a pool or cell."""

from benchmarks.capacity import targets
from benchmarks.capacity.documents import (
    make_view,
    name_agent,
    name_pool,
    name_router,
    name_server,
    name_workspace,
)
from benchmarks.capacity.harness import (
    TICK_S,
    Node,
    Probe,
    encode,
    make_sender,
    traced_bytes,
    with_memory,
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

POOL = name_pool(0)
SPAN_S = 3.0
DEMAND_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 0.25
N_FEW_ROUTERS = 8


def make_dispatcher(n_servers, rng):
    """Return a node and its dispatcher, with servers of one pool only."""
    node = Node(name_router(0))
    dispatcher = Dispatcher(POOL, node.identity, rng)
    view = make_view(n_servers=n_servers, n_pools=1)
    node.call(dispatcher.adopt, view, 0.0)
    dispatcher.set_standbys([name_router(1)])
    return node, dispatcher


def make_entries(names):
    """Return demand entries of workspaces that wait."""
    return [
        DemandEntry(name, POOL, "", name_server(0), b"", 2, 400 + position)
        for position, name in enumerate(names)
    ]


def draw_names(n_backlogged, n_entries, rng):
    """Return the names of the workspaces that wait at one router."""
    numbers = rng.sample(range(n_backlogged), min(n_entries, n_backlogged))
    return [name_workspace(number) for number in numbers]


def make_demand(number, sequence, entries):
    """Return the frame of a router's demand."""
    sender = make_sender(name_router(number))
    grantor = make_sender(name_router(0)).incarnation
    return encode(sender, Demand(POOL, sequence, 0, grantor, entries))


def make_report(number, sequence, n_running, now):
    """Return the frame of the report of a busy agent, with two changed totals."""
    delivered = [
        Delivered(name_workspace(position), round(now * 900) + 1000, 3, 7, 500)
        for position in (number, number + 100)
    ]
    report = AgentReport(
        name_server(number),
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
    return encode(make_sender(name_agent(number)), report)


def plan_frames(numbers, interval_s, make_frame, span_s):
    """Return frames by tick; each sender is sent for at its own moment.

    :param make_frame: function of a number, a sequence and a time.
    """
    n_ticks = round(span_s / TICK_S)
    plan = [[] for _ in range(n_ticks)]
    numbers = list(numbers)
    for position, number in enumerate(numbers):
        moment = interval_s * position / len(numbers)
        sequence = 1
        while moment < span_s:
            frame = make_frame(number, sequence, moment)
            plan[min(n_ticks - 1, int(moment / TICK_S))].append(frame)
            moment += interval_s
            sequence += 1
    return plan


def drive(node, core, plans, span_s):
    """Hand the planned frames over, tick by tick."""
    for number in range(round(span_s / TICK_S)):
        now = number * TICK_S
        for plan in plans:
            node.take(plan[number], core.handle, now)
        node.call(core.tick, now)
        node.pop_sends()
    return node


def run_state(n_routers, n_agents, n_backlogged, n_entries, rng):
    """Run a dispatcher whose places are all taken: routers and agents repeat state."""
    entries = {
        number: make_entries(draw_names(n_backlogged, n_entries, rng))
        for number in range(n_routers)
    }
    demands = plan_frames(
        range(n_routers),
        DEMAND_INTERVAL_S,
        lambda number, sequence, now: make_demand(number, sequence, entries[number]),
        SPAN_S,
    )
    reports = plan_frames(
        range(n_agents),
        REPORT_INTERVAL_S,
        lambda number, sequence, now: make_report(
            number, sequence, targets.IN_FLIGHT_PER_AGENT, now
        ),
        SPAN_S,
    )
    node, dispatcher = make_dispatcher(max(n_agents, 1), rng)
    node.reset()
    before = traced_bytes()
    drive(node, dispatcher, [demands, reports], SPAN_S)
    return with_memory(node.measure(SPAN_S), before)


def run_routers(size, rng):
    """Routers heard, each with one workspace that waits."""
    return run_state(size, targets.AGENTS_PER_CELL, targets.BACKLOGGED_PER_CELL, 1, rng)


def run_agents(size, rng):
    """Backend servers reporting, with few routers."""
    return run_state(N_FEW_ROUTERS, size, targets.BACKLOGGED_PER_CELL, 1, rng)


def run_backlogged(size, rng):
    """Backlogged workspaces, each waiting at a fixed number of the cell's routers."""
    n_entries = round(size * targets.ROUTERS_PER_BACKLOGGED / targets.ROUTERS_PER_CELL)
    return run_state(
        targets.ROUTERS_PER_CELL, targets.AGENTS_PER_CELL, size, n_entries, rng
    )


def run_served(size, rng):
    """Workspaces that an agent has served, in one whole report after a takeover."""
    node, dispatcher = make_dispatcher(1, rng)
    node.reset()
    delivered = [
        Delivered(name_workspace(number), 100000 + number, 1, 7, 500)
        for number in range(size)
    ]
    sender = make_sender(name_agent(0))
    before = traced_bytes()
    n_reports = 20
    for sequence in range(1, n_reports + 1):
        report = AgentReport(
            name_server(0),
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
        node.take([encode(sender, report)], dispatcher.handle, sequence * TICK_S)
    # Figures for one report, not for a second.
    return with_memory(node.measure(n_reports), before)


def run_summary_entries(size, rng):
    """Bytes of a summary by the workspaces that it lists."""
    workspaces = [
        WorkspaceSummary(name_workspace(number), 1234.5 + number, 20, 900)
        for number in range(size)
    ]
    servers = [name_server(number) for number in range(targets.AGENTS_PER_CELL)]
    summary = PoolSummary(POOL, 1000, workspaces, [], [], 324, servers)
    return measure_message(summary)


def run_demand_entries(size, rng):
    """Bytes of a demand by its classes."""
    names = [name_workspace(number) for number in range(size)]
    return measure_message(Demand(POOL, 1000, 500, 1, make_entries(names)))


def measure_message(message):
    """Return the cost of sending one message."""
    node = Node(name_router(0))
    n_sent = 20
    for _ in range(n_sent):
        node.call(send_message, message)
    return node.measure(n_sent)


def send_message(message):
    """Return the action that sends a message."""
    return [Send(name_router(1), message)]


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
