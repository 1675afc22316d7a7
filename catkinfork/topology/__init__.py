"""Configuration and service discovery: routes, workspaces and backend servers."""

from catkinfork.topology._addresses import split_address
from catkinfork.topology._events import (
    CONFIGURATION_ADOPTED,
    CONFIGURATION_REJECTED,
    EVENTS,
)
from catkinfork.topology._registry import Backend, BackendRegistry
from catkinfork.topology._routes import RouteTable, choose_target
from catkinfork.topology._source import (
    BaseDecoder,
    BaseSource,
    Changes,
    ConfigurationItem,
    EntryItem,
    EvacuationItem,
    HistoryLostError,
    Item,
    SourceError,
    UnreadableItem,
)
from catkinfork.topology._state import TopologyState
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
from catkinfork.topology._watcher import Watcher

__all__ = [
    "Backend",
    "BackendEntry",
    "BackendRegistry",
    "BaseDecoder",
    "BaseSource",
    "CONFIGURATION_ADOPTED",
    "CONFIGURATION_REJECTED",
    "CallerLimits",
    "Changes",
    "Configuration",
    "ConfigurationItem",
    "DRAINING",
    "EVENTS",
    "Engine",
    "EntryItem",
    "EvacuationItem",
    "HistoryLostError",
    "Item",
    "READY",
    "Route",
    "RouteTable",
    "SAFE",
    "STREAMING",
    "Service",
    "SourceError",
    "TopologyState",
    "TrafficShare",
    "UNSAFE",
    "UnreadableItem",
    "Watcher",
    "Workspace",
    "choose_target",
    "split_address",
]
