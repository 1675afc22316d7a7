"""Settings of the processes, read from INI files."""

from catkinfork.settings._ranges import RANGES
from catkinfork.settings._read import SettingsFault, convert_settings, read_settings
from catkinfork.settings._types import (
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

__all__ = [
    "RANGES",
    "AdminSettings",
    "AgentSettings",
    "BackendSettings",
    "ExecutionSettings",
    "FleetSettings",
    "GatewaySettings",
    "LogSettings",
    "PlatformSettings",
    "RouterSettings",
    "RoutingSettings",
    "SettingsFault",
    "convert_settings",
    "read_settings",
]
