"""Timed events, links with delays and cuts, and nodes around the decision objects.

It models nothing else: no processor time, no queues in the links and no loss but that
of links that are cut.
"""

import random
from heapq import heappop, heappush
from itertools import count
from time import perf_counter

from benchmarks.shapes import list_routers, make_view
from benchmarks.workload import DEADLINE_S, WALL_OFFSET_S
from catkinfork.dispatch import Dispatcher
from catkinfork.execution import (
    AgentCore,
    BackendData,
    BackendEnd,
    BackendFailure,
    BackendHead,
    BackendHealth,
    CancelRequest,
    RunRequest,
)
from catkinfork.membership import PeerTable, ReplaceLink, rank_candidates
from catkinfork.observability import LogEvent
from catkinfork.protocol import (
    AgentReport,
    Demand,
    Heartbeat,
    HeartbeatAck,
    KeyRing,
    PoolSummary,
    ResponseAck,
    ResponsePart,
    Send,
    Sender,
    Start,
    encode_frame,
    parse_keys,
)
from catkinfork.routing import Refuse, Respond, RouterCore, RouterRequest
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

TICK_S = 0.005
LOCAL_LATENCY_S = 0.0001
FIRST_BYTE_S = 0.02
DATA_INTERVAL_S = 0.5
HEALTH_INTERVAL_S = 1.0
REVIEW_INTERVAL_S = 0.25
SILENCE_S = 3.0
# Agents learn a new document by version hints, after at most two heartbeats.
ADOPTION_DELAY_S = 1.0
BOUND_EXCEEDED = 390
DATA_MESSAGES = (Start, ResponsePart, ResponseAck)


def make_keys():
    """Return the fleet keys of the run."""
    ring = KeyRing("")
    ring.keys = parse_keys("00000001:" + "5a" * 32, "bench")
    return ring


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
        if isinstance(message, Heartbeat | HeartbeatAck):
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
        for pool in self.dispatchers:
            self.run(self.router.set_dispatchers, pool, self.rank_live(pool))
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
        self.peers.want(ranked[:2], self.driver.now)
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


class Driver:
    """A fleet and its clock.

    :param shape: :class:`Shape`.
    :param results: :class:`Results`, which is told of starts and answers.
    :param seed: seed of all random choices.
    """

    def __init__(self, shape, results, seed):
        self.shape = shape
        self.results = results
        self.rng = random.Random(seed)
        self.now = 0.0
        self.heap = []
        self.order = count()
        self.keys = make_keys()
        self.n_violations = 0
        self.n_published = 0
        self.cuts = {}
        self.arrivals = {}
        view = make_view(shape)
        routers = list_routers(shape)
        self.routers = [RouterNode(self, *pair, view) for pair in routers]
        self.agents = [
            AgentNode(self, entry) for entry in view.document.backend_servers
        ]
        self.nodes = {
            node.identity.name: node for node in [*self.routers, *self.agents]
        }
        self.publish(view, delay_s=0.0)
        names = [router.identity.name for router in self.routers]
        for node in self.nodes.values():
            node.peers.want(set(names) - {node.identity.name}, 0.0)
            self.review(node)
            self.after(self.rng.random() * TICK_S, self.tick, node)
        for agent in self.agents:
            self.check_health(agent)

    def at(self, moment, function, *args):
        """Call a function at a moment."""
        heappush(self.heap, (moment, next(self.order), function, args))

    def after(self, delay_s, function, *args):
        """Call a function after a delay."""
        self.at(self.now + delay_s, function, *args)

    def run_until(self, end):
        """Process all events before a moment."""
        while self.heap and self.heap[0][0] <= end:
            self.now, _, function, args = heappop(self.heap)
            function(*args)

    def tick(self, node):
        """Tick a node and plan the next tick."""
        node.tick()
        self.after(TICK_S, self.tick, node)

    def check_health(self, agent):
        """Report a backend server as up."""
        agent.run(agent.agent.observe, BackendHealth(True, False))
        self.after(HEALTH_INTERVAL_S, self.check_health, agent)

    def publish(self, view, delay_s=ADOPTION_DELAY_S):
        """Publish a document: routers watch it, agents learn it later."""
        for router in self.routers:
            for core in router.cores:
                router.run(core.adopt, view)
        for agent in self.agents:
            self.after(self.rng.random() * delay_s, agent.run, agent.agent.adopt, view)

    def set_out(self, data_centre):
        """Take a data centre out of service, or return it for an empty name."""
        self.n_published += 1
        self.publish(make_view(self.shape, 1 + self.n_published, data_centre))

    def review(self, node):
        """Let a node follow which peers are live, again and again."""
        node.review()
        self.after(REVIEW_INTERVAL_S, self.review, node)

    def send(self, node, destination, message):
        """Encode a message and deliver it after the delay of the link."""
        other = self.nodes[destination]
        if other is node:
            self.after(0.0, other.handle, node.identity, message)
            return
        begin = perf_counter()
        frame = encode_frame(self.keys, node.identity, message)
        node.encoding_s += perf_counter() - begin
        if not isinstance(message, DATA_MESSAGES):
            node.n_messages += 1
            node.n_bytes += len(frame)
            other.n_bytes_received += len(frame)
            kind = type(message).__name__
            node.bytes_of_type[kind] = node.bytes_of_type.get(kind, 0) + len(frame)
        link = (node.identity.name, destination)
        if link in self.cuts:
            return
        is_local = node.data_centre == other.data_centre
        delay_s = LOCAL_LATENCY_S if is_local else self.shape.latency_s
        arrival = self.now + delay_s * (1 + 0.1 * self.rng.random())
        arrival = self.arrivals[link] = max(arrival, self.arrivals.get(link, 0.0))
        self.at(arrival, other.handle, node.identity, message)

    def cut(self, one, other, is_path):
        """Let the links between two nodes go silent, without notice to them.

        :param is_path: whether new connections are silent, too.
        """
        for link in ((one, other), (other, one)):
            self.cuts[link] = is_path

    def restore(self, one, other):
        """Let new messages between two nodes arrive again."""
        for link in ((one, other), (other, one)):
            self.cuts.pop(link, None)

    def replace_link(self, one, other):
        """Open a new connection, which works unless the path is cut."""
        if self.cuts.get((one, other)) is False:
            del self.cuts[one, other]

    def submit(self, job):
        """Let a caller send a job to its router."""
        self.results.note_arrival(job)
        request = RouterRequest(
            str(job.number),
            job.workspace,
            job.target,
            "POST",
            "/",
            [],
            b"job %d" % job.number,
            job.key,
            job.is_idempotent,
            self.now + DEADLINE_S,
        )
        router = self.routers[job.router]
        router.run(router.router.submit, request)
