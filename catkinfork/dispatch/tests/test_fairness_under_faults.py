"""Fairness of the service that a simulated fleet delivers under faults."""

import random

import pytest

from catkinfork.dispatch.tests.builders import MAX_COST, make_view
from catkinfork.dispatch.tests.simulation import STEP_S, SimulatedFleet
from catkinfork.fairness import BoundTerms

SHARES = {"large": 1.0, "small": 1.0, "double": 2.0, "flood": 1.0}
BACKLOG = {"large": 4, "small": 8, "double": 8, "flood": 60}
COSTS = {"large": (60, MAX_COST), "small": (1, 20)}
SERVERS = {"s1": ["m"], "s2": ["m"], "s3": ["m"]}
N_PLACES = 12
UNITS_PER_S = 1000 * N_PLACES
DURATION_S = 8.0


def switch_dispatcher(fleet, turn):
    """Move the reports of all agents to the other router."""
    name = list(fleet.routers)[turn % 2]
    fleet.report_to = dict.fromkeys(fleet.report_to, name)


def split_reports(fleet, turn):
    """Move the reports of one agent to the second router."""
    fleet.report_to["s1:7100"] = list(fleet.routers)[1]


def restart_agent(fleet, turn):
    """Restart an agent; its work and its tickets are lost."""
    fleet.restart_agent(f"s{1 + turn % 3}")


def restart_second_router(fleet, turn):
    """Restart a router that is not the dispatcher."""
    fleet.restart_router("r2:1")


def restart_dispatcher(fleet, turn):
    """Restart the dispatcher, which then has no summary to start from."""
    fleet.restart_router("r1:1")


# Faults, event, period of the event in seconds and minimum utilisation. A request takes
# 29 ms on average and a hand-over three steps (15 ms), so utilisation cannot exceed
# 0.66. A lost grant or start keeps a place unused for the lifetime of its ticket.
CASES = {
    "no faults": ({}, None, 0, 0.6),
    "a tenth lost": ({"loss": 0.1}, None, 0, 0.07),
    "a third duplicated": ({"doubling": 0.3}, None, 0, 0.6),
    "reordered": ({"delay_s": 0.05, "mix": True}, None, 0, 0.1),
    "late by up to 0.4 s": ({"delay_s": 0.4}, None, 0, 0.025),
    "agents restart": ({}, restart_agent, 0.5, 0.6),
    "router restarts": ({}, restart_second_router, 1.0, 0.6),
    "two dispatchers": ({}, split_reports, 1.0, 0.6),
    "change with a summary": ({}, switch_dispatcher, 2.5, 0.6),
    "change without a summary": ({}, restart_dispatcher, 2.0, 0.6),
}


@pytest.mark.parametrize(
    ("faults", "event", "period_s", "utilisation"), CASES.values(), ids=CASES
)
def test_gap_stays_under_the_bound(faults, event, period_s, utilisation):
    """Guards against service that deviates from the shares and against idle places.

    Lost, duplicated and late messages and restarts must not unbalance the charges. All
    four workspaces are always backlogged at both routers; the gap is measured on the
    service actually delivered.
    """
    view = make_view(SERVERS, SHARES)
    fleet = SimulatedFleet(view, random.Random(7), ["r1:1", "r2:1"], BACKLOG, **faults)
    fleet.costs = COSTS
    bound = BoundTerms(MAX_COST, N_PLACES, UNITS_PER_S, 0.25).compute(1.0)
    gap = turn = 0
    for step in range(1, round(DURATION_S / STEP_S)):
        fleet.step()
        if event and step % round(period_s / STEP_S) == 0:
            turn += 1
            event(fleet, turn)
        served = [fleet.delivered[name] / share for name, share in SHARES.items()]
        gap = max(gap, max(served) - min(served))
    assert gap < bound
    assert fleet.measure_utilisation() > utilisation
    assert fleet.n_duplicate_grants == 0
    assert fleet.count_violations() == 0
