"""A small fleet of real decision objects, to find the cost of one more request."""

from heapq import heappop, heappush
from itertools import count

from benchmarks.capacity import targets
from benchmarks.capacity.documents import (
    make_agent_settings,
    make_router_settings,
    make_view,
    name_agent,
    name_pool,
    name_router,
    name_workspace,
)
from benchmarks.capacity.harness import TICK_S, WALL_OFFSET_S, Node, Probe
from catkinfork.dispatch import Dispatcher
from catkinfork.execution import (
    AgentCore,
    BackendData,
    BackendEnd,
    BackendHead,
    BackendHealth,
    RunRequest,
)
from catkinfork.protocol import Start
from catkinfork.routing import RouterCore, RouterRequest

POOL = name_pool(0)
N_ROUTERS = targets.ROUTERS_PER_CELL
N_AGENTS = 12
N_PLACES = 4
LATENCY_S = 0.0005
FIRST_BYTE_S = 0.02
WARM_UP_S = 4.0
SPAN_S = 4.0
# Requests a second over the whole fleet; each router and agent gets its part.
RATES = (18.3, 73.0, 146.2, 195.0, 240.0)


class Fleet:
    """The routers of a cell, twelve agents and one dispatcher in virtual time.

    All places are taken and each router holds requests that wait, one for each class.
    A router whose request has started receives another one of the same workspace, so
    that the time of service sets the rate.

    :param rate: requests a second over all routers.
    :param rng: ``random.Random``.
    """

    def __init__(self, rate, rng):
        self.rate = rate
        self.rng = rng
        self.now = 0.0
        self.heap = []
        self.order = count()
        self.n_requests = 0
        self.nodes = {}
        self.cores = {}
        self.service_s = N_AGENTS * N_PLACES / rate
        self.view = make_view(n_servers=N_AGENTS, n_pools=1)
        self.dispatcher = self.add(name_router(99), self.make_dispatcher)
        self.routers = [
            self.add(name_router(number), self.make_router)
            for number in range(N_ROUTERS)
        ]
        self.agents = [
            self.add(name_agent(number), self.make_agent, number)
            for number in range(N_AGENTS)
        ]

    def add(self, address, make_core, *args):
        """Add a node and start its ticks."""
        node = self.nodes[address] = Node(address)
        core = self.cores[address] = make_core(node, *args)
        node.call(core.adopt, self.view, 0.0)
        self.prepare(node, core)
        self.at(self.rng.random() * TICK_S, self.tick, node)
        return node

    def make_dispatcher(self, node):
        """Return the dispatcher."""
        return Dispatcher(POOL, node.identity, self.rng)

    def make_router(self, node):
        """Return a router."""
        return RouterCore(make_router_settings(node.identity.name), node.identity, None)

    def make_agent(self, node, number):
        """Return an agent."""
        return AgentCore(make_agent_settings(number), node.identity, WALL_OFFSET_S)

    def prepare(self, node, core):
        """Name the dispatcher to routers and agents, and warm the agents up."""
        dispatchers = [name_router(99)]
        if isinstance(core, RouterCore):
            node.call(core.set_dispatchers, POOL, dispatchers, 0.0)
        elif isinstance(core, AgentCore):
            node.call(core.observe, BackendHealth(True, False), 0.0)
            core.capacity.limiter.set_maximum(N_PLACES)
            core.capacity.limiter.limit = N_PLACES
            core.capacity.limiter.is_cold = False
            node.call(core.set_dispatchers, dispatchers, 0.0)

    def at(self, moment, function, *args):
        """Call a function at a moment."""
        heappush(self.heap, (moment, next(self.order), function, args))

    def tick(self, node):
        """Tick a node and plan the next tick."""
        node.call(self.cores[node.identity.name].tick, self.now)
        self.flush(node)
        self.at(self.now + TICK_S, self.tick, node)

    def flush(self, node):
        """Send what a node has to send, and run what it has started."""
        for destination, message, frame in node.pop_sends():
            moment = self.now + LATENCY_S * (1 + 0.1 * self.rng.random())
            if isinstance(message, Start):
                self.at(moment, self.submit, node, message.workspace)
            self.at(moment, self.deliver, destination, frame)
        for action in node.pop_others():
            if isinstance(action, RunRequest):
                self.run_request(node, action.start.attempt)

    def deliver(self, destination, frame):
        """Deliver a frame."""
        node = self.nodes[destination]
        node.take([frame], self.cores[destination].handle, self.now)
        self.flush(node)

    def run_request(self, node, attempt):
        """Let a backend server answer in two parts after its time of service."""
        ends_at = self.now + self.service_s * self.rng.uniform(0.5, 1.5)
        head = BackendHead(attempt, 200, [("content-type", "text/event-stream")])
        self.at(self.now + FIRST_BYTE_S, self.observe, node, head)
        data = BackendData(attempt, b"x" * targets.PART_BYTES, 200)
        self.at(ends_at, self.observe, node, data)
        self.at(ends_at, self.observe, node, BackendEnd(attempt, 200))

    def observe(self, node, event):
        """Hand an event of a backend server to its agent."""
        core = self.cores[node.identity.name]
        node.call(core.observe, event, self.now, is_data=isinstance(event, BackendData))
        self.flush(node)

    def fill(self):
        """Let requests of the backlogged workspaces wait at each router."""
        for node in self.routers:
            numbers = self.rng.sample(
                range(targets.BACKLOGGED_PER_CELL), targets.ENTRIES_PER_DEMAND
            )
            for number in numbers:
                self.submit(node, name_workspace(number))

    def submit(self, node, workspace):
        """Let a caller send a request to a router."""
        self.n_requests += 1
        number = self.n_requests
        request = RouterRequest(
            f"request-{number}",
            workspace,
            POOL,
            "POST",
            "/v1/chat/completions",
            [("content-type", "application/json")],
            number.to_bytes(8, "big") + b"x" * (targets.BODY_BYTES - 8),
            "",
            True,
            self.now + 600.0,
        )
        node.call(self.cores[node.identity.name].submit, request, self.now)
        self.flush(node)

    def run_until(self, end):
        """Process all events before a moment."""
        while self.heap and self.heap[0][0] <= end:
            self.now, _, function, args = heappop(self.heap)
            function(*args)


_averages = {}


def run_fleet(rate, rng):
    """Run the fleet at a rate, once for the three roles.

    :returns: mapping from role to its mean measures for one node.
    """
    key = (round(rate, 6), rng.getstate())
    if key not in _averages:
        fleet = Fleet(rate, rng)
        fleet.fill()
        fleet.run_until(WARM_UP_S)
        for node in fleet.nodes.values():
            node.reset()
        fleet.run_until(WARM_UP_S + SPAN_S)
        _averages[key] = {
            "dispatcher": average([fleet.dispatcher]),
            "router": average(fleet.routers),
            "agent": average(fleet.agents),
        }
    return _averages[key]


def average(nodes):
    """Return the mean measures of some nodes."""
    measures = [node.measure(SPAN_S) for node in nodes]
    names = {name for values in measures for name in values}
    return {
        name: sum(values.get(name, 0.0) for values in measures) / len(nodes)
        for name in sorted(names)
    }


def run_dispatcher(size, rng):
    """Requests granted by a dispatcher."""
    return run_fleet(size, rng)["dispatcher"]


def run_router(size, rng):
    """Requests taken by one router."""
    return run_fleet(size * N_ROUTERS, rng)["router"]


def run_agent(size, rng):
    """Requests started by one agent."""
    return run_fleet(size * N_AGENTS, rng)["agent"]


PROBES = (
    Probe(
        "dispatcher_requests",
        "dispatcher",
        "requests/s granted",
        RATES,
        targets.REQUESTS_PER_POOL,
        run_dispatcher,
        has_state=False,
    ),
    Probe(
        "router_requests",
        "router",
        "requests/s taken",
        tuple(rate / N_ROUTERS for rate in RATES),
        targets.REQUESTS_PER_ROUTER,
        run_router,
        has_state=False,
    ),
    Probe(
        "agent_requests",
        "agent",
        "requests/s started",
        tuple(rate / N_AGENTS for rate in RATES),
        targets.REQUESTS_PER_AGENT,
        run_agent,
        has_state=False,
    ),
)
