"""How long requests of each route take."""

# Weight of the latest request in the mean of a route.
DURATION_WEIGHT = 0.05


class RouteDurations:
    """Mean durations, by route."""

    def __init__(self):
        self.means = {}

    def note(self, route, duration_s):
        """Learn from one request."""
        known = self.means.get(route.name, duration_s)
        self.means[route.name] = known + DURATION_WEIGHT * (duration_s - known)

    def expect(self, route):
        """Return the expected duration in seconds, 0 while nothing is known."""
        return self.means.get(route.name, 0.0)
