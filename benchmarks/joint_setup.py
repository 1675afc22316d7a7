"""Document, settings and idempotency keys of a simulated fleet."""

from uuid import UUID

from catkinfork.document import (
    SERVICE,
    BackendServer,
    DataCentre,
    Document,
    DocumentView,
    Pool,
    Workspace,
)
from catkinfork.settings import (
    AdminSettings,
    AgentSettings,
    BackendSettings,
    ExecutionSettings,
    FleetSettings,
    GatewaySettings,
    LogSettings,
    PlatformSettings,
    RouterSettings,
    RoutingSettings,
)

DATA_CENTRES = ("dsm-kariakoo", "dsm-mbezi", "tanga-port")
N_SERVERS = 4
MAX_ATTEMPTS = 3
LONGEST_DEADLINE_S = 8.0
# Callers retry an idempotency key for at most this long. The quiet time must exceed
# the sum of this and the longest deadline.
RETRY_WINDOW_S = 6.0
QUIET_TIME_S = 20.0
PLATFORM = PlatformSettings("http://127.0.0.1:1", "joint", "http://127.0.0.1:2")


def make_view(version, states):
    """Return the view of a document with one pool that spans the data centres.

    :param version: version of the document.
    :param states: mapping from data centre to its state.
    """
    servers = [
        BackendServer(
            f"ledger-{number}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            "ledger",
            f"10.0.1.{number}:7100",
            ["entry"],
            4,
        )
        for number in range(N_SERVERS)
    ]
    document = Document(
        "joint",
        version,
        "tz-coast",
        [Workspace("dealers", 3, []), Workspace("brokers", 1, [])],
        [DataCentre(name, state) for name, state in states.items()],
        [Pool("ledger", SERVICE, 1000)],
        servers,
    )
    return DocumentView(document, b"%d" % version)


def make_router_settings(address, data_centre):
    """Return the settings of a router.

    :param address: internal address.
    :param data_centre: name of the data centre.
    """
    return RouterSettings(
        FleetSettings(address, data_centre, "keys"),
        PLATFORM,
        AdminSettings("127.0.0.1:0"),
        GatewaySettings("127.0.0.1:0"),
        RoutingSettings(max_attempts=MAX_ATTEMPTS),
        LogSettings(),
    )


def make_agent_settings(server):
    """Return the settings of the agent of a backend server."""
    return AgentSettings(
        FleetSettings(server.agent, server.data_centre, "keys"),
        PLATFORM,
        AdminSettings("127.0.0.1:0"),
        BackendSettings(server.name, "http://127.0.0.1:3"),
        ExecutionSettings(quiet_time_s=QUIET_TIME_S),
        LogSettings(),
    )


def build_key(wall_s, rng):
    """Return a UUID version 7 for use as an idempotency key.

    :param wall_s: creation time, seconds since the epoch.
    :param rng: ``random.Random``.
    """
    value = int(wall_s * 1000) << 80 | 7 << 76 | rng.getrandbits(12) << 64
    value |= 2 << 62 | rng.getrandbits(62)
    return str(UUID(int=value))
