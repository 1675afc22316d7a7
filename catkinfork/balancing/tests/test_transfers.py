"""Tests of the choice of transfers: when an engine fetches, and from which one."""

from collections import Counter
from math import inf
from random import Random

import pytest

from catkinfork.balancing import (
    BROKEN,
    SERVED,
    UNREACHABLE,
    LoadFigures,
    PromptPart,
)
from catkinfork.balancing._models import QueueRank
from catkinfork.balancing._prefixes import PrefixCache
from catkinfork.balancing._transfers import MAX_TRANSFERS_PER_SOURCE
from catkinfork.balancing.tests.support import build_job
from catkinfork.balancing.tests.transfer_world import (
    ENGINE,
    N_PROMPT,
    SHARED,
    add_engine,
    build_fleet,
    configure,
    find_backend,
    find_source,
    hold,
    list_events,
    load,
    place,
    send,
    start,
)
from catkinfork.topology import DRAINING

# Settings and figures that switch transfers off.
OFF = {
    "no setting": {"min_speedup": 0.0},
    "no memory per token": {"engine": ENGINE._replace(token_bytes=0.0)},
    "no link": {"engine": ENGINE._replace(link_bytes_per_s=0.0)},
    "no token rate": {"tokens_per_s": 0.0},
    "slow link": {"engine": ENGINE._replace(link_bytes_per_s=2.4e8)},
}


def test_tokens_that_another_engine_has_are_fetched():
    """Guards against a shared part that every engine processes again.

    Load pattern: the only holder of a hot part is busy, and others are idle.
    """
    balancer = build_fleet()
    hold(balancer, 0)
    load(balancer, 0)
    placement = place(balancer)
    assert placement.backend.name != "e0"
    assert placement.transfer.source.name == "e0"
    assert placement.transfer.n_tokens == 5000
    # 2,000 tokens of its own, and 5,000 that count as 667.
    assert placement.cost == pytest.approx(3 * 2000 + 0.4 * 5000)
    assert placement.n_missing_tokens == 2667
    state = balancer.pools["s"].find(placement.backend.name)
    assert state.load.n_pending_tokens == 2667
    assert state.load.prefixes.count_cached_tokens([SHARED]) == 5000
    assert send(balancer, placement) == "10.0.0.1:8000"


@pytest.mark.parametrize("options", OFF.values(), ids=OFF)
@pytest.mark.parametrize("seed", range(4))
def test_placement_without_the_setting_or_a_figure_is_as_before(options, seed):
    """Guards against a fleet that places otherwise although transfers are off."""
    fleets = [build_fleet(8, **options), build_fleet(8, 0.0)]
    placed = []
    for balancer in fleets:
        rng = Random(seed)
        hold(balancer, *rng.sample(range(8), 3))
        for number in range(8):
            load(balancer, number, n_pending=rng.randrange(6000))
        placements = [place(balancer, own=100 + one) for one in range(12)]
        placed.append([(one.backend.name, one.cost) for one in placements])
        assert all(one.transfer is None for one in placements)
        assert all(send(balancer, one) is None for one in placements)
        assert list_events(balancer, "transfers_switched") == []
    assert placed[0] == placed[1]


@pytest.mark.parametrize("options", OFF.values(), ids=OFF)
def test_nothing_is_looked_up_while_transfers_are_off(options):
    """Guards against the cost of a pass over the engines without any use."""
    balancer = build_fleet(**options)
    candidates = balancer.list_candidates(balancer.pools["s"], 0.0)
    job = build_job(n_prompt=N_PROMPT, parts=(SHARED,))
    candidates.choose(job, QueueRank(0, False))
    assert candidates.plan is None


@pytest.mark.parametrize(("n_tokens", "is_fetched"), [(127, False), (128, True)])
def test_few_tokens_are_not_fetched(n_tokens, is_fetched):
    """Guards against transfers that take longer than a prefill of the same tokens."""
    balancer = build_fleet()
    parts = [PromptPart(0xB, n_tokens)]
    hold(balancer, 0, parts=parts)
    load(balancer, 0)
    placement = place(balancer, parts=parts, n_prompt=n_tokens)
    assert (placement.transfer is not None) == is_fetched


def test_only_tokens_beyond_the_own_cache_are_fetched():
    """Guards against the transfer of tokens that the engine has itself."""
    balancer = build_fleet(2)
    first, second = PromptPart(0xB, 1000), PromptPart(0xC, 3000)
    hold(balancer, 0, parts=[first, second])
    hold(balancer, 1, parts=[first])
    load(balancer, 0)
    placement = place(balancer, parts=[first, second], n_prompt=4500)
    assert placement.backend.name == "e1"
    assert placement.transfer.n_tokens == 3000
    assert placement.n_missing_tokens == 500 + 400


def eject(balancer, backend, now):
    """Eject an engine, as one that was unreachable."""
    state = balancer.pools["s"].find(backend.name)
    state.health.record_outcome(UNREACHABLE, 0.0, now)
    state.health.eject(now)


# What makes an engine no source, by its effect on engine 0.
INELIGIBLE = {
    "other version": lambda balancer, _: add_engine(balancer, 0, version="v2"),
    "draining": lambda balancer, one: balancer.registry.apply_entry(
        one.entry._replace(state=DRAINING, sequence=2), 0.0, "test"
    ),
    "leaving": lambda balancer, one: balancer.mark_leaving(one),
    "throttled": lambda balancer, one: balancer.registry.throttle(one, 5.0, "5", 0.0),
    "ejected": lambda balancer, one: eject(balancer, one, 0.0),
    "evacuated": lambda balancer, _: balancer.registry.set_evacuated({"kicukiro"}),
    "gone": lambda balancer, one: balancer.registry.remove(one.name, 0.0, 0.0),
    "restarted": lambda balancer, _: add_engine(
        balancer, 0, data_centre="kicukiro", started_ms=9000
    ),
    "address of another": lambda balancer, _: add_engine(
        balancer, 9, address="10.0.0.1:8000", data_centre="kicukiro"
    ),
    "host name": lambda balancer, _: add_engine(balancer, 0, address="engine-0:8000"),
    "excluded": lambda balancer, _: find_source(balancer, 0).backoff.exclude(0.0),
}


@pytest.mark.parametrize("change", INELIGIBLE.values(), ids=INELIGIBLE)
def test_engine_that_is_no_sound_source_is_not_used(change):
    """Guards against fetching from an engine that is leaving, gone or of no use."""
    balancer = build_fleet()
    add_engine(balancer, 0, data_centre="kicukiro")
    hold(balancer, 0)
    load(balancer, 0)
    balancer.list_candidates(balancer.pools["s"], 0.0)
    change(balancer, find_backend(balancer, 0))
    assert place(balancer).transfer is None


def test_engine_in_another_data_centre_is_a_source():
    """Guards against tests of unsound sources that pass for another reason."""
    balancer = build_fleet()
    add_engine(balancer, 0, data_centre="kicukiro")
    hold(balancer, 0)
    load(balancer, 0)
    assert place(balancer).transfer.source.name == "e0"


def test_part_that_an_engine_still_processes_is_not_fetched_from_it():
    """Guards against engines that wait for a part which none of them has yet.

    Load pattern: several requests with a new shared part arrive within a moment.
    """
    balancer = build_fleet(4)
    load(balancer, 1, 2, 3, n_pending=100)
    first = place(balancer, own=1)
    assert first.backend.name == "e0"
    load(balancer, 0)
    second = place(balancer, own=2)
    assert second.backend.name != "e0"
    assert second.transfer is None
    balancer.record_first_event(first, 0.1)
    third = place(balancer, 0.1, own=3)
    assert third.transfer.source.name == "e0"


def test_source_in_the_same_data_centre_is_preferred():
    """Guards against slow transfers between data centres while a near one serves."""
    balancer = build_fleet(5)
    add_engine(balancer, 9, data_centre="kicukiro")
    hold(balancer, 0, 9)
    load(balancer, 0, 9)
    sources = [place(balancer, own=own).transfer.source.name for own in range(4)]
    assert sources == ["e0"] * 4


def test_sources_share_the_transfers_of_a_hot_part():
    """Guards against one source that serves all transfers while others have the part.

    Load pattern: many engines fetch a hot part within a moment.
    """
    balancer = build_fleet(24)
    hold(balancer, 0, 1, 2)
    load(balancer, 0, 1, 2)
    placements = [place(balancer, own=100 + one) for one in range(9)]
    assert Counter(one.transfer.source.name for one in placements) == {
        "e0": 3,
        "e1": 3,
        "e2": 3,
    }


def test_sources_with_equal_transfers_are_chosen_at_random():
    """Guards against forwarders that all choose the same source at first."""
    chosen = set()
    for seed in range(20):
        balancer = build_fleet(8)
        balancer.rng.seed(seed)
        hold(balancer, 0, 1, 2)
        load(balancer, 0, 1, 2)
        chosen.add(place(balancer).transfer.source.name)
    assert chosen == {"e0", "e1", "e2"}


def test_transfers_from_one_source_are_limited():
    """Guards against an engine that is slow because many fetch from it at once."""
    balancer = build_fleet(24)
    hold(balancer, 0)
    load(balancer, 0)
    placements = [place(balancer, own=100 + one) for one in range(6)]
    sources = [one.transfer and one.transfer.source.name for one in placements]
    assert sources[:MAX_TRANSFERS_PER_SOURCE] == ["e0"] * MAX_TRANSFERS_PER_SOURCE
    # The first engine that fetched is assumed to have the part by then.
    assert "e0" not in sources[MAX_TRANSFERS_PER_SOURCE:]
    for one in placements:
        balancer.handle_attempt_end(one, SERVED, 0.5)
    assert find_source(balancer, 0).n_running == 0


def test_retry_has_no_transfer():
    """Guards against a request that fails again for the same transfer."""
    balancer = build_fleet()
    hold(balancer, 0)
    load(balancer, 0)
    placement = start(balancer)
    balancer.handle_attempt_end(placement, BROKEN, 0.1)
    again = balancer.resubmit(placement.job, 0.1)
    assert again.backend.name != placement.backend.name
    assert again.transfer is None


def test_stream_that_goes_on_has_no_transfer():
    """Guards against a stream that breaks off again for the same transfer."""
    balancer = build_fleet()
    hold(balancer, 0)
    load(balancer, 0)
    assert place(balancer, version="v1").transfer is None


def test_request_that_was_not_sent_is_placed_with_a_transfer_again():
    """Guards against counts of transfers that never began."""
    balancer = build_fleet()
    hold(balancer, 0)
    load(balancer, 0)
    placement = place(balancer)
    balancer.registry.throttle(placement.backend, 5.0, "5", 0.0)
    again = balancer.place_anew(placement, 0.0)
    assert again.backend.name not in ("e0", placement.backend.name)
    assert again.transfer.source.name == "e0"
    assert find_source(balancer, 0).n_running == 1


@pytest.mark.parametrize("name", ["leaving", "throttled", "gone", "restarted"])
def test_source_that_is_lost_before_the_request_is_sent_is_not_named(name):
    """Guards against a transfer from a server that has left since the placement."""
    balancer = build_fleet()
    hold(balancer, 0)
    load(balancer, 0)
    placement = place(balancer)
    INELIGIBLE[name](balancer, find_backend(balancer, 0))
    assert send(balancer, placement) is None
    assert placement.transfer is None
    assert balancer.pools["s"].transfers.n_running == 0
    assert balancer.pools["s"].transfers.n_transfers == 0


def restart_target(balancer, placement):
    """Let the engine that fetches start again with another version."""
    number = int(placement.backend.name[1:])
    add_engine(balancer, number, version="v2", started_ms=9000)


def take_address(balancer, placement):
    """Let another engine name the address of the source."""
    add_engine(balancer, 9, address=placement.transfer.source.entry.address)


@pytest.mark.parametrize("change", [restart_target, take_address])
def test_source_that_no_longer_fits_as_the_request_is_sent_is_not_named(change):
    """Guards against cached tokens of another version, or from another server.

    Load pattern: engines are replaced while a connection is being opened.
    """
    balancer = build_fleet()
    hold(balancer, 0)
    load(balancer, 0)
    placement = place(balancer)
    change(balancer, placement)
    assert send(balancer, placement) is None
    assert balancer.pools["s"].transfers.n_running == 0


@pytest.mark.parametrize("seed", range(20))
def test_lowest_cost_is_found_in_one_pass(seed, monkeypatch):
    """Guards against a decision that looks at engines twice, or misses the best.

    Load pattern: a flood at a host with 0.29 of a core.
    """
    rng = Random(seed)
    balancer = build_fleet(12)
    hold(balancer, *rng.sample(range(12), rng.randrange(1, 6)))
    pool = balancer.pools["s"]
    for number in range(12):
        figures = LoadFigures(rng.randrange(1, 30), rng.randrange(15_000), 0)
        pool.find(f"e{number}").load.set_peer_load("peer", figures)
    calls = []
    count = PrefixCache.count_cached_tokens
    monkeypatch.setattr(
        PrefixCache,
        "count_cached_tokens",
        lambda self, parts: calls.append(self) or count(self, parts),
    )
    job = build_job(n_prompt=N_PROMPT, parts=(SHARED, PromptPart(1, 1000)))
    candidates = balancer.list_candidates(pool, 0.0)
    best = candidates.choose(job, QueueRank(0, False))
    assert len(calls) <= 12
    offers = [candidates.price(job, one) for one in candidates.healthy]
    assert best.cost == min(one.cost for one in offers)


def test_speedup_follows_the_engines_of_the_fleet():
    """Guards against transfers where the link is no faster than the engines.

    With 4 engines the link is 40 times as fast as one of them serves tokens.
    """
    balancer = build_fleet(4)
    pool = balancer.pools["s"]
    balancer.list_candidates(pool, 0.0)
    assert pool.transfers.speedup == pytest.approx(40)
    configure(balancer, tokens_per_s=500_000.0, version=3)
    balancer.list_candidates(pool, 20.0)
    assert pool.transfers.speedup == pytest.approx(8)
    assert not pool.transfers.is_enabled
    events = list_events(balancer, "transfers_switched")
    assert [one["is_enabled"] for one in events] == [True, False]
    assert events[1]["engine_tokens_per_s"] == 125_000
    assert (events[1]["min_speedup"], events[1]["n_engines"]) == (10.0, 4)


def test_log_of_switches_is_bounded():
    """Guards against a log line for each read of the store while engines come and go.

    Load pattern: a speedup near the minimum while engines are replaced.
    """
    balancer = build_fleet(1)
    pool = balancer.pools["s"]
    for number in range(100):
        rate = 100_000.0 if number % 2 else 101_000.0
        configure(balancer, tokens_per_s=rate, version=3 + number)
        balancer.list_candidates(pool, 0.1 * number)
    n_lines = len(list_events(balancer, "transfers_switched"))
    assert 1 <= n_lines <= 2


def test_changed_settings_end_transfers():
    """Guards against transfers that go on after an operator has switched them off."""
    balancer = build_fleet()
    hold(balancer, 0)
    load(balancer, 0)
    first = start(balancer)
    settings = balancer.settings._replace(min_transfer_speedup=0.0)
    balancer.apply_settings(settings)
    assert place(balancer, 0.1, own=2).transfer is None
    balancer.record_first_event(first, 0.1)
    assert find_source(balancer, 0).n_running == 0
    assert first.transfer.due_at < inf
