"""What grows at every process: peers and the document."""

from benchmarks.capacity import targets
from benchmarks.capacity.documents import (
    ENVIRONMENT,
    make_agent_settings,
    make_content,
    make_router_settings,
    name_agent,
    name_pool,
    name_router,
)
from benchmarks.capacity.harness import (
    INCARNATION,
    TICK_S,
    WALL_OFFSET_S,
    Node,
    Probe,
    encode,
    make_sender,
    traced_bytes,
    with_memory,
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
# The probe of changes uses documents of a twentieth of the target size, so that 1,800
# of them are parsed in seconds. The probe document_workspaces has one at full size.
CHANGE_SCALE = 20


def run_peers(size, rng):
    """Peers that probe this process and are probed by it."""
    before = traced_bytes()
    node = Node(name_router(0))
    core = PeerTable("router", "data-centre-0")
    names = [name_agent(number) for number in range(size)]
    core.want(names, 0.0)
    ticks_per_probe = round(PROBE_INTERVAL_S / TICK_S)
    for number in range(round(SPAN_S / TICK_S)):
        now = number * TICK_S
        for position in range(number % ticks_per_probe, size, ticks_per_probe):
            sequence = 1 + number // ticks_per_probe
            probe = Heartbeat(
                sequence, "agent", "data-centre-0", echo=max(0, core.sequence - 1)
            )
            frame = encode(make_sender(names[position]), probe)
            node.take([frame], core.handle, now)
        node.call(core.tick, now)
        node.pop_sends()
    return with_memory(node.measure(SPAN_S), before)


def run_document(size, rng):
    """Workspaces in the document: parsing, adopting and sending it."""
    content = make_content(n_workspaces=size)
    router = make_sender(name_router(0))
    cores = [
        RouterCore(make_router_settings(router.name), router, rng),
        *[
            Dispatcher(name_pool(number), router, rng)
            for number in range(targets.N_MODELS)
        ],
    ]
    agent = AgentCore(make_agent_settings(0), make_sender(name_agent(0)), WALL_OFFSET_S)
    before = traced_bytes()
    view = parse_document(content).unwrap()
    memory = traced_bytes() - before
    for core in [*cores, agent]:
        core.adopt(view, 0.0)
    node = Node(router.name)
    values = {"content": len(content)}
    node.call(parse_and_drop, content)
    values["parse"] = take_ms(node)
    for core in cores:
        node.call(core.adopt, view, 1.0)
    values["adopt_router"] = take_ms(node)
    node.call(agent.adopt, view, 1.0)
    values["adopt_agent"] = take_ms(node)
    node.call(send_document, content)
    values["send"] = take_ms(node)
    values["reply"] = len(node.pop_sends()[0][2])
    node.take([encode(router, DocumentReply(content))], drop_message, 0.0)
    values["receive"] = take_ms(node)
    if memory:
        values["memory"] = memory
    return values


def parse_and_drop(content):
    """Parse a document."""
    parse_document(content)


def send_document(content):
    """Return the action that sends a document."""
    return [Send(name_agent(0), DocumentReply(content))]


def drop_message(sender, message, now):
    """Take a message and do nothing."""


def take_ms(node):
    """Return the processor time since the last call, milliseconds."""
    processor_ms = node.processor_s * 1000
    node.reset()
    return processor_ms


def run_changes(size, rng):
    """Changes a day that a process learns of from a peer, with small documents."""
    documents = [
        make_content(
            n_workspaces=targets.N_WORKSPACES // CHANGE_SCALE,
            n_servers=targets.N_AGENTS // CHANGE_SCALE,
            version=version,
        )
        for version in range(1, size + 1)
    ]
    node = Node(name_agent(0))
    core = ConfigurationState(ENVIRONMENT)
    for number, content in enumerate(documents):
        now = 2.0 * number
        digest = compute_digest(content)
        sender = Sender(name_router(0), INCARNATION, number + 1, digest)
        node.call(core.hear, sender, now)
        is_asked = any(
            isinstance(message, DocumentRequest) for _, message, _ in node.pop_sends()
        )
        assert is_asked
        reply = encode(sender, DocumentReply(content))
        node.take([reply], core.handle, now)
        node.call(core.tick, now)
        assert isinstance(node.pop_others()[0], AdoptDocument)
    return node.measure(1.0)


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
