"""Types of the configuration and of backend server entries."""

from math import inf
from typing import NamedTuple

# Route kinds: ``safe`` requests may be executed any number of times, ``unsafe`` ones at
# most once; ``streaming`` requests are answered by a series of events.
SAFE = "safe"
UNSAFE = "unsafe"
STREAMING = "streaming"

READY = "ready"
DRAINING = "draining"


class TrafficShare(NamedTuple):
    """One weighted target of a route.

    :param service: name of the service.
    :param weight: weight relative to the other targets.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Rules for the requests of one host and path prefix.

    :param name: name of the route.
    :param host: value of the ``Host`` header.
    :param prefix: path prefix, with a slash at both ends.
    :param kind: ``safe``, ``unsafe`` or ``streaming``.
    :param targets: one or more :class:`TrafficShare`.
    :param timeout_s: timeout of the complete response, seconds.
    :param latency_target_s: latency target of the response or of its first event,
        seconds.
    :param max_attempts: limit of attempts that may be executed.
    :param is_public: whether requests need no API key.
    :param is_resumable: whether a stream can be resumed at another backend server.
    :param has_prompt: whether requests declare the parts of their prompt.
    :param max_event_gap_s: target for the longest gap between two events, seconds.
    :param caller_idle_timeout_s: time without an event, including before the first one,
        after which callers disconnect, seconds.
    """

    name: str
    host: str
    prefix: str
    kind: str
    targets: tuple[TrafficShare, ...]
    timeout_s: float
    latency_target_s: float
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False
    has_prompt: bool = False
    max_event_gap_s: float = 0.0
    caller_idle_timeout_s: float = inf

    @property
    def is_repeatable(self):
        """Return whether a request may be executed more than once."""
        return self.kind == SAFE or (self.kind == STREAMING and self.is_resumable)


class Engine(NamedTuple):
    """Limits of each model engine of a service.

    :param n_slots: maximum batch size in requests.
    :param n_memory_tokens: memory capacity in tokens.
    :param token_bytes: bytes of memory per token, 0 if not stated.
    :param link_bytes_per_s: bytes per second of the link of an engine, 0 if not stated.
    :param n_event_tokens: generated tokens in one event of a stream, 0 if unknown.
    """

    n_slots: int
    n_memory_tokens: int
    token_bytes: float = 0.0
    link_bytes_per_s: float = 0.0
    n_event_tokens: int = 0

    @property
    def link_tokens_per_s(self):
        """Return the cached tokens per second that a link carries, 0 if unknown."""
        return self.link_bytes_per_s / self.token_bytes if self.token_bytes else 0.0


class Service(NamedTuple):
    """A group of interchangeable backend servers.

    :param name: name of the service.
    :param health_path: path of the health check.
    :param max_connections: connections that one backend server accepts from all clients
        together.
    :param cold_s: warm-up time of a backend server after its start, seconds.
    :param cold_rate: requests per second that a cold backend server can handle; 0 for
        no limit.
    :param engine: :class:`Engine`, or None for a plain service.
    """

    name: str
    health_path: str = "/"
    max_connections: int = 64
    cold_s: float = 0.0
    cold_rate: float = 0.0
    engine: Engine | None = None


class CallerLimits(NamedTuple):
    """Size limits and timeouts for callers, and the throughput of the engines.

    :param max_header_bytes: maximum size of a request head.
    :param max_body_bytes: maximum size of a request body.
    :param header_timeout_s: timeout for the request head, seconds.
    :param idle_timeout_s: timeout for idle connections, seconds.
    :param tokens_per_s: throughput of all engines in service tokens per second; a
        generated token counts twice.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 1048576
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


class Workspace(NamedTuple):
    """A tenant.

    :param name: name that is sent to backend servers.
    :param keys: API keys of its callers.
    """

    name: str
    keys: tuple[str, ...]


class Configuration(NamedTuple):
    """One version of the published configuration."""

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    workspaces: tuple[Workspace, ...]

    def list_services(self):
        """Return the names of all services, also of those that only routes name."""
        names = set(self.services)
        for route in self.routes:
            names.update(target.service for target in route.targets)
        return names


class BackendEntry(NamedTuple):
    """Registration that a backend server publishes about itself.

    :param name: id of the backend server, under which it may start again.
    :param service: name of its service.
    :param address: ``host:port``.
    :param data_centre: name of its data centre.
    :param n_slots: requests that it processes concurrently.
    :param state: ``ready`` or ``draining``.
    :param cold_s: remaining warm-up time when the entry was written, seconds.
    :param sequence: sequence number of the entry since the start.
    :param started_ms: Unix time of its start in milliseconds, or 0 if unknown.
    :param version: version of its software, which several backend servers may share.
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
    version: str = ""
