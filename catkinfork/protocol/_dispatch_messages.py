"""Messages between routers, dispatchers and agents about queued requests and places."""

from typing import NamedTuple


class DemandEntry(NamedTuple):
    """Number and age of the waiting requests of one class at one router.

    :param workspace: workspace name.
    :param target: model or service name.
    :param required: only backend server that may run the requests, empty for any.
    :param preferred: backend server that is chosen if several are equally suitable,
        empty for none.
    :param suspect: fingerprint if the request was in flight during a crash, else empty.
    :param n_waiting: number of waiting requests.
    :param oldest_wait_ms: time for which the oldest one has waited.
    """

    workspace: str
    target: str
    required: str
    preferred: str
    suspect: bytes
    n_waiting: int
    oldest_wait_ms: int


class Demand(NamedTuple):
    """Complete demand of one router for one pool.

    :param pool: pool name.
    :param sequence: number incremented with each message of this router for this pool.
    :param grants_seen: number of the last grant that the counts take into account.
    :param grantor: incarnation of the dispatcher that numbered those grants, 0 for
        none.
    :param entries: demand of each class; a class that is not listed has no
        waiting request.
    """

    pool: str
    sequence: int
    grants_seen: int
    grantor: int
    entries: list[DemandEntry]


class Ticket(NamedTuple):
    """Permission to start one request, issued by an agent.

    :param number: number incremented with each ticket of one agent incarnation.
    :param age_ms: time since the ticket was issued, by the agent's clock.
    """

    number: int
    age_ms: int


class Delivered(NamedTuple):
    """Service delivered to one workspace since the agent started.

    :param workspace: workspace name.
    :param units: monotonic total in service units.
    :param n_in_flight: requests of the workspace that are in flight.
    :param n_finished: requests of the workspace that have ended.
    :param units_in_flight: service units delivered so far to requests in flight.
    """

    workspace: str
    units: int
    n_in_flight: int
    n_finished: int
    units_in_flight: int


class Suspect(NamedTuple):
    """Request that was in flight when the backend server crashed.

    :param fingerprint: digest of workspace and body.
    :param n_crashes: number of crashes during which it was in flight.
    :param n_neighbours: number of other requests in flight at the latest crash.
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
    :param sequence: number incremented with each report of one agent incarnation.
    :param state: ``cold``, ``warm``, ``down``, ``out`` or ``leaving``.
    :param n_places: current concurrency limit, as estimated by the agent.
    :param n_running: number of running requests.
    :param running_suspect: fingerprint of the running suspect, empty if none.
    :param tickets: open tickets; a ticket that is not listed is no longer valid.
    :param delivered: totals that changed since the last acknowledged report, or all
        of them if ``is_whole``.
    :param is_whole: whether ``delivered`` contains every workspace.
    :param suspects: crash suspects whose latest crash is within the block time.
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
    """Acknowledgement of an ``AgentReport`` by a dispatcher.

    :param sequence: sequence number of the report.
    :param wants_whole: whether the next report must contain every workspace.
    :param blocked: fingerprints of requests that no agent may start.
    """

    sequence: int
    wants_whole: bool
    blocked: list[bytes]


class GrantEntry(NamedTuple):
    """Assignment of one ticket to a waiting request of a class."""

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
    :param entries: grants, numbered consecutively for this router and dispatcher.
    """

    pool: str
    entries: list[GrantEntry]


class WorkspaceSummary(NamedTuple):
    """Fairness counter of a workspace, relative to the smallest one in the pool.

    :param workspace: workspace name.
    :param counter: charged units divided by the share.
    :param n_waiting: number of waiting requests at all routers.
    :param wait_ms: estimated wait of a request that arrives now.
    """

    workspace: str
    counter: float
    n_waiting: int
    wait_ms: int


class PoolSummary(NamedTuple):
    """State of a pool, sent by its dispatcher to routers; also serves as a heartbeat.

    :param pool: pool name.
    :param sequence: number incremented with each summary of one dispatcher.
    :param workspaces: recently served or waiting workspaces.
    :param suspects: fingerprints of crash suspects.
    :param blocked: fingerprints of requests that are refused.
    :param n_places: total places of all agents that report.
    :param backend_servers: names of the backend servers that report and accept work.
    """

    pool: str
    sequence: int
    workspaces: list[WorkspaceSummary]
    suspects: list[bytes]
    blocked: list[bytes]
    n_places: int
    backend_servers: list[str]


class TicketReturn(NamedTuple):
    """Unused tickets that a router returns to their agent."""

    tickets: list[int]
    agent_incarnation: int
