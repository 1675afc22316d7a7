"""Tests of the choice of a backend server."""

from random import Random

import pytest

from catkinfork.balancing import (
    BROKEN,
    CONNECTION_REFUSED,
    FAILED,
    MISDIRECTED,
    NO_BACKEND,
    SERVED,
    UNREACHABLE,
    LoadFigures,
    Placement,
    PromptPart,
    Refusal,
)
from catkinfork.balancing._models import QueueRank
from catkinfork.balancing.tests.support import (
    PLAIN,
    Peers,
    add_backend,
    build_balancer,
    build_job,
    build_route,
    serve,
    submit,
)

SHARED = ((1, 500), (2, 4000))


def test_requests_spread_over_backends():
    """Guards against one backend server that is loaded while others are idle."""
    balancer = build_balancer(n_backends=3)
    names = [submit(balancer, 0.0).backend.name for _ in range(3)]
    assert sorted(names) == ["b0", "b1", "b2"]


def test_requests_prefer_engines_with_cached_prompt_parts():
    """Guards against shared prompt parts that every engine processes again."""
    balancer = build_balancer(n_backends=3)
    first = submit(balancer, 0.0, n_prompt=5000, parts=(*SHARED, (7, 500)))
    serve(balancer, first, 0.1)
    second = submit(balancer, 0.2, n_prompt=5000, parts=(*SHARED, (8, 500)))
    assert second.backend.name == first.backend.name
    assert second.n_missing_tokens == 500


def test_pending_prompts_outweigh_cached_parts():
    """Guards against a popular prompt that overloads one engine while others idle."""
    balancer = build_balancer(n_backends=2)
    names = []
    for number in range(12):
        parts = (*SHARED, (100 + number, 2000))
        decision = submit(balancer, 0.0, n_prompt=6500, parts=parts)
        if isinstance(decision, Placement):
            names.append(decision.backend.name)
    assert set(names) == {"b0", "b1"}


def test_load_of_peers_is_included():
    """Guards against forwarders that all choose the same backend server."""
    balancer = build_balancer(n_backends=2)
    pool = balancer.pools["s"]
    pool.find("b0").load.set_peer_load("10.0.0.2", LoadFigures(3, 9000, 9000))
    assert submit(balancer, 0.0).backend.name == "b1"
    pool.find("b0").load.set_peer_load("10.0.0.2", LoadFigures())
    assert pool.find("b0").load.n_all_pending_tokens == 0


def test_own_data_centre_is_preferred():
    """Guards against unnecessary traffic between data centres."""
    balancer = build_balancer(n_backends=0, engine=False)
    add_backend(balancer, "far", data_centre="kicukiro")
    add_backend(balancer, "near")
    assert submit(balancer, 0.0, route=PLAIN).backend.name == "near"


def test_engine_memory_is_not_overcommitted():
    """Guards against an engine that preempts requests for lack of memory."""
    balancer = build_balancer(n_backends=1)
    n_placed = 0
    for _ in range(30):
        decision = submit(balancer, 0.0, n_prompt=40_000, n_output=100)
        if not isinstance(decision, Placement):
            break
        balancer.record_first_event(decision, 0.0)
        n_placed += 1
    assert n_placed == 11


def test_unreachable_backend_is_ejected():
    """Guards against requests to a backend server that refuses connections."""
    balancer = build_balancer(n_backends=2, engine=False)
    placement = submit(balancer, 0.0, route=PLAIN)
    balancer.handle_attempt_end(placement, UNREACHABLE, 0.0)
    names = {submit(balancer, 0.1, route=PLAIN).backend.name for _ in range(4)}
    assert len(names) == 1
    assert placement.backend.name not in names


def test_failing_backend_is_ejected_and_readmitted():
    """Guards against a backend server that fails requests but passes health checks."""
    balancer = build_balancer(n_backends=2, engine=False)
    now = 0.0
    for _ in range(40):
        now += 0.01
        placement = submit(balancer, now, route=PLAIN)
        outcome = FAILED if placement.backend.name == "b0" else SERVED
        balancer.handle_attempt_end(placement, outcome, now)
    assert balancer.pools["s"].find("b0").health.is_ejected(now)
    assert not balancer.pools["s"].find("b1").health.is_ejected(now)
    assert not balancer.pools["s"].find("b0").health.is_ejected(now + 5.0)


def test_failures_of_the_whole_service_eject_no_backend():
    """Guards against ejecting backend servers for errors that all of them return."""
    balancer = build_balancer(n_backends=3, engine=False)
    now = 0.0
    for number in range(200):
        now += 0.01
        placement = submit(balancer, now, route=PLAIN)
        outcome = FAILED if number % 6 == 0 else SERVED
        balancer.handle_attempt_end(placement, outcome, now)
    states = balancer.pools["s"].states.values()
    assert not any(state.health.is_ejected(now) for state in states)


def test_cold_backend_gets_only_the_slow_start_rate():
    """Guards against a cold backend server that is overloaded by full traffic."""
    peers = Peers(n_fresh=4, n_forwarders=4)
    balancer = build_balancer(n_backends=0, peers=peers, cold_rate=16.0)
    add_backend(balancer, "cold", cold_s=10.0)
    n_sent = 0
    for tick in range(1000):
        now = tick * 0.001
        if balancer.has_waiting():
            decisions = balancer.dispatch_queued(now)
        else:
            decisions = [(None, submit(balancer, now))]
        n_sent += sum(isinstance(decision, Placement) for _, decision in decisions)
    assert 2 <= n_sent <= 4


@pytest.mark.parametrize("n_requests", [1, 30])
def test_first_requests_to_cold_backend_are_spread_over_forwarders(n_requests):
    """Guards against forwarders that all send their first request at once.

    Load pattern: a backend server returns cold while many forwarders have work. They
    have started again, and have not heard what the others are asked for.
    """
    n_forwarders, cold_rate, cold_s = 68, 9.8, 3.0
    sent_at = []
    for seed in range(n_forwarders):
        balancer = build_balancer(
            n_backends=0, peers=Peers(n_forwarders, n_forwarders), cold_rate=cold_rate
        )
        balancer.rng.seed(seed)
        add_backend(balancer, "cold", cold_s=cold_s)
        decisions = [submit(balancer, 0.0) for _ in range(n_requests)]
        sent_at += [0.0 for one in decisions if isinstance(one, Placement)]
        for tick in range(1, 60):
            now = 0.05 * tick
            decisions = [one for _, one in balancer.dispatch_queued(now)]
            sent_at += [now for one in decisions if isinstance(one, Placement)]
    per_second = [
        sum(start <= at < start + 1.0 for at in sent_at) for start in (0.0, 1.0, 2.0)
    ]
    assert sent_at
    assert max(per_second) <= 1.5 * cold_rate + 5


def test_service_without_backends_is_refused_at_once():
    """Guards against a request that is queued although no backend server exists."""
    balancer = build_balancer(n_backends=0)
    decision = submit(balancer, 0.0)
    assert isinstance(decision, Refusal)
    assert decision.reason == NO_BACKEND
    assert decision.retry_after_s > 0


@pytest.mark.parametrize(("n_crashes", "is_blocked"), [(2, False), (3, True)])
def test_crashing_request_is_blocked(n_crashes, is_blocked):
    """Guards against a request that crashes every backend server."""
    balancer = build_balancer(n_backends=5, engine=False)
    for _ in range(n_crashes):
        placement = submit(balancer, 0.0, route=PLAIN, fingerprint=42)
        balancer.handle_attempt_end(placement, BROKEN, 0.0)
    decision = submit(balancer, 1.0, route=PLAIN, fingerprint=42)
    assert isinstance(decision, Refusal) == is_blocked
    assert isinstance(submit(balancer, 1.0, route=PLAIN, fingerprint=43), Placement)


def test_success_resets_the_crash_count():
    """Guards against blocking a request for unrelated connection losses."""
    balancer = build_balancer(n_backends=5, engine=False)
    for _ in range(4):
        placement = submit(balancer, 0.0, route=PLAIN, fingerprint=42)
        balancer.handle_attempt_end(placement, BROKEN, 0.0)
        serve(balancer, submit(balancer, 0.0, route=PLAIN, fingerprint=42), 0.1)
    assert isinstance(submit(balancer, 1.0, route=PLAIN, fingerprint=42), Placement)


def test_request_beyond_the_slots_is_queued():
    """Guards against requests that queue at one engine while others become idle."""
    balancer = build_balancer(n_backends=1, n_slots=2)
    first = submit(balancer, 0.0)
    submit(balancer, 0.0)
    job = build_job(0.0)
    assert balancer.submit(job, 0.0) is None
    serve(balancer, first, 0.1)
    ((placed, decision),) = balancer.dispatch_queued(0.1)
    assert placed is job
    assert isinstance(decision, Placement)


def test_request_waits_for_the_backend_that_caches_its_prompt():
    """Guards against processing a long shared prompt again if its engine is busy."""
    balancer = build_balancer(n_backends=2)
    first = submit(balancer, 0.0, n_prompt=20_000, parts=((1, 20_000),))
    serve(balancer, first, 0.1)
    submit(balancer, 0.2, n_prompt=40_000, parts=((1, 20_000), (5, 20_000)))
    job = build_job(0.2, n_prompt=20_500, parts=((1, 20_000), (6, 500)))
    assert balancer.submit(job, 0.2) is None
    small = build_job(0.2, n_prompt=500)
    balancer.submit(small, 0.2)
    ((placed, placement),) = balancer.dispatch_queued(0.2)
    assert placed is small
    assert placement.backend.name != first.backend.name


@pytest.mark.parametrize("engine", [False, True])
def test_connection_limit_of_a_backend_limits_its_requests(engine):
    """Guards against connections that a backend server resets above its limit."""
    balancer = build_balancer(n_backends=1, engine=engine, max_connections=10)
    decisions = [submit(balancer, 0.0, n_prompt=10) for _ in range(12)]
    assert sum(isinstance(one, Placement) for one in decisions) == 8


def test_reserved_capacity_grows_with_the_peers_ahead():
    """Guards against equal capacity for workspaces with unequal recent service.

    The order of two queued workspaces must matter even if a third one has received the
    least service of all. Room that is contended is taken after some draws.
    """
    route = build_route(timeout_s=600.0, caller_idle_timeout_s=600.0)
    n_placed = []
    for n_peers_ahead in range(5):
        balancer = build_balancer(n_backends=1)
        for number in range(n_peers_ahead):
            balancer.pools["s"].set_peer_priority(f"10.0.0.{number}", -1.0)
        decisions = [submit(balancer, 0.0, n_prompt=0, route=route) for _ in range(70)]
        for step in range(1, 100):
            decisions += [one for _, one in balancer.dispatch_queued(0.3 * step)]
        n_placed.append(sum(isinstance(one, Placement) for one in decisions))
    assert n_placed[0] == 64
    assert n_placed[0] > n_placed[1] > n_placed[2] > n_placed[3] >= 48
    assert n_placed[4] == n_placed[3]


def test_prompt_of_a_running_request_does_not_evict_its_own_parts():
    """Guards against evicting cached parts in the model while requests run.

    The prompt of a running request consists of cached parts, so it needs no memory in
    addition to them.
    """
    balancer = build_balancer(n_backends=1)
    for number in range(5):
        parts = ((number, 60_000), (100 + number, 1000))
        placement = submit(balancer, 0.0, n_prompt=61_000, parts=parts)
        balancer.record_first_event(placement, 0.0)
    placement = submit(balancer, 0.1, n_prompt=61_000, parts=((0, 60_000), (9, 1000)))
    assert placement.n_missing_tokens == 1000


def test_requests_queued_for_one_engine_overflow_to_an_idle_one():
    """Guards against a long shared prompt whose requests all wait for one engine."""
    balancer = build_balancer(n_backends=2)
    for number in range(12):
        parts = ((1, 5400), (100 + number, 6600))
        submit(balancer, 0.0, n_prompt=12_000, parts=parts)
    balancer.dispatch_queued(0.0)
    loads = [balancer.pools["s"].find(name).load for name in ("b0", "b1")]
    assert min(load.n_in_flight for load in loads) >= 1


@pytest.mark.parametrize("seed", range(20))
def test_early_end_of_the_search_finds_the_lowest_cost(seed):
    """Guards against a better backend server behind the end of the sorted search."""
    rng = Random(seed)
    balancer = build_balancer(n_backends=12)
    pool = balancer.pools["s"]
    for number in range(12):
        load = pool.find(f"b{number}").load
        figures = LoadFigures(rng.randrange(1, 30), rng.randrange(15_000), 0)
        load.set_peer_load("peer", figures)
        cached = [part for part in SHARED if rng.random() < 0.5]
        load.prefixes.record_use([PromptPart(*part) for part in cached])
    job = build_job(n_prompt=6000, parts=(*SHARED, (99, 1500)))
    candidates = balancer.list_candidates(pool, 0.0)
    best = candidates.choose(job, QueueRank(0, False))
    model = pool.model
    costs = [
        entry.base_cost
        + model.missing_token_weight
        * model.estimate_missing_tokens(job, entry.state.load)
        for entry in candidates.healthy
    ]
    assert best.cost == min(costs)


def test_pass_over_a_long_queue_visits_few_backends():
    """Guards against a pass whose cost is the product of queue and backend servers.

    Load pattern: a flood at a host with 0.387 cores, 64 queued jobs and 25 engines.
    """
    balancer = build_balancer(n_backends=25, n_slots=1)
    for _ in range(25):
        submit(balancer, 0.0)
    for _ in range(64):
        submit(balancer, 0.0)
    model = balancer.pools["s"].model
    calls = []
    estimate = model.estimate_base_cost
    model.estimate_base_cost = lambda *args: calls.append(args) or estimate(*args)
    balancer.dispatch_queued(0.1)
    assert len(calls) == 25


def test_pass_over_a_flood_tries_few_of_its_jobs():
    """Guards against a pass that searches room for each job of a flood.

    Load pattern: all engines are full, and jobs of a flooding workspace wait in front
    of one of another workspace, which fits.
    """
    balancer = build_balancer(n_backends=4)
    running = [submit(balancer, 0.0, workspace="c", n_prompt=14_000) for _ in range(4)]
    for _ in range(200):
        balancer.submit(build_job(0.0, workspace="a", n_prompt=8000), 0.0)
    fitting = build_job(0.0, workspace="b", n_prompt=500)
    balancer.submit(fitting, 0.0)
    balancer.pools["s"].shares.record_service("b", 10_000, 0.0)
    tried = []
    place = balancer.place
    balancer.place = lambda pool, job, *args: (
        tried.append(job.workspace) or place(pool, job, *args)
    )
    ((job, _),) = balancer.dispatch_queued(0.1)
    assert job is fitting
    assert tried.count("a") <= 8
    serve(balancer, running[0], 0.2)
    assert {job.workspace for job, _ in balancer.dispatch_queued(0.2)} == {"a"}


def test_crashed_servers_do_not_attract_requests():
    """Guards against requests that are refused after trying several dead servers.

    Load pattern: a fifth of the engines have crashed under load and refuse connections.
    They look empty, and the failures of the requests that they ran raise the failure
    rate of the whole service.
    """
    balancer = build_balancer(n_backends=26)
    running = [submit(balancer, 0.0, n_prompt=100) for _ in range(260)]
    crashed = {f"b{number}" for number in range(5)}
    for placement in running:
        if placement.backend.name in crashed:
            balancer.handle_attempt_end(placement, BROKEN, 0.1)
    n_refused = 0
    n_connections = 0
    for number in range(100):
        now = 0.2 + 0.002 * number
        decision = submit(balancer, now, n_prompt=100)
        while isinstance(decision, Placement) and decision.backend.name in crashed:
            n_connections += 1
            balancer.handle_attempt_end(decision, CONNECTION_REFUSED, now)
            if not balancer.allows_retry(decision, CONNECTION_REFUSED, now):
                n_refused += 1
                break
            decision = balancer.resubmit(decision.job, now)
    assert n_refused == 0
    assert n_connections <= 5


@pytest.mark.parametrize("outcome", [CONNECTION_REFUSED, MISDIRECTED])
def test_server_that_is_gone_is_tried_again_later(outcome):
    """Guards against a server that stays out although it is back."""
    balancer = build_balancer(n_backends=2)
    placement = submit(balancer, 0.0)
    name = placement.backend.name
    balancer.handle_attempt_end(placement, outcome, 0.0)
    later = [submit(balancer, 0.1 * step) for step in range(1, 12)]
    names = [one.backend.name for one in later]
    assert name not in names[:4]
    assert name in names


def test_server_that_starts_again_under_its_name_is_new():
    """Guards against an ejection, or cached prompt parts, of the start before."""
    balancer = build_balancer(n_backends=2)
    parts = SHARED
    placement = submit(balancer, 0.0, n_prompt=5000, parts=parts)
    name = placement.backend.name
    state = balancer.pools["s"].find(name)
    balancer.handle_attempt_end(placement, CONNECTION_REFUSED, 0.0)
    assert state.health.is_ejected(0.1)
    entry = placement.backend.entry._replace(started_ms=5000)
    balancer.registry.apply_entry(entry, 0.1, "test")
    names = {submit(balancer, 0.1).backend.name for _ in range(4)}
    assert name in names
    assert state.load.prefixes.count_cached_tokens(build_job(parts=parts).parts) == 0
    assert state.load.n_in_flight == 2
