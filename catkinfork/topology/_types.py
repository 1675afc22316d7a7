"""Types of the configuration that the forwarders serve."""

from math import inf
from typing import NamedTuple

# What may be repeated: ``safe`` requests may run any number of times, ``unsafe`` ones
# at most once, ``streaming`` ones are answered by a series of events.
SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"

READY = "ready"
DRAINING = "draining"


class TrafficShare(NamedTuple):
    """One target of a route.

    :param service: name of the service.
    :param weight: share of the requests, relative to the other targets.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Requests of one host and path prefix.

    :param name: name of the route.
    :param host: value of the ``Host`` header.
    :param prefix: first part of the path, with a slash at both ends.
    :param kind: ``safe``, ``unsafe`` or ``streaming``.
    :param targets: one or more :class:`TrafficShare`.
    :param timeout_s: longest time until the response is complete.
    :param aim_s: time within which the response, or its first event, is on time.
    :param max_attempts: backend servers that may run one request.
    :param is_public: whether a request needs no key.
    :param is_resumable: whether a stream may go on at another backend server.
    :param has_prompt: whether requests tell the parts of their prompt.
    :param max_pause_s: longest pause between two events that are on time.
    :param caller_patience_s: time without an event, also before the first one, after
        which callers leave.
    """

    name: str
    host: str
    prefix: str
    kind: str
    targets: tuple[TrafficShare, ...]
    timeout_s: float
    aim_s: float
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    max_pause_s: float = 0.0
    caller_patience_s: float = inf

    @property
    def is_repeatable(self):
        """Return whether a request may run more than once."""
        return self.kind == SAFE or (self.kind == STREAMING and self.is_resumable)


class Engine(NamedTuple):
    """Limits of each model engine of a service.

    :param n_slots: requests in one batch.
    :param n_memory_tokens: tokens that fit into its memory.
    """

    n_slots: int
    n_memory_tokens: int


class Service(NamedTuple):
    """Backend servers that serve the same requests.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: connections that one backend server accepts, all callers
        together.
    :param cold_s: time for which a backend server is cold after its start.
    :param cold_rate: requests per second that a cold backend server bears; 0 for no
        bound.
    :param engine: :class:`Engine`, or None for a plain service.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 64
    cold_s: float = 0.0
    cold_rate: float = 0.0
    engine: Engine | None = None


class CallerLimits(NamedTuple):
    """What a caller may send and how long it may take.

    :param max_header_bytes: largest request head.
    :param max_body_bytes: largest request body.
    :param header_timeout_s: time for a request head to arrive.
    :param idle_timeout_s: time for which a connection may be idle.
    :param tokens_per_s: throughput of all engines; a generated token counts twice.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 1048576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


class Workspace(NamedTuple):
    """A tenant.

    :param name: name that backend servers are told.
    :param keys: the keys of its callers.
    """

    name: str
    keys: tuple[str, ...]


class Configuration(NamedTuple):
    """Everything that the operators publish, in one version."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...]


class BackendEntry(NamedTuple):
    """What a backend server says of itself.

    :param name: id of this start of the backend server.
    :param service: name of its service.
    :param address: ``host:port``.
    :param data_centre: where it stands.
    :param n_slots: requests that it processes at once.
    :param state: ``ready`` or ``draining``.
    :param cold_s: how long it stays cold from when it wrote the entry.
    :param sequence: number of the entry within one start.
    :param started_ms: Unix time of its start, or 0 if unknown.
    """

    name: str
    service: str
    address: str
    data_centre: str
    n_slots: int
    state: str
    cold_s: float
    sequence: int
    started_ms: int = 0
