"""Views of load that arrive late, twice or never, as requests are spread by them."""

import pytest

from catkinfork.balancing.tests.support import build_job
from catkinfork.peering import decode_frame
from catkinfork.peering._pacing import MAX_SAVED_FRAMES, UrgentPacing
from catkinfork.peering._peers import SUCCESSION_TIMEOUT_S
from catkinfork.peering.tests.nodes import Node, build_nodes, run

FIRST, SECOND = "10.0.0.1", "10.0.0.2"


def build_spread_nodes(n_nodes=2):
    """Return nodes that spread their choices and know each other, and the time."""
    nodes = build_nodes(n_nodes)
    for node in nodes.values():
        use_spread_choice(node)
    return nodes, run(nodes, 0.0, 3.0)


def use_spread_choice(node):
    """Switch the spread choice of a node on."""
    balancer = node.balancer
    balancer.apply_settings(balancer.settings._replace(spread_choice=1))


def place(node, now, n_jobs=1):
    """Place jobs of 1,000 tokens at a node."""
    for _ in range(n_jobs):
        node.balancer.submit(build_job(now), now)


def send(node, now):
    """Return the next frame of a node, as its peers decode it."""
    return decode_frame(node.exchange.build_datagram(False, now))


def read_pending(node):
    """Return the pending tokens that a node sees at all engines."""
    loads = [node.load(name) for name in ("b0", "b1")]
    return sum(load.n_all_pending_tokens for load in loads)


def estimate_unseen(node, now):
    """Return what a node expects its peers to have placed unseen."""
    pool = node.balancer.pools["s"]
    return pool.estimate_unseen_cost(node.directory, now)


def test_lost_frame_is_made_up_for_by_the_next():
    """Guards against load that stays unknown, or is guessed, after a lost frame."""
    nodes, now = build_spread_nodes()
    first, second = nodes[FIRST], nodes[SECOND]
    place(second, now)
    send(second, now)
    assert read_pending(first) == 0
    place(second, now)
    second.balancer.changes.backends |= {("s", "b0"), ("s", "b1")}
    first.exchange.handle_frame(send(second, now), now)
    assert read_pending(first) == 2_000
    # All later frames are lost: load that nobody confirms is dropped in the end, and
    # nothing is expected of a peer that is gone.
    place(first, now)
    run({FIRST: first}, now, now + 6.0)
    assert read_pending(first) == 1_000
    assert estimate_unseen(first, now + 6.0) == 0.0


def test_duplicated_frame_counts_once():
    """Guards against load, or request rates, that grow with each copy of a frame."""
    nodes, now = build_spread_nodes()
    first, second = nodes[FIRST], nodes[SECOND]
    place(second, now, 3)
    frame = send(second, now)
    assert first.exchange.handle_frame(frame, now)
    n_requests = first.balancer.pools["s"].demand.peer_requests.sum(now)
    unseen_cost = estimate_unseen(first, now)
    for _ in range(5):
        assert not first.exchange.handle_frame(frame, now)
    assert read_pending(first) == 3_000
    assert first.balancer.pools["s"].demand.peer_requests.sum(now) == n_requests
    assert estimate_unseen(first, now) == pytest.approx(unseen_cost)


def test_reordered_frames_leave_the_newest_view():
    """Guards against a late frame that brings back load which has ended."""
    nodes, now = build_spread_nodes()
    first, second = nodes[FIRST], nodes[SECOND]
    placement = second.balancer.submit(build_job(now), now)
    older = send(second, now)
    second.balancer.record_first_event(placement, now)
    newer = send(second, now)
    assert first.exchange.handle_frame(newer, now)
    assert not first.exchange.handle_frame(older, now)
    assert read_pending(first) == 0


def test_frame_of_an_earlier_incarnation_changes_nothing():
    """Guards against load of a process that has ended, as its host started again."""
    nodes, now = build_spread_nodes()
    first, second = nodes[FIRST], nodes[SECOND]
    place(second, now, 4)
    late = send(second, now)
    again = Node(SECOND, [FIRST], incarnation=2)
    use_spread_choice(again)
    place(again, now)
    assert first.exchange.handle_frame(send(again, now), now)
    unseen_cost = estimate_unseen(first, now)
    assert not first.exchange.handle_frame(late, now)
    assert read_pending(first) == 1_000
    assert estimate_unseen(first, now) == pytest.approx(unseen_cost)


def test_clock_that_jumps_back_is_followed_after_a_silence():
    """Guards against a peer whose load is ignored as its clock was ahead before."""
    nodes, now = build_spread_nodes()
    first = nodes[FIRST]
    ahead = Node(SECOND, [FIRST], incarnation=10_000_000)
    use_spread_choice(ahead)
    place(ahead, now, 2)
    assert first.exchange.handle_frame(send(ahead, now), now)
    assert read_pending(first) == 2_000
    back = Node(SECOND, [FIRST], incarnation=5)
    use_spread_choice(back)
    place(back, now)
    assert not first.exchange.handle_frame(send(back, now), now)
    now += SUCCESSION_TIMEOUT_S
    place(back, now, 2)
    full = decode_frame(back.exchange.build_datagram(True, now))
    assert first.exchange.handle_frame(full, now)
    assert read_pending(first) == 3_000


@pytest.mark.parametrize("jump_s", [-3600.0, 3600.0])
def test_clock_that_jumps_gives_no_burst_of_frames(jump_s):
    """Guards against frames that are saved up, or held back, over a jump in time."""
    pacing = UrgentPacing()
    n_sent = 0
    for step in range(200):
        now = 10.0 + 0.005 * step + (jump_s if step >= 100 else 0.0)
        if pacing.is_due(27, True, 1.0, now):
            pacing.record_frame(27, now)
            n_sent += 1
    # One frame in each interval of 27 / 400 s, those saved up, and those of the jump.
    assert 12 <= n_sent <= 15 + 2 * MAX_SAVED_FRAMES
