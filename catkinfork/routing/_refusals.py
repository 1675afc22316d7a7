"""Refusal codes of the router with their HTTP status."""

from typing import NamedTuple

NOT_RUN = "not_run"
UNKNOWN = "unknown"

# A caller that is told to come back sooner would meet the same state.
DEFAULT_RETRY_AFTER_S = 1.0


class RefusalCode(NamedTuple):
    """An entry of the catalogue in ``docs/refusals.md``.

    :param code: stable name that callers see.
    :param status: HTTP status.
    :param text: what has happened.
    """

    code: str
    status: int
    text: str


class Refusal(NamedTuple):
    """Why a request has no complete response.

    :param code: name of a :class:`RefusalCode`, or a code that an agent reported.
    :param status: HTTP status.
    :param outcome: ``not_run`` or ``unknown``.
    :param retry_after_s: time after which a new attempt makes sense, in seconds.
    :param message: explanation with the figures, for people.
    """

    code: str
    status: int
    outcome: str
    retry_after_s: float
    message: str


NO_DOCUMENT = RefusalCode("no_document", 503, "the router has no document yet")
DRAINING = RefusalCode("draining", 503, "the router is about to stop")
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
    "wait_too_long", 429, "the expected wait is longer than the deadline allows"
)
OWNER_UNREACHABLE = RefusalCode(
    "owner_unreachable", 503, "the backend server that owns the key does not answer"
)
DEADLINE_EXCEEDED = RefusalCode("deadline_exceeded", 504, "the deadline has passed")
FIRST_BYTE_TIMEOUT = RefusalCode(
    "first_byte_timeout", 504, "the backend server did not begin to answer in time"
)
AGENT_LOST = RefusalCode("agent_lost", 502, "the agent has fallen silent")
AGENT_RESTARTED = RefusalCode("agent_restarted", 502, "the agent has restarted")
RETRIES_EXHAUSTED = RefusalCode(
    "retries_exhausted", 503, "the retry budget or the number of attempts is used up"
)
REDIRECT_LOOP = RefusalCode(
    "redirect_loop", 503, "the agents did not agree on the owner of the key"
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

# Status of the codes that agents report, where neither 502 nor 503 describes them.
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
# Any other code of an agent is a fault behind the router.
DEFAULT_STATUS = 502
DEFAULT_NOT_RUN_STATUS = 503


def build_refusal(code, outcome, detail="", retry_after_s=DEFAULT_RETRY_AFTER_S):
    """Return a refusal with a code of this router.

    :param code: :class:`RefusalCode`.
    :param outcome: ``not_run`` or ``unknown``.
    :param detail: figures for the message.
    :param retry_after_s: seconds.
    :returns: :class:`Refusal`.
    """
    message = f"{code.text} ({detail})" if detail else code.text
    return Refusal(code.code, code.status, outcome, retry_after_s, message)


def make_agent_refusal(code, outcome, detail):
    """Return a refusal with a code that an agent reported.

    :param code: code of the agent.
    :param outcome: ``not_run`` or ``unknown``.
    :param detail: message.
    :returns: :class:`Refusal`.
    """
    statuses = {entry.code: entry.status for entry in ROUTER_CODES}
    statuses.update(AGENT_STATUSES)
    default = DEFAULT_NOT_RUN_STATUS if outcome == NOT_RUN else DEFAULT_STATUS
    status = statuses.get(code, default)
    return Refusal(code, status, outcome, DEFAULT_RETRY_AFTER_S, detail)
