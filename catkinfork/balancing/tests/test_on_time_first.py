"""Replays of a burst with and without the order that serves on-time requests first."""

from functools import cache

import pytest

from catkinfork.balancing.tests.burst_load import (
    KINDS,
    BurstLoad,
    compute_share,
)
from catkinfork.balancing.tests.support import build_balancer

BURST = 1.7
BURST_S = 3.0
SEEDS = (0, 1, 2)
# Many workspaces, few requests of each in the queue at a time: the pattern of a fleet
# whose forwarders have some requests of every workspace.
MANY = {f"w{number}": 1.0 / (1 + number % 5) for number in range(40)}
FEW = {"a": 8, "b": 4, "c": 3, "d": 2, "e": 1, "f": 1, "g": 0.5, "h": 0.5}


class Replay:
    """A burst and the time after it.

    ``starts_at`` and ``ends_at`` are the times of the burst, seconds.
    """

    def __init__(self, is_on_time_first, demands, load, seed):
        balancer = build_balancer(
            n_backends=0,
            tokens_per_s=0.0,
            on_time_first=is_on_time_first,
            workspaces=list(demands),
        )
        self.load = BurstLoad([balancer], 2, demands, seed)
        self.load.drive(4.0, load)
        self.starts_at = self.load.now
        self.load.drive(BURST_S, BURST)
        self.ends_at = self.load.now
        self.load.drive(13.0, load)


@cache
def replay(is_on_time_first, demands=tuple(MANY.items()), load=0.9):
    """Return one :class:`Replay` for each seed."""
    return [Replay(is_on_time_first, dict(demands), load, seed) for seed in SEEDS]


def list_outcomes(replays, start_s, end_s):
    """Return the outcomes of the requests that arrived in a span of the replays.

    :param start_s: time since the begin of the burst, seconds.
    """
    return [
        one
        for each in replays
        for one in each.load.list_arrived(
            each.starts_at + start_s, each.starts_at + end_s
        )
    ]


def is_on_time(outcome):
    """Return whether a request was on time."""
    return outcome.is_on_time


def is_served(outcome):
    """Return whether a request was served."""
    return outcome.is_served


def test_most_requests_of_a_burst_that_are_served_are_on_time():
    """Guards against a burst of which all is served and nearly all is late.

    Load pattern: 1.7 times the capacity for 3 s, in waves of 55 %, three kinds of
    requests of many workspaces of unequal size.
    """
    with_order = list_outcomes(replay(True), 0.0, BURST_S)
    without = list_outcomes(replay(False), 0.0, BURST_S)
    assert compute_share(with_order, is_on_time) >= 1.5 * compute_share(
        without, is_on_time
    )
    served = [one for one in with_order if one.is_served]
    assert compute_share(served, is_on_time) >= 0.7
    served = [one for one in without if one.is_served]
    assert compute_share(served, is_on_time) <= 0.5


def test_late_requests_are_still_served():
    """Guards against requests that are refused since they cannot be on time."""
    with_order = list_outcomes(replay(True), 0.0, BURST_S)
    without = list_outcomes(replay(False), 0.0, BURST_S)
    n_late = sum(one.is_served and not one.is_on_time for one in with_order)
    assert n_late >= 0.1 * len(with_order)
    assert compute_share(with_order, is_served) >= 0.95 * compute_share(
        without, is_served
    )


def test_latency_targets_are_met_again_soon_after_a_burst():
    """Guards against a backlog that makes requests late long after a burst.

    Load pattern: the load after the burst is 0.7 of the capacity in the mean, and above
    it at the height of its waves.
    """
    demands = tuple(FEW.items())
    after = list_outcomes(replay(True, demands, 0.7), BURST_S + 2.0, BURST_S + 5.0)
    assert compute_share(after, is_on_time) >= 0.95
    after = list_outcomes(replay(False, demands, 0.7), BURST_S, BURST_S + 2.0)
    with_order = list_outcomes(replay(True, demands, 0.7), BURST_S, BURST_S + 2.0)
    assert compute_share(with_order, is_on_time) > compute_share(after, is_on_time)


@pytest.mark.parametrize("demands", [FEW, MANY], ids=["few", "many"])
def test_workspaces_keep_their_shares(demands):
    """Guards against a workspace that gives way to on-time requests of all others."""
    for one in replay(True, tuple(demands.items()), 0.9):
        for start_s in (0.0, 1.0, 2.0):
            start = one.starts_at + start_s
            assert one.load.compute_fairness(start, start + 4.0) >= 0.5


@pytest.mark.parametrize("demands", [FEW, MANY], ids=["few", "many"])
def test_no_kind_of_request_is_starved(demands):
    """Guards against long prompts, or short deadlines, that are hardly ever served."""
    outcomes = list_outcomes(replay(True, tuple(demands.items())), 0.0, BURST_S + 1.0)
    shares = [
        compute_share([one for one in outcomes if one.kind is kind], is_served)
        for kind in KINDS
    ]
    assert min(shares) >= 0.5 * max(shares)


@pytest.mark.parametrize("demands", [FEW, MANY], ids=["few", "many"])
@pytest.mark.parametrize("kind", KINDS, ids=[kind.name for kind in KINDS])
def test_the_largest_prompts_are_not_starved(kind, demands):
    """Guards against small prompts that take the room for which a large one waits."""
    outcomes = list_outcomes(replay(True, tuple(demands.items())), 0.0, BURST_S + 1.0)
    outcomes = [one for one in outcomes if one.kind is kind]
    large = [one for one in outcomes if one.is_large]
    others = [one for one in outcomes if not one.is_large]
    assert len(large) >= 15
    assert compute_share(large, is_served) >= 0.5 * compute_share(others, is_served)


def test_refused_requests_do_not_return_as_one_burst():
    """Guards against a second burst of the requests that were refused in the first."""
    for one in replay(True):
        refused = [
            outcome
            for outcome in one.load.list_arrived(one.starts_at, one.ends_at)
            if outcome.return_at is not None
        ]
        assert len(refused) >= 30
        times = sorted(outcome.return_at for outcome in refused)
        n_most = max(
            sum(first <= other < first + 0.5 for other in times) for first in times
        )
        # An even spread over 4 s has an eighth of them in half a second.
        assert n_most <= 0.25 * len(times)


@pytest.mark.parametrize(("load", "seed"), [(BURST, 0), (1.3, 1)])
def test_a_workspace_whose_requests_are_all_late_is_served(load, seed):
    """Guards against a workspace that starves since all of its requests are late.

    Load pattern: a target that no request can meet, so that none of the workspace goes
    before those of others, which always have on-time ones.
    """
    demands = {"a": 1, "b": 1, "c": 1}
    balancer = build_balancer(n_backends=0, tokens_per_s=0.0, on_time_first=True)
    one = BurstLoad([balancer], 2, demands, seed, targets={"a": 0.001})
    one.drive(2.0, 0.7)
    one.drive(8.0, load)
    n_tokens = one.count_received(4.0, 10.0)
    assert n_tokens["a"] >= 0.5 * max(n_tokens.values())
