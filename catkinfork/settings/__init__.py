"""Process settings, read from INI files."""

from catkinfork.settings._constraints import CONSTRAINTS
from catkinfork.settings._read import SettingsFault, parse_settings, read_settings
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
    "CONSTRAINTS",
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
    "parse_settings",
    "read_settings",
]
