"""Messages between routers, dispatchers and agents about waiting work and places."""

from typing import NamedTuple


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
    :param backend_servers: names of the backend servers that report and take work.
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
