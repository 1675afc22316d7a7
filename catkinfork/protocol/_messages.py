"""Message types of the inner protocol.

Every message is a ``NamedTuple`` that is encoded as a msgpack array, so the order of
the fields is part of the protocol. New fields go at the end and have a default.
Times are in seconds unless a name says otherwise.
"""

from typing import NamedTuple


class Sender(NamedTuple):
    """Identity of a process, taken from the envelope.

    :param name: inner address of the process, ``host:port``.
    :param incarnation: start time of the process in milliseconds since the epoch.
    :param version: version of the document in force at the sender, 0 for none.
    :param digest: digest of that document, empty for none.
    """

    name: str
    incarnation: int
    version: int = 0
    digest: str = ""


class Heartbeat(NamedTuple):
    """Liveness probe; each side's probes acknowledge those of the other.

    :param sequence: number that the other side's next probe repeats.
    :param role: ``router`` or ``agent``.
    :param data_centre: data centre of the sender.
    :param leaving: whether the sender is draining.
    :param is_wanted: whether the sender needs the link itself. A probe that only
        answers another probe does not keep the link in use.
    :param echo: greatest number received from the other side, 0 for none.
    """

    sequence: int
    role: str
    data_centre: str
    leaving: bool = False
    is_wanted: bool = True
    echo: int = 0


class DocumentRequest(NamedTuple):
    """Request for the document in force if it is newer than ``version``/``digest``."""

    version: int
    digest: str


class DocumentReply(NamedTuple):
    """The bytes of a document; empty if the sender has none."""

    content: bytes


class DemandEntry(NamedTuple):
    """Waiting requests of one class at one router.

    :param workspace: workspace name.
    :param target: model or service name.
    :param required: backend server that must run the request, empty for any.
    :param preferred: backend server chosen among equals, empty for none.
    :param suspect: fingerprint of a request that was in flight at a crash, else empty.
    :param n_waiting: number of waiting requests.
    :param oldest_wait_ms: age of the oldest one.
    """

    workspace: str
    target: str
    required: str
    preferred: str
    suspect: bytes
    n_waiting: int
    oldest_wait_ms: int


class Demand(NamedTuple):
    """Whole demand of one router for one pool.

    :param pool: pool name.
    :param sequence: rises with each message of this router for this pool.
    :param grants_seen: number of the last grant that the counts already reflect.
    :param grantor: incarnation of the dispatcher that numbered those grants, 0 for
        none.
    :param entries: the classes; a class that is missing has no waiting request.
    """

    pool: str
    sequence: int
    grants_seen: int
    grantor: int
    entries: list[DemandEntry]


class Ticket(NamedTuple):
    """Right to start one request, issued by an agent.

    :param number: rises with each ticket of one incarnation of the agent.
    :param age_ms: time since it was issued, on the agent's clock.
    """

    number: int
    age_ms: int


class Delivered(NamedTuple):
    """Service delivered to one workspace since the agent started.

    :param workspace: workspace name.
    :param units: grow-only total in service units.
    :param n_in_flight: requests of the workspace that run now.
    :param n_finished: requests of the workspace that have ended.
    :param units_in_flight: service units delivered so far to running requests.
    """

    workspace: str
    units: int
    n_in_flight: int
    n_finished: int
    units_in_flight: int


class Suspect(NamedTuple):
    """A request that was in flight when the backend server crashed.

    :param fingerprint: digest of workspace and body.
    :param n_crashes: crashes in which it was in flight.
    :param n_neighbours: other requests in flight at the latest of them.
    :param age_s: time since the latest crash.
    """

    fingerprint: bytes
    n_crashes: int
    n_neighbours: int
    age_s: float


class AgentReport(NamedTuple):
    """State of an agent for the dispatcher of its pool.

    :param backend_server: name of the backend server.
    :param pool: pool name.
    :param sequence: rises with each report of one incarnation.
    :param state: ``cold``, ``warm``, ``down``, ``out`` or ``leaving``.
    :param n_places: places now, the limit that the agent has learned.
    :param n_running: requests running.
    :param running_suspect: fingerprint of the suspect that runs, else empty.
    :param tickets: open tickets; a ticket that is missing is no longer valid.
    :param delivered: totals that changed since the last acknowledged report, or all
        of them if ``is_whole``.
    :param is_whole: whether ``delivered`` holds every workspace.
    :param suspects: crash suspects that are younger than the block time.
    """

    backend_server: str
    pool: str
    sequence: int
    state: str
    n_places: int
    n_running: int
    running_suspect: bytes
    tickets: list[Ticket]
    delivered: list[Delivered]
    is_whole: bool
    suspects: list[Suspect]


class ReportAck(NamedTuple):
    """Answer of a dispatcher to ``AgentReport``.

    :param sequence: sequence of the report.
    :param wants_whole: whether the next report is to hold every workspace.
    :param blocked: fingerprints that no agent may start.
    """

    sequence: int
    wants_whole: bool
    blocked: list[bytes]


class GrantEntry(NamedTuple):
    """One ticket for one waiting request of a class."""

    number: int
    ticket: int
    backend_server: str
    agent: str
    agent_incarnation: int
    workspace: str
    target: str
    required: str
    preferred: str
    suspect: bytes


class Grant(NamedTuple):
    """Tickets for waiting requests of one router.

    :param pool: pool name.
    :param entries: grants, numbered without gaps for this router and dispatcher.
    """

    pool: str
    entries: list[GrantEntry]


class WorkspaceSummary(NamedTuple):
    """Counter of a workspace relative to the smallest in the pool.

    :param workspace: workspace name.
    :param counter: charged units divided by the share.
    :param n_waiting: waiting requests over all routers.
    :param wait_ms: expected wait of a request that arrives now.
    """

    workspace: str
    counter: float
    n_waiting: int
    wait_ms: int


class PoolSummary(NamedTuple):
    """State of a pool, from its dispatcher to routers; doubles as a heartbeat.

    :param pool: pool name.
    :param sequence: rises with each summary of one dispatcher.
    :param workspaces: recently served or waiting workspaces.
    :param suspects: crash suspects.
    :param blocked: fingerprints that are refused.
    :param n_places: places over all agents that report.
    :param backend_servers: names of the backend servers that report.
    """

    pool: str
    sequence: int
    workspaces: list[WorkspaceSummary]
    suspects: list[bytes]
    blocked: list[bytes]
    n_places: int
    backend_servers: list[str]


class TicketReturn(NamedTuple):
    """Tickets that a router cannot use."""

    tickets: list[int]
    agent_incarnation: int


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
    """

    claim: int
    claimant: str
    workspace: str
    key: str
    backend_server: str


class ClaimReply(NamedTuple):
    """Answer to a claim.

    :param claim: number of the claim.
    :param backend_server: backend server that answers.
    :param verdict: ``released``, ``ran`` or ``unknown``.
    """

    claim: int
    backend_server: str
    verdict: str


class StatusRequest(NamedTuple):
    """Request for the state of a process."""

    request: int


class BackendServerStatus(NamedTuple):
    """State of a backend server as its agent sees it."""

    name: str
    data_centre: str
    state: str
    n_places: int
    n_running: int


class StatusReply(NamedTuple):
    """State of a process.

    :param request: number of the request.
    :param role: ``router`` or ``agent``.
    :param data_centre: data centre of the process.
    :param version: version in force.
    :param digest: digest in force.
    :param has_conflict: whether two documents with this version were seen.
    :param is_ready: whether the process takes work.
    :param backend_servers: the agent's own backend server, else empty.
    """

    request: int
    role: str
    data_centre: str
    version: int
    digest: str
    has_conflict: bool
    is_ready: bool
    backend_servers: list[BackendServerStatus]


Message = (
    Heartbeat
    | DocumentRequest
    | DocumentReply
    | Demand
    | AgentReport
    | ReportAck
    | Grant
    | PoolSummary
    | TicketReturn
    | Start
    | StartRefused
    | ResponsePart
    | ResponseAck
    | Resume
    | Cancel
    | Claim
    | ClaimReply
    | StatusRequest
    | StatusReply
)

# The position of a type is its number on the wire: add only at the end.
MESSAGE_TYPES: tuple[type, ...] = Message.__args__


class Send(NamedTuple):
    """Action: send a message to a peer.

    :param destination: inner address ``host:port`` of the peer.
    :param message: the message.
    """

    destination: str
    message: Message
