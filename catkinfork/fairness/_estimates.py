"""Expected cost of a workspace's next request."""

# Weight of the newest request in the mean: the last ten or so count.
NEWEST_WEIGHT = 0.1


class CostEstimates:
    """Mean cost of the recent requests of each workspace.

    :param max_cost: largest cost of a request in service units.
    """

    def __init__(self, max_cost):
        self.max_cost = max_cost
        self.means = {}
        self.pool_mean = None

    def estimate(self, workspace):
        """Return the cost to charge at a grant, at most ``max_cost``.

        A workspace without a finished request gets the mean of the pool. Without any
        the largest cost is charged, which is corrected when the request ends.
        """
        mean = self.means.get(workspace, self.pool_mean)
        if mean is None:
            return float(self.max_cost)
        return min(mean, float(self.max_cost))

    def observe(self, workspace, units, n_finished):
        """Take the cost of finished requests into the means.

        :param units: total cost of the requests, service units.
        :param n_finished: number of the requests, at least 1.
        """
        cost = units / n_finished
        kept = (1 - NEWEST_WEIGHT) ** n_finished
        self.means[workspace] = blend(self.means.get(workspace), cost, kept)
        self.pool_mean = blend(self.pool_mean, cost, kept)

    def forget(self, workspace):
        """Drop what is known of a workspace."""
        self.means.pop(workspace, None)


def blend(mean, value, kept):
    """Return the mean after a new value, of which ``1 - kept`` is taken."""
    if mean is None:
        return value
    return mean * kept + value * (1 - kept)
