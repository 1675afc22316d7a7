"""Process settings, one ``NamedTuple`` for each section of the INI file."""

from typing import NamedTuple


class FleetSettings(NamedTuple):
    """Section ``[fleet]``: connections between the processes of the fleet.

    :param address: internal address on which this process listens.
    :param data_centre: data centre of this host.
    :param key_file: path of the file with the fleet keys.
    :param seeds: internal addresses of routers, used if the host list is not available.
    """

    address: str
    data_centre: str
    key_file: str
    seeds: tuple[str, ...] = ()


class PlatformSettings(NamedTuple):
    """Section ``[platform]``: services of the platform.

    :param configuration_url: base URL of the configuration service.
    :param environment: name of the environment, under which its document is stored.
    :param hosts_url: URL of the host list.
    :param startup_wait_s: time to wait for replies of peers at start-up.
    :param poll_interval_s: time between polls if the configuration is not watched.
    :param hosts_interval_s: time between reads of the host list.
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
    """Section ``[log]``: format and level of the log.

    :param format: format of the log lines, ``plain`` or ``json``.
    :param level: lowest level that is written, ``debug``, ``info``, ``warning`` or
        ``error``.
    """

    format: str = "plain"
    level: str = "info"


class GatewaySettings(NamedTuple):
    """Section ``[gateway]``: the HTTP port for callers and its limits.

    :param bind: ``host:port`` for callers.
    :param max_header_bytes: maximum size of a request head.
    :param max_body_bytes: maximum size of a request body.
    :param max_response_bytes: maximum size of a response body.
    :param body_timeout_s: timeout for receiving a request body.
    :param max_request_timeout_s: upper bound on ``X-Request-Timeout``.
    :param default_request_timeout_s: timeout of requests without
        ``X-Request-Timeout``.
    :param first_byte_timeout_s: timeout from the start of an attempt to the first
        byte of its response.
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

    :param max_waiting_bytes: maximum size of the queued request bodies of a workspace.
    :param max_attempts: maximum number of attempts for a request, including the first.
    :param retry_ratio: retries that each request adds to the retry budget.
    :param drain_timeout_s: maximum duration of the drain after SIGTERM.
    """

    max_waiting_bytes: int = 8388608
    max_attempts: int = 3
    retry_ratio: float = 0.1
    drain_timeout_s: float = 30.0


class BackendSettings(NamedTuple):
    """Section ``[backend]``: the backend server beside an agent.

    :param name: name of the backend server in the document.
    :param url: base URL of the backend server.
    :param idle_timeout_s: timeout without network progress on a running request.
    :param health_path: path that answers 200 if the backend server is healthy.
    """

    name: str
    url: str
    idle_timeout_s: float = 3.0
    health_path: str = "/health"


class ExecutionSettings(NamedTuple):
    """Section ``[execution]``: admission and idempotency at an agent.

    :param ticket_lifetime_s: validity period of a ticket.
    :param quiet_time_s: time after a start without records in which opaque idempotency
        keys are refused.
    :param key_margin_s: clock skew tolerated for time-ordered idempotency keys.
    :param max_key_records: maximum number of records of idempotency keys.
    :param claim_timeout_s: timeout for the reply to a claim.
    :param block_time_s: time for which a request is refused after ``max_crashes``
        crashes.
    :param max_crashes: crashes of the backend server after which a request is refused.
    :param drain_timeout_s: maximum duration of the drain after SIGTERM.
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
    """Section ``[forwarder]``: ports and shutdown of a forwarder.

    :param name: name of this host in logs.
    :param address: ``host:port`` for callers.
    :param ready_address: ``host:port`` for readiness probes of the load balancer.
    :param control_address: ``host:port`` for status and for peers.
    :param metrics_port: port for metrics, on the host of ``control_address``.
    :param data_centre: data centre of this host.
    :param grace_s: time from SIGTERM to forced termination.
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

    :param port: UDP port on which all forwarders exchange state.
    :param seeds: control addresses of forwarders to contact first.
    """

    port: int
    seeds: tuple[str, ...] = ()


class StoreSection(NamedTuple):
    """Section ``[store]``: store that publishes configuration and backend servers.

    :param address: ``host:port`` of the store.
    :param fleet_reads_per_s: reads of changes by all forwarders together, 1/s. Each
        reads at least every 0.6 s, however many there are.
    """

    address: str
    fleet_reads_per_s: float = 110.0


class BalancingSection(NamedTuple):
    """Section ``[balancing]``: limits shared by all forwarders.

    :param share_window_s: window over which the service of workspaces is compared.
    :param repeat_ratio: retries allowed per request within the window.
    :param n_repeat_slack: retries allowed within the window beyond ``repeat_ratio``;
        may be a fraction, as a deployment may be scaled down from a larger one.
    :param repeat_window_s: length of the window over which retries are counted.
    :param long_pause_cost: cost, in prompt tokens, of a stream that is certain to pause
        for longer than its route allows; 0 to place streams without regard to pauses.
    :param min_transfer_speedup: minimum ratio of the rate of an engine's link to its
        share of the published token rate, both in tokens, at which engines fetch cached
        prompt parts from each other; 0 turns this off.
    :param speed_window_s: window over which the speeds of model engines are estimated
        from their responses; 0 if all count as equally fast.
    :param on_time_first: whether queued requests that can still be on time go before
        late ones of all workspaces: 0 for no, 1 for yes.
    :param spread_choice: 1 to allow for requests that other hosts have placed and not
        yet told of, 0 to choose the backend server with the lowest known cost.
    """

    share_window_s: float = 4.0
    repeat_ratio: float = 0.1
    n_repeat_slack: float = 10.0
    repeat_window_s: float = 10.0
    long_pause_cost: float = 0.0
    min_transfer_speedup: float = 0.0
    speed_window_s: float = 0.0
    on_time_first: int = 0
    spread_choice: int = 0


class ForwarderSettings(NamedTuple):
    """All settings of a forwarder."""

    forwarder: ForwarderSection
    peers: PeersSection
    store: StoreSection
    balancing: BalancingSection
    log: LogSettings
