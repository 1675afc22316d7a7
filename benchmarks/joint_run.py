"""Randomised run of a whole simulated fleet under faults, in virtual time.

``python -m benchmarks.joint_run SEED SECONDS`` runs one seed and prints the counts.
"""

import random
import sys
from collections import Counter
from heapq import heappop, heappush
from uuid import UUID

from benchmarks.joint_nodes import (
    CRASH_BODY,
    N_PARTS,
    WALL_OFFSET_S,
    AgentNode,
    RouterNode,
    make_data,
)
from catkinfork.document import (
    IN_SERVICE,
    OUT,
    SERVICE,
    BackendServer,
    DataCentre,
    Document,
    DocumentView,
    Pool,
    Workspace,
)
from catkinfork.routing import NOT_RUN, Respond, RouterRequest
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

TICK_S = 0.01
N_ROUTERS = 3
DATA_CENTRES = ("dsm-kariakoo", "dsm-mbezi", "tanga-port")
N_SERVERS = 4
LONGEST_DEADLINE_S = 8.0
# Callers send a key again for no longer than this; the quiet time must exceed it and
# the deadline together.
RESEND_S = 6.0
QUIET_TIME_S = 20.0
MAX_ADOPTION_S = 1.0
OUT_LIMIT_S = 3.0
MAX_ATTEMPTS = 3
HEALING_S = 30.0
# At each tick, about 15 requests a second.
SUBMIT_PROBABILITY = 0.15
PLATFORM = PlatformSettings("http://127.0.0.1:1", "joint", "http://127.0.0.1:2")


class JointFault(AssertionError):
    """A property of the fleet that does not hold.

    :param seed: seed of the run.
    :param detail: what was seen.
    """

    def __init__(self, seed, detail):
        super().__init__(f"seed {seed}: {detail}")


class Network:
    """Links that lose, duplicate, delay and reorder messages or fall silent."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.loss = 0.0
        self.cut = set()
        self.silent = set()

    def send(self, node, destination, message, now):
        """Deliver a message later, once, twice or not at all."""
        rng = self.fleet.rng
        if destination not in self.fleet.nodes:
            return
        if destination == node.address:
            self.plan(node.sender, destination, message, now + 0.0001)
            return
        link = (node.address, destination)
        if link in self.cut or link in self.silent or rng.random() < self.loss:
            return
        n_copies = 2 if rng.random() < self.loss / 2 else 1
        for _ in range(n_copies):
            delay_s = rng.uniform(0.0005, 0.002)
            if rng.random() < self.loss / 2:
                delay_s = rng.uniform(0.01, 3.0)
            self.plan(node.sender, destination, message, now + delay_s)

    def plan(self, sender, destination, message, moment):
        """Plan one delivery."""
        node = self.fleet.nodes[destination]
        view = self.fleet.view
        known = sender._replace(version=view.version, digest=view.digest)
        self.fleet.plan(moment, node, lambda at: node.receive(known, message, at))

    def heal(self, source, destination):
        """Replace a silent link."""
        self.silent.discard((source, destination))


class Checker:
    """Ground truth of executions and answers, and the properties to hold."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.requests = {}
        self.submitted_at = {}
        self.finals = {}
        self.data = {}
        self.lost = set()
        self.runs = Counter()
        self.out_since = {}
        self.counts = Counter()

    def fail(self, detail):
        """Raise the fault with the seed of the run."""
        raise JointFault(self.fleet.seed, detail)

    def note_run(self, node, start, now):
        """Note that a backend server begins to execute a request."""
        name = start.key or start.request_id
        self.runs[start.workspace, name] += 1
        self.counts["runs"] += 1
        most = MAX_ATTEMPTS if start.is_idempotent else 1
        n_runs = self.runs[start.workspace, name]
        if n_runs > most:
            self.fail(f"{start.request_id} {start.key} ran {n_runs} times")
        out_since = self.out_since.get(node.data_centre)
        if out_since is not None and now - out_since >= OUT_LIMIT_S:
            late_s = now - out_since
            self.fail(f"start in {node.data_centre} {late_s:.2f} s after out")

    def note_answer(self, node, action, now):
        """Note what a caller receives."""
        request_id = action.request_id
        if request_id in self.finals:
            self.fail(f"{request_id} has a second final answer")
        if isinstance(action, Respond):
            self.data[request_id] = self.data.get(request_id, b"") + action.data
            if action.is_last:
                self.check_complete(request_id)
                self.finals[request_id] = "complete"
                self.counts["complete"] += 1
            return
        self.finals[request_id] = action.refusal.outcome
        self.counts[action.refusal.outcome] += 1
        self.counts["refused " + action.refusal.code] += 1

    def check_complete(self, request_id):
        """Check that a response is whole and belongs to its request."""
        request = self.requests[request_id]
        expected = b"".join(make_data(request, number) for number in range(N_PARTS))
        if self.data[request_id] != expected:
            self.fail(f"{request_id} received {self.data[request_id]!r}")

    def lose_router(self, address):
        """Callers of a router that restarts lose their connections."""
        for request_id, router in self.fleet.placed.items():
            if router == address and request_id not in self.finals:
                self.lost.add(request_id)

    def check_end(self):
        """Check what holds once all deadlines have passed."""
        missing = set(self.requests) - set(self.finals) - self.lost
        if missing:
            self.fail(f"no final answer: {sorted(missing)[:5]}")
        for request_id, outcome in self.finals.items():
            request = self.requests[request_id]
            name = request.key or request_id
            if outcome == NOT_RUN and self.runs[request.workspace, name]:
                self.fail(f"{request_id} was refused as not_run, but it ran")


class JointRun:
    """A fleet in virtual time, its traffic and its faults, all from one seed.

    :param seed: seed of the random generator.
    """

    def __init__(self, seed):
        self.seed = seed
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.n_events = 0
        self.nodes = {}
        self.placed = {}
        self.keys = []
        self.states = dict.fromkeys(DATA_CENTRES, IN_SERVICE)
        self.version = 1
        self.view = make_view(self.version, self.states)
        self.network = Network(self)
        self.checker = Checker(self)
        self.router_addresses = [f"10.0.0.{n}:7000" for n in range(N_ROUTERS)]
        for number, address in enumerate(self.router_addresses):
            centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            settings = make_router_settings(address, centre)
            self.nodes[address] = RouterNode(self, address, centre, settings)
        for server in self.view.document.backend_servers:
            settings = make_agent_settings(server)
            self.nodes[server.agent] = AgentNode(
                self, server.name, server.agent, server.data_centre, settings
            )

    def plan(self, moment, node, call):
        """Call a function with the time, or when its node resumes."""
        self.n_events += 1
        heappush(self.events, (moment, self.n_events, node, call))

    def run(self, duration_s):
        """Run traffic and faults, then heal and let all deadlines pass.

        :returns: counts of what happened.
        :raises JointFault: if a property does not hold.
        """
        next_fault_at = 1.0
        while self.now < duration_s:
            if self.rng.random() < SUBMIT_PROBABILITY:
                self.submit()
            if self.now >= next_fault_at:
                next_fault_at = self.now + self.rng.uniform(0.2, 1.5)
                self.cause_fault()
            self.step()
        self.network.loss = 0.0
        self.network.cut.clear()
        for node in self.nodes.values():
            node.paused_until = min(node.paused_until, self.now)
        end = self.now + HEALING_S
        while self.now < end:
            self.step()
        self.checker.check_end()
        return self.checker.counts

    def step(self):
        """Move the time on by one tick and do what is due."""
        self.now += TICK_S
        while self.events and self.events[0][0] <= self.now:
            moment, number, node, call = heappop(self.events)
            if node.paused_until > moment:
                # The old number keeps the order of messages that wait for a process.
                heappush(self.events, (node.paused_until, number, node, call))
            else:
                call(moment)
        for node in self.nodes.values():
            if node.paused_until <= self.now:
                node.tick(self.now)

    def submit(self):
        """Send one random request to a random router."""
        rng = self.rng
        router = self.nodes[rng.choice(self.router_addresses)]
        if router.paused_until > self.now:
            return
        request_id = f"r{len(self.placed)}"
        workspace = rng.choice(("dealers", "brokers"))
        key = ""
        body = request_id.encode()
        if rng.random() < 0.4:
            workspace, key = self.choose_key(workspace)
            body = key.encode()
        elif rng.random() < 0.003:
            body = CRASH_BODY
        deadline = self.now + rng.choice((1.0, 4.0, LONGEST_DEADLINE_S))
        is_idempotent = rng.random() < 0.5 and not key
        request = RouterRequest(
            request_id,
            workspace,
            "entry",
            "POST",
            "/",
            [],
            body,
            key,
            is_idempotent,
            deadline,
        )
        self.placed[request_id] = router.address
        self.checker.requests[request_id] = request
        router.submit(request, self.now)

    def choose_key(self, workspace):
        """Return a new key, or one that was sent lately."""
        rng = self.rng
        self.keys = [item for item in self.keys if self.now - item[0] < RESEND_S]
        if self.keys and rng.random() < 0.4:
            return rng.choice(self.keys)[1:]
        key = f"opaque-{len(self.placed)}"
        if rng.random() < 0.8:
            key = make_key(WALL_OFFSET_S + self.now, rng)
        self.keys.append((self.now, workspace, key))
        return workspace, key

    def cause_fault(self):
        """Cause one random fault, or end some."""
        fault = self.rng.choice(
            (
                self.change_loss,
                self.cut_network,
                self.heal_network,
                self.silence_link,
                self.restart_node,
                self.pause_node,
                self.crash_server,
                self.change_service,
            )
        )
        self.checker.counts["fault " + fault.__name__] += 1
        fault()

    def change_loss(self):
        self.network.loss = self.rng.choice((0.0, 0.02, 0.1))

    def cut_network(self):
        side = {name for name in self.nodes if self.rng.random() < 0.5}
        self.network.cut = {
            (a, b) for a in self.nodes for b in self.nodes if (a in side) != (b in side)
        }

    def heal_network(self):
        self.network.cut = set()

    def silence_link(self):
        source, destination = self.rng.sample(sorted(self.nodes), 2)
        self.network.silent.add((source, destination))

    def restart_node(self):
        node = self.nodes[self.rng.choice(sorted(self.nodes))]
        node.paused_until = 0.0
        if node.role == "router":
            self.checker.lose_router(node.address)
        node.restart(self.now)

    def pause_node(self):
        node = self.nodes[self.rng.choice(sorted(self.nodes))]
        node.paused_until = self.now + self.rng.uniform(0.3, 6.0)

    def crash_server(self):
        agents = [node for node in self.nodes.values() if node.role == "agent"]
        node = self.rng.choice(agents)
        node.plan(self.now, node.crash)

    def change_service(self):
        """Publish a document in which one data centre changes its state."""
        centre = self.rng.choice(DATA_CENTRES)
        is_out = self.states[centre] == OUT
        self.states[centre] = IN_SERVICE if is_out else OUT
        if is_out:
            self.checker.out_since.pop(centre, None)
        else:
            self.checker.out_since[centre] = self.now
        self.version += 1
        view = self.view = make_view(self.version, self.states)
        for node in self.nodes.values():
            moment = self.now + self.rng.uniform(0.0, MAX_ADOPTION_S)
            self.plan(moment, node, lambda at, node=node: node.adopt(view, at))


def make_view(version, states):
    """Return a document with one pool over the data centres."""
    servers = [
        BackendServer(
            f"ledger-{number}",
            DATA_CENTRES[number % len(DATA_CENTRES)],
            "ledger",
            f"10.0.1.{number}:7100",
            ["entry"],
            4,
        )
        for number in range(N_SERVERS)
    ]
    document = Document(
        "joint",
        version,
        "tz-coast",
        [Workspace("dealers", 3, []), Workspace("brokers", 1, [])],
        [DataCentre(name, state) for name, state in states.items()],
        [Pool("ledger", SERVICE, 1000)],
        servers,
    )
    return DocumentView(document, b"%d" % version)


def make_router_settings(address, data_centre):
    """Return the settings of a router."""
    return RouterSettings(
        FleetSettings(address, data_centre, "keys"),
        PLATFORM,
        AdminSettings("127.0.0.1:0"),
        GatewaySettings("127.0.0.1:0"),
        RoutingSettings(max_attempts=MAX_ATTEMPTS),
        LogSettings(),
    )


def make_agent_settings(server):
    """Return the settings of the agent beside a backend server."""
    return AgentSettings(
        FleetSettings(server.agent, server.data_centre, "keys"),
        PLATFORM,
        AdminSettings("127.0.0.1:0"),
        BackendSettings(server.name, "http://127.0.0.1:3"),
        ExecutionSettings(quiet_time_s=QUIET_TIME_S),
        LogSettings(),
    )


def make_key(wall_s, rng):
    """Return a UUID version 7 with a creation time in seconds since the epoch."""
    value = int(wall_s * 1000) << 80 | 7 << 76 | rng.getrandbits(12) << 64
    value |= 2 << 62 | rng.getrandbits(62)
    return str(UUID(int=value))


def main():
    """Run one seed and print the counts."""
    seed, duration_s = int(sys.argv[1]), float(sys.argv[2])
    counts = JointRun(seed).run(duration_s)
    for name, count in sorted(counts.items()):
        print(f"{name}: {count}")


if __name__ == "__main__":
    main()
