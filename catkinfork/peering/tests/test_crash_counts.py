"""Crashes of requests, over forwarders that restart, are cut off or miss frames."""

import random

import pytest

from catkinfork.balancing import BROKEN, Placement
from catkinfork.balancing.tests.support import PLAIN, build_job, serve
from catkinfork.peering.tests.joining import JoiningFleet
from catkinfork.peering.tests.nodes import build_nodes, deliver, run

FINGERPRINT = 9
MAX_CRASHES = 3
# Prompt part that crashes engines.
PART = 0xF


def send(node, now):
    """Send the crashing request to a forwarder; return whether it reached a server."""
    job = build_job(now, route=PLAIN, fingerprint=FINGERPRINT)
    decision = node.balancer.submit(job, now)
    if not isinstance(decision, Placement):
        return False
    node.balancer.handle_attempt_end(decision, BROKEN, now)
    return True


@pytest.mark.parametrize(("n_nodes", "n_at_once"), [(2, 1), (4, 1), (5, 2)])
@pytest.mark.parametrize("seed", [1, 2])
def test_crashes_outlive_a_restart_in_turn(n_nodes, n_at_once, seed):
    """Guards against a request that crashes servers anew after each restart."""
    fleet = JoiningFleet(n_nodes, seed)
    fleet.run(2.0)
    order = list(fleet.addresses)
    random.Random(seed).shuffle(order)
    for number in range(MAX_CRASHES):
        assert send(fleet.nodes[order[number % n_nodes]], fleet.now)
        fleet.run(0.2)
    for start in range(0, n_nodes, n_at_once):
        some = order[start : start + n_at_once]
        fleet.restart(some)
        assert not any(send(fleet.nodes[address], fleet.now) for address in some)


def test_crashes_are_counted_over_the_processes_of_one_host():
    """Guards against a sum that falls as a host restarts between two crashes.

    The new process counts from zero, and tells its total in place of the former one.
    """
    fleet = JoiningFleet(3)
    fleet.run(2.0)
    address = fleet.addresses[1]
    for _ in range(MAX_CRASHES):
        assert send(fleet.nodes[address], fleet.now)
        fleet.run(0.2)
        fleet.restart([address])
    assert not any(send(node, fleet.now) for node in fleet.nodes.values())


def test_crashes_are_known_after_a_partition():
    """Guards against a count that peers miss which were cut off when it was told."""
    nodes = build_nodes(4)
    now = run(nodes, 0.0, 3.0)
    cut_off = {address: nodes[address] for address in list(nodes)[2:]}
    others = {address: nodes[address] for address in list(nodes)[:2]}
    for node in [*others.values(), nodes["10.0.0.1"]]:
        assert send(node, now)
        now = run(others, now, now + 0.2)
    run(cut_off, now - 0.4, now)
    now = run(nodes, now, now + 1.5)
    assert not any(send(node, now) for node in cut_off.values())


def test_served_request_stays_cleared():
    """Guards against crashes that come back from a peer that missed the clearing."""
    nodes = build_nodes(3)
    now = run(nodes, 0.0, 3.0)
    first, second, third = nodes.values()
    running = second.balancer.submit(
        build_job(now, route=PLAIN, fingerprint=FINGERPRINT), now
    )
    for _ in range(MAX_CRASHES):
        assert send(first, now)
        now = run(nodes, now, now + 0.2)
    assert not send(third, now)
    serve(second.balancer, running, now)
    told = {second.address: second, first.address: first}
    for _ in range(5):
        deliver(told, now)
        now += 0.01
    assert third.balancer.crash_guard.suspects.suspects
    now = run(nodes, now, now + 3.0)
    assert not any(
        node.balancer.crash_guard.suspects.is_blocked(FINGERPRINT, now)
        for node in nodes.values()
    )


def test_crashes_of_prompt_parts_outlive_a_restart_in_turn():
    """Guards against parts whose crashes start from zero at each restart.

    One crash is too few to refuse it, so that full frames do not repeat it.
    """
    fleet = JoiningFleet(3)
    fleet.run(2.0)
    first = fleet.nodes[fleet.addresses[0]]
    job = build_job(fleet.now, parts=[(PART, 100), (1, 10)])
    decision = first.balancer.submit(job, fleet.now)
    first.balancer.handle_attempt_end(decision, BROKEN, fleet.now)
    fleet.run(0.5)
    for address in fleet.addresses:
        fleet.restart([address])
        parts = fleet.nodes[address].balancer.crash_guard.parts
        assert parts.suspects[PART].n_crashes == 1
