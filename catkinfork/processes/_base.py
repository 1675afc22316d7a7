"""Common base of the router and agent processes: I/O and clock around the cores."""

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
from catkinfork.membership import PeerTable, ReplaceConnection
from catkinfork.observability import EventLog, LogEvent, log_event
from catkinfork.processes._admin import AdminApplication
from catkinfork.processes._dispatchers import DispatcherReview
from catkinfork.processes._events import (
    FRAME_REJECTED,
    FRAME_UNSENDABLE,
    LINK_REPLACED,
    MESSAGE_FOR_ANOTHER_ROLE,
    PROCESS_STARTED,
)
from catkinfork.processes._metrics import list_common_metrics
from catkinfork.processes._role import BaseRole
from catkinfork.processes._server import (
    ErrorLoggingMiddleware,
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
    """A process of the fleet: performs I/O and passes the time to its cores.

    The cores are sans-I/O objects that return actions; :meth:`execute_actions` carries
    them out.

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
            self.build_sender,
            self.handle_message,
            self.log_rejected_frame,
        )
        self.status = StatusCollector(self)
        self.hosts = []
        self.dispatcher_review = DispatcherReview(self)
        self.has_started = False
        self.is_draining = False
        self.stop = anyio.Event()
        self.wake_up = anyio.Event()
        self.n_servers = 0

    # State of the process and the fleet.

    def build_sender(self):
        """Build the :class:`Sender` of this process with the document in force."""
        view = self.configuration.view
        if view is None:
            return Sender(self.fleet.address, self.incarnation)
        return Sender(self.fleet.address, self.incarnation, view.version, view.digest)

    def is_ready(self):
        """Return whether the process accepts work."""
        return (
            self.has_started
            and not self.is_draining
            and self.configuration.view is not None
        )

    def list_routers(self):
        """Return the internal addresses of the live routers in the host list.

        Without any, the seeds of the settings are returned.
        """
        listed = [
            host.address
            for host in self.hosts
            if host.role == "router" and host.state == "live"
        ]
        return listed or list(self.fleet.seeds)

    def list_known_addresses(self):
        """Return the internal addresses of all known processes of the fleet."""
        addresses = set(self.list_routers()) | {self.fleet.address}
        if self.configuration.view is not None:
            servers = self.configuration.view.document.backend_servers
            addresses |= {entry.agent for entry in servers}
        return addresses

    async def collect_status(self):
        """Return the state of the fleet as :class:`FleetState`."""
        return await self.status.collect()

    # Messages and actions.

    def handle_message(self, sender, message):
        """Handle a message from the transport."""
        now = time.monotonic()
        self.execute_actions(self.configuration.hear(sender, now), now)
        if isinstance(message, Heartbeat):
            self.execute_actions(self.peers.handle(sender, message, now), now)
            self.execute_actions(self.handle_incarnation(sender, message, now), now)
            return
        self.peers.record_message(sender, now)
        if isinstance(message, DocumentRequest | DocumentReply):
            self.execute_actions(self.configuration.handle(sender, message, now), now)
        elif isinstance(message, StatusRequest):
            self.transport.send(sender.name, self.build_status_reply(message))
        elif isinstance(message, StatusReply):
            self.status.handle_reply(sender, message)
        else:
            self.handle_role_message(sender, message, now)

    def handle_incarnation(self, sender, message, now):
        """Return the actions for the incarnation in a heartbeat; none by default."""
        return []

    def handle_role_message(self, sender, message, now):
        """Handle a message that only one of the roles handles."""
        actions = self.handle(sender, message, now)
        if actions is None:
            event = log_event(
                MESSAGE_FOR_ANOTHER_ROLE,
                peer=sender.name,
                message=type(message).__name__,
            )
            self.log.write(event)
            return
        self.execute_actions(actions, now)
        self.wake_up.set()

    def build_status_reply(self, request):
        """Build the reply with the state of this process."""
        identity = self.build_sender()
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

    def log_rejected_frame(self, error):
        """Log an internal message that the transport rejected.

        :param error: :class:`ProtocolError`.
        """
        self.log.write(
            log_event(
                FRAME_REJECTED,
                reason=error.reason,
                peer=error.peer,
                detail=error.detail,
            )
        )

    def execute_actions(self, actions, now):
        """Execute actions in their order."""
        for action in actions:
            if isinstance(action, Send):
                self.send(action)
            elif isinstance(action, LogEvent):
                self.log.write(action)
            elif isinstance(action, ReplaceConnection):
                self.replace_link(action.destination)
            elif isinstance(action, AdoptDocument):
                self.execute_actions(self.adopt(action.view, now), now)
                self.dispatcher_review.run(now)
            else:
                self.execute_role_action(action, now)

    def send(self, action):
        """Send a message; a message that is too large is logged and dropped."""
        try:
            self.transport.send(action.destination, action.message)
        except FrameTooLargeError as error:
            self.log.write(
                log_event(
                    FRAME_UNSENDABLE, peer=action.destination, detail=error.detail
                )
            )

    def replace_link(self, destination):
        """Replace the connection to a peer that has become unresponsive."""
        self.transport.replace(destination)
        self.log.write(log_event(LINK_REPLACED, peer=destination))

    # Periodic work.

    async def tick(self):
        """Tick the cores, at the shorter interval while requests are open."""
        while True:
            with anyio.move_on_after(IDLE_TICK_INTERVAL_S):
                await self.wake_up.wait()
            self.wake_up = anyio.Event()
            now = time.monotonic()
            self.execute_actions(self.peers.tick(now), now)
            self.execute_actions(self.configuration.tick(now), now)
            for core in self.list_cores():
                self.execute_actions(core.tick(now), now)
            if self.count_open_requests():
                self.wake_up.set()
            await anyio.sleep(TICK_INTERVAL_S)

    async def run_reviews(self):
        """Review dispatchers, peers and hosts at a fixed interval."""
        while True:
            now = time.monotonic()
            self.dispatcher_review.run(now)
            self.execute_actions(self.review(now), now)
            await anyio.sleep(REVIEW_INTERVAL_S)

    def handle_document(self, content):
        """Handle a document from the configuration service."""
        now = time.monotonic()
        self.execute_actions(
            self.configuration.offer(content, "configuration service", now), now
        )

    def handle_host_list(self, hosts):
        """Apply a new host list."""
        self.hosts = hosts
        self.dispatcher_review.run(time.monotonic())

    # Start and stop.

    async def run(self):
        """Run until SIGTERM or SIGINT, then drain.

        :raises PortInUseError: if a port cannot be bound.
        :raises KeyFileError: if the key file cannot be read at start-up.
        """
        self.keys.load()
        self.bind()
        async with anyio.create_task_group() as tasks:
            await tasks.start(self.transport.run)
            self.log_start()
            tasks.start_soon(watch_signals, self, tasks.cancel_scope)
            for task in self.list_background_tasks():
                tasks.start_soon(task)

    def bind(self):
        """Bind the ports, the internal one first: only one process can hold it."""
        self.transport.listen()
        self.admin_socket = bind_port(self.settings.admin.bind)

    def log_start(self):
        self.log.write(
            log_event(
                PROCESS_STARTED,
                role=self.role,
                address=self.fleet.address,
                data_centre=self.fleet.data_centre,
                incarnation=self.incarnation,
            )
        )

    def list_background_tasks(self):
        """Return the coroutine functions that run concurrently in this process."""
        return [
            self.tick,
            self.run_reviews,
            partial(watch_keys, self),
            partial(become_ready, self),
            self.read_documents,
            self.read_hosts,
            self.serve_admin,
        ]

    async def serve_admin(self):
        """Serve the admin port."""
        application = ErrorLoggingMiddleware(
            AdminApplication(self), "admin", self.log.write
        )
        await self.serve(application, self.admin_socket)

    async def serve(
        self, application, listener, max_header_bytes=MAX_ADMIN_HEADER_BYTES
    ):
        """Serve an ASGI application until the process stops.

        :param application: ASGI application.
        :param listener: bound socket.
        :param max_header_bytes: size limit of a request head in bytes.
        """
        self.n_servers += 1
        await serve_application(application, listener, self.stop, max_header_bytes)
        self.n_servers -= 1

    async def read_documents(self):
        """Poll the configuration service."""
        source = HttpConfigurationSource(
            self.settings.platform, self.role == "router", self.rng, self.log.write
        )
        await source.run(self.handle_document)

    async def read_hosts(self):
        """Poll the host list."""
        host_list = HttpHostList(self.settings.platform, self.rng, self.log.write)
        await host_list.run(self.handle_host_list)

    def list_process_metrics(self):
        """Yield the metrics common to all processes; see :meth:`list_metrics`."""
        yield from list_common_metrics(self)
