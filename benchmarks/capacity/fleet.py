"""Probes of the cost per request, from a small fleet of real decision objects."""

from heapq import heappop, heappush
from itertools import count

from benchmarks.capacity import targets
from benchmarks.capacity.documents import (
    build_agent_settings,
    build_router_settings,
    build_view,
    format_agent_address,
    format_pool_name,
    format_router_address,
    format_workspace_name,
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

POOL = format_pool_name(0)
N_ROUTERS = targets.ROUTERS_PER_CELL
N_AGENTS = 12
N_PLACES = 4
LATENCY_S = 0.0005
FIRST_BYTE_S = 0.02
WARM_UP_S = 4.0
SPAN_S = 4.0
# Requests a second over the whole fleet, shared by its routers and agents.
REQUEST_RATES = (18.3, 73.0, 146.2, 195.0, 240.0)


class Fleet:
    """The routers of a cell, twelve agents and one dispatcher in virtual time.

    The fleet is saturated: all places are taken and each router has one waiting request
    per class. When a request starts, its router receives another one of the same
    workspace, so that the service time determines the rate.

    :param rate: requests a second over all routers.
    :param rng: ``random.Random``.
    """

    def __init__(self, rate, rng):
        self.rate = rate
        self.rng = rng
        self.now = 0.0
        self.event_queue = []
        self.event_numbers = count()
        self.n_requests = 0
        self.nodes = {}
        self.cores = {}
        self.service_s = N_AGENTS * N_PLACES / rate
        self.view = build_view(n_servers=N_AGENTS, n_pools=1)
        self.dispatcher = self.add_node(
            format_router_address(99), self.build_dispatcher
        )
        self.routers = [
            self.add_node(format_router_address(number), self.build_router)
            for number in range(N_ROUTERS)
        ]
        self.agents = [
            self.add_node(format_agent_address(number), self.build_agent, number)
            for number in range(N_AGENTS)
        ]

    def add_node(self, address, build_core, *args):
        """Add a node and schedule its first tick."""
        node = self.nodes[address] = Node(address)
        core = self.cores[address] = build_core(node, *args)
        node.call_core(core.adopt, self.view, 0.0)
        self.configure_core(node, core)
        self.schedule_at(self.rng.random() * TICK_S, self.tick, node)
        return node

    def build_dispatcher(self, node):
        """Return the dispatcher."""
        return Dispatcher(POOL, node.identity, self.rng)

    def build_router(self, node):
        """Return a router."""
        return RouterCore(
            build_router_settings(node.identity.name), node.identity, None
        )

    def build_agent(self, node, number):
        """Return an agent."""
        return AgentCore(build_agent_settings(number), node.identity, WALL_OFFSET_S)

    def configure_core(self, node, core):
        """Set the dispatcher of routers and agents, and make agents warm."""
        dispatchers = [format_router_address(99)]
        if isinstance(core, RouterCore):
            node.call_core(core.set_dispatchers, POOL, dispatchers, 0.0)
        elif isinstance(core, AgentCore):
            node.call_core(core.observe, BackendHealth(True, False), 0.0)
            core.capacity.limiter.set_maximum(N_PLACES)
            core.capacity.limiter.limit = N_PLACES
            core.capacity.limiter.is_cold = False
            node.call_core(core.set_dispatchers, dispatchers, 0.0)

    def schedule_at(self, due_at, function, *args):
        """Schedule a call at a time."""
        heappush(self.event_queue, (due_at, next(self.event_numbers), function, args))

    def tick(self, node):
        """Tick a node and schedule the next tick."""
        node.call_core(self.cores[node.identity.name].tick, self.now)
        self.process_actions(node)
        self.schedule_at(self.now + TICK_S, self.tick, node)

    def process_actions(self, node):
        """Schedule the delivery of a node's messages and run the requests it starts."""
        for destination, message, frame in node.pop_sent_messages():
            due_at = self.now + LATENCY_S * (1 + 0.1 * self.rng.random())
            if isinstance(message, Start):
                self.schedule_at(due_at, self.submit, node, message.workspace)
            self.schedule_at(due_at, self.deliver_frame, destination, frame)
        for action in node.pop_other_actions():
            if isinstance(action, RunRequest):
                self.run_request(node, action.start.attempt)

    def deliver_frame(self, destination, frame):
        """Deliver a frame to its destination."""
        node = self.nodes[destination]
        node.handle_frames([frame], self.cores[destination].handle, self.now)
        self.process_actions(node)

    def run_request(self, node, attempt):
        """Schedule the head, and after the service time the data, of a response."""
        ends_at = self.now + self.service_s * self.rng.uniform(0.5, 1.5)
        head = BackendHead(attempt, 200, [("content-type", "text/event-stream")])
        self.schedule_at(self.now + FIRST_BYTE_S, self.handle_backend_event, node, head)
        data = BackendData(attempt, b"x" * targets.PART_BYTES, 200)
        self.schedule_at(ends_at, self.handle_backend_event, node, data)
        self.schedule_at(
            ends_at, self.handle_backend_event, node, BackendEnd(attempt, 200)
        )

    def handle_backend_event(self, node, event):
        """Pass an event of a backend server to its agent."""
        core = self.cores[node.identity.name]
        node.call_core(
            core.observe, event, self.now, is_data=isinstance(event, BackendData)
        )
        self.process_actions(node)

    def submit_backlog(self):
        """Submit requests of backlogged workspaces to each router."""
        for node in self.routers:
            numbers = self.rng.sample(
                range(targets.BACKLOGGED_PER_CELL), targets.ENTRIES_PER_DEMAND
            )
            for number in numbers:
                self.submit(node, format_workspace_name(number))

    def submit(self, node, workspace):
        """Submit a request to a router."""
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
        node.call_core(self.cores[node.identity.name].submit, request, self.now)
        self.process_actions(node)

    def run_until(self, end):
        """Process all events up to a time."""
        while self.event_queue and self.event_queue[0][0] <= end:
            self.now, _, function, args = heappop(self.event_queue)
            function(*args)


_cached_measures = {}


def run_fleet(rate, rng):
    """Run the fleet at a rate; the result is cached for the three roles.

    :returns: mapping from role to its mean measures per node.
    """
    key = (round(rate, 6), rng.getstate())
    if key not in _cached_measures:
        fleet = Fleet(rate, rng)
        fleet.submit_backlog()
        fleet.run_until(WARM_UP_S)
        for node in fleet.nodes.values():
            node.reset_counts()
        fleet.run_until(WARM_UP_S + SPAN_S)
        _cached_measures[key] = {
            "dispatcher": compute_mean_measures([fleet.dispatcher]),
            "router": compute_mean_measures(fleet.routers),
            "agent": compute_mean_measures(fleet.agents),
        }
    return _cached_measures[key]


def compute_mean_measures(nodes):
    """Return the mean measures of some nodes."""
    measures = [node.compute_measures(SPAN_S) for node in nodes]
    names = {name for values in measures for name in values}
    return {
        name: sum(values.get(name, 0.0) for values in measures) / len(nodes)
        for name in sorted(names)
    }


def run_dispatcher(size, rng):
    """Measure a dispatcher by the requests that it grants."""
    return run_fleet(size, rng)["dispatcher"]


def run_router(size, rng):
    """Measure a router by the requests that it receives."""
    return run_fleet(size * N_ROUTERS, rng)["router"]


def run_agent(size, rng):
    """Measure an agent by the requests that it starts."""
    return run_fleet(size * N_AGENTS, rng)["agent"]


PROBES = (
    Probe(
        "dispatcher_requests",
        "dispatcher",
        "requests/s granted",
        REQUEST_RATES,
        targets.REQUESTS_PER_POOL,
        run_dispatcher,
        has_state=False,
    ),
    Probe(
        "router_requests",
        "router",
        "requests/s taken",
        tuple(rate / N_ROUTERS for rate in REQUEST_RATES),
        targets.REQUESTS_PER_ROUTER,
        run_router,
        has_state=False,
    ),
    Probe(
        "agent_requests",
        "agent",
        "requests/s started",
        tuple(rate / N_AGENTS for rate in REQUEST_RATES),
        targets.REQUESTS_PER_AGENT,
        run_agent,
        has_state=False,
    ),
)
