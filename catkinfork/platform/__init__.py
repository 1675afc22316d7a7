"""Adapter between the forwarder and the platform."""

from catkinfork.platform._documents import PlatformDecoder
from catkinfork.platform._engines import EngineCacheSource
from catkinfork.platform._names import HEADERS, READY_PATH
from catkinfork.platform._store import StoreSource

__all__ = [
    "HEADERS",
    "READY_PATH",
    "EngineCacheSource",
    "PlatformDecoder",
    "StoreSource",
]
