"""Simulated routers and agents: the decision objects without I/O."""

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
from catkinfork.membership import PeerTable, ReplaceConnection, rank_candidates
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
PEER_TIMEOUT_S = 3.0
LIVENESS_CHECK_INTERVAL_S = 0.1
N_CANDIDATES = 3
N_RESPONSE_PARTS = 3
CRASH_BODY = b"crash"
WALL_OFFSET_S = 1_700_000_000.0


class Node:
    """Base class of simulated processes; mirrors ``catkinfork.processes``.

    :param fleet: :class:`benchmarks.joint_run.JointRun`.
    :param address: internal address.
    :param data_centre: name of the data centre.
    :param settings: settings of the process.
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
        """Restart the process with empty state and a higher incarnation."""
        wall_ms = int((WALL_OFFSET_S + now) * 1000)
        self.incarnation = max(self.incarnation + 1, wall_ms)
        self.version = 0
        self.dispatcher_addresses = None
        self.liveness_checked_at = -1.0
        self.rng = random.Random(self.incarnation)
        self.peers = PeerTable(self.role, self.data_centre)
        self.sender = Sender(self.address, self.incarnation)
        self.build_cores()
        self.apply_document(self.fleet.view, now)

    def build_cores(self):
        """Create the decision objects of the role."""

    def apply_document(self, view, now):
        """Put a document in force if it is newer than the current one."""
        if view.version <= self.version:
            return
        self.version = view.version
        for core in self.list_cores():
            self.execute_actions(core.adopt(view, now), now)

    def receive(self, sender, message, now):
        """Receive a message from the network."""
        if isinstance(message, Heartbeat):
            self.execute_actions(self.peers.handle(sender, message, now), now)
        else:
            self.peers.record_message(sender, now)
        self.execute_actions(self.handle(sender, message, now), now)

    def tick(self, now):
        """Check liveness if that is due, and tick the decision objects."""
        if now - self.liveness_checked_at >= LIVENESS_CHECK_INTERVAL_S:
            self.liveness_checked_at = now
            self.update_dispatchers(now)
            self.execute_actions(self.drop_silent_peers(now), now)
        self.execute_actions(self.peers.tick(now), now)
        for core in self.list_cores():
            self.execute_actions(core.tick(now), now)

    def update_dispatchers(self, now):
        """Choose the dispatchers among the live routers, and the peers to probe."""
        ranked = rank_candidates(POOL, self.fleet.router_addresses)
        live = [
            address
            for address in ranked
            if address == self.address or self.peers.is_live(address, now)
        ]
        self.peers.set_probe_targets(set(ranked[:N_CANDIDATES]) - {self.address}, now)
        if live[:2] != self.dispatcher_addresses:
            self.dispatcher_addresses = live[:2]
            self.execute_actions(
                self.set_dispatchers(self.dispatcher_addresses, now), now
            )

    def list_silent_peers(self, role, now):
        """Return peers of a role that were heard once, but not within the timeout."""
        return [
            address
            for address, peer in self.peers.peers.items()
            if peer.role == role
            and peer.last_heard_at is not None
            and now - peer.last_heard_at > PEER_TIMEOUT_S
        ]

    def execute_actions(self, actions, now):
        """Execute actions that a decision object has returned."""
        for action in actions:
            if isinstance(action, Send):
                self.fleet.network.send(self, action.destination, action.message, now)
            elif isinstance(action, ReplaceConnection):
                self.fleet.network.replace_link(self.address, action.destination)
            elif isinstance(action, RunRequest):
                self.run_request(action.start, now)
            elif isinstance(action, CancelRequest):
                self.cancel_request(action.attempt, now)
            elif isinstance(action, Respond | Refuse):
                self.fleet.checker.record_answer(self, action, now)


class RouterNode(Node):
    """A simulated router with the dispatcher of the pool."""

    role = "router"

    def build_cores(self):
        self.core = RouterCore(self.settings, self.sender, self.rng)
        self.dispatcher = Dispatcher(POOL, self.sender, self.rng)

    def list_cores(self):
        return [self.dispatcher, self.core]

    def handle(self, sender, message, now):
        if isinstance(message, Demand | AgentReport):
            return self.dispatcher.handle(sender, message, now)
        if isinstance(message, PoolSummary) and sender.name != self.address:
            self.dispatcher.record_summary(message, now)
        for_router = Grant | PoolSummary | ResponsePart | StartRefused | Heartbeat
        if isinstance(message, for_router):
            return self.core.handle(sender, message, now)
        return []

    def set_dispatchers(self, addresses, now):
        return self.core.set_dispatchers(POOL, addresses, now)

    def drop_silent_peers(self, now):
        actions = []
        for address in self.list_silent_peers("agent", now):
            actions += self.core.drop_agent(address, now)
        return actions

    def submit(self, request, now):
        """Submit the request of a caller."""
        self.execute_actions(self.core.submit(request, now), now)


class AgentNode(Node):
    """A simulated agent with a model of its backend server.

    :param name: name of the backend server.
    """

    role = "agent"

    def __init__(self, fleet, name, address, data_centre, settings):
        self.name = name
        super().__init__(fleet, address, data_centre, settings)

    def build_cores(self):
        self.core = AgentCore(self.settings, self.sender, WALL_OFFSET_S)
        self.running = {}

    def apply_document(self, view, now):
        super().apply_document(view, now)
        self.execute_actions(self.core.set_leaving(False, now), now)
        self.handle_backend_event(BackendHealth(True, False), self.incarnation, now)

    def list_cores(self):
        return [self.core]

    def handle(self, sender, message, now):
        return self.core.handle(sender, message, now)

    def set_dispatchers(self, addresses, now):
        return self.core.set_dispatchers(addresses, now)

    def drop_silent_peers(self, now):
        actions = []
        for address in self.list_silent_peers("router", now):
            actions += self.core.drop_router(address, now)
        return actions

    def handle_backend_event(self, event, incarnation, now):
        """Handle an event of the backend server unless the agent has restarted."""
        if incarnation == self.incarnation:
            self.execute_actions(self.core.observe(event, now), now)

    def run_request(self, start, now):
        """Execute a request on the model of the backend server."""
        self.fleet.checker.record_execution(self, start, now)
        self.running[start.attempt] = start
        rng = self.fleet.rng
        # The times differ by less than a factor of 3, which agents would treat as a
        # sign of overload.
        due_at = now + rng.uniform(0.05, 0.1)
        if start.body == CRASH_BODY:
            self.schedule(due_at, self.crash)
            return
        self.schedule(
            due_at, self.handle_running_event, BackendHead(start.attempt, 200, [])
        )
        for number in range(N_RESPONSE_PARTS):
            due_at += rng.uniform(0.0, 0.3)
            data = build_response_data(start, number)
            event = BackendData(start.attempt, data, 5)
            self.schedule(due_at, self.handle_running_event, event)
        end = BackendEnd(start.attempt, 20)
        self.schedule(due_at + 0.01, self.handle_running_event, end)

    def schedule(self, due_at, function, *values):
        """Schedule a call that is skipped if the agent restarts before it is due."""
        incarnation = self.incarnation

        def call(now):
            if incarnation == self.incarnation:
                function(*values, now)

        self.fleet.schedule(due_at, self, call)

    def handle_running_event(self, event, now):
        """Handle an event of a request unless it has ended."""
        if event.attempt not in self.running:
            return
        if isinstance(event, BackendEnd):
            del self.running[event.attempt]
        self.handle_backend_event(event, self.incarnation, now)

    def cancel_request(self, attempt, now):
        """Cancel a request on the model of the backend server."""
        if self.running.pop(attempt, None) is not None:
            event = BackendFailure(attempt, "cancelled", "cancelled")
            self.schedule(now, self.handle_backend_event, event, self.incarnation)

    def crash(self, now):
        """Crash the backend server and bring it back cold."""
        attempts = list(self.running)
        self.running = {}
        for attempt in attempts:
            event = BackendFailure(attempt, "reset", "crash")
            self.handle_backend_event(event, self.incarnation, now)
        self.handle_backend_event(BackendHealth(False, False), self.incarnation, now)
        health = BackendHealth(True, True)
        self.schedule(now + 0.5, self.handle_backend_event, health, self.incarnation)


def build_response_data(start, number):
    """Return one part of the expected response to a request.

    The response depends on the key if there is one, since a request may receive the
    response to an earlier submission of its key.
    """
    label = start.key or start.request_id
    return f"{start.workspace}/{label}:{number};".encode()
