"""Documents, settings and messages for the tests of the routing package."""

import random

from catkinfork.document import (
    ENGINE,
    IN_SERVICE,
    BackendServer,
    DataCentre,
    Document,
    DocumentView,
    Pool,
    Workspace,
)
from catkinfork.protocol import (
    Demand,
    Grant,
    GrantEntry,
    PoolSummary,
    ResponsePart,
    Send,
    Sender,
    Start,
    WorkspaceSummary,
)
from catkinfork.routing import Refuse, Respond, RouterCore, RouterRequest
from catkinfork.settings import (
    AdminSettings,
    FleetSettings,
    GatewaySettings,
    LogSettings,
    PlatformSettings,
    RouterSettings,
    RoutingSettings,
)

ROUTER = Sender("10.0.0.1:7000", 1000)
DISPATCHERS = [Sender("10.0.0.2:7000", 2000), Sender("10.0.0.3:7000", 3000)]
AGENTS = {
    "runner-1": Sender("10.1.0.1:7100", 5000),
    "runner-2": Sender("10.1.0.2:7100", 5000),
}


def make_settings(**routing):
    """Return the settings of a router with some routing settings replaced."""
    return RouterSettings(
        FleetSettings(ROUTER.name, "gasabo", "keys"),
        PlatformSettings("http://127.0.0.1:1", "test", "http://127.0.0.1:2"),
        AdminSettings("127.0.0.1:0"),
        GatewaySettings("127.0.0.1:0", first_byte_timeout_s=10.0),
        RoutingSettings(**routing),
        LogSettings(),
    )


def make_view(version=1, max_waiting=20, states=()):
    """Return a document view with two backend servers of one pool and target."""
    states = dict(states)
    document = Document(
        environment="test",
        version=version,
        region="rw-central",
        workspaces=[
            Workspace(name, 1.0, [], max_waiting) for name in ("dealers", "brokers")
        ],
        data_centres=[DataCentre("gasabo")],
        pools=[Pool("assistant", ENGINE, 1000)],
        backend_servers=[
            make_server(name, states.get(name, IN_SERVICE)) for name in AGENTS
        ],
    )
    return DocumentView(document, repr(document).encode())


def make_server(name, state):
    """Return a backend server that serves the target ``draft``."""
    address = AGENTS[name].name
    return BackendServer(
        name, "gasabo", "assistant", address, ["draft"], 8, state=state
    )


def make_request(request_id, **changes):
    """Return an idempotent request without a key, with some fields replaced."""
    request = RouterRequest(
        request_id,
        "dealers",
        "draft",
        "POST",
        "/v1/chat/completions",
        [],
        request_id.encode(),
        "",
        True,
        60.0,
    )
    return request._replace(**changes)


def make_router(now=0.0, **routing):
    """Return a router with a document and two dispatchers."""
    core = RouterCore(make_settings(**routing), ROUTER, random.Random(1))
    core.adopt(make_view(), now)
    core.set_dispatchers("assistant", [sender.name for sender in DISPATCHERS], now)
    return core


def make_summary(sequence, **changes):
    """Return a summary that lists all backend servers."""
    summary = PoolSummary("assistant", sequence, [], [], [], 16, list(AGENTS))
    return summary._replace(**changes)


def make_wait(workspace, wait_s):
    """Return a summary entry with the expected wait of a workspace."""
    return WorkspaceSummary(workspace, 0.0, 1, int(wait_s * 1000))


def make_grant(number, ticket=None, server="runner-1", **changes):
    """Return a grant of one ticket for a request of ``dealers``."""
    agent = AGENTS[server]
    entry = GrantEntry(
        number,
        number if ticket is None else ticket,
        server,
        agent.name,
        agent.incarnation,
        "dealers",
        "draft",
        "",
        "",
        b"",
    )
    return Grant("assistant", [entry._replace(**changes)])


def make_part(start, sequence, **changes):
    """Return a part of the response to a start."""
    status = 200 if sequence == 0 else 0
    data = b"%d." % sequence
    part = ResponsePart(start.attempt, sequence, status, [], data, False, "", 0)
    return part._replace(**changes)


def list_messages(actions, kind):
    """Return the messages of a type among the actions."""
    return [
        action.message
        for action in actions
        if isinstance(action, Send) and isinstance(action.message, kind)
    ]


def list_answers(actions):
    """Return the actions that send a response or refusal to callers."""
    return [action for action in actions if isinstance(action, Respond | Refuse)]


def start_one(core, request, number=1, now=0.0, **grant):
    """Submit a request, grant it a ticket and return its start."""
    core.submit(request, now)
    changes = {"workspace": request.workspace, **grant}
    actions = core.handle(DISPATCHERS[0], make_grant(number, **changes), now)
    return list_messages(actions, Start)[0]


def list_demands(actions):
    """Return the demand messages among the actions."""
    return list_messages(actions, Demand)
