"""Service counters, cost estimates and the fairness bound."""

import pytest

from catkinfork.fairness import (
    BoundTerms,
    CostEstimates,
    FairnessBoundError,
    FairOrderError,
    ServiceCounters,
    check_gap,
    check_order,
)


def test_lift_raises_only_smaller_counters():
    """Guards against credit for idle time, and against a lift that lowers a counter."""
    counters = ServiceCounters()
    counters.charge("ahead", 500)
    assert counters.lift("back", 300) == 300
    assert counters.lift("ahead", 300) == 0
    assert (counters.get_value("back"), counters.get_value("ahead")) == (300, 500)


def test_new_share_applies_only_to_later_charges():
    """Guards against a jump of the counter when a share is changed."""
    counters = ServiceCounters()
    counters.set_shares({"w": 1.0})
    counters.charge("w", 900)
    counters.set_shares({"w": 3.0})
    counters.charge("w", 300)
    assert counters.get_value("w") == 1000


@pytest.mark.parametrize(
    ("observed", "workspace", "expected"),
    [
        ([], "w", 100.0),
        ([("w", 20, 1)], "w", 20.0),
        ([("w", 20, 1)], "other", 20.0),
        ([("w", 2000, 2)], "w", 100.0),
        ([("w", 20, 1), ("w", 60, 2)], "w", 20 * 0.81 + 30 * 0.19),
    ],
    ids=["nothing known", "own", "mean of the pool", "capped", "recent mean"],
)
def test_estimates(observed, workspace, expected):
    """Guards against estimates above ``max_cost``, which would break the bound."""
    estimates = CostEstimates(100)
    for item in observed:
        estimates.record_costs(*item)
    assert estimates.estimate(workspace) == pytest.approx(expected)


def test_bound_depends_on_the_smaller_share_only():
    """Guards against a bound that omits places, report age or share."""
    terms = BoundTerms(max_cost=100, n_places=4, rate=1000.0, report_age_s=0.5)
    assert terms.compute(1.0) == 10 * 100 + 500
    assert terms.compute(0.5) == 2 * terms.compute(1.0)


def test_violations_raise_their_own_exceptions():
    """Guards against checks that never fail."""
    check_gap("a", 110.0, "b", 10.0, 100.0)
    with pytest.raises(FairnessBoundError, match="a is 101.0 above that of b"):
        check_gap("a", 111.0, "b", 10.0, 100.0)
    check_order("a", 5.0, "b", 5.0, 0.0)
    with pytest.raises(FairOrderError, match="passed over b by 1.0"):
        check_order("a", 6.0, "b", 5.0, 0.0)
