"""Load that one forwarder has placed and not yet told its peers of."""

# Weight of the latest value in the running means.
MEAN_WEIGHT = 0.03


class UntoldLoad:
    """Cost that was placed at, or freed from, the servers of a service since a frame.

    Costs are in the unit of the load model.
    """

    __slots__ = (
        "changed_cost",
        "mean_changed_cost",
        "mean_pending_s",
        "mean_placed_cost",
        "placed_cost",
    )

    def __init__(self):
        self.placed_cost = 0.0
        self.changed_cost = 0.0
        self.mean_placed_cost = 0.0
        self.mean_changed_cost = 0.0
        self.mean_pending_s = 0.0

    def record_placed(self, cost):
        """Add the cost of an attempt that was placed."""
        self.placed_cost += cost
        self.changed_cost += cost

    def record_freed(self, cost):
        """Add the cost that an attempt no longer causes."""
        self.changed_cost += cost

    def record_first_event(self, cost, pending_s):
        """Add the cost of a prompt that is no longer pending.

        :param pending_s: time for which it was, seconds.
        """
        self.record_freed(cost)
        self.mean_pending_s += MEAN_WEIGHT * (pending_s - self.mean_pending_s)

    def compute_told_share(self, interval_s):
        """Return the part of the pending tokens that a frame is to tell.

        Load pattern: with hundreds of forwarders, a prompt is prefilled long before the
        next frame, and engines that idle look busy to all peers until then.

        :param interval_s: time until the next frame, seconds.
        :returns: part of that time for which a prompt is pending on average.
        """
        if not self.mean_pending_s:
            return 1.0
        return min(1.0, self.mean_pending_s / interval_s)

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
