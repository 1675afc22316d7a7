"""Messages between routers and agents about attempts, and between agents about keys."""

from typing import NamedTuple


class AttemptId(NamedTuple):
    """Identity of one attempt to run a request.

    :param router: inner address of the router.
    :param incarnation: incarnation of the router.
    :param number: rises with each attempt of that router.
    """

    router: str
    incarnation: int
    number: int


class Start(NamedTuple):
    """Start of an attempt at an agent.

    :param attempt: attempt id.
    :param request_id: id shown to the caller and in logs.
    :param ticket: ticket number.
    :param agent_incarnation: incarnation of the agent that issued the ticket.
    :param workspace: workspace name.
    :param target: model or service name.
    :param method: HTTP method.
    :param path: path and query towards the backend server.
    :param headers: name and value pairs towards the backend server.
    :param body: request body.
    :param deadline_ms: time left until the caller's deadline.
    :param key: idempotency key, empty for none.
    :param is_idempotent: whether the request may run more than once.
    :param fingerprint: digest of workspace and body.
    :param version: version of the document that the router used.
    :param is_suspect: whether the request was in flight at a crash, as the dispatcher
        or an agent has told the router.
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
    """An agent did not run an attempt and never will.

    :param attempt: attempt id.
    :param code: a refusal code of ``docs/refusals.md``.
    :param outcome: ``not_run`` or ``unknown``, about the key if there is one.
    :param is_retryable: whether the router may send it again with another ticket.
    :param redirect: backend server that holds the key's record, else empty.
    """

    attempt: AttemptId
    code: str
    outcome: str
    is_retryable: bool
    redirect: str = ""


class ResponsePart(NamedTuple):
    """Numbered part of an answer.

    :param attempt: attempt id.
    :param sequence: 0 for the first part. A keepalive repeats the next number, has
        no data and is not kept.
    :param status: HTTP status in part 0, else 0.
    :param headers: response headers in part 0, else empty.
    :param data: body bytes.
    :param is_last: whether the answer is complete with this part.
    :param failure: refusal code if the answer broke off, else empty.
    :param units: service units in the last part, else 0.
    :param is_keepalive: whether the part only shows that the attempt still runs.
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
    """Parts before ``next_sequence`` have arrived; doubles as a router's keepalive."""

    attempt: AttemptId
    next_sequence: int


class Resume(NamedTuple):
    """Request to send the parts from ``next_sequence`` on again."""

    attempt: AttemptId
    next_sequence: int
    agent_incarnation: int


class Cancel(NamedTuple):
    """The caller has gone; work that may be stopped is stopped."""

    attempt: AttemptId


class Claim(NamedTuple):
    """Request to release a key, see docs/design.md section 6.

    :param claim: number that the answer repeats.
    :param claimant: backend server that wants to run the key.
    :param workspace: workspace name.
    :param key: idempotency key.
    :param backend_server: backend server that is asked.
    :param age_ms: time since the router accepted the request.
    """

    claim: int
    claimant: str
    workspace: str
    key: str
    backend_server: str
    age_ms: int = 0


class ClaimReply(NamedTuple):
    """Answer to a claim.

    :param claim: number of the claim.
    :param backend_server: backend server that answers.
    :param verdict: ``released``, ``ran`` or ``unknown``.
    """

    claim: int
    backend_server: str
    verdict: str
