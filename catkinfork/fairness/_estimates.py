"""Cost estimates for the next request of each workspace."""

# Weight of the latest request; gives the moving average a window of about 10 requests.
SMOOTHING_FACTOR = 0.1


class CostEstimates:
    """Exponential moving average of the request cost of each workspace.

    :param max_cost: largest cost of a request in service units.
    """

    def __init__(self, max_cost):
        self.max_cost = max_cost
        self.mean_costs = {}
        self.pool_mean_cost = None

    def estimate(self, workspace):
        """Return the cost to charge at a grant, at most ``max_cost``.

        A workspace without a finished request is charged the average of the pool. If
        the pool has none either, ``max_cost`` is charged, which is corrected when the
        request ends.
        """
        mean = self.mean_costs.get(workspace, self.pool_mean_cost)
        if mean is None:
            return float(self.max_cost)
        return min(mean, float(self.max_cost))

    def record_costs(self, workspace, units, n_finished):
        """Add finished requests to the moving averages.

        :param units: total cost of the requests, service units.
        :param n_finished: number of the requests, at least 1.
        """
        cost = units / n_finished
        old_weight = (1 - SMOOTHING_FACTOR) ** n_finished
        self.mean_costs[workspace] = update_moving_average(
            self.mean_costs.get(workspace), cost, old_weight
        )
        self.pool_mean_cost = update_moving_average(
            self.pool_mean_cost, cost, old_weight
        )

    def remove(self, workspace):
        """Remove the estimate of a workspace."""
        self.mean_costs.pop(workspace, None)


def update_moving_average(mean, value, old_weight):
    """Return the moving average after a value that weighs ``1 - old_weight``."""
    if mean is None:
        return value
    return mean * old_weight + value * (1 - old_weight)
