"""Fair service of workspaces as forwarders spread their choices."""

import pytest

from catkinfork.peering.tests.saturated_fleet import (
    N_PROMPT_TOKENS,
    READING_RATE,
    SaturatedFleet,
)

N_ENGINES = 8
SETTLE_S = 4.0
SPAN_S = 6.0


@pytest.mark.parametrize(("n_nodes", "seed"), [(4, 0), (12, 0), (12, 1), (28, 0)])
def test_quota_keeps_fair_shares(n_nodes, seed):
    """Guards against a quota of room that starves a workspace, or leaves room unused.

    Load pattern: all requests of one workspace reach one host, which is short of
    processor time, and those of another one all hosts. Together they ask for twice of
    what the engines can read.
    """
    fleet = SaturatedFleet(n_nodes, N_ENGINES, seed)
    for node in fleet.nodes.values():
        balancer = node.balancer
        balancer.apply_settings(balancer.settings._replace(spread_choice=1))
    addresses = list(fleet.nodes)
    fleet.pass_intervals_s[addresses[-1]] = 0.1
    capacity = N_ENGINES * READING_RATE / N_PROMPT_TOKENS
    starts_at = fleet.now + SETTLE_S
    demands = (("a", 0.95, addresses[-1:]), ("b", 0.95, addresses))
    fleet.drive(starts_at + SPAN_S, capacity, demands)
    n_one_host, n_all_hosts = counts = [
        fleet.count_starts(name, starts_at, fleet.now) for name in "ab"
    ]
    assert n_one_host >= 0.5 * n_all_hosts
    assert sum(counts) >= 0.9 * capacity * SPAN_S
