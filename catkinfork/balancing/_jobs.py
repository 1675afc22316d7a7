"""Requests, attempts and refusals of the balancer."""

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share.

    :param name: id of the part.
    :param n_tokens: length in tokens.
    """

    name: int
    n_tokens: int


class Job:
    """A request that needs a backend server.

    :param request_id: id of the request.
    :param route: :class:`Route`.
    :param service: name of the service that serves it.
    :param workspace: name of the workspace, empty for public routes.
    :param arrived_at: monotonic time of arrival, seconds.
    :param deadline_at: monotonic time by which the response is due, seconds.

    ``has_arrived`` is whether a backend server has received it; earlier attempts are
    no load for the backend servers. ``is_charged`` is whether its service tokens count
    as received by its workspace.
    ``next_event_deadline_at`` is the monotonic time at which the caller of a stream
    disconnects unless it receives an event before.
    ``version`` is that of the backend servers at which it has to run, or None. What two
    versions write does not fit together, so a stream goes on where it began.
    ``start_by_at`` is the monotonic time from which on it counts as late in the queue.
    ``probe_draw`` is a random number from 0 to 1, and ``probed_at`` the monotonic time
    at which it was placed with a refused part, or None.
    """

    __slots__ = (
        "latency_target_at",
        "arrived_at",
        "has_arrived",
        "deadline_at",
        "fingerprint",
        "is_charged",
        "n_output_tokens",
        "n_prompt_tokens",
        "n_retries",
        "n_runs",
        "next_event_deadline_at",
        "parts",
        "probe_draw",
        "probed_at",
        "request_id",
        "route",
        "service",
        "start_by_at",
        "tried_backends",
        "version",
        "workspace",
    )

    def __init__(self, request_id, route, service, workspace, arrived_at, deadline_at):
        self.request_id = request_id
        self.route = route
        self.service = service
        self.workspace = workspace
        self.arrived_at = arrived_at
        self.deadline_at = deadline_at
        self.latency_target_at = arrived_at + route.latency_target_s
        self.start_by_at = self.latency_target_at
        self.next_event_deadline_at = arrived_at + route.caller_idle_timeout_s
        self.n_prompt_tokens = 0
        self.n_output_tokens = 0
        self.parts = ()
        self.fingerprint = 0
        self.is_charged = False
        self.has_arrived = False
        self.tried_backends = []
        self.version = None
        self.n_runs = 0
        self.n_retries = 0
        self.probe_draw = None
        self.probed_at = None

    @property
    def n_service_tokens(self):
        """Return the requested service tokens; a generated token counts twice."""
        return self.n_prompt_tokens + 2 * self.n_output_tokens

    def accepts(self, backend):
        """Return whether the version of a :class:`Backend` fits."""
        return self.version is None or self.version == backend.entry.version

    @property
    def has_all_parts(self):
        """Return whether the parts are those of the whole prompt.

        The last one then belongs to this request or its session.
        """
        n_tokens = sum(part.n_tokens for part in self.parts)
        return bool(self.parts) and n_tokens == self.n_prompt_tokens

    @property
    def shared_parts(self):
        """Return the ids of the parts of its prompt that other requests may have."""
        return [part.name for part in self.parts[:-1]]


def count_queue_tokens(job):
    """Return the service tokens for which a job counts in the queue."""
    return max(1, job.n_service_tokens)


class Placement:
    """One attempt of a job at a backend server.

    :param job: :class:`Job`.
    :param backend: :class:`Backend`.
    :param n_missing_tokens: uncached prompt tokens that the engine has to process.
    :param placed_at: monotonic time of the placement, seconds.

    ``started_ms`` is the Unix time of the start of the backend server, milliseconds, as
    its entry may be replaced while the attempt runs.
    ``connected_at`` is the monotonic time at which its connection was opened, and
    ``survived_at`` that of its first event that a lost server would not send, or None.
    ``transfer`` is the :class:`RunningTransfer` of cached prompt tokens, or None.
    ``n_tokens_ahead`` are the tokens that were pending when it was placed, and
    ``speed_record`` is the :class:`SpeedRecord` that its time counts for, or None if it
    is not measured.
    """

    __slots__ = (
        "backend",
        "connected_at",
        "cost",
        "first_event_at",
        "has_cleared_parts",
        "has_first_event",
        "has_ended",
        "job",
        "last_event_at",
        "n_candidates",
        "n_missing_tokens",
        "n_tokens_ahead",
        "outcome",
        "peer_state_age_s",
        "placed_at",
        "speed_record",
        "started_ms",
        "survived_at",
        "transfer",
    )

    def __init__(self, job, backend, n_missing_tokens, placed_at):
        self.job = job
        self.backend = backend
        self.n_missing_tokens = n_missing_tokens
        self.placed_at = placed_at
        self.started_ms = backend.entry.started_ms
        self.connected_at = None
        self.survived_at = None
        self.first_event_at = None
        self.last_event_at = None
        self.has_first_event = False
        self.has_cleared_parts = False
        self.has_ended = False
        self.outcome = ""
        self.transfer = None
        self.cost = 0.0
        self.n_candidates = 0
        self.n_tokens_ahead = 0
        self.speed_record = None
        self.peer_state_age_s = 0.0


class Refusal(NamedTuple):
    """Refusal of a job.

    :param reason: refusal code.
    :param retry_after_s: value for ``Retry-After``, seconds.
    :param detail: figures behind the decision, for the log.
    """

    reason: str
    retry_after_s: float
    detail: str = ""


# Refusal codes.
NO_BACKEND = "no_backend_server"
THROTTLED = "backend_servers_throttled"
OVERLOADED = "overloaded"
EXPIRED = "cannot_meet_deadline"
SUSPECT = "crashed_backend_servers"
NO_RETRY = "no_repeat_left"
STREAM_UNKNOWN = "stream_origin_unknown"
STREAM_ELSEWHERE = "stream_service_changed"
STOPPING = "draining"

# Attempt outcomes.
SERVED = "served"
FAILED = "failed"
REJECTED = "rejected"
MISDIRECTED = "misdirected"
UNREACHABLE = "unreachable"
CONNECTION_REFUSED = "connection_refused"
BROKEN = "broken"
SILENT = "silent"
ABANDONED = "abandoned"
# The backend server has not received the request.
UNSENT_OUTCOMES = frozenset({UNREACHABLE, CONNECTION_REFUSED})
# It has not executed it.
UNEXECUTED_OUTCOMES = UNSENT_OUTCOMES | {REJECTED, MISDIRECTED}
# It is not at its address any more.
GONE_OUTCOMES = frozenset({CONNECTION_REFUSED, MISDIRECTED})
