"""Requests that crash the backend servers that run them."""

import pytest

from catkinfork.balancing import ABANDONED, BROKEN, SERVED, SUSPECT, Placement, Refusal
from catkinfork.balancing.tests.support import (
    add_backend,
    build_balancer,
    build_job,
    serve,
)

SHARED = 0xA
CRASHING = 0xC


class Fleet:
    """A balancer whose backend servers crash on one prompt part.

    A crashed backend server is replaced by a new one.
    """

    def __init__(self):
        self.balancer = build_balancer(n_backends=5)
        self.n_requests = 0
        self.n_crashes = 0
        self.now = 0.0

    def submit(self, *names, **options):
        """Submit a request with parts of its own kind and an own last part."""
        self.n_requests += 1
        self.now += 0.3
        parts = [(name, 100) for name in (*names, 1_000_000 + self.n_requests)]
        options = {"fingerprint": self.n_requests} | options
        job = build_job(self.now, parts=parts, **options)
        return self.balancer.submit(job, self.now)

    def serve(self, *names, **options):
        """Submit a request and complete it; return whether it was served."""
        decision = self.submit(*names, **options)
        if isinstance(decision, Placement):
            serve(self.balancer, decision, self.now)
        return isinstance(decision, Placement)

    def crash(self, placement, others=()):
        """End a backend server with an attempt, and others that run there."""
        self.n_crashes += 1
        for one in (placement, *others):
            self.balancer.handle_attempt_end(one, BROKEN, self.now)
        name = placement.backend.name
        self.balancer.registry.remove(name, self.now, self.now)
        add_backend(self.balancer, f"{name}x")

    def send_crashing(self, n_requests, *names):
        """Submit requests with the crashing part, no two alike."""
        for _ in range(n_requests):
            decision = self.submit(*names, CRASHING)
            if isinstance(decision, Placement):
                self.crash(decision)


def test_requests_with_a_crashing_part_are_refused():
    """Guards against requests, no two alike, that crash one engine after the other."""
    fleet = Fleet()
    fleet.send_crashing(12, SHARED)
    assert fleet.n_crashes <= 5
    refusal = fleet.submit(SHARED, CRASHING)
    assert isinstance(refusal, Refusal)
    assert refusal.reason == SUSPECT


def test_requests_that_share_other_parts_are_served():
    """Guards against a refusal of sound requests of the same caller or first part."""
    fleet = Fleet()
    assert fleet.serve(SHARED, 0xB)
    fleet.send_crashing(12, SHARED)
    assert all(fleet.serve(SHARED, 0xB) for _ in range(20))
    assert all(fleet.serve(SHARED, 0xD0 + number) for number in range(20))


def test_part_that_was_used_before_is_refused():
    """Guards against a part that crashes engines after it has been served for long."""
    fleet = Fleet()
    assert all(fleet.serve(SHARED, CRASHING) for _ in range(5))
    for _ in range(12):
        fleet.send_crashing(1, SHARED)
        fleet.serve(SHARED, 0xB)
    assert fleet.n_crashes <= 5


def test_requests_that_run_beside_a_crash_are_not_blamed():
    """Guards against a refusal of requests that were lost with a crashing one."""
    fleet = Fleet()
    for _ in range(8):
        bystander = fleet.submit(SHARED, 0xB)
        assert isinstance(bystander, Placement)
        crashing = fleet.submit(SHARED, CRASHING)
        if isinstance(crashing, Placement):
            fleet.crash(crashing, [bystander])
        else:
            serve(fleet.balancer, bystander, fleet.now)
        fleet.serve(SHARED, 0xE)
    assert fleet.n_crashes <= 5
    assert fleet.serve(SHARED, 0xB)


def test_last_part_is_not_blamed():
    """Guards against a session that is refused although its part is its own."""
    fleet = Fleet()
    for _ in range(6):
        decision = fleet.balancer.submit(
            build_job(fleet.now, parts=[(0xF, 100)], fingerprint=fleet.n_crashes),
            fleet.now,
        )
        assert isinstance(decision, Placement)
        fleet.crash(decision)


def test_answers_that_go_on_clear_their_parts():
    """Guards against blame of common parts as no answer ends between two crashes.

    Load pattern: every server that serves sound requests soon runs a crashing one too.
    """
    fleet = Fleet()
    for _ in range(3):
        sound = [fleet.submit(SHARED, 0xB) for _ in range(5)]
        for one in sound:
            fleet.balancer.record_event(one, fleet.now)
        fleet.now += 0.6
        for one in sound:
            fleet.balancer.record_event(one, fleet.now)
        crashing = fleet.submit(SHARED, CRASHING)
        fleet.crash(crashing, sound)
    assert fleet.serve(SHARED, 0xB)
    assert isinstance(fleet.submit(SHARED, CRASHING), Refusal)


def test_answer_that_has_just_begun_clears_nothing():
    """Guards against a crashing part that the first events of its answer clear."""
    fleet = Fleet()
    for _ in range(3):
        crashing = fleet.submit(SHARED, CRASHING)
        fleet.balancer.record_event(crashing, fleet.now)
        fleet.now += 0.2
        fleet.balancer.record_event(crashing, fleet.now)
        fleet.crash(crashing)
    assert isinstance(fleet.submit(SHARED, CRASHING), Refusal)


def test_first_served_request_of_a_part_takes_effect_at_once():
    """Guards against a part that stays refused though a request with it was served.

    The answer began before the crashes, so that it clears none of them.
    """
    fleet = Fleet()
    early = fleet.submit(SHARED, 0xB)
    fleet.balancer.record_event(early, fleet.now)
    for number in range(3):
        fleet.crash(fleet.submit(SHARED, 0xD0 + number))
    assert isinstance(fleet.submit(SHARED, 0xB), Refusal)
    serve(fleet.balancer, early, fleet.now)
    assert fleet.serve(SHARED, 0xB)


@pytest.mark.parametrize("n_crashes", [1, 2])
def test_few_crashes_are_no_proof(n_crashes):
    """Guards against a refusal after connections that were lost for other reasons."""
    fleet = Fleet()
    for _ in range(n_crashes):
        fleet.crash(fleet.submit(SHARED, 0xB))
    assert fleet.serve(SHARED, 0xB)


def test_waiting_requests_with_a_crashing_part_are_refused():
    """Guards against queued requests that are placed after their part is known."""
    fleet = Fleet()
    crashing = [fleet.submit(SHARED, CRASHING) for _ in range(3)]
    while fleet.submit(SHARED, 0xB, n_prompt=9000) is not None:
        pass
    assert fleet.submit(SHARED, CRASHING) is None
    for placement in crashing:
        fleet.now += 0.5
        fleet.crash(placement)
    decisions = {
        job.fingerprint: decision
        for job, decision in fleet.balancer.dispatch_queued(fleet.now)
    }
    assert decisions[fleet.n_requests].reason == SUSPECT


def test_answer_that_was_not_generated_clears_nothing():
    """Guards against a crashing part that an error of an engine clears."""
    fleet = Fleet()
    fleet.send_crashing(5, SHARED)
    fleet.now += 400.0
    probe = fleet.submit(SHARED, CRASHING)
    assert isinstance(probe, Placement)
    fleet.balancer.handle_attempt_end(probe, SERVED, fleet.now)
    assert isinstance(fleet.submit(SHARED, CRASHING), Refusal)


@pytest.mark.parametrize("n_waves", [1, 2])
def test_servers_that_end_together_are_blamed_on_no_part(n_waves):
    """Guards against a refusal of common parts after a loss of several servers.

    Load pattern: a fifth of the engines crash at one moment, with requests of the same
    parts pending at each.
    """
    fleet = Fleet()
    assert fleet.serve(SHARED, 0xB)
    for _ in range(n_waves):
        lost = [fleet.submit(SHARED, 0xD) for _ in range(20)]
        fleet.now += 1.0
        names = {placement.backend.name for placement in lost}
        assert len(names) == 5
        for placement in lost:
            fleet.balancer.handle_attempt_end(placement, BROKEN, fleet.now)
            fleet.now += 0.002
        for name in names:
            fleet.balancer.registry.remove(name, fleet.now, fleet.now)
            add_backend(fleet.balancer, f"{name}x")
    assert fleet.serve(SHARED, 0xD)
    assert fleet.serve(SHARED, 0xE)


class ResetFleet(Fleet):
    """A fleet that loses connections, whose servers go on answering on others."""

    def __init__(self):
        super().__init__()
        self.lost_names = set()

    def submit_elsewhere(self, *names, **options):
        """Submit a request that gets a server which has lost no connection yet."""
        placements = [self.submit(*names, **options) for _ in range(5)]
        chosen = next(
            one for one in placements if one.backend.name not in self.lost_names
        )
        self.lost_names.add(chosen.backend.name)
        for one in placements:
            if one is not chosen:
                self.balancer.handle_attempt_end(one, ABANDONED, self.now)
        return chosen

    def reset(self, answering, **options):
        """Lose the connection of a request that runs beside another one.

        :param answering: whether the other one, at the same server, goes on.
        """
        lost = self.submit_elsewhere(SHARED, 0xB, **options)
        others = [self.submit(0xD0, 0xD1) for _ in range(20)]
        for one in (lost, *others):
            one.connected_at = self.now
        self.now += 0.1
        beside = [one for one in others if one.backend is lost.backend]
        assert beside
        self.balancer.handle_attempt_end(lost, BROKEN, self.now)
        if answering:
            for _ in range(10):
                self.now += 0.1
                for one in beside:
                    self.balancer.record_event(one, self.now)
        for one in others:
            serve(self.balancer, one, self.now)


@pytest.mark.parametrize("answering", [True, False])
def test_connections_lost_at_servers_that_answer_are_no_crashes(answering):
    """Guards against parts refused for connections that were reset without a crash."""
    fleet = ResetFleet()
    for _ in range(3):
        fleet.reset(answering)
    assert fleet.serve(SHARED, 0xB) == answering


@pytest.mark.parametrize("answering", [True, False])
def test_lost_connections_do_not_block_a_request_for_good(answering):
    """Guards against a request that is refused for connections that were reset."""
    fleet = ResetFleet()
    for _ in range(3):
        fleet.reset(answering, fingerprint=77)
    assert fleet.serve(0xD0, 0xD1, fingerprint=77) == answering


def test_events_of_newer_connections_do_not_disprove_a_crash():
    """Guards against a server that is back under its old entry and clears the crash."""
    fleet = Fleet()
    for crashing in [fleet.submit(SHARED, CRASHING) for _ in range(3)]:
        fleet.balancer.handle_attempt_end(crashing, BROKEN, fleet.now)
        later = [fleet.submit(0xD0, 0xD1) for _ in range(10)]
        assert crashing.backend in [one.backend for one in later]
        for one in later:
            one.connected_at = fleet.now
        for _ in range(4):
            fleet.now += 0.5
            for one in later:
                fleet.balancer.record_event(one, fleet.now)
        for one in later:
            serve(fleet.balancer, one, fleet.now)
    assert isinstance(fleet.submit(SHARED, CRASHING), Refusal)


def test_events_read_late_do_not_disprove_a_crash():
    """Guards against a host that stood still and reads what was sent before a crash."""
    fleet = Fleet()
    for _ in range(3):
        crashing = fleet.submit(SHARED, CRASHING)
        others = [fleet.submit(0xD0, 0xD1) for _ in range(20)]
        for one in others:
            one.connected_at = fleet.now
        fleet.now += 0.1
        fleet.balancer.handle_attempt_end(crashing, BROKEN, fleet.now)
        fleet.now += 2.0
        for _ in range(5):
            for one in others:
                fleet.balancer.record_event(one, fleet.now)
        fleet.crash(crashing, others)
    assert isinstance(fleet.submit(SHARED, CRASHING), Refusal)
