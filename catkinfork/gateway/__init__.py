"""HTTP gateway: the ASGI application on the port for callers."""

from catkinfork.gateway._application import (
    BaseRequestHandler,
    Gateway,
    ResponseAbortedError,
    handle_lifespan,
    send_response,
)
from catkinfork.gateway._events import EVENTS
from catkinfork.gateway._exchange import Exchange, ResponseData, ResponseHead
from catkinfork.gateway._refusals import encode_refusal

__all__ = [
    "EVENTS",
    "BaseRequestHandler",
    "Exchange",
    "Gateway",
    "ResponseAbortedError",
    "ResponseData",
    "ResponseHead",
    "handle_lifespan",
    "encode_refusal",
    "send_response",
]
