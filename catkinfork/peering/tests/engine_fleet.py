"""Forwarders without network I/O, and model engines that differ in speed."""

import heapq
import random
from collections import deque
from itertools import count
from typing import NamedTuple

from catkinfork.balancing import SERVED, Placement
from catkinfork.balancing.tests.support import add_backend, build_balancer, build_job
from catkinfork.peering import PeerDirectory, PeerExchange, decode_frame

# Figures of Swanbourne, a deployment with engines of unequal speed.
PREFILL_TOKENS_PER_MS = 157.0
STEP_MS = 3.55
MS_PER_RUNNING = 0.03
CHUNK_TOKENS = 2048
N_SLOTS = 48
LINK_S = 0.0014
# Shared and own prompt tokens, output tokens and share of the requests of each kind.
KINDS = (
    (5382, 6610, 60, 162),
    (198, 628, 120, 188),
    (568, 1800, 20, 297),
)
PAUSED_SLOWDOWN = 2.5
PAUSE_S = 0.6
PAUSED_SHARE = 0.15
TICK_S = 0.005


class FirstEvent(NamedTuple):
    """First event of a request.

    :param engine: name of the engine.
    :param at: simulated time, seconds.
    :param duration_s: time since the arrival of the request, seconds.
    """

    engine: str
    at: float
    duration_s: float


class SimulatedEngine:
    """An engine that prefills prompts in order, in steps between decoding.

    :param speed: speed relative to the nominal one.
    :param pauses: whether it is slower for short periods.
    """

    def __init__(self, name, speed, pauses, rng):
        self.name = name
        self.speed = speed
        self.rng = rng
        self.queue = deque()
        self.running = []
        self.is_busy = False
        self.slow_until = 0.0
        mean_s = PAUSE_S / PAUSED_SHARE - PAUSE_S
        self.next_pause_at = rng.expovariate(1 / mean_s) if pauses else float("inf")
        self.mean_s = mean_s
        self.cached = set()

    def compute_step_s(self, n_tokens, now):
        """Return the duration of a step with some prompt tokens, seconds."""
        if now >= self.next_pause_at:
            self.slow_until = self.next_pause_at + PAUSE_S
            self.next_pause_at = self.slow_until + self.rng.expovariate(1 / self.mean_s)
        step_ms = STEP_MS + MS_PER_RUNNING * len(self.running)
        step_ms += n_tokens / PREFILL_TOKENS_PER_MS
        slowdown = PAUSED_SLOWDOWN if now < self.slow_until else 1.0
        return slowdown * step_ms / self.speed / 1000


class SimulatedForwarder:
    """A forwarder without network I/O."""

    def __init__(self, address, seeds, speed_window_s, engine_names):
        self.address = address
        self.events = []
        self.directory = PeerDirectory(address, seeds, 0.0)
        self.balancer = build_balancer(
            n_backends=0,
            peers=self.directory,
            n_slots=N_SLOTS,
            speed_window_s=speed_window_s,
        )
        self.balancer.write_log = self.events.append
        self.balancer.speed_meter.write_log = self.events.append
        for name in engine_names:
            add_backend(self.balancer, name, N_SLOTS, started_ms=1000)
        self.exchange = PeerExchange(
            self.balancer, self.directory, 1, self.events.append
        )

    @property
    def speeds(self):
        """Return the speeds in force by name of the engine."""
        return {
            name: state.speed for name, state in self.balancer.pools["s"].states.items()
        }


class EngineFleet:
    """Forwarders, engines and the requests between them, on a simulated clock.

    :param speeds: speed of each engine by its name.
    :param rate: requests per second at all forwarders together.
    :param frame_interval_s: interval between two frames of a forwarder, as in a larger
        fleet.
    """

    def __init__(
        self,
        speeds,
        n_forwarders=6,
        rate=100.0,
        frame_interval_s=0.07,
        pauses=True,
        speed_window_s=4.0,
        seed=1,
    ):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.rate = rate
        self.frame_interval_s = frame_interval_s
        self.engines = {
            name: SimulatedEngine(name, speed, pauses, self.rng)
            for name, speed in speeds.items()
        }
        addresses = [f"10.0.0.{number}" for number in range(1, n_forwarders + 1)]
        self.forwarders = [
            SimulatedForwarder(one, addresses, speed_window_s, speeds)
            for one in addresses
        ]
        self.by_address = {one.address: one for one in self.forwarders}
        self.next_frame_at = {
            one.address: self.rng.random() * frame_interval_s for one in self.forwarders
        }
        self.is_lost = lambda: False
        self.calendar = []
        self.numbers = count()
        self.n_session = 0
        self.first_events = []
        self.schedule(self.rng.expovariate(rate), self.arrive)

    def schedule(self, at, action, *arguments):
        """Call a function at a simulated time."""
        heapq.heappush(self.calendar, (at, next(self.numbers), action, arguments))

    def run(self, end):
        """Run until a simulated time, seconds."""
        while self.now < end:
            next_tick = self.now + TICK_S
            while self.calendar and self.calendar[0][0] <= next_tick:
                self.now, _, action, arguments = heapq.heappop(self.calendar)
                action(*arguments)
            self.now = next_tick
            for forwarder in self.forwarders:
                if self.now >= self.next_frame_at[forwarder.address]:
                    self.next_frame_at[forwarder.address] += self.frame_interval_s
                    self.send_frames(forwarder)
                forwarder.balancer.update_speeds(self.now)
                self.dispatch(forwarder)

    def send_frames(self, forwarder):
        """Deliver the frames of a forwarder."""
        for address, data in forwarder.exchange.tick(self.now):
            if not self.is_lost():
                self.schedule(
                    self.now + LINK_S, self.receive, self.by_address[address], data
                )

    def receive(self, forwarder, data):
        """Handle a frame at a forwarder."""
        forwarder.exchange.handle_frame(decode_frame(data), self.now)

    def arrive(self):
        """Submit a new request to a forwarder."""
        self.schedule(self.now + self.rng.expovariate(self.rate), self.arrive)
        forwarder = self.rng.choice(self.forwarders)
        kind = self.rng.choices(KINDS, [one[3] for one in KINDS])[0]
        n_shared, n_own, n_output, _ = kind
        self.n_session += 1
        parts = (
            (1000 * KINDS.index(kind) + self.rng.randrange(6), n_shared),
            (10**6 + self.n_session, n_own),
        )
        job = build_job(
            self.now, n_prompt=n_shared + n_own, n_output=n_output, parts=parts
        )
        decision = forwarder.balancer.submit(job, self.now)
        if isinstance(decision, Placement):
            self.send(forwarder, decision)

    def dispatch(self, forwarder):
        """Place the queued requests of a forwarder."""
        if forwarder.balancer.has_waiting():
            for _, decision in forwarder.balancer.dispatch_queued(self.now):
                if isinstance(decision, Placement):
                    self.send(forwarder, decision)

    def send(self, forwarder, placement):
        """Send a request to its engine."""
        self.schedule(self.now + LINK_S, self.accept, forwarder, placement)

    def accept(self, forwarder, placement):
        """Queue a request at its engine."""
        engine = self.engines[placement.backend.name]
        n_missing = 0
        for part in placement.job.parts:
            if part.name not in engine.cached:
                n_missing += part.n_tokens
                engine.cached.add(part.name)
        engine.queue.append([forwarder, n_missing, placement])
        if not engine.is_busy:
            self.step(engine)

    def step(self, engine):
        """Begin the next step of an engine."""
        engine.is_busy = bool(engine.queue or engine.running)
        if not engine.is_busy:
            return
        n_left = CHUNK_TOKENS
        started = []
        while engine.queue and n_left > 0:
            first = engine.queue[0]
            n_taken = min(n_left, first[1])
            first[1] -= n_taken
            n_left -= n_taken
            if first[1]:
                break
            started.append(engine.queue.popleft())
        step_s = engine.compute_step_s(CHUNK_TOKENS - n_left, self.now)
        self.schedule(self.now + step_s, self.end_step, engine, started)

    def end_step(self, engine, started):
        """Deliver what a step has produced, and begin the next one."""
        running = []
        for forwarder, placement, n_output in engine.running:
            if n_output > 1:
                running.append((forwarder, placement, n_output - 1))
            else:
                self.schedule(self.now + LINK_S, self.finish, forwarder, placement)
        for forwarder, _, placement in started:
            self.schedule(self.now + LINK_S, self.begin, forwarder, placement)
            running.append((forwarder, placement, placement.job.n_output_tokens))
        engine.running = running
        self.step(engine)

    def begin(self, forwarder, placement):
        """Handle the first event of a request."""
        duration_s = self.now - placement.job.arrived_at
        self.first_events.append(
            FirstEvent(placement.backend.name, self.now, duration_s)
        )
        forwarder.balancer.record_event(placement, self.now)
        self.dispatch(forwarder)

    def finish(self, forwarder, placement):
        """Handle the end of a response."""
        forwarder.balancer.handle_attempt_end(placement, SERVED, self.now)
        self.dispatch(forwarder)
