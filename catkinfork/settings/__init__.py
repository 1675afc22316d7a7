"""Settings of the processes, read from INI files."""

from catkinfork.settings._ranges import RANGES
from catkinfork.settings._read import SettingsFault, convert_settings, read_settings
from catkinfork.settings._types import (
    AdminSettings,
    AgentSettings,
    BackendSettings,
    BalancingSection,
    ExecutionSettings,
    FleetSettings,
    ForwarderSection,
    ForwarderSettings,
    GatewaySettings,
    LogSettings,
    PeersSection,
    PlatformSettings,
    RouterSettings,
    RoutingSettings,
    StoreSection,
)

__all__ = [
    "RANGES",
    "AdminSettings",
    "AgentSettings",
    "BackendSettings",
    "BalancingSection",
    "ExecutionSettings",
    "FleetSettings",
    "ForwarderSection",
    "ForwarderSettings",
    "GatewaySettings",
    "LogSettings",
    "PeersSection",
    "PlatformSettings",
    "RouterSettings",
    "RoutingSettings",
    "SettingsFault",
    "StoreSection",
    "convert_settings",
    "read_settings",
]
