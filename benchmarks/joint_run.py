"""Randomised simulation of a whole fleet under faults, in virtual time.

``python -m benchmarks.joint_run SEED SECONDS`` runs one seed and prints the counts.
"""

import random
import sys
from heapq import heappop, heappush

from benchmarks.joint_checks import Checker
from benchmarks.joint_nodes import CRASH_BODY, WALL_OFFSET_S, AgentNode, RouterNode
from benchmarks.joint_setup import (
    DATA_CENTRES,
    LONGEST_DEADLINE_S,
    RETRY_WINDOW_S,
    build_key,
    make_agent_settings,
    make_router_settings,
    make_view,
)
from catkinfork.document import IN_SERVICE, OUT
from catkinfork.routing import RouterRequest

TICK_S = 0.01
N_ROUTERS = 4
# The other routers stay idle for longer than summaries are valid.
N_BUSY_ROUTERS = 2
BUSY_PERIOD_S = 6.0
MAX_ADOPTION_S = 1.0
RECOVERY_S = 30.0
# Probability per tick, which gives about 15 requests a second.
SUBMIT_PROBABILITY = 0.15


class Network:
    """Links that lose, duplicate, delay and reorder messages or drop all of them."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.loss = 0.0
        self.cut_links = set()
        self.silent_links = set()

    def send(self, node, destination, message, now):
        """Schedule the delivery of a message once, twice or not at all."""
        rng = self.fleet.rng
        if destination not in self.fleet.nodes:
            return
        if destination == node.address:
            self.schedule(node.sender, destination, message, now + 0.0001)
            return
        link = (node.address, destination)
        if (
            link in self.cut_links
            or link in self.silent_links
            or rng.random() < self.loss
        ):
            return
        n_copies = 2 if rng.random() < self.loss / 2 else 1
        for _ in range(n_copies):
            delay_s = rng.uniform(0.0005, 0.002)
            if rng.random() < self.loss / 2:
                delay_s = rng.uniform(0.01, 3.0)
            self.schedule(node.sender, destination, message, now + delay_s)

    def schedule(self, sender, destination, message, due_at):
        """Schedule one delivery."""
        node = self.fleet.nodes[destination]
        view = self.fleet.view
        updated_sender = sender._replace(version=view.version, digest=view.digest)
        self.fleet.schedule(
            due_at, node, lambda at: node.receive(updated_sender, message, at)
        )

    def replace_link(self, source, destination):
        """Open a new link in place of a silent one."""
        self.silent_links.discard((source, destination))


class JointRun:
    """A fleet in virtual time with random traffic and faults, all from one seed.

    :param seed: seed of the random generator.
    :param has_faults: whether to inject faults.
    """

    def __init__(self, seed, has_faults=True):
        self.seed = seed
        self.has_faults = has_faults
        self.rng = random.Random(seed)
        self.now = 0.0
        self.events = []
        self.n_events = 0
        self.nodes = {}
        self.router_of_request = {}
        self.recent_keys = []
        self.busy_routers = []
        self.busy_until = 0.0
        self.states = dict.fromkeys(DATA_CENTRES, IN_SERVICE)
        self.version = 1
        self.view = make_view(self.version, self.states)
        self.network = Network(self)
        self.checker = Checker(self)
        self.router_addresses = [f"10.0.0.{n}:7000" for n in range(N_ROUTERS)]
        for number, address in enumerate(self.router_addresses):
            data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
            settings = make_router_settings(address, data_centre)
            self.nodes[address] = RouterNode(self, address, data_centre, settings)
        for server in self.view.document.backend_servers:
            settings = make_agent_settings(server)
            self.nodes[server.agent] = AgentNode(
                self, server.name, server.agent, server.data_centre, settings
            )

    def schedule(self, due_at, node, call):
        """Schedule a call, which takes the time and waits while the node is paused."""
        self.n_events += 1
        heappush(self.events, (due_at, self.n_events, node, call))

    def run(self, duration_s):
        """Run traffic and faults, then end the faults and let all deadlines pass.

        :returns: counts of executions, outcomes and faults.
        :raises InvariantViolationError: if an invariant is violated.
        """
        next_fault_at = 1.0
        while self.now < duration_s:
            if self.rng.random() < SUBMIT_PROBABILITY:
                self.submit()
            if self.has_faults and self.now >= next_fault_at:
                next_fault_at = self.now + self.rng.uniform(0.2, 1.0)
                self.inject_fault()
            self.step()
        self.network.loss = 0.0
        self.network.cut_links.clear()
        end = self.now + RECOVERY_S
        while self.now < end:
            self.step()
        self.checker.check_end()
        return self.checker.counts

    def step(self):
        """Advance the time by one tick and process what is due."""
        self.now += TICK_S
        while self.events and self.events[0][0] <= self.now:
            due_at, number, node, call = heappop(self.events)
            if node.paused_until > due_at:
                # The number preserves the order of the events of a paused process.
                heappush(self.events, (node.paused_until, number, node, call))
            else:
                call(due_at)
        for node in self.nodes.values():
            if node.paused_until <= self.now:
                node.tick(self.now)

    def submit(self):
        """Send one random request to a random router."""
        rng = self.rng
        if self.now >= self.busy_until:
            self.busy_until = self.now + BUSY_PERIOD_S
            self.busy_routers = rng.sample(self.router_addresses, N_BUSY_ROUTERS)
        router = self.nodes[rng.choice(self.busy_routers)]
        if router.paused_until > self.now:
            return
        request_id = f"r{len(self.router_of_request)}"
        workspace = rng.choice(("dealers", "brokers"))
        key = ""
        body = request_id.encode()
        if rng.random() < 0.5:
            workspace, key = self.choose_key(workspace)
            body = key.encode()
        elif self.has_faults and rng.random() < 0.003:
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
        self.router_of_request[request_id] = router.address
        self.checker.requests[request_id] = request
        router.submit(request, self.now)

    def choose_key(self, workspace):
        """Return workspace and key, either new or sent recently."""
        rng = self.rng
        self.recent_keys = [
            item for item in self.recent_keys if self.now - item[0] < RETRY_WINDOW_S
        ]
        if self.recent_keys and rng.random() < 0.6:
            return rng.choice(self.recent_keys)[1:]
        key = f"opaque-{len(self.router_of_request)}"
        if rng.random() < 0.8:
            key = build_key(WALL_OFFSET_S + self.now, rng)
        self.recent_keys.append((self.now, workspace, key))
        return workspace, key

    def inject_fault(self):
        """Inject one random fault, or end earlier ones."""
        fault = self.rng.choice(
            (
                self.change_loss,
                self.cut_network,
                self.heal_network,
                self.silence_link,
                self.restart_agent,
                self.restart_agent,
                self.restart_router,
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
        """Partition the network around a data centre or a random set of processes."""
        data_centre = self.rng.choice((*DATA_CENTRES, ""))
        side = {name for name, n in self.nodes.items() if n.data_centre == data_centre}
        if not data_centre:
            side = {name for name in self.nodes if self.rng.random() < 0.5}
        self.network.cut_links = {
            (a, b) for a in self.nodes for b in self.nodes if (a in side) != (b in side)
        }

    def heal_network(self):
        self.network.cut_links = set()

    def silence_link(self):
        source, destination = self.rng.sample(sorted(self.nodes), 2)
        self.network.silent_links.add((source, destination))

    def restart_agent(self):
        node = self.rng.choice(self.list_agents())
        node.paused_until = 0.0
        node.restart(self.now)

    def restart_router(self):
        address = self.rng.choice(self.router_addresses)
        self.checker.record_router_restart(address)
        self.nodes[address].paused_until = 0.0
        self.nodes[address].restart(self.now)

    def list_agents(self):
        """Return the agents in a fixed order."""
        return [node for node in self.nodes.values() if node.role == "agent"]

    def pause_node(self):
        node = self.nodes[self.rng.choice(sorted(self.nodes))]
        # A pause is never shortened, so that waiting events keep their order.
        end = self.now + self.rng.uniform(0.3, 6.0)
        node.paused_until = max(node.paused_until, end)

    def crash_server(self):
        node = self.rng.choice(self.list_agents())
        node.schedule(self.now, node.crash)

    def change_service(self):
        """Publish a document that takes a data centre out of service or returns it."""
        data_centre = self.rng.choice(DATA_CENTRES)
        is_out = self.states[data_centre] == OUT
        self.states[data_centre] = IN_SERVICE if is_out else OUT
        if is_out:
            self.checker.out_since.pop(data_centre, None)
        else:
            self.checker.out_since[data_centre] = self.now
        self.version += 1
        view = self.view = make_view(self.version, self.states)
        for node in self.nodes.values():
            due_at = self.now + self.rng.uniform(0.0, MAX_ADOPTION_S)
            self.schedule(
                due_at, node, lambda at, node=node: node.apply_document(view, at)
            )


def main():
    """Run one seed and print the counts."""
    seed, duration_s = int(sys.argv[1]), float(sys.argv[2])
    counts = JointRun(seed).run(duration_s)
    for name, count in sorted(counts.items()):
        print(f"{name}: {count}")


if __name__ == "__main__":
    main()
