"""Tests of the room that several forwarders see at the same time."""

from random import Random

import pytest

from catkinfork.balancing._contention import MIN_DRAW_INTERVAL_S, RoomDraw
from catkinfork.balancing._models import (
    QueueRank,
    compute_reserved_slot_share,
    compute_reserved_token_share,
)
from catkinfork.balancing._shares import FairShares


def draw(rooms, n_peers_ahead, rng, now=0.0):
    """Return how many forwarders take some room at the same time."""
    return sum(one.may_take(room, n_peers_ahead, 0.0, rng, now) for one, room in rooms)


@pytest.mark.parametrize("n_forwarders", [4, 28, 68])
@pytest.mark.parametrize("room", [1.0, 3.0])
def test_room_is_not_taken_many_times(n_forwarders, room):
    """Guards against an engine that is filled by all forwarders at once.

    Load pattern: jobs wait everywhere, and the room for one to three becomes free.
    """
    rng = Random(1)
    n_taken = [
        draw([(RoomDraw(), room) for _ in range(n_forwarders)], n_forwarders - 1, rng)
        for _ in range(200)
    ]
    assert sum(n_taken) / 200 == pytest.approx(room, rel=0.25)
    # Five standard deviations of the number of forwarders that win.
    assert max(n_taken) <= room + 5 * room**0.5


def test_room_is_drawn_for_once_in_an_interval():
    """Guards against a forwarder that draws until it has won."""
    rng = Random(1)
    room_draw = RoomDraw()
    while room_draw.may_take(1.0, 9, 0.0, rng, 0.0):
        pass
    for step in range(10):
        now = MIN_DRAW_INTERVAL_S * step / 10
        assert not room_draw.may_take(1.0, 9, 0.0, rng, now)
    # Room for all needs no draw.
    assert room_draw.may_take(10.0, 9, 0.0, rng, 0.0)


def test_first_in_order_takes_any_room():
    """Guards against capacity that idles while a job of the highest priority waits."""
    rng = Random(1)
    assert all(RoomDraw().may_take(1.0, 0, 0.0, rng, 0.0) for _ in range(100))
    assert not RoomDraw().may_take(0.9, 0, 0.0, rng, 0.0)


def test_lead_over_a_workspace_that_lacks_service():
    """Guards against equal room for workspaces of very unequal service.

    Load pattern: one workspace asks for as much as another and receives a quarter; a
    small one, which asks for little, waits for a moment.
    """
    shares = FairShares(4.0)
    shares.record_peer_usage("much", 800_000, 400_000, 1.0)
    shares.record_peer_usage("little", 800_000, 100_000, 1.0)
    shares.record_peer_usage("small", 10_000, 0, 1.0)
    shares.update_level(100_000.0, 1.0)
    assert shares.compute_lead("much", 1.0) == pytest.approx(0.75)
    assert shares.compute_lead("little", 1.0) == 0.0
    assert shares.compute_lead("small", 1.0) == 0.0


def test_reserved_room_grows_with_the_lead():
    """Guards against room that is left only by the number of peers that wait."""
    for compute in (compute_reserved_token_share, compute_reserved_slot_share):
        shares = [compute(QueueRank(1, False, lead)) for lead in (0.0, 0.2, 0.4, 1.0)]
        assert shares == sorted(set(shares))
        assert compute(QueueRank(0, False, 1.0)) == 0.0
