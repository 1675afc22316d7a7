"""Forwarders whose backend servers crash on one prompt part, with lossy frames."""

import random
from math import inf
from typing import NamedTuple

from catkinfork.balancing import (
    BROKEN,
    CONNECTION_REFUSED,
    SERVED,
    Placement,
)
from catkinfork.balancing.tests.support import build_job
from catkinfork.peering import decode_frame
from catkinfork.peering.tests.nodes import Node, build_nodes
from catkinfork.topology import READY, BackendEntry

CRASHING = 0xC
STEP_S = 0.01
PREFILL_S = 0.05
EVENT_S = 0.1
CONTACT_S = 3.0


class Load(NamedTuple):
    """Requests of one kind.

    :param parts: shared parts; a part that is a tuple is drawn from it.
    :param rate: requests per second, at all forwarders together.
    """

    parts: tuple
    rate: float


class Attempt:
    """An attempt that is at a backend server, or on its way to it."""

    def __init__(self, node, placement, now):
        self.node = node
        self.placement = placement
        self.names = placement.job.shared_parts
        self.next_at = now + PREFILL_S
        self.n_events = 0


class CrashingFleet:
    """Forwarders, backend servers and requests with a simulated clock.

    :param down_s: time after a crash until a backend server is back, seconds.

    ``sent`` has the times at which requests with the crashing part reached servers, and
    ``is_harmless`` is whether that part does not crash them yet.
    """

    def __init__(self, n_nodes, n_backends, seed, loss=0.05, down_s=3.0, n_events=25):
        self.rng = random.Random(seed)
        self.nodes = build_nodes(n_nodes)
        self.names = [f"b{number}" for number in range(n_backends)]
        self.loss = loss
        self.down_s = down_s
        self.n_events = n_events
        self.now = 0.0
        self.started_ms = {}
        self.back_at = dict.fromkeys(self.names, -inf)
        self.running = []
        self.crashed_at = []
        self.sent = []
        self.sound = []
        self.begun = set()
        self.is_harmless = False
        self.n_requests = 0
        for number, node in enumerate(self.nodes.values()):
            self.prepare(node, f"{seed}/{number}")
        self.run(2.0, ())

    def prepare(self, node, seed):
        """Give a forwarder its own random numbers and the entries of the servers."""
        node.balancer.rng.seed(seed)
        for name in self.names:
            self.publish(node, name)
            node.balancer.pools["s"].find(name)

    def add_node(self):
        """Start one more forwarder, which knows nothing yet."""
        address = f"10.0.0.{len(self.nodes) + 1}"
        seeds = list(self.nodes)[:1]
        node = self.nodes[address] = Node(address, seeds, incarnation=2)
        self.prepare(node, address)
        return node

    def publish(self, node, name):
        """Let a forwarder read the entry of a backend server."""
        started_ms = self.started_ms.get(name, 1)
        entry = BackendEntry(
            name, "s", "127.0.0.1:1", "gasabo", 64, READY, 0.0, 1, started_ms, "v1"
        )
        node.balancer.registry.apply_entry(entry, self.now, "test")

    def run(self, duration_s, loads):
        """Advance the clock with some loads."""
        ends_at = self.now + duration_s
        while self.now < ends_at:
            for load in loads:
                if self.rng.random() < load.rate * STEP_S:
                    self.submit(load.parts)
            self.now += STEP_S
            self.exchange_frames()
            for name, back_at in self.back_at.items():
                if 0.0 < back_at <= self.now:
                    self.back_at[name] = -inf
                    self.started_ms[name] = int(1000 * self.now)
                    for node in self.nodes.values():
                        self.publish(node, name)
            self.advance_attempts()
            for node in self.nodes.values():
                for job, decision in node.balancer.dispatch_queued(self.now):
                    self.handle(node, job, decision)

    def exchange_frames(self):
        """Deliver frames; some are lost."""
        for node in list(self.nodes.values()):
            datagrams = node.exchange.tick(self.now)
            if not datagrams:
                continue
            frame = decode_frame(datagrams[0][1])
            for address, _ in datagrams:
                if address in self.nodes and self.rng.random() >= self.loss:
                    self.nodes[address].exchange.handle_frame(frame, self.now)

    def submit(self, parts):
        """Submit a request at any forwarder."""
        self.n_requests += 1
        names = [
            self.rng.choice(part) if isinstance(part, tuple) else part for part in parts
        ]
        names.append(0x100000 + self.n_requests)
        job = build_job(self.now, parts=[(name, 100) for name in names])
        job.n_prompt_tokens = 100 * len(names)
        job.fingerprint = self.n_requests
        if CRASHING not in names:
            self.sound.append(job)
        node = self.rng.choice(list(self.nodes.values()))
        self.handle(node, job, node.balancer.submit(job, self.now))

    def handle(self, node, job, decision):
        """Send a request that was placed."""
        if not isinstance(decision, Placement):
            return
        if self.back_at[decision.backend.name] > 0.0:
            self.end(node, decision, CONNECTION_REFUSED)
            return
        if CRASHING in job.shared_parts:
            self.sent.append(self.now)
        # On a connection that may have served others since the server started.
        idle_s = self.rng.uniform(0.0, 2.0)
        started_at = self.started_ms.get(decision.backend.name, 0) / 1000
        decision.connected_at = max(started_at, self.now - idle_s)
        self.running.append(Attempt(node, decision, self.now))

    def end(self, node, placement, outcome):
        """End an attempt without an answer; it may be repeated."""
        balancer = node.balancer
        balancer.handle_attempt_end(placement, outcome, self.now)
        if balancer.allows_retry(placement, outcome, self.now):
            job = placement.job
            self.handle(node, job, balancer.resubmit(job, self.now))

    def advance_attempts(self):
        """Let attempts generate events, and servers crash."""
        for attempt in list(self.running):
            if attempt.next_at > self.now or attempt not in self.running:
                continue
            if CRASHING in attempt.names and not self.is_harmless:
                self.crash(attempt.placement.backend.name)
                continue
            attempt.next_at = self.now + EVENT_S
            attempt.n_events += 1
            self.begun.add(attempt.placement.job.fingerprint)
            attempt.node.balancer.record_event(attempt.placement, self.now)
            if attempt.n_events == self.n_events:
                self.running.remove(attempt)
                attempt.node.balancer.handle_attempt_end(
                    attempt.placement, SERVED, self.now
                )

    def list_up(self):
        """Return the backend servers that run."""
        return [name for name, back_at in self.back_at.items() if back_at < 0.0]

    def crash(self, name):
        """End a backend server with all that runs there."""
        self.crashed_at.append(self.now)
        self.back_at[name] = self.now + self.down_s
        lost = [one for one in self.running if one.placement.backend.name == name]
        self.running = [one for one in self.running if one not in lost]
        for attempt in lost:
            self.end(attempt.node, attempt.placement, BROKEN)

    def compute_counted_at(self):
        """Return the time of the fifth crash, or of the last if there are fewer."""
        return self.crashed_at[min(4, len(self.crashed_at) - 1)]

    def count_sent_later(self):
        """Return the crashing requests sent after it was to be known."""
        return sum(at > self.compute_counted_at() + CONTACT_S for at in self.sent)

    def compute_share_begun(self, part, since, until=inf):
        """Return the share of the sound requests with a part that began."""
        jobs = [
            job
            for job in self.sound
            if part in job.shared_parts and since < job.arrived_at <= until
        ]
        assert len(jobs) >= 10
        return sum(job.fingerprint in self.begun for job in jobs) / len(jobs)
