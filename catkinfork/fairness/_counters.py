"""Service counters of the workspaces in a pool."""

DEFAULT_SHARE = 1.0


class ServiceCounters:
    """Service units charged to each workspace, divided by its share.

    Each charge is divided by the share in force at that time, so a new share in the
    document affects only later charges.
    """

    def __init__(self):
        self.values = {}
        self.shares = {}

    def set_shares(self, shares):
        """Set the shares, a mapping from workspace to a number greater than 0."""
        self.shares = dict(shares)

    def get_share(self, workspace):
        """Return the share, 1 for a workspace that is not in the local document."""
        return self.shares.get(workspace, DEFAULT_SHARE)

    def get_value(self, workspace):
        """Return the counter in service units per share."""
        return self.values.get(workspace, 0.0)

    def charge(self, workspace, units):
        """Charge service units; negative units correct an earlier charge."""
        change = units / self.get_share(workspace)
        self.values[workspace] = self.get_value(workspace) + change

    def lift(self, workspace, floor):
        """Raise the counter of a workspace that becomes backlogged after idling.

        :param floor: smallest counter of the backlogged workspaces.
        :returns: increase in service units per share, 0 if the counter was higher.
        """
        value = self.get_value(workspace)
        self.values[workspace] = max(value, floor)
        return max(0.0, floor - value)

    def restore(self, values):
        """Replace the counters by those of another dispatcher.

        :param values: mapping from workspace to its counter.
        """
        self.values = dict(values)

    def remove(self, workspace):
        """Remove the counter of a workspace that has been idle for a long time."""
        self.values.pop(workspace, None)
