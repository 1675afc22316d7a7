"""The forwarder process: I/O, timers and signals around the routing logic."""

import asyncio
import random
import time
from math import inf

import anyio

from catkinfork._signals import PROCESS_SIGNALS
from catkinfork.balancing import Balancer, BalancerSettings, RetryBudgetSettings
from catkinfork.forwarder._drain import drain_on_signal
from catkinfork.forwarder._joining import SNAPSHOT_PATH, Joining
from catkinfork.forwarder._peer_source import (
    STATE_PATH,
    PeerSources,
    build_state_response,
)
from catkinfork.forwarder._reload import (
    SettingsFile,
    reload_on_change,
    reload_settings,
)
from catkinfork.forwarder._status import (
    build_metrics_response,
    build_readiness_response,
    build_status_response,
)
from catkinfork.forwarding import (
    CALLBACK_FAILED,
    FORWARDER_STARTED,
    LOG_LINES_DROPPED,
    LOOP_LAG_CHANGED,
    READINESS_CHANGED,
    SWEEP_INTERVAL_S,
    AdminServer,
    CacheLookup,
    ForwardingServer,
    HttpClient,
)
from catkinfork.observability import build_buffered_log, log_event
from catkinfork.peering import PeerDirectory, PeerExchange, PeerSocket
from catkinfork.platform import (
    HEADERS,
    READY_PATH,
    EngineCacheSource,
    PlatformDecoder,
    StoreSource,
)
from catkinfork.topology import (
    BackendRegistry,
    OperatorReader,
    PastReader,
    TopologyState,
    Watcher,
    split_address,
)

PEER_SEND_INTERVAL_S = 0.005
LOG_FLUSH_INTERVAL_S = 0.25


class ForwarderProcess:
    """A forwarder.

    :param settings: :class:`ForwarderSettings`.
    :param path: path of the settings file.
    """

    def __init__(self, settings, path):
        self.settings = settings
        self.settings_file = SettingsFile(path)
        self.incarnation = int(time.time() * 1000)
        self.rng = random.Random(f"{settings.forwarder.name} {self.incarnation}")
        self.log = build_buffered_log(settings.log, settings.forwarder.name)
        self.loop = None
        self.tasks = None
        self.stop_requested = anyio.Event()
        self.stop_signalled_at = None
        self.stop_handled_at = None
        self.sweep_due_at = inf
        self.was_ready = None

    async def run(self):
        """Serve until :meth:`stop` is called."""
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(self.log_exception)
        async with anyio.create_task_group() as self.tasks:
            self.build()
            PROCESS_SIGNALS.subscribe(self.request_stop, self.request_reload)
            await self.listen()
            self.tasks.start_soon(self.watcher.run)
            self.tasks.start_soon(self.watcher.read_on_request)
            self.tasks.start_soon(self.past_reader.run)
            self.tasks.start_soon(OperatorReader(self.watcher).run)
            self.tasks.start_soon(self.watcher.poll_peers)
            self.tasks.start_soon(self.sweep)
            self.tasks.start_soon(self.send_peer_frames)
            self.tasks.start_soon(self.joining.run)
            self.tasks.start_soon(self.joining.run_late)
            self.tasks.start_soon(drain_on_signal, self)
            self.tasks.start_soon(reload_on_change, self)
        self.log.handler.flush()

    def build(self):
        """Build the components of the process."""
        settings = self.settings
        now = self.loop.time()
        host, control_port = split_address(settings.forwarder.control_address)
        seeds = [split_address(seed)[0] for seed in settings.peers.seeds]
        self.registry = BackendRegistry(self.log.write)
        self.directory = PeerDirectory(host, seeds, now)
        self.balancer = Balancer(
            self.registry,
            self.directory,
            build_balancer_settings(settings),
            self.rng,
            self.log.write,
        )
        self.server = ForwardingServer(
            self.balancer,
            HEADERS,
            self.loop,
            self.rng,
            self.log.write,
            self.tasks.start_soon,
        )
        self.server.cache_lookup = CacheLookup(
            self.balancer, EngineCacheSource(self.loop), self.tasks.start_soon
        )
        self.peer_exchange = PeerExchange(
            self.balancer, self.directory, self.incarnation, self.log.write
        )
        self.topology = TopologyState(
            self.registry,
            PlatformDecoder(),
            self.server.apply_configuration,
            self.log.write,
        )
        self.watcher = Watcher(
            self.topology,
            StoreSource(HttpClient(settings.store.address, self.loop), self.log.write),
            PeerSources(self.directory, control_port, self.loop),
            self.handle_topology_change,
            self.rng,
            self.log.write,
            settings.store.fleet_reads_per_s,
        )
        self.server.request_read = self.watcher.request_read
        self.past_reader = PastReader(self.watcher)
        self.server.request_past = self.past_reader.request

        self.joining = Joining(self, control_port)

    async def listen(self):
        """Open the listening sockets."""
        forwarder = self.settings.forwarder
        handlers = {
            READY_PATH: lambda _: build_readiness_response(self),
            STATE_PATH: lambda _: build_state_response(self.topology),
            SNAPSHOT_PATH: lambda _: self.joining.build_response(),
            "/status": lambda _: build_status_response(self),
            "/metrics": lambda _: build_metrics_response(self),
        }
        self.admin = AdminServer(handlers, self.loop)
        control_host = split_address(forwarder.control_address)[0]
        await self.admin.listen(*split_address(forwarder.ready_address))
        await self.admin.listen(*split_address(forwarder.control_address))
        await self.admin.listen(control_host, forwarder.metrics_port)
        self.peer_socket = PeerSocket(self.handle_frame, self.settings.peers.port)
        await self.loop.create_datagram_endpoint(
            lambda: self.peer_socket,
            local_addr=(control_host, self.settings.peers.port),
        )
        await self.server.listen(forwarder.address)
        self.log.write(
            log_event(
                FORWARDER_STARTED,
                host=forwarder.name,
                address=forwarder.address,
                data_centre=forwarder.data_centre,
                incarnation=self.incarnation,
            )
        )

    def is_ready(self):
        """Return whether the load balancer may send connections."""
        if self.server.is_draining or self.server.routes is None:
            return False
        if self.server.lag.is_behind or not self.joining.is_done:
            return False
        return bool(self.registry.by_service)

    def compute_store_outage_s(self):
        """Return the duration of the current store outage, seconds."""
        since = self.watcher.failing_since
        return 0.0 if since is None else round(time.monotonic() - since, 3)

    def handle_topology_change(self):
        """Update the components after a change of the topology."""
        self.balancer.streams.follow_versions(
            self.registry.list_versions(),
            self.registry.versions.gap_s,
            self.loop.time(),
        )
        self.server.close_unused_pools()
        self.peer_exchange.version = self.server.version
        self.peer_exchange.era = self.topology.era
        self.peer_exchange.revision = self.topology.revision
        self.server.schedule_dispatch()

    def handle_frame(self, frame):
        """Handle a frame from a peer."""
        if self.peer_exchange.handle_frame(frame, self.loop.time()):
            self.server.schedule_dispatch()

    def apply_settings(self, settings):
        """Apply reloaded settings.

        :param settings: :class:`ForwarderSettings`.
        """
        self.settings = settings
        self.balancer.apply_settings(build_balancer_settings(settings))
        self.watcher.fleet_reads_per_s = settings.store.fleet_reads_per_s
        seeds = [split_address(seed)[0] for seed in settings.peers.seeds]
        self.directory.seeds |= set(seeds)
        self.directory.add(seeds, self.loop.time())

    async def send_peer_frames(self):
        """Send frames to the peers periodically."""
        while True:
            for address, data in self.peer_exchange.tick(self.loop.time()):
                self.peer_socket.send(address, data)
            await anyio.sleep(PEER_SEND_INTERVAL_S)

    async def sweep(self):
        """Run the periodic checks and flush the log."""
        next_flush_at = self.loop.time()
        next_second_at = next_flush_at
        planned_at = next_flush_at
        while True:
            now = self.loop.time()
            self.record_lag(planned_at, now)
            self.balancer.update_speeds(now)
            self.server.sweep()
            if now >= next_flush_at:
                next_flush_at = now + LOG_FLUSH_INTERVAL_S
                self.admin.sweep()
                self.registry.remove_expired_entries(now)
                self.log_readiness_change()
                self.log.handler.flush()
            if now >= next_second_at:
                next_second_at = now + 1.0
                self.log_dropped_lines()
            planned_at = self.loop.time() + SWEEP_INTERVAL_S
            self.sweep_due_at = planned_at
            self.balancer.speed_meter.host_lag.due_at = planned_at
            await anyio.sleep(SWEEP_INTERVAL_S)

    def record_lag(self, planned_at, now):
        """Record by how much a sweep is late, and log a change of state."""
        self.balancer.speed_meter.host_lag.record(now - planned_at, now)
        change = self.server.lag.record(planned_at, now, self.server.has_backlog())
        if change is None:
            return
        self.log.write(
            log_event(
                LOOP_LAG_CHANGED,
                is_behind=change.is_behind,
                lag_s=round(change.lag_s, 3),
                n_requests=len(self.server.exchanges),
                n_connections=len(self.server.callers),
            )
        )

    def log_readiness_change(self):
        """Log a change of readiness."""
        is_ready = self.is_ready()
        if is_ready == self.was_ready:
            return
        self.was_ready = is_ready
        reason = "draining" if self.server.is_draining else ""
        if self.server.routes is None:
            reason = "no configuration"
        elif not self.joining.is_done:
            reason = "asking peers"
        if self.server.lag.is_behind:
            reason = "event loop behind"
        self.log.write(log_event(READINESS_CHANGED, is_ready=is_ready, reason=reason))

    def log_dropped_lines(self):
        """Log the number of dropped log lines."""
        n_lines = self.log.handler.start_second()
        if n_lines:
            self.log.write(log_event(LOG_LINES_DROPPED, n_lines=n_lines))

    def log_exception(self, loop, context):
        """Log an unhandled exception of an event loop callback."""
        error = context.get("exception")
        message = context.get("message", "")
        self.log.write(
            log_event(CALLBACK_FAILED, message=message, error=describe_error(error))
        )

    def request_stop(self):
        """Start the drain; may be called by a signal handler.

        A process without processor time handles a signal late. While its sweep is due,
        the signal may have come at any time since.
        """
        self.stop_handled_at = time.monotonic()
        self.stop_signalled_at = min(self.stop_handled_at, self.sweep_due_at)
        self.loop.call_soon_threadsafe(self.stop_requested.set)

    def request_reload(self):
        """Reload the settings; may be called by a signal handler."""
        self.loop.call_soon_threadsafe(self.reload)

    def reload(self):
        """Reload the settings, whether or not the file has changed."""
        self.settings_file.has_changed()
        reload_settings(self)

    def stop(self):
        """Cancel all tasks."""
        self.tasks.cancel_scope.cancel()


def describe_error(error):
    """Return the description of an exception and the line that raised it."""
    location = ""
    traceback = error.__traceback__ if error is not None else None
    while traceback is not None:
        location = f"{traceback.tb_frame.f_code.co_filename}:{traceback.tb_lineno}"
        traceback = traceback.tb_next
    return f"{error!r} at {location}"


def build_balancer_settings(settings):
    """Return the settings of the balancer.

    :param settings: :class:`ForwarderSettings`.
    """
    balancing = settings.balancing
    retry_budget = RetryBudgetSettings(
        balancing.repeat_ratio, balancing.n_repeat_slack, balancing.repeat_window_s
    )
    return BalancerSettings(
        settings.forwarder.data_centre,
        balancing.share_window_s,
        retry_budget,
        min_transfer_speedup=balancing.min_transfer_speedup,
        long_pause_cost=balancing.long_pause_cost,
        speed_window_s=balancing.speed_window_s,
        on_time_first=bool(balancing.on_time_first),
        spread_choice=balancing.spread_choice,
    )
