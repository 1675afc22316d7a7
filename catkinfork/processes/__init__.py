"""Router and agent processes: the I/O layer around the sans-I/O cores."""

from catkinfork.processes._agent import AgentProcess
from catkinfork.processes._base import BaseProcess
from catkinfork.processes._catalogue import list_events
from catkinfork.processes._events import EVENTS
from catkinfork.processes._router import RouterProcess
from catkinfork.processes._server import PortInUseError
from catkinfork.processes._status import (
    BackendServerState,
    DataCentreState,
    FleetState,
    ProcessState,
)

__all__ = [
    "EVENTS",
    "AgentProcess",
    "BackendServerState",
    "BaseProcess",
    "DataCentreState",
    "FleetState",
    "PortInUseError",
    "ProcessState",
    "RouterProcess",
    "list_events",
]
