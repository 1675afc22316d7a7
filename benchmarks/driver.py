"""Discrete-event simulation of a fleet, with link delays and blocked links.

Processor time and queues in the links are not modelled, and only blocked links lose
messages.
"""

import random
from heapq import heappop, heappush
from itertools import count
from time import perf_counter

from benchmarks.nodes import AgentNode, RouterNode
from benchmarks.shapes import build_view, list_routers
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
LIVENESS_CHECK_INTERVAL_S = 0.25
# Agents learn of a new document from version hints, after at most two heartbeats.
ADOPTION_DELAY_S = 1.0
DATA_MESSAGES = (Start, ResponsePart, ResponseAck)


def build_keys():
    """Return a key ring with one fleet key."""
    ring = KeyRing("")
    ring.keys = parse_keys("00000001:" + "5a" * 32, "bench")
    return ring


class Driver:
    """A simulated fleet and its virtual clock.

    :param shape: :class:`Shape`.
    :param results: :class:`Results`, which records starts and answers.
    :param seed: seed of all random choices.
    """

    def __init__(self, shape, results, seed):
        self.shape = shape
        self.results = results
        self.rng = random.Random(seed)
        self.now = 0.0
        self.event_queue = []
        self.event_numbers = count()
        self.keys = build_keys()
        self.n_violations = 0
        self.n_documents = 0
        self.blocked_links = {}
        self.last_arrivals = {}
        view = build_view(shape)
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
            node.peers.set_probe_targets(set(names) - {node.identity.name}, 0.0)
            self.update_liveness(node)
            self.schedule_after(self.rng.random() * TICK_S, self.tick, node)
        for agent in self.agents:
            self.report_health(agent)

    def schedule_at(self, due_at, function, *args):
        """Schedule a call at a time."""
        heappush(self.event_queue, (due_at, next(self.event_numbers), function, args))

    def schedule_after(self, delay_s, function, *args):
        """Schedule a call after a delay."""
        self.schedule_at(self.now + delay_s, function, *args)

    def run_until(self, end):
        """Process all events up to a time."""
        while self.event_queue and self.event_queue[0][0] <= end:
            self.now, _, function, args = heappop(self.event_queue)
            function(*args)

    def tick(self, node):
        """Tick a node and schedule the next tick."""
        node.tick()
        self.schedule_after(TICK_S, self.tick, node)

    def report_health(self, agent):
        """Report a backend server as up, at regular intervals."""
        agent.call_core(agent.agent.observe, BackendHealth(True, False))
        self.schedule_after(HEALTH_INTERVAL_S, self.report_health, agent)

    def publish(self, view, delay_s=ADOPTION_DELAY_S):
        """Publish a document: routers apply it at once, agents after a random delay."""
        for router in self.routers:
            for core in router.cores:
                router.call_core(core.adopt, view)
        for agent in self.agents:
            self.schedule_after(
                self.rng.random() * delay_s, agent.call_core, agent.agent.adopt, view
            )

    def set_out_of_service(self, data_centre):
        """Take a data centre out of service; an empty name returns all to service."""
        self.n_documents += 1
        self.publish(build_view(self.shape, 1 + self.n_documents, data_centre))

    def update_liveness(self, node):
        """Let a node update its view of live peers at regular intervals."""
        node.update_liveness()
        self.schedule_after(LIVENESS_CHECK_INTERVAL_S, self.update_liveness, node)

    def send(self, node, destination, message):
        """Encode a message and deliver it after the delay of the link."""
        receiver = self.nodes[destination]
        if receiver is node:
            self.schedule_after(0.0, receiver.handle, node.identity, message)
            return
        begin = perf_counter()
        frame = encode_frame(self.keys, node.identity, message)
        node.encoding_s += perf_counter() - begin
        if not isinstance(message, DATA_MESSAGES):
            node.n_messages += 1
            node.n_bytes += len(frame)
            receiver.n_bytes_received += len(frame)
            message_type = type(message).__name__
            node.bytes_of_type[message_type] = node.bytes_of_type.get(
                message_type, 0
            ) + len(frame)
        link = (node.identity.name, destination)
        if link in self.blocked_links:
            return
        is_local = node.data_centre == receiver.data_centre
        delay_s = LOCAL_LATENCY_S if is_local else self.shape.latency_s
        arrival = self.now + delay_s * (1 + 0.1 * self.rng.random())
        arrival = self.last_arrivals[link] = max(
            arrival, self.last_arrivals.get(link, 0.0)
        )
        self.schedule_at(arrival, receiver.handle, node.identity, message)

    def block_link(self, one, other, blocks_new_connections):
        """Drop all messages between two nodes without an error to either.

        :param blocks_new_connections: whether replaced links are blocked as well.
        """
        for link in ((one, other), (other, one)):
            self.blocked_links[link] = blocks_new_connections

    def unblock_link(self, one, other):
        """Deliver messages between two nodes again."""
        for link in ((one, other), (other, one)):
            self.blocked_links.pop(link, None)

    def replace_link(self, one, other):
        """Open a new connection, which works unless new connections are blocked."""
        if self.blocked_links.get((one, other)) is False:
            del self.blocked_links[one, other]

    def submit(self, job):
        """Submit a job to its router."""
        self.results.record_arrival(job)
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
        router.call_core(router.router.submit, request)
