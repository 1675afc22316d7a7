"""What the router and the agent have in common: the shell around the decisions."""

import random
import time
from functools import partial

import anyio

from catkinfork.configuration import (
    AdoptDocument,
    ConfigurationState,
    HttpConfigurationSource,
    HttpHostList,
)
from catkinfork.membership import (
    PeerTable,
    ReplaceLink,
    choose_dispatchers,
    rank_candidates,
)
from catkinfork.observability import EventLog, LogEvent, log_event
from catkinfork.processes._admin import AdminApplication
from catkinfork.processes._events import (
    FRAME_REJECTED,
    FRAME_UNSENDABLE,
    LINK_REPLACED,
    PROCESS_STARTED,
    WRONG_RECEIVER,
)
from catkinfork.processes._metrics import list_common_metrics
from catkinfork.processes._role import BaseRole
from catkinfork.processes._server import (
    GuardedApplication,
    bind_port,
    serve_application,
)
from catkinfork.processes._shutdown import watch_signals
from catkinfork.processes._startup import become_ready, watch_keys
from catkinfork.processes._status import StatusCollector
from catkinfork.protocol import (
    DocumentReply,
    DocumentRequest,
    FrameTooLargeError,
    Heartbeat,
    KeyRing,
    Send,
    Sender,
    StatusReply,
    StatusRequest,
    Transport,
)

TICK_INTERVAL_S = 0.01
IDLE_TICK_INTERVAL_S = 0.05
REVIEW_INTERVAL_S = 0.1
MAX_ADMIN_HEADER_BYTES = 16384


class BaseProcess(BaseRole):
    """A process of the fleet: I/O and clock around the decision objects.

    :param settings: :class:`RouterSettings` or :class:`AgentSettings`.
    """

    role = ""

    def __init__(self, settings):
        self.settings = settings
        self.fleet = settings.fleet
        self.incarnation = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.rng = random.Random(self.incarnation)
        self.keys = KeyRing(self.fleet.key_file)
        self.log = EventLog(settings.log, self.fleet.address)
        self.peers = PeerTable(self.role, self.fleet.data_centre)
        self.configuration = ConfigurationState(settings.platform.environment)
        self.transport = Transport(
            self.fleet.address,
            self.keys,
            self.identify,
            self.receive,
            self.reject,
        )
        self.status = StatusCollector(self)
        self.hosts = []
        self.dispatchers = {}
        self.ranked_routers = set()
        self.rankings = {}
        self.has_started = False
        self.is_draining = False
        self.stop = anyio.Event()
        self.work = anyio.Event()
        self.n_servers = 0

    # State that others ask for.

    def identify(self):
        """Return the :class:`Sender` of this process now."""
        view = self.configuration.view
        if view is None:
            return Sender(self.fleet.address, self.incarnation)
        return Sender(self.fleet.address, self.incarnation, view.version, view.digest)

    def is_ready(self):
        """Return whether the process takes work."""
        return (
            self.has_started
            and not self.is_draining
            and self.configuration.view is not None
        )

    def list_routers(self):
        """Return the inner addresses of routers that are not leaving."""
        listed = [
            host.address
            for host in self.hosts
            if host.role == "router" and host.state == "live"
        ]
        return listed or list(self.fleet.seeds)

    def list_known_addresses(self):
        """Return the inner addresses of all processes of the fleet."""
        addresses = set(self.list_routers()) | {self.fleet.address}
        if self.configuration.view is not None:
            servers = self.configuration.view.document.backend_servers
            addresses |= {entry.agent for entry in servers}
        return addresses

    async def collect_status(self):
        """Return the state of the fleet as :class:`FleetState`."""
        return await self.status.collect()

    # Messages and actions.

    def receive(self, sender, message):
        """Take a message from the transport."""
        now = time.monotonic()
        self.apply(self.configuration.hear(sender, now), now)
        if isinstance(message, Heartbeat):
            self.apply(self.peers.handle(sender, message, now), now)
            self.apply(self.note_incarnation(sender, message, now), now)
            return
        self.peers.hear(sender, now)
        if isinstance(message, DocumentRequest | DocumentReply):
            self.apply(self.configuration.handle(sender, message, now), now)
        elif isinstance(message, StatusRequest):
            self.transport.send(sender.name, self.build_status_reply(message))
        elif isinstance(message, StatusReply):
            self.status.hear(sender, message)
        else:
            self.receive_for_role(sender, message, now)

    def note_incarnation(self, sender, message, now):
        """Return the actions for the incarnation that a heartbeat shows."""
        return []

    def receive_for_role(self, sender, message, now):
        """Hand a message to the decisions of the role."""
        actions = self.handle(sender, message, now)
        if actions is None:
            event = log_event(
                WRONG_RECEIVER, peer=sender.name, message=type(message).__name__
            )
            self.log.write(event)
            return
        self.apply(actions, now)
        self.work.set()

    def build_status_reply(self, request):
        """Return the state of this process."""
        identity = self.identify()
        return StatusReply(
            request.request,
            self.role,
            self.fleet.data_centre,
            identity.version,
            identity.digest,
            self.configuration.has_conflict,
            self.is_ready(),
            self.list_backend_servers(),
        )

    def reject(self, error):
        """Log an inner message that was dropped."""
        self.log.write(
            log_event(
                FRAME_REJECTED,
                reason=error.reason,
                peer=error.peer,
                detail=error.detail,
            )
        )

    def apply(self, actions, now):
        """Carry out actions in their order."""
        for action in actions:
            if isinstance(action, Send):
                self.send(action)
            elif isinstance(action, LogEvent):
                self.log.write(action)
            elif isinstance(action, ReplaceLink):
                self.replace_link(action.destination)
            elif isinstance(action, AdoptDocument):
                self.apply(self.adopt(action.view, now), now)
                self.review_dispatchers(now)
            else:
                self.perform(action, now)

    def send(self, action):
        """Send a message; one that is too large is logged and dropped."""
        try:
            self.transport.send(action.destination, action.message)
        except FrameTooLargeError as error:
            self.log.write(
                log_event(
                    FRAME_UNSENDABLE, peer=action.destination, detail=error.detail
                )
            )

    def replace_link(self, destination):
        """Close a silent connection."""
        self.transport.replace(destination)
        self.log.write(log_event(LINK_REPLACED, peer=destination))

    # Regular work.

    async def tick(self):
        """Tick the decision objects, often while there is work."""
        while True:
            with anyio.move_on_after(IDLE_TICK_INTERVAL_S):
                await self.work.wait()
            self.work = anyio.Event()
            now = time.monotonic()
            self.apply(self.peers.tick(now), now)
            self.apply(self.configuration.tick(now), now)
            for core in self.list_cores():
                self.apply(core.tick(now), now)
            if self.count_open():
                self.work.set()
            await anyio.sleep(TICK_INTERVAL_S)

    async def review_regularly(self):
        """Review peers, hosts and dispatchers."""
        while True:
            now = time.monotonic()
            self.review_dispatchers(now)
            self.apply(self.review(now), now)
            await anyio.sleep(REVIEW_INTERVAL_S)

    def review_dispatchers(self, now):
        """Choose the live dispatchers of each pool and the peers to probe."""
        routers = set(self.list_routers())
        live = {name for name in routers if self.can_dispatch(name, now)}
        dead = {name for name in routers - live if name in self.peers.peers}
        wanted = set()
        for pool in self.list_pools():
            ranked = self.rank_routers(pool, routers)
            chosen, probed = choose_dispatchers(ranked, live, dead)
            wanted.update(probed)
            if chosen != self.dispatchers.get(pool):
                self.dispatchers[pool] = chosen
                self.apply(self.set_dispatchers(pool, chosen, now), now)
        if self.configuration.view is None:
            wanted.update(routers)
        wanted.discard(self.fleet.address)
        self.peers.want(wanted, now)

    def rank_routers(self, pool, routers):
        """Return the routers in the order of a pool, ranked once for each list."""
        if routers != self.ranked_routers:
            self.ranked_routers = routers
            self.rankings = {}
        if pool not in self.rankings:
            self.rankings[pool] = rank_candidates(pool, routers)
        return self.rankings[pool]

    def can_dispatch(self, address, now):
        """Return whether a router may act as dispatcher."""
        if address == self.fleet.address:
            return not self.is_draining
        peer = self.peers.peers.get(address)
        if peer is not None and peer.is_leaving:
            return False
        return self.peers.is_live(address, now)

    def take_document(self, content):
        """Offer a value of the configuration service."""
        now = time.monotonic()
        self.apply(self.configuration.offer(content, "configuration service", now), now)

    def take_hosts(self, hosts):
        """Take a new host list."""
        self.hosts = hosts
        self.review_dispatchers(time.monotonic())

    # Start and stop.

    async def run(self):
        """Run until SIGTERM or SIGINT, then drain.

        :raises PortInUseError: if a port is taken.
        :raises KeyFileError: if the key file cannot be read at the start.
        """
        self.keys.load()
        self.bind()
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.transport.run)
            self.log_start()
            tasks.start_soon(watch_signals, self, tasks.cancel_scope)
            for job in self.list_jobs():
                tasks.start_soon(job)

    def bind(self):
        """Bind the ports, the inner one first: it fences off a second process."""
        self.transport.listen()
        self.admin_port = bind_port(self.settings.admin.bind)

    def log_start(self):
        """Log the start."""
        self.log.write(
            log_event(
                PROCESS_STARTED,
                role=self.role,
                address=self.fleet.address,
                data_centre=self.fleet.data_centre,
                incarnation=self.incarnation,
            )
        )

    def list_jobs(self):
        """Return the coroutines that run beside each other."""
        return [
            self.tick,
            self.review_regularly,
            partial(watch_keys, self),
            partial(become_ready, self),
            self.read_documents,
            self.read_hosts,
            self.serve_admin,
        ]

    async def serve_admin(self):
        """Serve metrics, health and status."""
        application = GuardedApplication(
            AdminApplication(self), "admin", self.log.write
        )
        await self.serve(application, self.admin_port)

    async def serve(self, application, bound, max_header_bytes=MAX_ADMIN_HEADER_BYTES):
        """Serve an application until the process stops."""
        self.n_servers += 1
        await serve_application(application, bound, self.stop, max_header_bytes)
        self.n_servers -= 1

    async def read_documents(self):
        """Read the configuration service."""
        source = HttpConfigurationSource(
            self.settings.platform, self.role == "router", self.rng, self.log.write
        )
        await source.run(self.take_document)

    async def read_hosts(self):
        """Read the host list."""
        host_list = HttpHostList(self.settings.platform, self.rng, self.log.write)
        await host_list.run(self.take_hosts)

    def count_metrics(self):
        """Yield the metrics that every process has."""
        yield from list_common_metrics(self)
