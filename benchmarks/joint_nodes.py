"""Processes of a simulated fleet: the decision objects without I/O."""

import random

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
from catkinfork.protocol import (
    AgentReport,
    Demand,
    Grant,
    Heartbeat,
    PoolSummary,
    ResponsePart,
    Send,
    Sender,
    StartRefused,
)
from catkinfork.routing import Refuse, Respond, RouterCore

POOL = "ledger"
PEER_SILENCE_S = 3.0
REVIEW_INTERVAL_S = 0.1
N_CANDIDATES = 3
N_PARTS = 3
CRASH_BODY = b"crash"
WALL_OFFSET_S = 1_700_000_000.0


class Node:
    """What routers and agents have in common; mirrors ``catkinfork.processes``.

    :param fleet: :class:`benchmarks.joint_run.JointRun`.
    :param address: inner address.
    :param data_centre: name of the data centre.
    """

    role = ""

    def __init__(self, fleet, address, data_centre, settings):
        self.fleet = fleet
        self.address = address
        self.data_centre = data_centre
        self.settings = settings
        self.paused_until = 0.0
        self.incarnation = 0
        self.restart(0.0)

    def restart(self, now):
        """Start anew with empty state."""
        wall_ms = int((WALL_OFFSET_S + now) * 1000)
        self.incarnation = max(self.incarnation + 1, wall_ms)
        self.version = 0
        self.chosen = None
        self.reviewed_at = -1.0
        self.rng = random.Random(self.incarnation)
        self.peers = PeerTable(self.role, self.data_centre)
        self.sender = Sender(self.address, self.incarnation)
        self.build()
        self.adopt(self.fleet.view, now)

    def build(self):
        """Create the decision objects of the role."""

    def adopt(self, view, now):
        """Use a document unless a newer one is in force."""
        if view.version <= self.version:
            return
        self.version = view.version
        for core in self.list_cores():
            self.apply(core.adopt(view, now), now)

    def receive(self, sender, message, now):
        """Take a message from the network."""
        if isinstance(message, Heartbeat):
            self.apply(self.peers.handle(sender, message, now), now)
        else:
            self.peers.hear(sender, now)
        self.apply(self.handle(sender, message, now), now)

    def tick(self, now):
        """Do what is due."""
        if now - self.reviewed_at >= REVIEW_INTERVAL_S:
            self.reviewed_at = now
            self.review_dispatchers(now)
            self.apply(self.drop_silent(now), now)
        self.apply(self.peers.tick(now), now)
        for core in self.list_cores():
            self.apply(core.tick(now), now)

    def review_dispatchers(self, now):
        """Choose the live dispatchers and the peers to probe."""
        ranked = rank_candidates(POOL, self.fleet.router_addresses)
        live = [
            address
            for address in ranked
            if address == self.address or self.peers.is_live(address, now)
        ]
        self.peers.want(set(ranked[:N_CANDIDATES]) - {self.address}, now)
        if live[:2] != self.chosen:
            self.chosen = live[:2]
            self.apply(self.set_dispatchers(self.chosen, now), now)

    def list_silent(self, role, now):
        """Return peers of a role that were heard once, but not lately."""
        return [
            address
            for address, peer in self.peers.peers.items()
            if peer.role == role
            and peer.heard_at is not None
            and now - peer.heard_at > PEER_SILENCE_S
        ]

    def apply(self, actions, now):
        """Carry out actions."""
        for action in actions:
            if isinstance(action, Send):
                self.fleet.network.send(self, action.destination, action.message, now)
            elif isinstance(action, ReplaceLink):
                self.fleet.network.heal(self.address, action.destination)
            elif isinstance(action, RunRequest):
                self.run_request(action.start, now)
            elif isinstance(action, CancelRequest):
                self.cancel_request(action.attempt, now)
            elif isinstance(action, Respond | Refuse):
                self.fleet.checker.note_answer(self, action, now)


class RouterNode(Node):
    """A router with its dispatcher."""

    role = "router"

    def build(self):
        self.core = RouterCore(self.settings, self.sender, self.rng)
        self.dispatcher = Dispatcher(POOL, self.sender, self.rng)

    def list_cores(self):
        return [self.dispatcher, self.core]

    def handle(self, sender, message, now):
        if isinstance(message, Demand | AgentReport):
            return self.dispatcher.handle(sender, message, now)
        if isinstance(message, PoolSummary) and sender.name != self.address:
            self.dispatcher.seed(message, now)
        known = Grant | PoolSummary | ResponsePart | StartRefused | Heartbeat
        if isinstance(message, known):
            return self.core.handle(sender, message, now)
        return []

    def set_dispatchers(self, addresses, now):
        return self.core.set_dispatchers(POOL, addresses, now)

    def drop_silent(self, now):
        actions = []
        for address in self.list_silent("agent", now):
            actions += self.core.drop_agent(address, now)
        return actions

    def submit(self, request, now):
        """Take a request of a caller."""
        self.apply(self.core.submit(request, now), now)


class AgentNode(Node):
    """An agent and a model of its backend server.

    :param name: name of the backend server.
    """

    role = "agent"

    def __init__(self, fleet, name, address, data_centre, settings):
        self.name = name
        super().__init__(fleet, address, data_centre, settings)

    def build(self):
        self.core = AgentCore(self.settings, self.sender, WALL_OFFSET_S)
        self.running = {}

    def adopt(self, view, now):
        super().adopt(view, now)
        self.apply(self.core.set_leaving(False, now), now)
        self.observe(BackendHealth(True, False), self.incarnation, now)

    def list_cores(self):
        return [self.core]

    def handle(self, sender, message, now):
        return self.core.handle(sender, message, now)

    def set_dispatchers(self, addresses, now):
        return self.core.set_dispatchers(addresses, now)

    def drop_silent(self, now):
        actions = []
        for address in self.list_silent("router", now):
            actions += self.core.drop_router(address, now)
        return actions

    def observe(self, event, incarnation, now):
        """Take an event of the backend server, unless the agent has restarted."""
        if incarnation == self.incarnation:
            self.apply(self.core.observe(event, now), now)

    def run_request(self, start, now):
        """Run a request on the model of the backend server."""
        self.fleet.checker.note_run(self, start, now)
        self.running[start.attempt] = start
        rng = self.fleet.rng
        # Within a factor of 3, which agents take as a sign of overload.
        moment = now + rng.uniform(0.05, 0.1)
        if start.body == CRASH_BODY:
            self.plan(moment, self.crash)
            return
        self.plan(moment, self.observe_running, BackendHead(start.attempt, 200, []))
        for number in range(N_PARTS):
            moment += rng.uniform(0.0, 0.3)
            data = make_data(start, number)
            event = BackendData(start.attempt, data, 5)
            self.plan(moment, self.observe_running, event)
        end = BackendEnd(start.attempt, 20)
        self.plan(moment + 0.01, self.observe_running, end)

    def plan(self, moment, function, *values):
        """Call a method later, unless the agent has restarted by then."""
        incarnation = self.incarnation

        def call(now):
            if incarnation == self.incarnation:
                function(*values, now)

        self.fleet.plan(moment, self, call)

    def observe_running(self, event, now):
        """Take an event of a request that still runs."""
        if event.attempt not in self.running:
            return
        if isinstance(event, BackendEnd):
            del self.running[event.attempt]
        self.observe(event, self.incarnation, now)

    def cancel_request(self, attempt, now):
        """Stop a request on the model of the backend server."""
        if self.running.pop(attempt, None) is not None:
            event = BackendFailure(attempt, "cancelled", "cancelled")
            self.plan(now, self.observe, event, self.incarnation)

    def crash(self, now):
        """Let the backend server crash and come back cold."""
        attempts = list(self.running)
        self.running = {}
        for attempt in attempts:
            event = BackendFailure(attempt, "reset", "crash")
            self.observe(event, self.incarnation, now)
        self.observe(BackendHealth(False, False), self.incarnation, now)
        health = BackendHealth(True, True)
        self.plan(now + 0.5, self.observe, health, self.incarnation)


def make_data(start, number):
    """Return one part of the only right response to a request.

    A keyed request may receive the response to an earlier submission of its key.
    """
    label = start.key or start.request_id
    return f"{start.workspace}/{label}:{number};".encode()
