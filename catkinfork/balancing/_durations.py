"""Moving averages of request durations by route."""

# Weight of the latest request in the exponentially weighted moving average.
DURATION_EWMA_WEIGHT = 0.05


class RouteDurations:
    """Exponentially weighted moving average of durations by route."""

    def __init__(self):
        self.means = {}

    def record_duration(self, route, duration_s):
        """Add the duration of one request."""
        known = self.means.get(route.name, duration_s)
        self.means[route.name] = known + DURATION_EWMA_WEIGHT * (duration_s - known)

    def estimate_duration(self, route):
        """Return the estimated duration in seconds, 0 without observations."""
        return self.means.get(route.name, 0.0)
