"""The port for callers."""

from catkinfork.gateway._application import (
    BaseRequestHandler,
    Gateway,
    ResponseBrokenError,
    answer_lifespan,
    send_whole,
)
from catkinfork.gateway._events import EVENTS
from catkinfork.gateway._exchange import Exchange, ResponseData, ResponseHead
from catkinfork.gateway._refusals import encode_refusal

__all__ = [
    "EVENTS",
    "BaseRequestHandler",
    "Exchange",
    "Gateway",
    "ResponseBrokenError",
    "ResponseData",
    "ResponseHead",
    "answer_lifespan",
    "encode_refusal",
    "send_whole",
]
