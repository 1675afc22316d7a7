"""Simulated processes around the real decision objects, with their measured cost."""

from time import perf_counter

from benchmarks.workload import WALL_OFFSET_S
from catkinfork.dispatch import Dispatcher
from catkinfork.execution import (
    AgentCore,
    BackendData,
    BackendEnd,
    BackendFailure,
    BackendHead,
    CancelRequest,
    RunRequest,
)
from catkinfork.membership import PeerTable, ReplaceConnection, rank_candidates
from catkinfork.observability import LogEvent
from catkinfork.protocol import (
    AgentReport,
    Demand,
    Heartbeat,
    PoolSummary,
    Send,
    Sender,
)
from catkinfork.routing import Refuse, Respond, RouterCore
from catkinfork.settings import (
    AdminSettings,
    AgentSettings,
    BackendSettings,
    ExecutionSettings,
    FleetSettings,
    GatewaySettings,
    LogSettings,
    PlatformSettings,
    RouterSettings,
    RoutingSettings,
)

FIRST_BYTE_S = 0.02
DATA_INTERVAL_S = 0.5
PEER_TIMEOUT_S = 3.0
N_DISPATCHERS = 2
N_CANDIDATES = 3
BOUND_EXCEEDED = 390


class Node:
    """A simulated process with its decision objects, processor time and traffic.

    :param driver: :class:`benchmarks.driver.Driver`.
    :param address: internal address.
    :param data_centre: name of the data centre.
    :param role: ``router`` or ``agent``.
    """

    def __init__(self, driver, address, data_centre, role):
        self.driver = driver
        self.data_centre = data_centre
        self.identity = Sender(address, round(WALL_OFFSET_S * 1000))
        self.peers = PeerTable(role, data_centre)
        self.cores = []
        self.decision_s = self.encoding_s = 0.0
        self.n_messages = self.n_bytes = self.n_bytes_received = 0
        self.bytes_of_type = {}

    def call_core(self, function, *args):
        """Call a decision object, measure its time and execute the returned actions."""
        begin = perf_counter()
        actions = function(*args, self.driver.now)
        self.decision_s += perf_counter() - begin
        for action in actions or ():
            if isinstance(action, Send):
                self.driver.send(self, action.destination, action.message)
            elif isinstance(action, ReplaceConnection):
                self.driver.replace_link(self.identity.name, action.destination)
            elif isinstance(action, LogEvent):
                self.driver.n_violations += action.event.number == BOUND_EXCEEDED
            else:
                self.execute_action(action)

    def tick(self):
        """Tick all decision objects."""
        self.call_core(self.peers.tick)
        for core in self.cores:
            self.call_core(core.tick)

    def list_silent_peers(self, addresses):
        """Return the peers among some addresses that exceed the timeout."""
        peers = (self.peers.peers.get(address) for address in addresses)
        oldest = self.driver.now - PEER_TIMEOUT_S
        return [
            peer.address
            for peer in peers
            if peer is not None
            and peer.last_heard_at is not None
            and peer.last_heard_at < oldest
        ]

    def rank_live_routers(self, pool):
        """Return the routers that this node considers live, ranked for a pool."""
        live = [
            router.identity.name
            for router in self.driver.routers
            if router is self
            or self.peers.is_live(router.identity.name, self.driver.now)
        ]
        return rank_candidates(pool, live)

    def handle(self, sender, message):
        """Pass a message to the decision objects that process it."""
        if isinstance(message, Heartbeat):
            self.call_core(self.peers.handle, sender, message)
            return
        self.peers.record_message(sender, self.driver.now)
        for core in self.list_cores(message):
            self.call_core(core.handle, sender, message)


class RouterNode(Node):
    """A simulated router with a dispatcher for each pool."""

    def __init__(self, driver, address, data_centre, view):
        super().__init__(driver, address, data_centre, "router")
        fleet = FleetSettings(address, data_centre, "")
        platform = PlatformSettings("", "bench", "")
        settings = RouterSettings(
            fleet,
            platform,
            AdminSettings(""),
            GatewaySettings(""),
            RoutingSettings(),
            LogSettings(),
        )
        self.router = RouterCore(settings, self.identity, driver.rng)
        self.dispatchers = {
            pool: Dispatcher(pool, self.identity, driver.rng) for pool in view.pools
        }
        self.cores = [self.router, *self.dispatchers.values()]

    def update_liveness(self):
        """Update dispatchers and drop silent peers by the state of liveness."""
        for pool, dispatcher in self.dispatchers.items():
            ranked = self.rank_live_routers(pool)[:N_DISPATCHERS]
            own = self.identity.name
            dispatcher.set_standbys([name for name in ranked if name != own])
            self.call_core(self.router.set_dispatchers, pool, ranked)
        agents = [agent.identity.name for agent in self.driver.agents]
        for address in self.list_silent_peers(agents):
            self.call_core(self.router.drop_agent, address)

    def list_cores(self, message):
        """Return the decision objects that process a message."""
        if isinstance(message, Demand | AgentReport):
            return [self.dispatchers[message.pool]]
        if isinstance(message, PoolSummary):
            self.dispatchers[message.pool].record_summary(message, self.driver.now)
        return [self.router]

    def execute_action(self, action):
        """Record what the caller receives."""
        if isinstance(action, Respond) and action.is_last:
            self.driver.results.record_answer(action.request_id, self.driver.now)
        elif isinstance(action, Refuse):
            self.driver.results.record_refusal(
                action.request_id, action.refusal, self.driver.now
            )


class AgentNode(Node):
    """A simulated agent with a backend server that runs each job for its duration."""

    def __init__(self, driver, backend_server):
        super().__init__(
            driver, backend_server.agent, backend_server.data_centre, "agent"
        )
        settings = AgentSettings(
            FleetSettings(backend_server.agent, backend_server.data_centre, ""),
            PlatformSettings("", "bench", ""),
            AdminSettings(""),
            BackendSettings(backend_server.name, ""),
            ExecutionSettings(),
            LogSettings(),
        )
        self.backend_server = backend_server
        self.agent = AgentCore(settings, self.identity, WALL_OFFSET_S)
        self.cores = [self.agent]
        self.running = {}

    def update_liveness(self):
        """Update dispatchers and drop silent peers by the state of liveness."""
        ranked = self.rank_live_routers(self.backend_server.pool)
        self.call_core(self.agent.set_dispatchers, ranked)
        self.peers.set_probe_targets(ranked[:N_CANDIDATES], self.driver.now)
        routers = [router.identity.name for router in self.driver.routers]
        for address in self.list_silent_peers(routers):
            self.call_core(self.agent.drop_router, address)

    def list_cores(self, message):
        """Return the agent."""
        return self.cores

    def execute_action(self, action):
        """Run or cancel a request."""
        if isinstance(action, RunRequest):
            job = self.driver.results.record_start(
                action.start.request_id, self.backend_server, self.driver.now
            )
            attempt = action.start.attempt
            self.running[attempt] = job
            head = BackendHead(attempt, 200, [])
            after_s = min(FIRST_BYTE_S, job.duration_s)
            self.driver.schedule_after(
                after_s, self.handle_backend_event, attempt, head
            )
            self.driver.schedule_after(
                after_s, self.deliver_service, attempt, 0, after_s
            )
        elif isinstance(action, CancelRequest) and action.attempt in self.running:
            self.end_request(
                action.attempt, BackendFailure(action.attempt, "cancelled", "")
            )

    def handle_backend_event(self, attempt, event):
        """Pass an event on to the agent unless the request has ended."""
        if attempt in self.running:
            self.call_core(self.agent.observe, event)

    def deliver_service(self, attempt, n_units, age_s):
        """Deliver service in steps until the job ends."""
        if attempt not in self.running:
            return
        job = self.running[attempt]
        n_units_due = min(job.cost, round(job.cost * age_s / job.duration_s))
        self.driver.results.record_units(job, n_units_due - n_units)
        if age_s >= job.duration_s:
            self.end_request(attempt, BackendEnd(attempt, job.cost))
            return
        data = BackendData(
            attempt, b"x" * (n_units_due - n_units), n_units_due - n_units
        )
        self.handle_backend_event(attempt, data)
        step_s = min(DATA_INTERVAL_S, job.duration_s - age_s)
        self.driver.schedule_after(
            step_s, self.deliver_service, attempt, n_units_due, age_s + step_s
        )

    def end_request(self, attempt, event):
        """End a running request with an event."""
        job = self.running.pop(attempt)
        self.driver.results.record_end(job, self.backend_server, self.driver.now)
        self.call_core(self.agent.observe, event)

    def crash(self):
        """Crash the backend server, which resets all running requests."""
        for attempt in list(self.running):
            self.end_request(attempt, BackendFailure(attempt, "reset", "crash"))
