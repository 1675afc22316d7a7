"""Messages between routers and agents about attempts, and between agents about keys."""

from typing import NamedTuple


class AttemptId(NamedTuple):
    """Identity of one attempt to run a request.

    :param router: internal address of the router.
    :param incarnation: incarnation of the router.
    :param number: number incremented with each attempt of that router.
    """

    router: str
    incarnation: int
    number: int


class Start(NamedTuple):
    """Request to an agent to start an attempt.

    :param attempt: attempt id.
    :param request_id: request id in responses to the caller and in logs.
    :param ticket: ticket number.
    :param agent_incarnation: incarnation of the agent that issued the ticket.
    :param workspace: workspace name.
    :param target: model or service name.
    :param method: HTTP method.
    :param path: path and query of the request to the backend server.
    :param headers: name and value pairs of the request to the backend server.
    :param body: request body.
    :param deadline_ms: time left until the caller's deadline.
    :param key: idempotency key, empty if none.
    :param is_idempotent: whether the request may run more than once.
    :param fingerprint: digest of workspace and body.
    :param version: version of the document that the router used.
    :param is_suspect: whether the request was in flight during a crash, as reported to
        the router by the dispatcher or an agent.
    :param age_ms: time since the router accepted the request.
    """

    attempt: AttemptId
    request_id: str
    ticket: int
    agent_incarnation: int
    workspace: str
    target: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int
    key: str
    is_idempotent: bool
    fingerprint: bytes
    version: int
    is_suspect: bool = False
    age_ms: int = 0


class StartRefused(NamedTuple):
    """Refusal of an attempt that the agent has not run and will not run.

    :param attempt: attempt id.
    :param code: a refusal code of ``docs/refusals.md``.
    :param outcome: ``not_run`` or ``unknown``, for the idempotency key if there is one.
    :param is_retryable: whether the router may retry with another ticket.
    :param redirect: backend server that holds the key's record, else empty.
    """

    attempt: AttemptId
    code: str
    outcome: str
    is_retryable: bool
    redirect: str = ""


class ResponsePart(NamedTuple):
    """Numbered part of a response.

    :param attempt: attempt id.
    :param sequence: 0 for the first part. A keepalive carries the number of the next
        part, has no data and is not stored.
    :param status: HTTP status in part 0, else 0.
    :param headers: response headers in part 0, else empty.
    :param data: body bytes.
    :param is_last: whether this part completes the response.
    :param failure: refusal code if the response was interrupted, else empty.
    :param units: service units in the last part, else 0.
    :param is_keepalive: whether the part only indicates that the attempt is running.
    """

    attempt: AttemptId
    sequence: int
    status: int
    headers: list[tuple[str, str]]
    data: bytes
    is_last: bool
    failure: str
    units: int
    is_keepalive: bool = False


class ResponseAck(NamedTuple):
    """Acknowledgement of parts before ``next_sequence``; also a router's keepalive."""

    attempt: AttemptId
    next_sequence: int


class Resume(NamedTuple):
    """Request to resend the parts from ``next_sequence`` on."""

    attempt: AttemptId
    next_sequence: int
    agent_incarnation: int


class Cancel(NamedTuple):
    """Cancellation after the caller disconnected, of work that may be stopped."""

    attempt: AttemptId


class Claim(NamedTuple):
    """Request to release an idempotency key, see docs/design.md section 6.

    :param claim: number of the claim, repeated in the reply.
    :param claimant: backend server that requests the right to run the key.
    :param workspace: workspace name.
    :param key: idempotency key.
    :param backend_server: backend server that is to release the key.
    :param age_ms: time since the router accepted the request.
    """

    claim: int
    claimant: str
    workspace: str
    key: str
    backend_server: str
    age_ms: int = 0


class ClaimReply(NamedTuple):
    """Reply to a claim.

    :param claim: number of the claim.
    :param backend_server: backend server that replies.
    :param verdict: ``released``, ``ran`` or ``unknown``.
    """

    claim: int
    backend_server: str
    verdict: str
