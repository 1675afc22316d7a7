"""Forwarders without network I/O that ask their peers for snapshots as they start."""

import random

from catkinfork.peering import JoinPlan, SnapshotExchange, decode_snapshot
from catkinfork.peering.tests.nodes import Node, deliver

SNAPSHOT_LATENCY_S = 0.02


class JoiningNode(Node):
    """A forwarder that asks its peers as it starts.

    :param now: monotonic time of its start, seconds. Its incarnation is the same time
        in milliseconds.
    """

    def __init__(self, address, seeds, now, seed=1):
        super().__init__(address, seeds, incarnation=1 + int(1000 * now))
        self.snapshots = SnapshotExchange(
            self.balancer, self.exchange.crash_notices, now
        )
        rng = random.Random(f"{address} {now} {seed}")
        self.plan = JoinPlan(self.directory, self.exchange.incarnation, rng)
        self.plan.start(now)
        self.open = []
        self.joined_at = None

    def join(self, nodes, now, is_silent=lambda address: False):
        """Ask the next peer, and take the answers that have arrived.

        :param is_silent: callable that returns whether a peer sends frames and does not
            answer.
        """
        for question in list(self.open):
            address, arrives_at = question
            if now >= arrives_at:
                self.open.remove(question)
                self.take_answer(nodes.get(address), now)
        if self.joined_at is None and self.plan.is_done(now):
            self.snapshots.is_joined = True
            self.joined_at = now
        address = self.find_next(now)
        if address is not None and not is_silent(address):
            self.open.append((address, now + SNAPSHOT_LATENCY_S))

    def find_next(self, now):
        """Return the address of the peer to ask now, or None."""
        if self.joined_at is not None:
            return self.plan.find_late(now)
        return self.plan.find_next(now)

    def take_answer(self, peer, now):
        """Take the answer of a peer, or note that it has ended."""
        if peer is None:
            self.plan.record_failure()
            return
        snapshot = decode_snapshot(peer.snapshots.build(now))
        self.snapshots.apply(snapshot, now, is_late=self.joined_at is not None)
        self.plan.record_answer(
            peer.address, snapshot.is_joined, snapshot.known_ms / 1000, now
        )


class JoiningFleet:
    """Forwarders that start, exchange frames and stop.

    :param n_nodes: number of forwarders. The first three are the seeds.

    ``cut_off`` has the addresses of those that neither hear others nor are heard.
    """

    def __init__(self, n_nodes, seed=1):
        self.addresses = [f"10.0.0.{number}" for number in range(1, n_nodes + 1)]
        self.seed = seed
        self.now = 0.0
        self.nodes = {}
        self.is_silent = lambda address: False
        self.cut_off = set()
        for address in self.addresses:
            self.start(address)

    def start(self, address):
        """Start a forwarder with empty state."""
        node = JoiningNode(address, self.addresses[:3], self.now, self.seed)
        self.nodes[address] = node
        return node

    def stop(self, address):
        """Stop a forwarder."""
        del self.nodes[address]

    def run(self, duration_s, step_s=0.01):
        """Exchange frames and snapshots for a time, seconds."""
        ends_at = self.now + duration_s
        while self.now < ends_at:
            linked = {
                address: node
                for address, node in self.nodes.items()
                if address not in self.cut_off
            }
            deliver(linked, self.now)
            for node in list(self.nodes.values()):
                node.join(self.nodes, self.now, self.is_silent)
            self.now += step_s

    def restart(self, addresses, down_s=0.3):
        """Stop forwarders, start them again and wait until they have joined."""
        for address in addresses:
            self.stop(address)
        self.run(down_s)
        started = [self.start(address) for address in addresses]
        self.run(1.5)
        assert all(node.joined_at is not None for node in started)
