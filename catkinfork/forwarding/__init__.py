"""HTTP/1.1 proxying between callers and backend servers, with streaming responses."""

from catkinfork.forwarding._admin import AdminResponse, AdminServer
from catkinfork.forwarding._cache_lookup import BasePromptPartSource, CacheLookup
from catkinfork.forwarding._client import (
    BaseBodyReader,
    FetchedResponse,
    FetchError,
    FetchTimeoutError,
    HttpClient,
    SecondRequest,
)
from catkinfork.forwarding._events import (
    CALLBACK_FAILED,
    DRAIN_STARTED,
    EVENTS,
    FORWARDER_INFORMED,
    FORWARDER_JOINED,
    FORWARDER_STARTED,
    FORWARDER_STOPPED,
    LOG_LINES_DROPPED,
    LOOP_LAG_CHANGED,
    READINESS_CHANGED,
    SETTINGS_RELOADED,
)
from catkinfork.forwarding._messages import ResponseHead
from catkinfork.forwarding._names import HeaderNames
from catkinfork.forwarding._numbers import parse_part_name
from catkinfork.forwarding._server import SWEEP_INTERVAL_S, ForwardingServer

__all__ = [
    "BaseBodyReader",
    "CALLBACK_FAILED",
    "DRAIN_STARTED",
    "EVENTS",
    "FORWARDER_INFORMED",
    "FORWARDER_JOINED",
    "FORWARDER_STARTED",
    "FORWARDER_STOPPED",
    "LOG_LINES_DROPPED",
    "LOOP_LAG_CHANGED",
    "READINESS_CHANGED",
    "SETTINGS_RELOADED",
    "SWEEP_INTERVAL_S",
    "AdminResponse",
    "AdminServer",
    "BasePromptPartSource",
    "CacheLookup",
    "FetchError",
    "FetchTimeoutError",
    "FetchedResponse",
    "ForwardingServer",
    "HeaderNames",
    "HttpClient",
    "ResponseHead",
    "SecondRequest",
    "parse_part_name",
]
