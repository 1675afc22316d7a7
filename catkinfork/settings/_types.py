"""Settings of the processes, one ``NamedTuple`` for each section of the INI file."""

from typing import NamedTuple


class FleetSettings(NamedTuple):
    """Section ``[fleet]``: how the processes of the fleet reach each other.

    :param address: inner address on which this process listens.
    :param data_centre: data centre of this host.
    :param key_file: file with the fleet keys.
    :param seeds: inner addresses of routers, used when the host list is missing.
    """

    address: str
    data_centre: str
    key_file: str
    seeds: tuple[str, ...] = ()


class PlatformSettings(NamedTuple):
    """Section ``[platform]``: the platform's services.

    :param configuration_url: base URL of the configuration service.
    :param environment: name of the environment, the key of the document.
    :param hosts_url: URL of the host list.
    :param startup_wait_s: time to wait for answers of peers at the start, seconds.
    :param poll_interval_s: time between polls where this process does not watch.
    :param hosts_interval_s: time between two reads of the host list.
    """

    configuration_url: str
    environment: str
    hosts_url: str
    startup_wait_s: float = 1.0
    poll_interval_s: float = 15.0
    hosts_interval_s: float = 1.0


class AdminSettings(NamedTuple):
    """Section ``[admin]``: metrics, health and status.

    :param bind: ``host:port`` of the HTTP port for metrics, health and status.
    """

    bind: str


class LogSettings(NamedTuple):
    """Section ``[log]``.

    :param format: ``plain`` or ``json``.
    :param level: ``debug``, ``info``, ``warning`` or ``error``.
    """

    format: str = "plain"
    level: str = "info"


class GatewaySettings(NamedTuple):
    """Section ``[gateway]``: the port for callers and its limits.

    :param bind: ``host:port`` for callers.
    :param max_header_bytes: largest request head.
    :param max_body_bytes: largest request body.
    :param max_response_bytes: largest response body.
    :param body_timeout_s: time within which a body must arrive.
    :param max_request_timeout_s: bound on ``X-Request-Timeout``.
    :param default_request_timeout_s: deadline of a request that states none.
    :param first_byte_timeout_s: time from start to the first byte of the response.
    """

    bind: str
    max_header_bytes: int = 16384
    max_body_bytes: int = 1048576
    max_response_bytes: int = 67108864
    body_timeout_s: float = 10.0
    max_request_timeout_s: float = 600.0
    default_request_timeout_s: float = 60.0
    first_byte_timeout_s: float = 30.0


class RoutingSettings(NamedTuple):
    """Section ``[routing]``: queues and retries of a router.

    :param max_waiting_bytes: bytes of waiting bodies held for one workspace.
    :param max_attempts: attempts for one request, the first included.
    :param retry_ratio: retries allowed for each request.
    :param drain_timeout_s: longest drain after SIGTERM.
    """

    max_waiting_bytes: int = 8388608
    max_attempts: int = 3
    retry_ratio: float = 0.1
    drain_timeout_s: float = 30.0


class BackendSettings(NamedTuple):
    """Section ``[backend]``: the backend server beside an agent.

    :param name: name of the backend server in the document.
    :param url: base URL of the backend server.
    :param idle_timeout_s: longest silence of a running request.
    :param health_path: path that answers 200 when the backend server is up.
    """

    name: str
    url: str
    idle_timeout_s: float = 3.0
    health_path: str = "/health"


class ExecutionSettings(NamedTuple):
    """Section ``[execution]``: decisions of an agent.

    :param ticket_lifetime_s: time for which a ticket is valid.
    :param quiet_time_s: time after an empty start in which opaque keys are refused.
    :param key_margin_s: clock difference allowed for time-ordered keys.
    :param max_key_records: records of keyed requests that are kept.
    :param claim_timeout_s: time to wait for the answer to a claim.
    :param block_time_s: time for which a crashing request is refused.
    :param max_crashes: crashes after which a request is refused.
    :param drain_timeout_s: longest drain after SIGTERM.
    """

    ticket_lifetime_s: float = 1.0
    quiet_time_s: float = 120.0
    key_margin_s: float = 2.0
    max_key_records: int = 200000
    claim_timeout_s: float = 0.5
    block_time_s: float = 600.0
    max_crashes: int = 2
    drain_timeout_s: float = 30.0


class RouterSettings(NamedTuple):
    """All settings of a router."""

    fleet: FleetSettings
    platform: PlatformSettings
    admin: AdminSettings
    gateway: GatewaySettings
    routing: RoutingSettings
    log: LogSettings


class AgentSettings(NamedTuple):
    """All settings of an agent."""

    fleet: FleetSettings
    platform: PlatformSettings
    admin: AdminSettings
    backend: BackendSettings
    execution: ExecutionSettings
    log: LogSettings


class ForwarderSection(NamedTuple):
    """Section ``[forwarder]``: the ports of a forwarder and its stop.

    :param name: name of the host in logs.
    :param address: ``host:port`` for callers.
    :param ready_address: ``host:port`` on which the balancer asks for readiness.
    :param control_address: ``host:port`` for status and for peers.
    :param metrics_port: port of the metrics, on the host of ``control_address``.
    :param data_centre: data centre of this host.
    :param grace_s: time from SIGTERM to the forced end.
    """

    name: str
    address: str
    ready_address: str
    control_address: str
    metrics_port: int
    data_centre: str
    grace_s: float = 8.0


class PeersSection(NamedTuple):
    """Section ``[peers]``: the other forwarders.

    :param port: UDP port of all forwarders.
    :param seeds: control addresses of forwarders to begin with.
    """

    port: int
    seeds: tuple[str, ...] = ()


class StoreSection(NamedTuple):
    """Section ``[store]``: where configuration and backend servers are published.

    :param address: ``host:port`` of the store.
    """

    address: str


class BalancingSection(NamedTuple):
    """Section ``[balancing]``: bounds over all forwarders.

    :param share_window_s: time over which the service of workspaces is compared.
    :param repeat_ratio: repeats allowed for each request within the window.
    :param n_repeat_slack: repeats allowed besides.
    :param repeat_window_s: window of the repeats.
    """

    share_window_s: float = 4.0
    repeat_ratio: float = 0.1
    n_repeat_slack: int = 10
    repeat_window_s: float = 10.0


class ForwarderSettings(NamedTuple):
    """All settings of a forwarder."""

    forwarder: ForwarderSection
    peers: PeersSection
    store: StoreSection
    balancing: BalancingSection
    log: LogSettings
