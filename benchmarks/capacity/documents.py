"""Documents, settings, addresses and names for the target size."""

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


def format_router_address(number):
    """Return the internal address of a router."""
    return f"10.1.{number // 250}.{1 + number % 250}:7000"


def format_agent_address(number):
    """Return the internal address of an agent."""
    return f"10.2.{number // 250}.{1 + number % 250}:7100"


def format_workspace_name(number):
    """Return the name of a workspace."""
    return f"workspace-{number:04}"


def format_pool_name(number):
    """Return the name of a pool, which is also the name of its model."""
    return f"model-{number:03}"


def format_server_name(number):
    """Return the name of a backend server."""
    return f"runner-{number:03}"


def format_data_centre_name(number):
    """Return the name of a data centre."""
    return f"data-centre-{number}"


def build_content(
    n_workspaces=N_WORKSPACES,
    n_servers=N_AGENTS,
    n_pools=N_MODELS,
    version=1,
):
    """Return an encoded document with servers distributed over the pools in turn."""
    workspaces = [
        {
            "name": format_workspace_name(number),
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
            "name": format_server_name(number),
            "data_centre": format_data_centre_name(number // n_pools % N_DATA_CENTRES),
            "pool": format_pool_name(number % n_pools),
            "agent": format_agent_address(number),
            "serves": [format_pool_name(number % n_pools)],
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
            {"name": format_data_centre_name(number), "state": "in_service"}
            for number in range(N_DATA_CENTRES)
        ],
        "pools": [
            {"name": format_pool_name(number), "kind": "engine", "max_cost": 20000}
            for number in range(n_pools)
        ],
        "backend_servers": servers,
    }
    return msgspec.json.encode(document)


@cache
def build_view(**sizes):
    """Return the cached :class:`DocumentView` of :func:`build_content`."""
    return parse_document(build_content(**sizes)).unwrap()


def build_router_settings(address):
    """Return the settings of a router."""
    return RouterSettings(
        FleetSettings(address, format_data_centre_name(0), ""),
        PlatformSettings("http://127.0.0.1:1", ENVIRONMENT, "http://127.0.0.1:1"),
        AdminSettings("127.0.0.1:0"),
        GatewaySettings("127.0.0.1:0"),
        RoutingSettings(),
        LogSettings(),
    )


def build_agent_settings(number):
    """Return the settings of an agent."""
    return AgentSettings(
        FleetSettings(format_agent_address(number), format_data_centre_name(0), ""),
        PlatformSettings("http://127.0.0.1:1", ENVIRONMENT, "http://127.0.0.1:1"),
        AdminSettings("127.0.0.1:0"),
        BackendSettings(format_server_name(number), "http://127.0.0.1:1"),
        ExecutionSettings(quiet_time_s=0.0),
        LogSettings(),
    )
