"""Log events of the gateway, 700 to 799."""

from catkinfork.observability import Event

REQUEST_REFUSED = Event(
    701,
    "info",
    "request_refused_at_gateway",
    "the gateway answered a request with a refusal",
    ("request_id", "workspace", "code", "status", "detail"),
)
CALLER_GONE = Event(
    702,
    "info",
    "caller_gone",
    "the caller disconnected before the response was complete",
    ("request_id", "workspace", "stage"),
)
RESPONSE_BROKEN = Event(
    703,
    "warning",
    "response_broken_off",
    "a response was aborted after its headers had been sent",
    ("request_id", "workspace", "code"),
)
SLOW_CALLER = Event(
    704,
    "warning",
    "slow_caller",
    "a response exceeded the send buffer because the caller read too slowly",
    ("request_id", "workspace", "buffered_bytes"),
)

EVENTS = (REQUEST_REFUSED, CALLER_GONE, RESPONSE_BROKEN, SLOW_CALLER)
