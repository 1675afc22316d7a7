"""Tests of the choice that allows for placements of peers not yet known."""

from collections import Counter
from types import SimpleNamespace

import pytest

from benchmarks.even_choices import CHOICES
from benchmarks.even_fleet import EvenFleet
from catkinfork.balancing._candidates import CandidateEntry, CandidateList
from catkinfork.balancing._contention import MIN_DRAW_INTERVAL_S, RoomQuota
from catkinfork.balancing._events import LOAD_SPREAD
from catkinfork.balancing._selection import LOWEST_COST
from catkinfork.balancing._spread import SPREAD_CHOICE, compute_level
from catkinfork.balancing._untold import UntoldLoad
from catkinfork.balancing.tests.support import (
    PLAIN,
    Peers,
    add_backend,
    build_balancer,
    build_job,
    serve,
)

SEED = 1
N_NODES = 28
LOAD = 0.7
SETTLE_S = 2.0
SPAN_S = 2.0
BEFORE, AFTER = "lowest cost", "unseen filled"


def build_spread_balancer(**options):
    """Return a balancer with the spread choice."""
    balancer = build_balancer(**options)
    balancer.apply_settings(balancer.settings._replace(spread_choice=1))
    return balancer


class FixedUntoldLoad(UntoldLoad):
    """Untold load with a fixed mean."""

    def sample(self):
        """Return the mean."""
        return self.mean_placed_cost


def set_unseen_cost(balancer, cost, n_requests=400):
    """Let a balancer expect that peers have placed some cost unseen."""
    pool = balancer.pools["s"]
    pool.untold = FixedUntoldLoad()
    pool.untold.mean_placed_cost = cost / n_requests
    pool.demand.peer_requests.add(n_requests, 0.0)


@pytest.fixture(scope="module")
def replays():
    """Return the figures of a short replay, with each choice, and price counts."""
    results = {}
    for name in (BEFORE, AFTER):
        counter = Counter()
        fleet = EvenFleet(N_NODES, N_NODES, 0.0, SEED, CHOICES[name])
        original = CandidateList.price

        def price(self, job, entry, original=original, counter=counter):
            counter["priced"] += 1
            return original(self, job, entry)

        CandidateList.price = price
        try:
            figures = fleet.run(LOAD, SETTLE_S, SPAN_S, SEED).summarize()
        finally:
            CandidateList.price = original
        figures["bytes"] = fleet.n_frame_bytes
        figures["frames"] = fleet.n_frames
        figures["priced"] = counter["priced"] / fleet.workload.n_jobs
        results[name] = figures
    return SimpleNamespace(before=results[BEFORE], after=results[AFTER])


@pytest.mark.parametrize("figure", ["deviation", "maximum"])
def test_imbalance_is_halved(replays, figure):
    """Guards against servers that are overloaded in turn while others idle.

    Load pattern: 28 forwarders choose among 28 engines with views of 10 to 100 ms, in
    waves and a burst of three kinds of prompts with shared parts.
    """
    assert replays.after[figure] <= 0.5 * replays.before[figure]


def test_imbalance_does_not_rise(replays):
    """Guards against a choice that loads engines less evenly than the lowest cost."""
    before, after = replays.before, replays.after
    assert after["deviation"] * after["mean_tokens"] <= (
        before["deviation"] * before["mean_tokens"]
    )
    assert after["maximum"] * after["mean_tokens"] <= (
        before["maximum"] * before["mean_tokens"]
    )
    assert after["wasted"] <= before["wasted"]


def test_more_requests_are_on_time(replays):
    """Guards against even load that is paid for with the time to first event."""
    assert replays.after["on_time"] >= replays.before["on_time"]
    assert replays.after["p95_ms"] <= replays.before["p95_ms"]


def test_repeated_prefill_does_not_rise(replays):
    """Guards against spread requests that miss the prefix caches."""
    assert replays.after["repeated"] <= 1.1 * replays.before["repeated"]


def test_frames_do_not_rise(replays):
    """Guards against fresher views that are paid for with datagrams."""
    before, after = replays.before, replays.after
    assert after["bytes"] <= before["bytes"]
    assert after["frames"] <= before["frames"]


def test_choice_visits_few_offers(replays):
    """Guards against a choice that takes processor time from the requests."""
    assert replays.after["priced"] <= 2.0 * replays.before["priced"]


def test_level_is_filled_like_water():
    """Guards against a level that counts servers which the others do not reach."""
    entries = [CandidateEntry(None, None, cost, False) for cost in (0, 100, 400)]
    assert compute_level(entries, 0.0) == 0.0
    assert compute_level(entries, 60.0) == 60.0
    assert compute_level(entries, 300.0) == 200.0
    assert compute_level(entries, 1_000.0) == 500.0


def test_draws_follow_the_lack_of_load():
    """Guards against draws that leave idle servers idle as others fill up.

    Load pattern: one engine has 1,000 tokens less than the level, one 3,000, and one
    is above it.
    """
    balancer = build_spread_balancer()
    for name, n_tokens in (("b0", 3_000), ("b1", 1_000), ("b2", 9_000)):
        balancer.pools["s"].find(name).load.n_pending_tokens = n_tokens
    set_unseen_cost(balancer, 4_000.0)
    job = build_job()
    drawn = Counter(choose(balancer, job).entry.backend.name for _ in range(2_000))
    assert drawn["b2"] == 0
    assert drawn["b1"] / drawn["b0"] == pytest.approx(3.0, rel=0.15)


def test_cached_prefix_is_worth_more_than_a_draw():
    """Guards against prompts that are prefilled again though their engine is free."""
    balancer = build_spread_balancer()
    parts = [(0xA, 900), (0xB, 100)]
    load = balancer.pools["s"].find("b1").load
    load.prefixes.record_use(build_job(parts=parts[:1]).parts)
    set_unseen_cost(balancer, 6_000.0)
    for _ in range(50):
        offer = choose(balancer, build_job(parts=parts))
        assert offer.entry.backend.name == "b1"


def test_one_forwarder_takes_the_lowest_cost():
    """Guards against a choice that differs although nothing can be unseen."""
    balancer = build_spread_balancer(n_backends=6)
    for number in range(200):
        now = 0.01 * number
        parts = [(number % 7, 800), (1_000 + number, 300)]
        job = build_job(now, parts=parts, n_prompt=1_100)
        candidates = balancer.list_candidates(balancer.pools["s"], now)
        lowest = LOWEST_COST.select(candidates, job)
        placement = balancer.submit(job, now)
        assert placement.cost == pytest.approx(lowest.cost)
        if number % 3:
            serve(balancer, placement, now)


def test_plain_server_nearby_is_preferred():
    """Guards against traffic between data centres while a near server is as free."""
    balancer = build_spread_balancer(n_backends=1, engine=False)
    add_backend(balancer, "far", data_centre="kicukiro")
    for _ in range(50):
        job = build_job(route=PLAIN)
        assert choose(balancer, job).entry.backend.name == "b0"


def test_forwarders_that_know_nothing_choose_apart():
    """Guards against the first server being overloaded as all forwarders start."""
    drawn = Counter(
        choose(balancer, build_job()).entry.backend.name
        for balancer in [build_spread_balancer(n_backends=4)]
        for _ in range(400)
    )
    assert len(drawn) == 4
    assert max(drawn.values()) <= 150


def test_rates_bind_a_draw():
    """Guards against cold servers that get more than they can handle as they idle."""
    balancer = build_spread_balancer(n_backends=1, cold_rate=1.0, peers=Peers(28, 28))
    add_backend(balancer, "cold", cold_s=10.0)
    balancer.pools["s"].find("b0").load.n_pending_tokens = 8_000
    set_unseen_cost(balancer, 20_000.0)
    n_cold = sum(
        choose(balancer, build_job()).entry.backend.name == "cold" for _ in range(100)
    )
    assert n_cold == 0


def test_untold_load_falls_with_each_frame():
    """Guards against an expectation that goes on growing as frames are sent."""
    untold = UntoldLoad()
    for _ in range(1_000):
        untold.record_placed(500.0)
        untold.sample()
        untold.record_placed(500.0)
        untold.mark_told()
    assert untold.sample() < 500.0
    assert untold.compute_urgency() == 0.0
    untold.record_placed(3_000.0)
    assert untold.compute_urgency() == pytest.approx(3.0, rel=0.1)


@pytest.mark.parametrize("n_peers_ahead", [3, 27])
def test_quota_divides_all_room(n_peers_ahead):
    """Guards against room that is taken many times, or that nobody takes.

    Load pattern: jobs wait at all forwarders, and there is room for 14 at the engines
    together.
    """
    rng = build_balancer().rng
    n_taken = []
    for _ in range(200):
        quotas = [RoomQuota() for _ in range(n_peers_ahead + 1)]
        n_taken.append(
            sum(
                quota.may_take(lambda: 14.0, n_peers_ahead, 0.0, rng, 0.0)
                for quota in quotas
                for _ in range(8)
            )
        )
    assert sum(n_taken) / 200 == pytest.approx(14.0, rel=0.1)
    quota = RoomQuota()
    while quota.may_take(lambda: 14.0, n_peers_ahead, 0.0, rng, 0.0):
        pass
    assert not quota.may_take(lambda: 14.0, n_peers_ahead, 0.0, rng, 0.0)
    assert quota.may_take(lambda: 99.0, n_peers_ahead, 0.0, rng, MIN_DRAW_INTERVAL_S)
    assert quota.may_take(lambda: 0.0, 0, 0.0, rng, 0.0)


def test_report_names_the_busiest_server():
    """Guards against a report that can't tell a hot prefix from herd behaviour."""
    balancer = build_spread_balancer(n_backends=4)
    events = []
    balancer.write_log = events.append
    for number in range(200):
        now = 0.05 * number
        job = build_job(now, parts=[(7, 950), (1_000 + number, 50)])
        balancer.submit(job, now)
    reports = [one for one in events if one.event is LOAD_SPREAD]
    assert len(reports) == 1
    values = dict(zip(LOAD_SPREAD.fields, reports[0].values, strict=True))
    assert values["imbalance"] > 1.0
    assert values["busiest"] in balancer.pools["s"].states
    assert 0.0 < values["placed_share"] <= 1.0
    assert values["cached_share"] >= 0.5


def choose(balancer, job):
    """Return the offer that the selection of a balancer takes."""
    candidates = balancer.list_candidates(balancer.pools["s"], 0.0)
    assert candidates.selection is SPREAD_CHOICE
    return candidates.selection.select(candidates, job)


def test_setting_switches_the_choice():
    """Guards against a setting that has no effect until the next start."""
    balancer = build_balancer()
    pool = balancer.pools["s"]
    assert pool.selection is LOWEST_COST
    balancer.apply_settings(balancer.settings._replace(spread_choice=1))
    assert pool.selection is SPREAD_CHOICE
    balancer.apply_settings(balancer.settings._replace(spread_choice=0))
    assert pool.selection is LOWEST_COST
