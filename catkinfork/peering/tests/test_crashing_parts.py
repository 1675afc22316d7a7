"""Crashes caused by one prompt part, counted over all forwarders."""

import random

import pytest

from catkinfork.balancing import BROKEN, SERVED, SUSPECT, Placement, Refusal
from catkinfork.balancing.tests.support import add_backend, build_job
from catkinfork.peering.tests.nodes import build_nodes, run

CRASHING = 0xC
N_FIRST_PARTS = 4
N_BACKENDS = 6
# Time after a crash until a successor of the backend server starts, seconds.
DOWN_S = 1.5
STEP_S = 0.05
# Time after the fifth crash from which the crashing requests that are sent count, and
# how many may be sent from then on.
CONTACT_S = 3.0
MAX_SENT_LATER = 3


class Crowd:
    """Forwarders whose callers send sound requests and some that crash engines."""

    def __init__(self, n_nodes, seed):
        self.rng = random.Random(seed)
        self.nodes = build_nodes(n_nodes)
        for node in self.nodes.values():
            for number in range(2, N_BACKENDS):
                add_backend(node.balancer, f"b{number}")
                node.balancer.pools["s"].find(f"b{number}")
        self.now = run(self.nodes, 0.0, 3.0)
        self.running = []
        self.restarts = []
        self.crashed_at = []
        self.n_requests = 0
        self.n_sent_later = 0
        self.n_refused = 0
        self.n_sound = {False: [0, 0], True: [0, 0]}

    def submit(self, is_crashing, first_part):
        """Submit one request at a random forwarder."""
        self.n_requests += 1
        node = self.rng.choice(list(self.nodes.values()))
        second = CRASHING if is_crashing else 0x100 + self.rng.randrange(20)
        parts = [(first_part, 100), (second, 80), (0x10000 + self.n_requests, 300)]
        job = build_job(self.now, parts=parts, n_prompt=480)
        job.fingerprint = self.n_requests
        placement = node.balancer.submit(job, self.now)
        is_placed = isinstance(placement, Placement)
        if isinstance(placement, Refusal) and placement.reason == SUSPECT:
            self.n_refused += 1
        if is_crashing:
            is_late = len(self.crashed_at) >= 5
            is_late = is_late and self.now > self.crashed_at[4] + CONTACT_S
            self.n_sent_later += is_placed and is_late
        elif first_part == 0xA0:
            counts = self.n_sound[self.is_hit]
            counts[0] += 1
            counts[1] += is_placed
        if is_placed:
            duration_s = 0.15 if is_crashing else self.rng.uniform(0.3, 2.5)
            self.running.append((self.now + duration_s, is_crashing, node, placement))

    @property
    def is_hit(self):
        """Return whether crashing requests have been sent for some time."""
        return bool(self.crashed_at) and self.now > self.crashed_at[0] + CONTACT_S

    def advance(self):
        """Let the requests that are due end, and exchange the frames."""
        self.now = run(self.nodes, self.now, self.now + STEP_S)
        for entry in sorted(self.running, key=lambda one: one[0]):
            ends_at, is_crashing, node, placement = entry
            if entry not in self.running:
                continue
            if ends_at <= self.now and is_crashing:
                self.crash(placement.backend.name)
            elif ends_at <= self.now:
                self.running.remove(entry)
                node.balancer.record_first_event(placement, self.now)
                node.balancer.handle_attempt_end(placement, SERVED, self.now)
            elif ends_at <= self.now + 0.2 and not is_crashing:
                node.balancer.record_first_event(placement, self.now)
        for entry in [one for one in self.restarts if one[0] <= self.now]:
            self.restarts.remove(entry)
            for node in self.nodes.values():
                add_backend(node.balancer, entry[1])
                node.balancer.pools["s"].find(entry[1])

    def crash(self, name):
        """End a backend server with all of its requests."""
        self.crashed_at.append(self.now)
        for entry in list(self.running):
            if entry[3].backend.name == name:
                self.running.remove(entry)
                entry[2].balancer.handle_attempt_end(entry[3], BROKEN, self.now)
        for node in self.nodes.values():
            node.balancer.registry.remove(name, self.now, self.now)
        self.restarts.append((self.now + DOWN_S, f"{name}x"))


@pytest.mark.parametrize("n_nodes", [2, 4, 12])
@pytest.mark.parametrize("seed", range(4))
def test_crashing_part_is_refused_everywhere(n_nodes, seed):
    """Guards against engines that crash one after the other on requests of one part.

    The requests come at any forwarder, no two alike, and share their first part with
    sound requests, which must go on being served.
    """
    crowd = Crowd(n_nodes, seed)
    for step in range(600):
        for _ in range(2):
            crowd.submit(False, 0xA0 + crowd.rng.randrange(N_FIRST_PARTS))
        if step >= 60 and step % 8 == 0:
            crowd.submit(True, 0xA0)
        crowd.advance()
    assert crowd.n_sent_later <= MAX_SENT_LATER
    n_before, n_served_before = crowd.n_sound[False]
    n_after, n_served_after = crowd.n_sound[True]
    assert n_served_after / n_after >= 0.5 * n_served_before / n_before


@pytest.mark.parametrize("n_nodes", [2, 12])
@pytest.mark.parametrize("seed", range(4))
def test_loss_of_several_servers_refuses_nothing(n_nodes, seed):
    """Guards against a refusal of common parts while servers go down together.

    Load pattern: half of the engines crash at one moment, again and again, and each
    forwarder hears of the crashes of the others with some delay.
    """
    crowd = Crowd(n_nodes, seed)
    for step in range(400):
        for _ in range(3):
            crowd.submit(False, 0xA0 + crowd.rng.randrange(N_FIRST_PARTS))
        if step % 50 == 40:
            names = sorted({entry[3].backend.name for entry in crowd.running})
            for name in crowd.rng.sample(names, len(names) // 2):
                crowd.crash(name)
        crowd.advance()
    assert crowd.n_refused == 0
