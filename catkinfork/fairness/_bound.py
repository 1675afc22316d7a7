"""Fairness bound: limit on the counter gap of two backlogged workspaces."""

from typing import NamedTuple

from catkinfork.fairness._errors import FairnessBoundError, FairOrderError

# A class that has been overtaken often may receive a grant while its workspace is ahead
# by up to the largest cost of a request. This adds one to the documented 1 + 2 P.
N_SLACK_REQUESTS = 1
# Tolerance for floating-point error of sums; far below one service unit.
ROUNDING_UNITS = 1e-3


class BoundTerms(NamedTuple):
    """Terms of the fairness bound.

    :param max_cost: largest cost of a request, service units.
    :param n_places: number of places and staged requests of the pool.
    :param rate: service units that the pool delivers per second.
    :param report_age_s: largest age of an agent's report, seconds.
    """

    max_cost: float
    n_places: int
    rate: float
    report_age_s: float

    def compute(self, share):
        """Return the largest allowed gap between two counters.

        :param share: the smaller share of the two workspaces.
        :returns: ``((1 + slack + 2 P) C + r a) / s`` in service units per share.
        """
        n_requests = 1 + N_SLACK_REQUESTS + 2 * self.n_places
        return (n_requests * self.max_cost + self.rate * self.report_age_s) / share


def check_order(workspace, counter, passed, passed_counter, allowed):
    """Check that a grant is not given ahead of a workspace with a smaller counter.

    :param workspace: workspace that receives the grant.
    :param passed: workspace that was passed over.
    :param allowed: largest allowed excess, 0 for a grant in fair order.
    :raises FairOrderError: if ``counter`` exceeds ``passed_counter`` by more.
    """
    excess = counter - passed_counter
    if excess > allowed + ROUNDING_UNITS:
        raise FairOrderError(workspace, passed, excess, allowed)


def check_gap(ahead, ahead_counter, behind, behind_counter, bound):
    """Check that the counters of two backlogged workspaces are within the bound.

    :raises FairnessBoundError: if they are not.
    """
    gap = ahead_counter - behind_counter
    if gap > bound + ROUNDING_UNITS:
        raise FairnessBoundError(ahead, behind, gap, bound)
