"""Nodes of the bench: processes around the real decision objects, and their cost."""

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
from catkinfork.membership import PeerTable, ReplaceLink, rank_candidates
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
SILENCE_S = 3.0
N_DISPATCHERS = 2
N_CANDIDATES = 3
BOUND_EXCEEDED = 390


class Node:
    """A process: its decision objects, and what it costs."""

    def __init__(self, driver, address, data_centre, role):
        self.driver = driver
        self.data_centre = data_centre
        self.identity = Sender(address, round(WALL_OFFSET_S * 1000))
        self.peers = PeerTable(role, data_centre)
        self.cores = []
        self.decision_s = self.encoding_s = 0.0
        self.n_messages = self.n_bytes = self.n_bytes_received = 0
        self.bytes_of_type = {}

    def run(self, function, *args):
        """Call a decision object, time it and perform its actions."""
        begin = perf_counter()
        actions = function(*args, self.driver.now)
        self.decision_s += perf_counter() - begin
        for action in actions or ():
            if isinstance(action, Send):
                self.driver.send(self, action.destination, action.message)
            elif isinstance(action, ReplaceLink):
                self.driver.replace_link(self.identity.name, action.destination)
            elif isinstance(action, LogEvent):
                self.driver.n_violations += action.event.number == BOUND_EXCEEDED
            else:
                self.perform(action)

    def tick(self):
        """Tick all decision objects."""
        self.run(self.peers.tick)
        for core in self.cores:
            self.run(core.tick)

    def find_silent(self, addresses):
        """Return those of some peers that have been silent for long."""
        peers = (self.peers.peers.get(address) for address in addresses)
        oldest = self.driver.now - SILENCE_S
        return [
            peer.address
            for peer in peers
            if peer is not None and peer.heard_at is not None and peer.heard_at < oldest
        ]

    def rank_live(self, pool):
        """Return the routers that are live from here, in the order of a pool."""
        live = [
            router.identity.name
            for router in self.driver.routers
            if router is self
            or self.peers.is_live(router.identity.name, self.driver.now)
        ]
        return rank_candidates(pool, live)

    def handle(self, sender, message):
        """Hand a message to the decision object that it is for."""
        if isinstance(message, Heartbeat):
            self.run(self.peers.handle, sender, message)
            return
        self.peers.hear(sender, self.driver.now)
        for core in self.find_cores(message):
            self.run(core.handle, sender, message)


class RouterNode(Node):
    """A router with a dispatcher for each pool."""

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

    def review(self):
        """Follow which peers are live."""
        for pool, dispatcher in self.dispatchers.items():
            ranked = self.rank_live(pool)[:N_DISPATCHERS]
            own = self.identity.name
            dispatcher.set_standbys([name for name in ranked if name != own])
            self.run(self.router.set_dispatchers, pool, ranked)
        agents = [agent.identity.name for agent in self.driver.agents]
        for address in self.find_silent(agents):
            self.run(self.router.drop_agent, address)

    def find_cores(self, message):
        """Return the decision objects that take a message."""
        if isinstance(message, Demand | AgentReport):
            return [self.dispatchers[message.pool]]
        if isinstance(message, PoolSummary):
            self.dispatchers[message.pool].seed(message, self.driver.now)
        return [self.router]

    def perform(self, action):
        """Note what the caller receives."""
        if isinstance(action, Respond) and action.is_last:
            self.driver.results.note_answer(action.request_id, self.driver.now)
        elif isinstance(action, Refuse):
            self.driver.results.note_refusal(
                action.request_id, action.refusal, self.driver.now
            )


class AgentNode(Node):
    """An agent with a fake backend server that runs each job for its duration."""

    def __init__(self, driver, entry):
        super().__init__(driver, entry.agent, entry.data_centre, "agent")
        settings = AgentSettings(
            FleetSettings(entry.agent, entry.data_centre, ""),
            PlatformSettings("", "bench", ""),
            AdminSettings(""),
            BackendSettings(entry.name, ""),
            ExecutionSettings(),
            LogSettings(),
        )
        self.entry = entry
        self.agent = AgentCore(settings, self.identity, WALL_OFFSET_S)
        self.cores = [self.agent]
        self.running = {}

    def review(self):
        """Follow which peers are live."""
        ranked = self.rank_live(self.entry.pool)
        self.run(self.agent.set_dispatchers, ranked)
        self.peers.want(ranked[:N_CANDIDATES], self.driver.now)
        routers = [router.identity.name for router in self.driver.routers]
        for address in self.find_silent(routers):
            self.run(self.agent.drop_router, address)

    def find_cores(self, message):
        """Return the agent."""
        return self.cores

    def perform(self, action):
        """Run or cancel a request."""
        if isinstance(action, RunRequest):
            job = self.driver.results.note_start(
                action.start.request_id, self.entry, self.driver.now
            )
            attempt = action.start.attempt
            self.running[attempt] = job
            head = BackendHead(attempt, 200, [])
            after_s = min(FIRST_BYTE_S, job.duration_s)
            self.driver.after(after_s, self.observe, attempt, head)
            self.driver.after(after_s, self.deliver, attempt, 0, after_s)
        elif isinstance(action, CancelRequest) and action.attempt in self.running:
            self.end(action.attempt, BackendFailure(action.attempt, "cancelled", ""))

    def observe(self, attempt, event):
        """Pass an event of a running request on."""
        if attempt in self.running:
            self.run(self.agent.observe, event)

    def deliver(self, attempt, n_units, age_s):
        """Deliver service in steps until the job ends."""
        if attempt not in self.running:
            return
        job = self.running[attempt]
        total = min(job.cost, round(job.cost * age_s / job.duration_s))
        self.driver.results.note_units(job, total - n_units)
        if age_s >= job.duration_s:
            self.end(attempt, BackendEnd(attempt, job.cost))
            return
        data = BackendData(attempt, b"x" * (total - n_units), total - n_units)
        self.observe(attempt, data)
        step_s = min(DATA_INTERVAL_S, job.duration_s - age_s)
        self.driver.after(step_s, self.deliver, attempt, total, age_s + step_s)

    def end(self, attempt, event):
        """End a running request."""
        job = self.running.pop(attempt)
        self.driver.results.note_end(job, self.entry, self.driver.now)
        self.run(self.agent.observe, event)

    def crash(self):
        """Reset all running requests."""
        for attempt in list(self.running):
            self.end(attempt, BackendFailure(attempt, "reset", "crash"))
