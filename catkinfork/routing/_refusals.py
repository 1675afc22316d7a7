"""Refusal codes of the router with their HTTP status."""

from typing import NamedTuple

NOT_RUN = "not_run"
UNKNOWN = "unknown"

# The state that caused the refusal seldom changes within a shorter time.
DEFAULT_RETRY_AFTER_S = 1.0


class RefusalCode(NamedTuple):
    """An entry of the refusal catalogue in ``docs/refusals.md``.

    :param code: stable name, part of the response to the caller.
    :param status: HTTP status.
    :param text: description of the cause.
    """

    code: str
    status: int
    text: str


class Refusal(NamedTuple):
    """The reason for which a request has no complete response.

    :param code: name of a :class:`RefusalCode`, or a code that an agent reported.
    :param status: HTTP status.
    :param outcome: ``not_run`` or ``unknown``.
    :param retry_after_s: time after which the caller may retry, in seconds.
    :param message: human-readable explanation with the values involved.
    """

    code: str
    status: int
    outcome: str
    retry_after_s: float
    message: str


NO_DOCUMENT = RefusalCode(
    "no_document", 503, "the router has not received a document yet"
)
DRAINING = RefusalCode(
    "draining", 503, "the router is draining and accepts no new requests"
)
UNKNOWN_WORKSPACE = RefusalCode(
    "unknown_workspace", 403, "the workspace is not in the document"
)
UNKNOWN_TARGET = RefusalCode(
    "unknown_target", 404, "no backend server serves this model or service"
)
NO_BACKEND_SERVER = RefusalCode(
    "no_backend_server", 503, "no backend server of the target is in service"
)
REQUEST_BLOCKED = RefusalCode(
    "request_blocked", 422, "the request was running when backend servers crashed"
)
QUEUE_FULL = RefusalCode(
    "queue_full", 429, "too many requests of the workspace are waiting"
)
QUEUE_BYTES_FULL = RefusalCode(
    "queue_bytes_full", 429, "the waiting requests of the workspace are too large"
)
WAIT_TOO_LONG = RefusalCode(
    "wait_too_long", 429, "the expected wait exceeds the time left until the deadline"
)
OWNER_UNREACHABLE = RefusalCode(
    "owner_unreachable",
    503,
    "the backend server that owns the idempotency key is unreachable",
)
DEADLINE_EXCEEDED = RefusalCode("deadline_exceeded", 504, "the deadline has passed")
FIRST_BYTE_TIMEOUT = RefusalCode(
    "first_byte_timeout", 504, "the backend server sent no response data in time"
)
AGENT_LOST = RefusalCode("agent_lost", 502, "the agent stopped responding")
AGENT_RESTARTED = RefusalCode("agent_restarted", 502, "the agent has restarted")
RETRIES_EXHAUSTED = RefusalCode(
    "retries_exhausted", 503, "the retry budget or the number of attempts is exhausted"
)
REDIRECT_LOOP = RefusalCode(
    "redirect_loop", 503, "the agents disagree on the owner of the idempotency key"
)

ROUTER_CODES = (
    NO_DOCUMENT,
    DRAINING,
    UNKNOWN_WORKSPACE,
    UNKNOWN_TARGET,
    NO_BACKEND_SERVER,
    REQUEST_BLOCKED,
    QUEUE_FULL,
    QUEUE_BYTES_FULL,
    WAIT_TOO_LONG,
    OWNER_UNREACHABLE,
    DEADLINE_EXCEEDED,
    FIRST_BYTE_TIMEOUT,
    AGENT_LOST,
    AGENT_RESTARTED,
    RETRIES_EXHAUSTED,
    REDIRECT_LOOP,
)

# HTTP status of agent codes for which the defaults below do not fit.
AGENT_STATUSES = {
    "too_expensive": 422,
    "response_too_large": 502,
    "key_closed": 409,
    "key_quiet_time": 503,
    "key_records_full": 503,
    "server_lost": 503,
    "key_in_future": 422,
    "key_outcome_unknown": 409,
    "key_ran_elsewhere": 409,
    "key_reused": 422,
    "key_too_old": 409,
    "answer_not_kept": 409,
}
# Any other agent code is reported as a fault upstream of the router.
DEFAULT_STATUS = 502
DEFAULT_NOT_RUN_STATUS = 503


def build_refusal(code, outcome, detail="", retry_after_s=DEFAULT_RETRY_AFTER_S):
    """Build a refusal with one of the router's own codes.

    :param code: :class:`RefusalCode`.
    :param outcome: ``not_run`` or ``unknown``.
    :param detail: values to append to the message.
    :param retry_after_s: time after which the caller may retry, in seconds.
    :returns: :class:`Refusal`.
    """
    message = f"{code.text} ({detail})" if detail else code.text
    return Refusal(code.code, code.status, outcome, retry_after_s, message)


def build_agent_refusal(code, outcome, detail):
    """Build a refusal with a code that an agent reported.

    :param code: code from the agent.
    :param outcome: ``not_run`` or ``unknown``.
    :param detail: message of the refusal.
    :returns: :class:`Refusal`.
    """
    statuses = {entry.code: entry.status for entry in ROUTER_CODES}
    statuses.update(AGENT_STATUSES)
    default = DEFAULT_NOT_RUN_STATUS if outcome == NOT_RUN else DEFAULT_STATUS
    status = statuses.get(code, default)
    return Refusal(code, status, outcome, DEFAULT_RETRY_AFTER_S, detail)
