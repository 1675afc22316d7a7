"""Moving averages of request durations by route."""

# Weight of the latest request in the exponentially weighted moving averages.
DURATION_EWMA_WEIGHT = 0.05


class RouteDurations:
    """Exponentially weighted moving averages by route.

    ``means`` has the mean durations, and ``deviations`` the mean distances from them.
    """

    def __init__(self):
        self.means = {}
        self.deviations = {}

    def record_duration(self, route, duration_s):
        """Add the duration of one request.

        A single one says nothing of its deviation; half of it is assumed.
        """
        name = route.name
        known = self.means.get(name, duration_s)
        distance = abs(duration_s - known)
        deviation = self.deviations.get(name, duration_s / 2)
        self.means[name] = known + DURATION_EWMA_WEIGHT * (duration_s - known)
        self.deviations[name] = deviation + DURATION_EWMA_WEIGHT * (
            distance - deviation
        )

    def estimate_duration(self, route):
        """Return the estimated duration in seconds, 0 without observations."""
        return self.means.get(route.name, 0.0)

    def estimate_bound(self, route, n_deviations):
        """Return the mean duration and a number of deviations, None if unknown."""
        mean = self.means.get(route.name)
        if mean is None:
            return None
        return mean + n_deviations * self.deviations[route.name]
