"""Gap in service between two backlogged workspaces by the deal of their requests.

``python -m benchmarks.deal_gap [SEED [N_HOSTS...]]`` prints a table. Workspace ``a``
sends a part of its requests to three hosts and the rest to all, workspace ``b`` all of
them evenly; each asks for nine tenths of what the engines can read.
"""

import sys
from typing import NamedTuple

from catkinfork.peering.tests.saturated_fleet import (
    N_PROMPT_TOKENS,
    READING_RATE,
    SaturatedFleet,
)

SIZES = (4, 28, 68)
# Engines for each host, as on the users' large Consortium.
ENGINES_PER_HOST = 1.8
N_DEALT_HOSTS = 3
# Parts of the requests of ``a`` that reach these hosts besides an even deal.
DEALS = (0.0, 0.3, 0.6, 0.9)
# Time between two passes over the queue of a dealt host: in time, and behind.
PASS_INTERVALS_S = (0.0, 0.1, 0.25)
SETTLE_S = 3.0
SPAN_S = 6.0
DEMAND = 0.9


class Gap(NamedTuple):
    """Prompt tokens that began to run in the span.

    :param n_placed_share: what all engines read, as a fraction of what they can.
    """

    n_dealt_tokens: int
    n_even_tokens: int
    n_placed_share: float


def measure_gap(n_hosts, deal, pass_interval_s, seed):
    """Return the :class:`Gap` for one deal.

    :param deal: part of the requests of the first workspace that reaches three hosts.
    :param pass_interval_s: time between two passes over the queue at these, seconds.
    """
    n_engines = round(ENGINES_PER_HOST * n_hosts)
    fleet = SaturatedFleet(n_hosts, n_engines, seed)
    addresses = list(fleet.nodes)
    dealt = addresses[-N_DEALT_HOSTS:]
    for address in dealt:
        fleet.pass_intervals_s[address] = pass_interval_s
    capacity = n_engines * READING_RATE / N_PROMPT_TOKENS
    starts_at = fleet.now + SETTLE_S
    demands = []
    # A request in one step at most: a large demand is split.
    n_parts = max(1, round(capacity * DEMAND / 50))
    for _ in range(n_parts):
        demands += [
            ("a", DEMAND * deal / n_parts, dealt),
            ("a", DEMAND * (1.0 - deal) / n_parts, addresses),
            ("b", DEMAND / n_parts, addresses),
        ]
    fleet.drive(starts_at + SPAN_S, capacity, demands)
    n_dealt, n_even = (fleet.count_starts(name, starts_at, fleet.now) for name in "ab")
    share = (n_dealt + n_even) / (capacity * SPAN_S)
    return Gap(n_dealt * N_PROMPT_TOKENS, n_even * N_PROMPT_TOKENS, share)


def main(arguments):
    """Measure all deals and print a table."""
    seed = int(arguments[0]) if arguments else 1
    sizes = [int(one) for one in arguments[1:]] or SIZES
    print(f"seed {seed}; thousands of prompt tokens in {SPAN_S:.0f} s")
    print(
        "| hosts | at 3 hosts | pass, s | dealt | even | ratio | gap | engines used |"
    )
    print("|---|---|---|---|---|---|---|---|")
    for n_hosts in sizes:
        for deal in DEALS:
            for pass_interval_s in PASS_INTERVALS_S:
                gap = measure_gap(n_hosts, deal, pass_interval_s, seed)
                n_dealt, n_even = gap.n_dealt_tokens, gap.n_even_tokens
                print(
                    f"| {n_hosts} | {deal} | {pass_interval_s} "
                    f"| {n_dealt / 1000:.0f} | {n_even / 1000:.0f} "
                    f"| {n_dealt / max(1, n_even):.2f} "
                    f"| {(n_even - n_dealt) / 1000:.0f} "
                    f"| {gap.n_placed_share:.2f} |",
                    flush=True,
                )


if __name__ == "__main__":
    main(sys.argv[1:])
