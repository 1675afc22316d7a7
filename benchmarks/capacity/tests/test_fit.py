"""Least squares fit."""

import pytest

from benchmarks.capacity.fit import fit_line


def test_exact_line_has_no_error():
    """Guards against a wrong formula for slope or intercept."""
    fit = fit_line([(1, 5.0), (2, 7.0), (3, 9.0), (4, 11.0)])
    assert fit.slope == pytest.approx(2.0)
    assert fit.intercept == pytest.approx(3.0)
    assert fit.slope_error == pytest.approx(0.0)
    assert fit.r2 == pytest.approx(1.0)
    assert fit.compute_variable_cost(10) == pytest.approx(20.0)


def test_scattered_points_have_the_known_error():
    """Guards against a standard error with the wrong degrees of freedom.

    Computed by hand: the residuals are -0.4, 0.2, 0.8, -0.6 with a sum of squares of
    1.2, and the spread of x is 5, so that the error is sqrt(1.2 / 2 / 5).
    """
    fit = fit_line([(1, 1.0), (2, 3.0), (3, 5.0), (4, 5.0)])
    assert fit.slope == pytest.approx(1.4)
    assert fit.intercept == pytest.approx(0.0)
    assert fit.slope_error == pytest.approx((1.2 / 2 / 5) ** 0.5)
    assert fit.r2 == pytest.approx(1 - 1.2 / 11)


def test_constant_cost_has_slope_zero():
    """Guards against a division by zero for a constant cost."""
    fit = fit_line([(1, 4.0), (2, 4.0), (3, 4.0)])
    assert (fit.slope, fit.intercept, fit.r2) == (0.0, 4.0, 1.0)


def test_two_sizes_are_refused():
    """Guards against a line through two sizes, which fits without error."""
    with pytest.raises(ValueError, match="2 sizes"):
        fit_line([(1, 1.0), (1, 2.0), (2, 3.0)])
