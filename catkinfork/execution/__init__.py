"""Execution at one backend server: tickets, concurrency limit, keys and answers."""

from catkinfork.execution._actions import (
    REFUSED,
    BackendData,
    BackendEnd,
    BackendEvent,
    BackendFailure,
    BackendHead,
    BackendHealth,
    CancelRequest,
    RunRequest,
)
from catkinfork.execution._agent import AgentCore
from catkinfork.execution._events import EVENTS
from catkinfork.execution._key_time import parse_key_time
from catkinfork.protocol import InvariantError

__all__ = [
    "EVENTS",
    "REFUSED",
    "AgentCore",
    "BackendData",
    "BackendEnd",
    "BackendEvent",
    "BackendFailure",
    "BackendHead",
    "BackendHealth",
    "CancelRequest",
    "InvariantError",
    "RunRequest",
    "parse_key_time",
]
