"""Timed events, and links with delays and cuts between the nodes.

It models nothing else: no processor time, no queues in the links and no loss but that
of links that are cut.
"""

import random
from heapq import heappop, heappush
from itertools import count
from time import perf_counter

from benchmarks.nodes import AgentNode, RouterNode
from benchmarks.shapes import list_routers, make_view
from benchmarks.workload import DEADLINE_S
from catkinfork.execution import (
    BackendHealth,
)
from catkinfork.protocol import (
    KeyRing,
    ResponseAck,
    ResponsePart,
    Start,
    encode_frame,
    parse_keys,
)
from catkinfork.routing import RouterRequest

TICK_S = 0.005
LOCAL_LATENCY_S = 0.0001
HEALTH_INTERVAL_S = 1.0
REVIEW_INTERVAL_S = 0.25
# Agents learn a new document by version hints, after at most two heartbeats.
ADOPTION_DELAY_S = 1.0
DATA_MESSAGES = (Start, ResponsePart, ResponseAck)


def make_keys():
    """Return the fleet keys of the run."""
    ring = KeyRing("")
    ring.keys = parse_keys("00000001:" + "5a" * 32, "bench")
    return ring


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
