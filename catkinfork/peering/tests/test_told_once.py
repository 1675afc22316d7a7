"""What a forwarder that restarts in turn knows of the rest (docs, section 2)."""

import pytest

from catkinfork.balancing import RetryBudgetSettings
from catkinfork.balancing.tests.support import build_job
from catkinfork.peering.tests.joining import JoiningFleet

SERVICE = "s"
# Time after the start of a forwarder within which full frames of all peers arrive.
REFRESH_S = 1.0
BUDGET = RetryBudgetSettings(ratio=0.2, n_extra_retries=60, window_s=10.0)


def build_fleet(n_nodes=4):
    """Return a fleet whose forwarders know each other."""
    fleet = JoiningFleet(n_nodes)
    fleet.run(2.0)
    return fleet


def spend(fleet, address):
    """Send all retries that a forwarder allows; return their number."""
    balancer = fleet.nodes[address].balancer
    pool = balancer.pools[SERVICE]
    pool.retry_budget.settings = BUDGET
    n_retries = 0
    while balancer.has_retry_budget(pool, fleet.now):
        pool.retry_budget.record_retry(fleet.now)
        balancer.changes.services.add(SERVICE)
        n_retries += 1
        fleet.run(0.02)
    return n_retries


def test_retry_budget_is_not_renewed_by_a_restart_in_turn():
    """Guards against retries of the whole budget again at each forwarder that starts.

    Load pattern: servers fail, the fleet has used its budget, and all forwarders are
    restarted in turn within the window.
    """
    fleet = build_fleet()
    started_at = fleet.now
    n_retries = spend(fleet, fleet.addresses[-1])
    assert n_retries > BUDGET.n_extra_retries / 2
    for address in fleet.addresses:
        fleet.restart([address])
        n_retries += spend(fleet, address)
        assert n_retries <= BUDGET.n_extra_retries
        assert fleet.now - started_at < BUDGET.window_s


def test_answers_of_several_peers_are_not_added_up():
    """Guards against a budget that is used up as three peers tell the same retries."""
    fleet = build_fleet(5)
    spender = fleet.nodes[fleet.addresses[-1]]
    for _ in range(3):
        spender.balancer.pools[SERVICE].retry_budget.record_retry(fleet.now)
        spender.balancer.changes.services.add(SERVICE)
        fleet.run(0.1)
    fleet.restart(fleet.addresses[:1])
    pool = fleet.nodes[fleet.addresses[0]].balancer.pools[SERVICE]
    assert pool.retry_budget.count_all(fleet.now)[1] == 3


def test_load_is_known_after_a_restart_in_turn():
    """Guards against servers that are overfilled by a forwarder that has just started.

    Full frames repeat all loads.
    """
    fleet = build_fleet()
    carrier = fleet.nodes[fleet.addresses[-1]]
    for _ in range(5):
        carrier.balancer.submit(build_job(fleet.now), fleet.now)
    fleet.run(0.5)
    for address in fleet.addresses[:-1]:
        fleet.restart([address])
        node = fleet.nodes[address]
        assert sum(node.load(name).n_all_in_flight for name in ("b0", "b1")) == 5


@pytest.mark.parametrize("is_last", [False, True], ids=["leaving", "limit"])
def test_what_servers_say_is_known_after_a_restart_in_turn(is_last):
    """Guards against requests to a server that has told others that it leaves.

    The same holds for the rate that it has named. Full frames repeat both while the
    forwarder that was told still runs.
    """
    fleet = build_fleet()
    told = fleet.nodes[fleet.addresses[-1]]
    backend = told.balancer.registry.backends["b0"]
    if is_last:
        told.balancer.record_rate_limit(backend, 5.0, fleet.now)
    else:
        told.balancer.mark_leaving(backend)
    fleet.run(0.5)
    for address in fleet.addresses[:-1]:
        fleet.restart([address])
        fleet.run(REFRESH_S)
        registry = fleet.nodes[address].balancer.registry
        known = registry.backends["b0"]
        if is_last:
            assert registry.rate_limits.find(known.entry).rate == 5.0
        else:
            assert known.is_leaving


def test_service_of_workspaces_begins_at_zero_after_a_restart():
    """Guards against totals of peers since their start that count as recent service.

    A workspace would wait behind all others for what it received long ago. The totals
    of peers are a baseline; what they serve from then on counts.
    """
    fleet = build_fleet(3)
    serving = fleet.nodes[fleet.addresses[-1]]
    serving.balancer.workspaces = ["a"]
    shares = serving.balancer.pools[SERVICE].shares
    shares.record_service("a", 100_000, fleet.now)
    serving.balancer.changes.workspaces.add((SERVICE, "a"))
    fleet.run(0.5)
    fleet.restart(fleet.addresses[:1])
    joined = fleet.nodes[fleet.addresses[0]]
    joined.balancer.workspaces = ["a"]
    key = (
        joined.exchange.compute_hash(SERVICE),
        joined.exchange.compute_hash("a"),
    )
    fleet.run(3.0)
    assert joined.directory.peers[serving.address].uses[key][1] == 100_000
    before = joined.balancer.pools[SERVICE].queue.compute_priority("a", fleet.now)
    shares.record_service("a", 7_000, fleet.now)
    serving.balancer.changes.workspaces.add((SERVICE, "a"))
    fleet.run(0.3)
    after = joined.balancer.pools[SERVICE].queue.compute_priority("a", fleet.now)
    assert before < 1_000 < after


def test_limit_is_known_again_with_the_next_response():
    """Guards against a limit that nobody keeps to, once all have restarted in turn.

    The host to which a response had named it does not know it after its restart. The
    next response names it again, at any host.
    """
    fleet = build_fleet()
    told = fleet.nodes[fleet.addresses[-1]].balancer
    told.record_rate_limit(told.registry.backends["b0"], 5.0, fleet.now)
    fleet.run(0.5)
    for address in fleet.addresses:
        fleet.restart([address])
    told = fleet.nodes[fleet.addresses[1]].balancer
    told.record_rate_limit(told.registry.backends["b0"], 5.0, fleet.now)
    fleet.run(REFRESH_S)
    for node in fleet.nodes.values():
        registry = node.balancer.registry
        limit = registry.rate_limits.find(registry.backends["b0"].entry)
        assert limit.rate == 5.0


def test_waiting_jobs_of_peers_are_known_after_a_restart():
    """Guards against a host that passes work of higher priority as it has started.

    Each frame tells the priority of the first queued job.
    """
    fleet = build_fleet(3)
    waiting = fleet.nodes[fleet.addresses[-1]]
    pool = waiting.balancer.pools[SERVICE]
    while not pool.queue.n_jobs:
        waiting.balancer.submit(build_job(fleet.now), fleet.now)
    waiting.balancer.dispatch_queued(fleet.now)
    fleet.run(0.3)
    fleet.restart(fleet.addresses[:1])
    joined = fleet.nodes[fleet.addresses[0]].balancer.pools[SERVICE]
    assert joined.peer_priorities[waiting.address] == pool.priority


def test_engine_caches_are_learned_again_after_a_restart():
    """Guards against prompts that are read again for longer than it takes to place one.

    What engines keep is told when a request is placed, and not again: a host that has
    started learns it from the next request of any host.
    """
    fleet = build_fleet(3)
    fleet.restart(fleet.addresses[:1])
    placing = fleet.nodes[fleet.addresses[-1]].balancer
    placement = placing.submit(build_job(fleet.now, parts=[(5, 600)]), fleet.now)
    fleet.run(0.3)
    joined = fleet.nodes[fleet.addresses[0]]
    parts = placement.job.parts
    kept = {
        name: joined.load(name).prefixes.count_cached_tokens(parts)
        for name in ("b0", "b1")
    }
    assert kept.pop(placement.backend.name) > 0
    assert set(kept.values()) == {0}
