"""Load that one forwarder has placed and not yet told its peers of."""

# Weight of the latest value in the running means.
MEAN_WEIGHT = 0.03


class UntoldLoad:
    """Cost that was placed at, or freed from, the servers of a service since a frame.

    Costs are in the unit of the load model.
    """

    __slots__ = ("changed_cost", "mean_changed_cost", "mean_placed_cost", "placed_cost")

    def __init__(self):
        self.placed_cost = 0.0
        self.changed_cost = 0.0
        self.mean_placed_cost = 0.0
        self.mean_changed_cost = 0.0

    def record_placed(self, cost):
        """Add the cost of an attempt that was placed."""
        self.placed_cost += cost
        self.changed_cost += cost

    def record_freed(self, cost):
        """Add the cost that an attempt no longer causes."""
        self.changed_cost += cost

    def sample(self):
        """Update the mean of the untold cost at the times of requests, and return it.

        What this forwarder has not told yet is a fair sample of what each peer has not.
        """
        self.mean_placed_cost += MEAN_WEIGHT * (
            self.placed_cost - self.mean_placed_cost
        )
        return self.mean_placed_cost

    def compute_urgency(self):
        """Return the changes as a multiple of those that a frame tells on average."""
        if not self.changed_cost:
            return 0.0
        return self.changed_cost / max(self.mean_changed_cost, 1.0)

    def mark_told(self):
        """Begin anew after a frame has told all changes."""
        self.mean_changed_cost += MEAN_WEIGHT * (
            self.changed_cost - self.mean_changed_cost
        )
        self.placed_cost = self.changed_cost = 0.0
