"""Routes, services, workspaces and backend servers that the forwarders serve."""

from catkinfork.topology._events import (
    CONFIGURATION_ADOPTED,
    CONFIGURATION_REJECTED,
    EVENTS,
)
from catkinfork.topology._registry import Backend, BackendRegistry
from catkinfork.topology._routes import RouteTable, choose_target
from catkinfork.topology._types import (
    DRAINING,
    READY,
    SAFE,
    STREAMING,
    UNSAFE,
    BackendEntry,
    CallerLimits,
    Configuration,
    Engine,
    Route,
    Service,
    TrafficShare,
    Workspace,
)

__all__ = [
    "CONFIGURATION_ADOPTED",
    "CONFIGURATION_REJECTED",
    "DRAINING",
    "EVENTS",
    "READY",
    "SAFE",
    "STREAMING",
    "UNSAFE",
    "Backend",
    "BackendEntry",
    "BackendRegistry",
    "CallerLimits",
    "Configuration",
    "Engine",
    "Route",
    "RouteTable",
    "Service",
    "TrafficShare",
    "Workspace",
    "choose_target",
]
