"""Documents, settings and names of the target size."""

from functools import cache

import msgspec

from benchmarks.capacity.targets import (
    KEYS_PER_WORKSPACE,
    N_AGENTS,
    N_DATA_CENTRES,
    N_MODELS,
    N_WORKSPACES,
)
from catkinfork.document import parse_document
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

ENVIRONMENT = "capacity"


def name_router(number):
    """Return the inner address of a router."""
    return f"10.1.{number // 250}.{1 + number % 250}:7000"


def name_agent(number):
    """Return the inner address of an agent."""
    return f"10.2.{number // 250}.{1 + number % 250}:7100"


def name_workspace(number):
    """Return the name of a workspace."""
    return f"workspace-{number:04}"


def name_pool(number):
    """Return the name of a pool, which is also the name of its model."""
    return f"model-{number:03}"


def name_server(number):
    """Return the name of a backend server."""
    return f"runner-{number:03}"


def name_data_centre(number):
    """Return the name of a data centre."""
    return f"data-centre-{number}"


def make_content(
    n_workspaces=N_WORKSPACES,
    n_servers=N_AGENTS,
    n_pools=N_MODELS,
    version=1,
):
    """Return the bytes of a document; servers are spread over the pools in turn."""
    workspaces = [
        {
            "name": name_workspace(number),
            "share": 1 + number % 3,
            "key_digests": [
                f"{number * KEYS_PER_WORKSPACE + key:064x}"
                for key in range(KEYS_PER_WORKSPACE)
            ],
            "max_waiting": 200,
        }
        for number in range(n_workspaces)
    ]
    servers = [
        {
            "name": name_server(number),
            "data_centre": name_data_centre(number // n_pools % N_DATA_CENTRES),
            "pool": name_pool(number % n_pools),
            "agent": name_agent(number),
            "serves": [name_pool(number % n_pools)],
            "max_places": 64,
            "checks_fence": False,
            "state": "in_service",
        }
        for number in range(n_servers)
    ]
    document = {
        "environment": ENVIRONMENT,
        "version": version,
        "region": "region-1",
        "workspaces": workspaces,
        "data_centres": [
            {"name": name_data_centre(number), "state": "in_service"}
            for number in range(N_DATA_CENTRES)
        ],
        "pools": [
            {"name": name_pool(number), "kind": "engine", "max_cost": 20000}
            for number in range(n_pools)
        ],
        "backend_servers": servers,
    }
    return msgspec.json.encode(document)


@cache
def make_view(**sizes):
    """Return the :class:`DocumentView` of :func:`make_content`, parsed once."""
    return parse_document(make_content(**sizes)).unwrap()


def make_router_settings(address):
    """Return the settings of a router."""
    return RouterSettings(
        FleetSettings(address, name_data_centre(0), ""),
        PlatformSettings("http://127.0.0.1:1", ENVIRONMENT, "http://127.0.0.1:1"),
        AdminSettings("127.0.0.1:0"),
        GatewaySettings("127.0.0.1:0"),
        RoutingSettings(),
        LogSettings(),
    )


def make_agent_settings(number):
    """Return the settings of an agent."""
    return AgentSettings(
        FleetSettings(name_agent(number), name_data_centre(0), ""),
        PlatformSettings("http://127.0.0.1:1", ENVIRONMENT, "http://127.0.0.1:1"),
        AdminSettings("127.0.0.1:0"),
        BackendSettings(name_server(number), "http://127.0.0.1:1"),
        ExecutionSettings(quiet_time_s=0.0),
        LogSettings(),
    )
