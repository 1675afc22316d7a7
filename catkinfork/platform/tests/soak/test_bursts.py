"""Bursts of a soak, in which streams last longer."""

from random import Random

from catkinfork.platform.tests.soak.bursts import (
    MAX_PIECE_GAP_S,
    MIN_SLOWDOWN,
    N_PIECES,
    Bursts,
)
from catkinfork.platform.tests.soak.checks import SENT_EARLY_S
from catkinfork.platform.tests.soak.settings import BOUNDS, CHAT_PATH
from catkinfork.platform.tests.soak.store import build_soak_config

N_SECONDS = 60.0


def list_slowdowns(seed):
    """Return the slowdown of each second of a run."""
    bursts = Bursts(seed, N_SECONDS)
    return [bursts.find_slowdown(float(at_s)) for at_s in range(int(N_SECONDS))]


def test_bursts_follow_from_their_seed_and_end():
    """Guards against durations that never change, or that no seed brings back."""
    assert list_slowdowns(1) == list_slowdowns(1) != list_slowdowns(2)
    for seed in range(10):
        slowdowns = list_slowdowns(seed)
        assert slowdowns[0] == 1.0
        assert {times >= MIN_SLOWDOWN for times in slowdowns} == {True, False}


def test_streams_that_may_be_lost_come_up():
    """Guards against uploads that all end early in a stop, and can be resumed."""
    assert SENT_EARLY_S < N_PIECES * MAX_PIECE_GAP_S < BOUNDS["grace_s"]
    routes = build_soak_config(1, Random(1))["routes"]
    (chat,) = [route for route in routes if route["prefix"] == CHAT_PATH]
    assert chat["kind"] == "streaming"
    assert (chat["resumable"], chat["max_attempts"]) == (False, 1)
