"""Plans of a soak."""

import pytest

from catkinfork.platform.tests.soak.disruptions import Disruptions
from catkinfork.platform.tests.soak.plan import CALM_S, LINK, WEIGHTS, make_plan

N_SECONDS = 60.0


@pytest.mark.parametrize("kind", WEIGHTS)
def test_plan_follows_from_its_seed(kind):
    """Guards against a failure that cannot be reproduced."""
    plans = [make_plan(kind, seed, N_SECONDS, 4) for seed in (1, 1, 2)]
    assert plans[0] == plans[1] != plans[2]


@pytest.mark.parametrize("kind", WEIGHTS)
def test_all_disruptions_of_a_kind_come_up(kind):
    """Guards against a plan that leaves out a disruption."""
    plans = [make_plan(kind, seed, N_SECONDS, 4) for seed in range(10)]
    steps = [step for plan in plans for step in plan]
    assert {step.action for step in steps} == set(WEIGHTS[kind])
    assert all(CALM_S <= step.at_s < N_SECONDS - CALM_S for step in steps)


def test_disruptions_overlap_and_come_in_series():
    """Guards against disruptions that wait for each other."""
    steps = make_plan("hard", 1, N_SECONDS, 4)
    ends_at = [step.at_s + step.duration_s for step in steps]
    n_overlaps = sum(
        step.at_s < end for step, end in zip(steps[1:], ends_at, strict=False)
    )
    assert n_overlaps > 3


@pytest.mark.parametrize("kind", WEIGHTS)
def test_all_actions_can_be_carried_out(kind):
    """Guards against an action without code."""
    assert all(hasattr(Disruptions, action) for action in WEIGHTS[kind])


def test_all_links_and_faults_come_up():
    """Guards against links that are never disturbed."""
    assert "disturb_link" in LINK
    plans = [make_plan("links", seed, N_SECONDS, 4) for seed in range(10)]
    details = {s.detail for plan in plans for s in plan if s.action == "disturb_link"}
    assert len(details) == 15
