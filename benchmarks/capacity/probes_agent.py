"""Probes of the costs of an agent."""

from benchmarks.capacity import targets
from benchmarks.capacity.documents import (
    build_agent_settings,
    build_view,
    format_agent_address,
    format_pool_name,
    format_router_address,
    format_workspace_name,
)
from benchmarks.capacity.harness import (
    INCARNATION,
    TICK_S,
    WALL_OFFSET_S,
    Node,
    Probe,
    build_sender,
    encode,
    measure_traced_bytes,
)
from benchmarks.capacity.probes_router import measure_periodic_review, prepare_process
from catkinfork.execution import AgentCore, BackendData, BackendHead, BackendHealth
from catkinfork.processes import AgentProcess
from catkinfork.protocol import AttemptId, ReportAck, ResponseAck, ResponsePart, Start

SPAN_S = 4.0
ACK_INTERVAL_S = 0.5
REPORT_INTERVAL_S = 0.25
DISPATCHER = format_router_address(0)
N_STREAM_ROUTERS = targets.ROUTERS_PER_CELL


def build_agent(n_places, n_workspaces=targets.SERVED_PER_AGENT):
    """Return a node and its warm agent core with open tickets."""
    node = Node(format_agent_address(0))
    core = AgentCore(build_agent_settings(0), node.identity, WALL_OFFSET_S)
    view = build_view(n_workspaces=n_workspaces, n_servers=13)
    node.call_core(core.adopt, view, 0.0)
    node.call_core(core.observe, BackendHealth(True, False), 0.0)
    core.capacity.limiter.set_maximum(n_places)
    core.capacity.limiter.limit = n_places
    core.capacity.limiter.is_cold = False
    node.call_core(core.set_dispatchers, [DISPATCHER], 0.0)
    node.call_core(core.tick, 0.0)
    acknowledge_reports(node, core, 0.0)
    return node, core


def acknowledge_reports(node, core, now):
    """Deliver the acknowledgement of all reports so far from the dispatcher."""
    ack = ReportAck(core.reporter.sequence, False, [])
    node.handle_frames([encode(build_sender(DISPATCHER), ack)], core.handle, now)
    node.pop_sent_messages()


def start_attempts(node, core, n_attempts):
    """Start requests from several routers in turn and return their attempt ids."""
    attempts = []
    tickets = list(core.capacity.tickets.issued_at)
    for number, ticket in enumerate(tickets[:n_attempts]):
        router = format_router_address(number % N_STREAM_ROUTERS)
        attempt = AttemptId(router, INCARNATION, number)
        start = Start(
            attempt,
            f"request-{number}",
            ticket,
            INCARNATION,
            format_workspace_name(number),
            format_pool_name(0),
            "POST",
            "/v1/chat/completions",
            [("content-type", "application/json")],
            number.to_bytes(8, "big") + bytes(targets.BODY_BYTES - 8),
            600000,
            "",
            True,
            number.to_bytes(16, "big"),
            1,
        )
        node.handle_frames([encode(build_sender(router), start)], core.handle, 0.0)
        node.call_core(core.observe, BackendHead(attempt, 200, []), 0.0, is_data=True)
        attempts.append(attempt)
    node.pop_sent_messages()
    assert core.n_running == n_attempts
    return attempts


def run_ticks(node, core, span_s, attempts=(), on_tick=None):
    """Tick an agent while routers acknowledge parts and the dispatcher reports.

    :param on_tick: function of tick number and time that delivers events.
    """
    received = {}
    ticks_per_ack = round(ACK_INTERVAL_S / TICK_S)
    ticks_per_report = round(REPORT_INTERVAL_S / TICK_S)
    for number in range(round(span_s / TICK_S)):
        now = number * TICK_S
        if on_tick is not None:
            on_tick(number, now)
        node.call_core(core.tick, now)
        for _, message, _ in node.pop_sent_messages():
            if isinstance(message, ResponsePart) and not message.is_keepalive:
                received[message.attempt] = message.sequence + 1
        for position, attempt in enumerate(attempts):
            if (number + position) % ticks_per_ack == 0:
                ack = ResponseAck(attempt, received.get(attempt, 1))
                frame = encode(build_sender(attempt.router), ack)
                node.handle_frames([frame], core.handle, now)
        if number % ticks_per_report == 0:
            acknowledge_reports(node, core, now)


def run_in_flight(size, rng):
    """Measure requests in flight whose agent sends only keepalives."""
    node, core = build_agent(targets.IN_FLIGHT_PER_AGENT)
    before = measure_traced_bytes()
    attempts = start_attempts(node, core, size)
    node.pop_other_actions()
    memory = measure_traced_bytes() - before
    core.capacity.limiter.limit = size
    node.reset_counts()
    run_ticks(node, core, SPAN_S, attempts)
    values = node.compute_measures(SPAN_S)
    if memory:
        values["memory"] = memory
    return values


def run_parts(size, rng):
    """Measure response parts a second, distributed over the requests in flight."""
    node, core = build_agent(targets.IN_FLIGHT_PER_AGENT)
    attempts = start_attempts(node, core, targets.IN_FLIGHT_PER_AGENT)
    node.reset_counts()
    span_s = 2.0
    data = b"x" * targets.PART_BYTES
    progress = {"n_parts": 0}

    def on_tick(number, now):
        n_parts = int(size * (now + TICK_S))
        for part in range(progress["n_parts"], n_parts):
            event = BackendData(attempts[part % len(attempts)], data, 2)
            node.call_core(core.observe, event, now, is_data=True)
        progress["n_parts"] = n_parts

    run_ticks(node, core, span_s, attempts, on_tick)
    return node.compute_measures(span_s)


def run_free_places(size, rng):
    """Measure free places whose open tickets are renewed at distinct times."""
    node, core = build_agent(size)
    numbers = list(core.capacity.tickets.issued_at)
    lifetime_s = core.settings.execution.ticket_lifetime_s
    for position, number in enumerate(numbers):
        age_s = lifetime_s * (position + 1) / (len(numbers) + 1)
        core.capacity.tickets.issued_at[number] = -age_s
    node.reset_counts()
    run_ticks(node, core, SPAN_S)
    return node.compute_measures(SPAN_S)


def build_key(number):
    """Return a UUID version 7; its creation time in milliseconds grows with number."""
    text = f"{round(WALL_OFFSET_S * 1000) + 3000 + number:012x}"
    return f"{text[:8]}-{text[8:]}-7000-8000-{number:012x}"


def run_keys(size, rng):
    """Measure 500 new keys in a table of records of completed keys."""
    node, core = build_agent(1)
    records = core.keys.records
    n_new = 500
    before = measure_traced_bytes()
    now = 3.0 + (size + n_new) / 1000
    for number in range(size - n_new):
        name = format_workspace_name(number % targets.SERVED_PER_AGENT)
        record = records.add(name, build_key(number), bytes(16), "uncertain", now)
        assert record is not None
    memory = measure_traced_bytes() - before
    keys = [build_key(number) for number in range(size - n_new, size)]
    node.reset_counts()
    for key in keys:
        node.call_core(add_new_key, records, key, now)
    values = {"key": node.processor_s * 1e6 / n_new}
    if memory:
        values["memory"] = memory
    return values


def add_new_key(records, key, now):
    """Check a new key and add its record, as an agent does."""
    if records.find("workspace-0000", key) is None and not records.check_new(key, now):
        records.add("workspace-0000", key, bytes(16), "uncertain", now)
    records.check_invariants()


def run_served(size, rng):
    """Measure workspaces served since the start, all of them in a full report."""
    node, core = build_agent(1, n_workspaces=size)
    before = measure_traced_bytes()
    for number in range(size):
        core.runner.meter.note_start(format_workspace_name(number))
        core.runner.meter.note_units(format_workspace_name(number), 1000 + number)
        core.runner.meter.note_end(
            format_workspace_name(number), 1000 + number, 1000 + number
        )
    memory = measure_traced_bytes() - before
    node.reset_counts()
    n_reports = 10
    for number in range(n_reports):
        core.reporter.ask_whole()
        node.call_core(core.tick, 1.0 + 0.3 * number)
    values = node.compute_measures(n_reports)
    if memory:
        values["memory"] = memory
    return values


def run_reviews(size, rng):
    """Measure the review of routers for the agent's pool, ten times a second."""
    view = build_view(n_workspaces=10)
    process = prepare_process(AgentProcess(build_agent_settings(0)), size, view)
    process.adopt(view, 0.0)
    return measure_periodic_review(Node(format_agent_address(0)), process, 20)


PROBES = (
    Probe(
        "agent_in_flight",
        "agent",
        "requests in flight",
        (7, 14, 27, 40, 54),
        targets.IN_FLIGHT_PER_AGENT,
        run_in_flight,
    ),
    Probe(
        "agent_parts",
        "agent",
        "parts/s sent",
        (108, 217, 433, 650, 867),
        targets.PARTS_PER_AGENT,
        run_parts,
        has_state=False,
    ),
    Probe(
        "agent_free_places",
        "agent",
        "free places",
        (7, 14, 27, 40, 54),
        targets.IN_FLIGHT_PER_AGENT,
        run_free_places,
        has_state=False,
    ),
    Probe(
        "agent_keys",
        "agent",
        "key records",
        (25000, 50000, 100000, 200000),
        targets.KEY_RECORDS,
        run_keys,
        {"key": "us/new key"},
    ),
    Probe(
        "agent_served",
        "agent",
        "workspaces served since the start",
        (100, 200, 300, 431, 600),
        targets.SERVED_PER_AGENT,
        run_served,
        {
            "processor": "ms/report",
            "sent_bytes": "B/report",
            "sent_messages": "messages/report",
        },
    ),
    Probe(
        "agent_reviews",
        "agent",
        "routers ranked for one pool",
        (49, 98, 195, 290, 390),
        targets.N_ROUTERS,
        run_reviews,
        has_state=False,
    ),
)
