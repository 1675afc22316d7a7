"""A fleet without a network whose forwarders see loads of engines late."""

import heapq
import random
from itertools import count

from benchmarks.even_engines import (
    N_MEMORY_TOKENS,
    N_SLOTS,
    SAMPLE_INTERVAL_S,
    STEP_S,
    EvennessRecord,
    SimulatedEngine,
)
from benchmarks.even_load import Workload
from catkinfork.balancing import SERVED, Placement, Refusal
from catkinfork.balancing.tests.support import add_backend, build_balancer
from catkinfork.peering import PeerDirectory, PeerExchange, decode_frame
from catkinfork.topology import Engine

DATA_CENTRES = ("gasabo", "kicukiro", "nyarugenge")
# One-way latency within a data centre and between two, seconds.
LOCAL_LATENCY_S = 0.0002
REMOTE_LATENCY_S = 0.0009
# Interval at which a forwarder looks for frames to send and for queued jobs.
TICK_S = 0.005
EXPIRY_CHECK_S = 0.1


class ForwarderNode:
    """A forwarder with the real decision objects and state exchange."""

    def __init__(self, number, addresses, engines, seed):
        self.address = addresses[number]
        self.data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        self.directory = PeerDirectory(self.address, addresses, 0.0)
        self.balancer = build_balancer(n_backends=0, peers=self.directory)
        self.balancer.rng = random.Random(f"{seed} {number}")
        settings = self.balancer.settings._replace(data_centre=self.data_centre)
        self.balancer.settings = settings
        pool = self.pool = self.balancer.pools["s"]
        engine = Engine(N_SLOTS, N_MEMORY_TOKENS)
        pool.update(pool.service._replace(engine=engine), settings)
        for one in engines:
            add_backend(self.balancer, one.name, N_SLOTS, one.data_centre)
            pool.find(one.name)
        self.sent_at = 0.0
        self.exchange = PeerExchange(self.balancer, self.directory, 1, ignore)


def ignore(event):
    """Drop a log event."""


class EvenFleet:
    """Forwarders that choose among the same engines.

    :param n_nodes: number of forwarders.
    :param n_engines: number of engines.
    :param interval_s: time between two frames of a forwarder at least, seconds.
    :param seed: seed of all draws.
    :param prepare: callable that takes each :class:`ForwarderNode`, to set an
        alternative.
    """

    def __init__(self, n_nodes, n_engines, interval_s, seed, prepare=ignore):
        self.engines = [
            SimulatedEngine(f"b{number}", DATA_CENTRES[number % len(DATA_CENTRES)])
            for number in range(n_engines)
        ]
        self.by_name = {one.name: one for one in self.engines}
        addresses = [f"10.0.{n // 250}.{n % 250 + 1}" for n in range(n_nodes)]
        self.nodes = [
            ForwarderNode(number, addresses, self.engines, seed)
            for number in range(n_nodes)
        ]
        self.by_address = {node.address: node for node in self.nodes}
        for node in self.nodes:
            prepare(node)
        self.interval_s = interval_s
        self.rng = random.Random(seed)
        self.record = EvennessRecord()
        self.is_recording = False
        self.events = []
        self.numbers = count()
        self.now = 0.0
        self.n_frames = 0
        self.n_frame_bytes = 0
        self.ages = []

    def schedule(self, at, action, *arguments):
        """Call an action at a time."""
        heapq.heappush(self.events, (at, next(self.numbers), action, arguments))

    def run(self, load, settle_s, span_s, seed):
        """Run the workload and return the :class:`EvennessRecord`.

        :param load: multiple of the rates of the workload.
        :param settle_s: time before the record begins, seconds.
        :param span_s: time of the record, with a burst in its middle third, seconds.
        """
        burst = (settle_s + span_s / 3, settle_s + span_s * 2 / 3)
        self.workload = Workload(len(self.engines), load, burst, seed)
        for node in self.nodes:
            self.schedule(self.rng.random() * TICK_S, self.tick, node)
            self.schedule(self.rng.random() * EXPIRY_CHECK_S, self.expire, node)
        self.schedule(0.0, self.arrive)
        self.schedule(settle_s, self.sample)
        while self.now < settle_s + span_s:
            self.now, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)
        return self.record

    def arrive(self):
        """Let a request arrive at a forwarder."""
        job = self.workload.draw_job(self.now)
        if job is not None:
            node = self.rng.choice(self.nodes)
            self.start(node, job, node.balancer.submit(job, self.now))
        self.schedule(self.now + self.workload.draw_pause_s(), self.arrive)

    def start(self, node, job, decision):
        """Send a request to its engine, or count its refusal."""
        if isinstance(decision, Refusal):
            self.record.n_refused += self.is_recording
        if not isinstance(decision, Placement):
            return
        engine = self.by_name[decision.backend.name]
        latency_s = LOCAL_LATENCY_S
        if engine.data_centre != node.data_centre:
            latency_s = REMOTE_LATENCY_S
        self.schedule(self.now + latency_s, self.execute, node, decision, engine)

    def execute(self, node, placement, engine):
        """Let an engine begin a request."""
        job = placement.job
        first_at, n_missing_tokens = engine.start(job, self.now)
        engine.n_in_flight += 1
        if self.is_recording:
            self.record.record_prefill(job, n_missing_tokens)
        self.schedule(first_at, self.record_first_event, node, placement)
        ends_at = first_at + job.n_output_tokens * STEP_S
        self.schedule(ends_at, self.end, node, placement, engine)

    def record_first_event(self, node, placement):
        """Let a first event reach its forwarder."""
        node.balancer.record_first_event(placement, self.now)
        if self.is_recording:
            self.record.record_first_event(placement.job, self.now)

    def end(self, node, placement, engine):
        """Let a response end."""
        engine.n_in_flight -= 1
        node.balancer.handle_attempt_end(placement, SERVED, self.now)

    def tick(self, node):
        """Place the queued jobs of a forwarder and send its frames."""
        self.schedule(self.now + TICK_S, self.tick, node)
        if node.balancer.has_waiting():
            for job, decision in node.balancer.dispatch_queued(self.now):
                self.start(node, job, decision)
        if self.now < node.sent_at + self.interval_s:
            return
        datagrams = node.exchange.tick(self.now)
        if datagrams:
            node.sent_at = self.now
            frame = decode_frame(datagrams[0][1])
            self.n_frames += len(datagrams)
            self.n_frame_bytes += sum(len(data) for _, data in datagrams)
            self.schedule(self.now + REMOTE_LATENCY_S, self.deliver, frame, datagrams)

    def deliver(self, frame, datagrams):
        """Let a frame reach the peers."""
        for address, _ in datagrams:
            self.by_address[address].exchange.handle_frame(frame, self.now)

    def expire(self, node):
        """Let a forwarder remove peers that are silent."""
        self.schedule(self.now + EXPIRY_CHECK_S, self.expire, node)
        node.exchange.remove_silent_peers(self.now)

    def sample(self):
        """Take a sample of the engines."""
        self.is_recording = True
        self.record.sample(self.engines, self.now)
        self.ages.append(self.nodes[0].directory.compute_state_age_s(self.now))
        self.schedule(self.now + SAMPLE_INTERVAL_S, self.sample)
