"""Configuration and service discovery: routes, workspaces and backend servers."""

from catkinfork.topology._addresses import split_address
from catkinfork.topology._events import (
    CONFIGURATION_ADOPTED,
    CONFIGURATION_REJECTED,
    ERA_IGNORED,
    EVENTS,
)
from catkinfork.topology._recent import RecentTable
from catkinfork.topology._registry import (
    RECOVERY_S,
    Backend,
    BackendRegistry,
)
from catkinfork.topology._routes import RouteTable, choose_target
from catkinfork.topology._source import (
    BaseDecoder,
    BasePeers,
    BaseSource,
    Changes,
    ConfigurationItem,
    Departure,
    EntryItem,
    EraChangedError,
    EvacuationItem,
    HistoryLostError,
    Item,
    Position,
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
    "BasePeers",
    "BaseSource",
    "CONFIGURATION_ADOPTED",
    "CONFIGURATION_REJECTED",
    "CallerLimits",
    "Changes",
    "Configuration",
    "ConfigurationItem",
    "DRAINING",
    "Departure",
    "ERA_IGNORED",
    "EVENTS",
    "Engine",
    "EntryItem",
    "EraChangedError",
    "EvacuationItem",
    "HistoryLostError",
    "Item",
    "Position",
    "READY",
    "RecentTable",
    "RECOVERY_S",
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
