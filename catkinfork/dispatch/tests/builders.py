"""Builders of documents and messages for the tests of the dispatcher."""

import random

from catkinfork.dispatch import Dispatcher
from catkinfork.document import (
    BackendServer,
    DataCentre,
    Document,
    DocumentView,
    Pool,
    Workspace,
)
from catkinfork.protocol import (
    AgentReport,
    Delivered,
    Demand,
    DemandEntry,
    Grant,
    PoolSummary,
    ReportAck,
    Send,
    Sender,
    Suspect,
    Ticket,
)

POOL = "assistant"
MAX_COST = 100
DISPATCHER = Sender("router-1:7000", 10)
ROUTER = Sender("router-1:7000", 10)
OTHER_ROUTER = Sender("router-2:7000", 20)


def make_view(servers, shares=None, out=(), max_cost=MAX_COST):
    """Return a document; ``servers`` maps names to the targets that they serve."""
    shares = shares or {"a": 1.0, "b": 1.0, "c": 1.0}
    document = Document(
        "test",
        1,
        "region",
        [Workspace(name, share, []) for name, share in shares.items()],
        [DataCentre("one"), DataCentre("two", "out")],
        [Pool(POOL, "engine", max_cost)],
        [
            BackendServer(
                name,
                "two" if name in out else "one",
                POOL,
                f"{name}:7100",
                list(targets),
                4,
            )
            for name, targets in servers.items()
        ],
    )
    return DocumentView(document, repr(document).encode())


def make_dispatcher(view, identity=DISPATCHER):
    """Return a dispatcher with a document applied."""
    dispatcher = Dispatcher(POOL, identity, random.Random(1))
    dispatcher.adopt(view, 0.0)
    return dispatcher


def make_entry(workspace, n_waiting=1, wait_ms=0, **fields):
    """Return a demand entry for target ``m``."""
    fields = {"target": "m", "required": "", "preferred": "", "suspect": b""} | fields
    return DemandEntry(workspace, n_waiting=n_waiting, oldest_wait_ms=wait_ms, **fields)


def make_demand(sequence, *entries, seen=0, grantor=DISPATCHER.incarnation):
    """Return a demand message."""
    return Demand(POOL, sequence, seen, grantor, list(entries))


def make_report(server, sequence, tickets=(), delivered=(), suspects=(), **fields):
    """Return a report; tickets are numbers or pairs of number and age in ms."""
    pairs = [item if isinstance(item, tuple) else (item, 0) for item in tickets]
    values = {"state": "warm", "n_places": 4, "n_running": 0, "running_suspect": b""}
    values |= {"pool": POOL, "is_whole": True} | fields
    return AgentReport(
        backend_server=server,
        sequence=sequence,
        tickets=[Ticket(*pair) for pair in pairs],
        delivered=[Delivered(*item) for item in delivered],
        suspects=[Suspect(*item) for item in suspects],
        **values,
    )


def make_agent_sender(server, incarnation=1):
    """Return the identity of a server's agent."""
    return Sender(f"{server}:7100", incarnation)


def find_sent(actions, message_type):
    """Return pairs of destination and message for the sends of a message type."""
    return [
        tuple(action)
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, message_type)
    ]


def list_grants(actions):
    """Return pairs of router and grant entry."""
    return [
        (router, entry)
        for router, grant in find_sent(actions, Grant)
        for entry in grant.entries
    ]


def list_workspaces(actions):
    """Return the workspaces of the grants in order."""
    return [entry.workspace for _, entry in list_grants(actions)]


def list_events(actions):
    """Return the numbers of the log events."""
    return [action.event.number for action in actions if not isinstance(action, Send)]


def get_ack(actions):
    """Return the acknowledgement among actions."""
    return find_sent(actions, ReportAck)[0][1]


def get_summary(actions):
    """Return the summary among actions, or None."""
    sent = find_sent(actions, PoolSummary)
    return sent[0][1] if sent else None
