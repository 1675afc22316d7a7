"""Least squares line through measured points."""

from math import sqrt
from typing import NamedTuple


class Fit(NamedTuple):
    """A line ``intercept + slope * x``.

    :param slope: cost of one more unit of the size.
    :param slope_error: standard error of the slope.
    :param intercept: cost at size 0.
    :param r2: part of the variance that the line explains; 1 for a constant cost.
    :param n_points: points of the fit.
    """

    slope: float
    slope_error: float
    intercept: float
    r2: float
    n_points: int

    def value_at(self, size):
        """Return the cost that grows with the size, without the fixed part."""
        return self.slope * size


def fit_line(points):
    """Fit a line by least squares.

    :param points: pairs of size and cost, with at least three sizes.
    :returns: :class:`Fit`.
    :raises ValueError: if there are fewer than three sizes.
    """
    points = list(points)
    n_sizes = len({x for x, _ in points})
    if n_sizes < 3:
        raise ValueError(f"{n_sizes} sizes, expected at least 3")
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = sum((y - intercept - slope * x) ** 2 for x, y in points)
    total = sum((y - mean_y) ** 2 for _, y in points)
    r2 = 1 - residual / total if total > 0 else 1.0
    return Fit(slope, sqrt(residual / (n - 2) / spread), intercept, r2, n)
