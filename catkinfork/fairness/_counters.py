"""Service counters of the workspaces of a pool."""

DEFAULT_SHARE = 1.0


class ServiceCounters:
    """Charged service units divided by the share, for each workspace.

    Charges are divided by the share at the time of the charge, so a new share in the
    document changes only what is charged from then on.
    """

    def __init__(self):
        self.values = {}
        self.shares = {}

    def set_shares(self, shares):
        """Set the shares, a mapping from workspace to a number greater than 0."""
        self.shares = dict(shares)

    def share_of(self, workspace):
        """Return the share; 1 for a workspace that the document here does not have."""
        return self.shares.get(workspace, DEFAULT_SHARE)

    def value_of(self, workspace):
        """Return the counter in service units per share."""
        return self.values.get(workspace, 0.0)

    def charge(self, workspace, units):
        """Add units to a workspace; negative units correct an earlier charge."""
        change = units / self.share_of(workspace)
        self.values[workspace] = self.value_of(workspace) + change

    def lift(self, workspace, floor):
        """Raise the counter of a workspace that returns from idle.

        :param floor: smallest counter of the backlogged workspaces.
        :returns: units per share by which the counter rose, 0 if it was higher.
        """
        value = self.value_of(workspace)
        self.values[workspace] = max(value, floor)
        return max(0.0, floor - value)

    def load(self, values):
        """Take over the counters of another dispatcher.

        :param values: mapping from workspace to its counter.
        """
        self.values = dict(values)

    def forget(self, workspace):
        """Drop the counter of a workspace that has been idle for long."""
        self.values.pop(workspace, None)
