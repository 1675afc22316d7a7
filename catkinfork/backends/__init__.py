"""HTTP clients for backend servers: model engines and plain services."""

from catkinfork.backends._base import BaseBackend
from catkinfork.backends._engine import EngineBackend
from catkinfork.backends._errors import BackendError
from catkinfork.backends._service import ServiceBackend
from catkinfork.execution import (
    BackendData,
    BackendEnd,
    BackendFailure,
    BackendHead,
    BackendHealth,
)

__all__ = [
    "BackendData",
    "BackendEnd",
    "BackendError",
    "BackendFailure",
    "BackendHead",
    "BackendHealth",
    "BaseBackend",
    "EngineBackend",
    "ServiceBackend",
]
