"""Router: admission, queueing, attempts and retries, without input or output."""

from catkinfork.protocol import InvariantError
from catkinfork.routing._core import RouterCore
from catkinfork.routing._events import EVENTS
from catkinfork.routing._refusals import (
    NOT_RUN,
    ROUTER_CODES,
    UNKNOWN,
    Refusal,
    RefusalCode,
)
from catkinfork.routing._requests import (
    Refuse,
    Respond,
    RouterRequest,
    compute_fingerprint,
)
from catkinfork.routing._state import RouterCounters

__all__ = [
    "EVENTS",
    "NOT_RUN",
    "ROUTER_CODES",
    "UNKNOWN",
    "InvariantError",
    "Refusal",
    "RefusalCode",
    "Refuse",
    "Respond",
    "RouterCore",
    "RouterCounters",
    "RouterRequest",
    "compute_fingerprint",
]
