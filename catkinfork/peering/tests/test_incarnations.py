"""Peers whose clock was ahead when they started before."""

from catkinfork.balancing.tests.support import build_job
from catkinfork.peering import decode_frame
from catkinfork.peering._peers import SUCCESSION_TIMEOUT_S
from catkinfork.peering.tests.nodes import Node, build_nodes, run

AHEAD = 10**13
PUT_RIGHT = 10**12


def build_pair():
    """Return nodes, the second of which started with its clock ahead, and the time."""
    nodes = build_nodes(2)
    second = nodes["10.0.0.2"]
    nodes["10.0.0.2"] = Node(second.address, ["10.0.0.1"], incarnation=AHEAD)
    return nodes, run(nodes, 0.0, 3.0)


def build_frames(node, start):
    """Return the next frames of a node that has news for each of them."""
    frames = []
    for number in range(3):
        now = start + 0.2 * number
        node.balancer.submit(build_job(now), now)
        frames += [decode_frame(data) for _, data in node.exchange.tick(now)]
    return frames


def test_peer_is_heard_after_its_clock_was_put_right():
    """Guards against a forwarder that its peers ignore for good.

    Its clock was ahead at its start and has been put right, and it starts again. What
    it then tells, as the origins of streams, would never be known elsewhere.
    """
    nodes, now = build_pair()
    first = nodes["10.0.0.1"]
    assert first.directory.count_fresh(now) == 2
    nodes["10.0.0.2"] = Node("10.0.0.2", ["10.0.0.1"], incarnation=PUT_RIGHT)
    now = run(nodes, now, now + SUCCESSION_TIMEOUT_S + 0.3)
    assert first.directory.count_fresh(now) == 2
    nodes["10.0.0.2"].balancer.submit(build_job(now), now)
    before = first.load("b0").n_all_in_flight + first.load("b1").n_all_in_flight
    run(nodes, now, now + 0.2)
    after = first.load("b0").n_all_in_flight + first.load("b1").n_all_in_flight
    assert after == before + 1
    nodes["10.0.0.2"] = Node("10.0.0.2", ["10.0.0.1"], incarnation=PUT_RIGHT + 5)
    now = run(nodes, now, now + 0.3)
    assert first.directory.peers["10.0.0.2"].incarnation == PUT_RIGHT + 5


def test_lower_incarnation_does_not_replace_one_that_is_heard():
    """Guards against late frames of a former process that replace the current ones."""
    nodes, now = build_pair()
    late = build_frames(Node("10.0.0.2", ["10.0.0.1"], incarnation=PUT_RIGHT), now)
    assert len(late) == 3
    for frame in late:
        run(nodes, now, now + 0.2)
        now += 0.2
        assert not nodes["10.0.0.1"].exchange.handle_frame(frame, now)


def test_frames_of_a_former_incarnation_are_never_news():
    """Guards against replayed frames, however long the current process is silent."""
    nodes, now = build_pair()
    first = nodes["10.0.0.1"]
    replayed = build_frames(nodes["10.0.0.2"], now)
    nodes["10.0.0.2"] = Node("10.0.0.2", ["10.0.0.1"], incarnation=PUT_RIGHT)
    now = run(nodes, now, now + SUCCESSION_TIMEOUT_S + 0.5)
    assert first.directory.peers["10.0.0.2"].incarnation == PUT_RIGHT
    for silent_s in (0.0, 0.1, 2 * SUCCESSION_TIMEOUT_S, 20.0):
        for frame in replayed:
            assert not first.exchange.handle_frame(frame, now + silent_s)
    assert first.directory.peers["10.0.0.2"].incarnation == PUT_RIGHT
