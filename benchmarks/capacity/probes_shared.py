"""Probes of the costs of every process: peers and the document."""

from benchmarks.capacity import targets
from benchmarks.capacity.documents import (
    ENVIRONMENT,
    build_agent_settings,
    build_content,
    build_router_settings,
    format_agent_address,
    format_pool_name,
    format_router_address,
)
from benchmarks.capacity.harness import (
    INCARNATION,
    TICK_S,
    WALL_OFFSET_S,
    Node,
    Probe,
    add_traced_memory,
    build_sender,
    encode,
    measure_traced_bytes,
)
from catkinfork.configuration import AdoptDocument, ConfigurationState
from catkinfork.dispatch import Dispatcher
from catkinfork.document import compute_digest, parse_document
from catkinfork.execution import AgentCore
from catkinfork.membership import PeerTable
from catkinfork.protocol import DocumentReply, DocumentRequest, Heartbeat, Send, Sender
from catkinfork.routing import RouterCore

SPAN_S = 4.0
PROBE_INTERVAL_S = 0.5
# The probe of changes uses documents of 1/20 of the target size, so that parsing 1,800
# of them takes seconds. The probe document_workspaces uses the full size.
CHANGE_SCALE = 20


def run_peers(size, rng):
    """Measure peers that probe this process and are probed by it."""
    before = measure_traced_bytes()
    node = Node(format_router_address(0))
    core = PeerTable("router", "data-centre-0")
    names = [format_agent_address(number) for number in range(size)]
    core.set_probe_targets(names, 0.0)
    ticks_per_probe = round(PROBE_INTERVAL_S / TICK_S)
    for number in range(round(SPAN_S / TICK_S)):
        now = number * TICK_S
        for position in range(number % ticks_per_probe, size, ticks_per_probe):
            sequence = 1 + number // ticks_per_probe
            probe = Heartbeat(
                sequence, "agent", "data-centre-0", echo=max(0, core.sequence - 1)
            )
            frame = encode(build_sender(names[position]), probe)
            node.handle_frames([frame], core.handle, now)
        node.call_core(core.tick, now)
        node.pop_sent_messages()
    return add_traced_memory(node.compute_measures(SPAN_S), before)


def run_document(size, rng):
    """Measure parsing, applying and sending a document by its workspaces."""
    content = build_content(n_workspaces=size)
    router = build_sender(format_router_address(0))
    cores = [
        RouterCore(build_router_settings(router.name), router, rng),
        *[
            Dispatcher(format_pool_name(number), router, rng)
            for number in range(targets.N_MODELS)
        ],
    ]
    agent = AgentCore(
        build_agent_settings(0), build_sender(format_agent_address(0)), WALL_OFFSET_S
    )
    before = measure_traced_bytes()
    view = parse_document(content).unwrap()
    memory = measure_traced_bytes() - before
    for core in [*cores, agent]:
        core.adopt(view, 0.0)
    node = Node(router.name)
    values = {"content": len(content)}
    node.call_core(parse_content, content)
    values["parse"] = pop_processor_ms(node)
    for core in cores:
        node.call_core(core.adopt, view, 1.0)
    values["adopt_router"] = pop_processor_ms(node)
    node.call_core(agent.adopt, view, 1.0)
    values["adopt_agent"] = pop_processor_ms(node)
    node.call_core(send_document, content)
    values["send"] = pop_processor_ms(node)
    values["reply"] = len(node.pop_sent_messages()[0][2])
    node.handle_frames([encode(router, DocumentReply(content))], ignore_message, 0.0)
    values["receive"] = pop_processor_ms(node)
    if memory:
        values["memory"] = memory
    return values


def parse_content(content):
    """Parse a document."""
    parse_document(content)


def send_document(content):
    """Return the action that sends a document."""
    return [Send(format_agent_address(0), DocumentReply(content))]


def ignore_message(sender, message, now):
    """Ignore a message."""


def pop_processor_ms(node):
    """Return the processor time since the last call in milliseconds, and reset it."""
    processor_ms = node.processor_s * 1000
    node.reset_counts()
    return processor_ms


def run_changes(size, rng):
    """Measure document changes a day that a process learns of from a peer."""
    documents = [
        build_content(
            n_workspaces=targets.N_WORKSPACES // CHANGE_SCALE,
            n_servers=targets.N_AGENTS // CHANGE_SCALE,
            version=version,
        )
        for version in range(1, size + 1)
    ]
    node = Node(format_agent_address(0))
    core = ConfigurationState(ENVIRONMENT)
    for number, content in enumerate(documents):
        now = 2.0 * number
        digest = compute_digest(content)
        sender = Sender(format_router_address(0), INCARNATION, number + 1, digest)
        node.call_core(core.hear, sender, now)
        is_asked = any(
            isinstance(message, DocumentRequest)
            for _, message, _ in node.pop_sent_messages()
        )
        assert is_asked
        reply = encode(sender, DocumentReply(content))
        node.handle_frames([reply], core.handle, now)
        node.call_core(core.tick, now)
        assert isinstance(node.pop_other_actions()[0], AdoptDocument)
    return node.compute_measures(1.0)


PROBES = (
    Probe(
        "peers",
        "any",
        "peers probed",
        (40, 85, 135, 290, 436),
        targets.DISPATCHER_PEERS,
        run_peers,
    ),
    Probe(
        "document_workspaces",
        "any",
        "workspaces in the document",
        (350, 700, 1400, 2100, 2800),
        targets.N_WORKSPACES,
        run_document,
        {
            "content": "bytes",
            "reply": "bytes",
            "parse": "ms/change",
            "adopt_router": "ms/change",
            "adopt_agent": "ms/change",
            "send": "ms/reply",
            "receive": "ms/reply",
        },
    ),
    Probe(
        "document_changes",
        "any",
        "changes a day",
        (60, 120, 180, 240, 300),
        targets.CHANGES_PER_DAY,
        run_changes,
        {
            "processor": "ms/day",
            "sent_messages": "messages/day",
            "sent_bytes": "B/day",
            "received_messages": "messages/day",
            "received_bytes": "B/day",
        },
        has_state=False,
    ),
)
