"""The forwarder: input, output and clock around the decision objects."""

import asyncio
import random
import time

import anyio

from catkinfork.balancing import Balancer, BalancerSettings, RepeatSettings
from catkinfork.forwarder._drain import watch_stop
from catkinfork.forwarder._peer_source import STATE_PATH, PeerSource, answer_state
from catkinfork.forwarder._reload import SettingsFile, watch_file, watch_hangups
from catkinfork.forwarder._status import answer_metrics, answer_ready, answer_status
from catkinfork.forwarding import (
    CALLBACK_FAILED,
    FORWARDER_STARTED,
    LOG_LINES_DROPPED,
    READINESS_CHANGED,
    SWEEP_INTERVAL_S,
    AdminServer,
    ForwardingServer,
    HttpClient,
)
from catkinfork.observability import build_buffered_log, log_event
from catkinfork.peering import PeerDirectory, PeerExchange, PeerSocket
from catkinfork.platform import HEADERS, READY_PATH, PlatformDecoder, StoreSource
from catkinfork.topology import (
    BackendRegistry,
    TopologyState,
    Watcher,
    split_address,
)

PEER_TICK_S = 0.005
LOG_FLUSH_S = 0.25


class ForwarderProcess:
    """One forwarder.

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
        self.was_ready = None
        self.peer_source = None

    async def run(self):
        """Serve until the process is told to stop."""
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(self.log_exception)
        async with anyio.create_task_group() as self.tasks:
            self.build()
            await self.listen()
            self.tasks.start_soon(self.watcher.run)
            self.tasks.start_soon(self.watcher.ask_peers)
            self.tasks.start_soon(self.sweep)
            self.tasks.start_soon(self.tick_peers)
            self.tasks.start_soon(watch_stop, self)
            self.tasks.start_soon(watch_hangups, self)
            self.tasks.start_soon(watch_file, self)
        self.log.handler.flush()

    def build(self):
        """Build the parts of the process."""
        settings = self.settings
        now = self.loop.time()
        host = split_address(settings.forwarder.control_address)[0]
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
        self.exchange = PeerExchange(
            self.balancer, self.directory, self.incarnation, self.log.write
        )
        self.topology = TopologyState(
            self.registry, PlatformDecoder(), self.server.configure, self.log.write
        )
        self.watcher = Watcher(
            self.topology,
            StoreSource(HttpClient(settings.store.address, self.loop)),
            self.find_peer_source,
            self.take_topology,
            self.rng,
            self.log.write,
        )

    async def listen(self):
        """Open the ports."""
        forwarder = self.settings.forwarder
        handlers = {
            READY_PATH: lambda _: answer_ready(self),
            STATE_PATH: lambda _: answer_state(self.topology),
            "/status": lambda _: answer_status(self),
            "/metrics": lambda _: answer_metrics(self),
        }
        self.admin = AdminServer(handlers, self.loop)
        control_host = split_address(forwarder.control_address)[0]
        await self.admin.listen(*split_address(forwarder.ready_address))
        await self.admin.listen(*split_address(forwarder.control_address))
        await self.admin.listen(control_host, forwarder.metrics_port)
        self.socket = PeerSocket(self.take_frame, self.settings.peers.port)
        await self.loop.create_datagram_endpoint(
            lambda: self.socket, local_addr=(control_host, self.settings.peers.port)
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
        """Return whether the balancer may send connections."""
        if self.server.is_draining or self.server.routes is None:
            return False
        return bool(self.registry.by_service)

    def count_store_failing(self):
        """Return for how long the store has not answered, seconds."""
        since = self.watcher.failing_since
        return 0.0 if since is None else round(time.monotonic() - since, 3)

    def find_peer_source(self, revision):
        """Return the source of the peer with the newest state, or None."""
        now = self.loop.time()
        newer = [
            peer for peer in self.directory.list_heard(now) if peer.revision > revision
        ]
        if not newer:
            return None
        peer = max(newer, key=lambda known: known.revision)
        _, port = split_address(self.settings.forwarder.control_address)
        address = f"{peer.address}:{port}"
        if self.peer_source is None or self.peer_source.client.address != address:
            self.peer_source = PeerSource(HttpClient(address, self.loop))
        return self.peer_source

    def take_topology(self):
        """Take up a change of the topology."""
        self.server.drop_pools()
        self.exchange.version = self.server.version
        self.exchange.revision = self.topology.revision
        self.server.pump_soon()

    def take_frame(self, frame):
        """Take a frame of a peer."""
        if self.exchange.apply(frame, self.loop.time()):
            self.server.pump_soon()

    def take_settings(self, settings):
        """Take up changed settings."""
        self.settings = settings
        self.balancer.take_settings(build_balancer_settings(settings))
        seeds = [split_address(seed)[0] for seed in settings.peers.seeds]
        self.directory.seeds |= set(seeds)
        self.directory.add(seeds, self.loop.time())

    async def tick_peers(self):
        """Send frames to the peers, for ever."""
        while True:
            for address, data in self.exchange.tick(self.loop.time()):
                self.socket.send(address, data)
            await anyio.sleep(PEER_TICK_S)

    async def sweep(self):
        """Act on passed times, for ever."""
        flush_at = self.loop.time()
        second_at = flush_at
        while True:
            now = self.loop.time()
            self.server.sweep()
            if now >= flush_at:
                flush_at = now + LOG_FLUSH_S
                self.admin.sweep()
                self.registry.drop_missing(now)
                self.note_readiness()
                self.log.handler.flush()
            if now >= second_at:
                second_at = now + 1.0
                self.note_dropped_lines()
            await anyio.sleep(SWEEP_INTERVAL_S)

    def note_readiness(self):
        """Log a change of the readiness."""
        is_ready = self.is_ready()
        if is_ready == self.was_ready:
            return
        self.was_ready = is_ready
        reason = "draining" if self.server.is_draining else ""
        if self.server.routes is None:
            reason = "no configuration"
        self.log.write(log_event(READINESS_CHANGED, is_ready=is_ready, reason=reason))

    def note_dropped_lines(self):
        """Log how many log lines were left out."""
        n_lines = self.log.handler.start_second()
        if n_lines:
            self.log.write(log_event(LOG_LINES_DROPPED, n_lines=n_lines))

    def log_exception(self, loop, context):
        """Log an exception of a callback, which would otherwise be lost."""
        error = context.get("exception")
        message = context.get("message", "")
        self.log.write(
            log_event(CALLBACK_FAILED, message=message, error=describe_error(error))
        )

    def stop(self):
        """End all tasks."""
        self.tasks.cancel_scope.cancel()


def describe_error(error):
    """Return an exception with the place where it was raised."""
    place = ""
    trace = error.__traceback__ if error is not None else None
    while trace is not None:
        place = f"{trace.tb_frame.f_code.co_filename}:{trace.tb_lineno}"
        trace = trace.tb_next
    return f"{error!r} at {place}"


def build_balancer_settings(settings):
    """Return the settings of the balancer.

    :param settings: :class:`ForwarderSettings`.
    """
    balancing = settings.balancing
    repeats = RepeatSettings(
        balancing.repeat_ratio, balancing.n_repeat_slack, balancing.repeat_window_s
    )
    return BalancerSettings(
        settings.forwarder.data_centre, balancing.share_window_s, repeats
    )
