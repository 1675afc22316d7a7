"""Fair service of workspaces whose requests reach different numbers of hosts."""

import pytest

from catkinfork.peering.tests.saturated_fleet import (
    N_PROMPT_TOKENS,
    READING_RATE,
    SaturatedFleet,
)

# Time until the load is steady, and the span in which the service of workspaces is
# compared, seconds.
SETTLE_S = 4.0
SPAN_S = 6.0


@pytest.mark.parametrize(
    ("n_nodes", "pass_interval_s", "seed"),
    [(4, 0.15, 0), (12, 0.15, 0), (12, 0.15, 1), (28, 0.1, 0)],
)
def test_workspace_at_one_slow_host_gets_its_share(n_nodes, pass_interval_s, seed):
    """Guards against a workspace that starves as all of its requests reach one host.

    Load pattern: that host is short of processor time, so that it looks for room less
    often than the others. Another workspace sends as many requests through all hosts,
    where one of them waits wherever room becomes free. Together they ask for twice of
    what the engines can read.
    """
    n_engines = 8
    fleet = SaturatedFleet(n_nodes, n_engines, seed)
    addresses = list(fleet.nodes)
    fleet.pass_intervals_s[addresses[-1]] = pass_interval_s
    capacity = n_engines * READING_RATE / N_PROMPT_TOKENS
    starts_at = fleet.now + SETTLE_S
    fleet.drive(
        starts_at + SPAN_S,
        capacity,
        (("a", 0.95, addresses[-1:]), ("b", 0.95, addresses), ("c", 0.1, addresses)),
    )
    n_one_host, n_all_hosts, _ = counts = [
        fleet.count_starts(name, starts_at, fleet.now) for name in "abc"
    ]
    assert n_one_host >= 0.5 * n_all_hosts
    assert sum(counts) >= 0.9 * capacity * SPAN_S


@pytest.mark.parametrize(("n_nodes", "seed"), [(4, 0), (4, 1), (12, 0), (12, 1)])
def test_workspace_that_used_most_is_served_as_capacity_falls(n_nodes, seed):
    """Guards against a workspace that gets nothing until others have caught up (FAIR).

    Load pattern: one workspace uses most of the capacity through one host, while the
    others ask for little. Then half of the engines leave, and four others ask for more
    than is left.
    """
    n_engines = 8
    fleet = SaturatedFleet(n_nodes, n_engines, seed)
    addresses = list(fleet.nodes)
    capacity = n_engines * READING_RATE / N_PROMPT_TOKENS
    first = ("a", 0.9, addresses[-1:])
    fleet.drive(fleet.now + 2 * SETTLE_S, capacity, (first,))
    for number in range(n_engines // 2):
        fleet.remove_engine(f"b{number}")
    falls_at = fleet.now
    others = [(name, 0.4, addresses) for name in "bcde"]
    fleet.drive(falls_at + SPAN_S, capacity, (first, *others))
    n_first, *n_others = counts = [
        fleet.count_starts(name, falls_at, fleet.now) for name in "abcde"
    ]
    # The rule allows three of the largest requests less.
    assert n_first + 3 >= 0.5 * max(n_others)
    assert sum(counts) >= 0.9 * capacity / 2 * SPAN_S


@pytest.mark.parametrize(("n_nodes", "seed"), [(8, 0), (8, 1), (16, 0)])
def test_workspace_at_one_host_is_served_by_cold_engines(n_nodes, seed):
    """Guards against a workspace that starves while all engines are cold (FAIR).

    Load pattern: a release replaces all engines at once. Those are cold for 3 s, and
    may be sent less than what is asked for. Most requests of the largest workspace
    reach one host, and those of another one all hosts.
    """
    n_engines, cold_rate, cold_s = 2 * n_nodes, 18.0, 3.0
    fleet = SaturatedFleet(n_nodes, n_engines, seed, cold_rate)
    addresses = list(fleet.nodes)
    capacity = n_engines * READING_RATE / N_PROMPT_TOKENS
    demands = [
        *[("a", 0.5, addresses[-1:])] * 3,
        *[("b", 0.35, addresses)] * 2,
        ("c", 0.05, addresses),
    ]
    fleet.drive(fleet.now + SETTLE_S, capacity, demands)
    fleet.replace_engines(cold_s)
    replaced_at = fleet.now
    fleet.drive(replaced_at + cold_s, capacity, demands)
    n_one_host, n_all_hosts = (
        fleet.count_starts(name, replaced_at, fleet.now) for name in "ab"
    )
    # The rule allows three of the largest requests less.
    assert n_one_host + 3 >= 0.5 * n_all_hosts
    n_most = fleet.count_most_placed_in_1_s(replaced_at)
    assert 0.5 * cold_rate <= n_most <= 1.5 * cold_rate + 5
