"""Linear least squares fit of measured points."""

from math import sqrt
from typing import NamedTuple


class Fit(NamedTuple):
    """A fitted line ``intercept + slope * x``.

    :param slope: additional cost for one unit of the size.
    :param slope_error: standard error of the slope.
    :param intercept: cost at size 0.
    :param r2: coefficient of determination; 1 for a constant cost.
    :param n_points: number of fitted points.
    """

    slope: float
    slope_error: float
    intercept: float
    r2: float
    n_points: int

    def compute_variable_cost(self, size):
        """Return the cost at a size without the intercept."""
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
    sum_squares_x = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_squares_x
    intercept = mean_y - slope * mean_x
    residual_sum_squares = sum((y - intercept - slope * x) ** 2 for x, y in points)
    total_sum_squares = sum((y - mean_y) ** 2 for _, y in points)
    r2 = 1 - residual_sum_squares / total_sum_squares if total_sum_squares > 0 else 1.0
    return Fit(
        slope, sqrt(residual_sum_squares / (n - 2) / sum_squares_x), intercept, r2, n
    )
