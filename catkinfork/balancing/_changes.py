"""What has changed since the peers were told last."""


class ChangeSet:
    """Names of the totals that have changed, and prompt parts that were placed."""

    def __init__(self):
        self.clear()

    def clear(self):
        """Forget all changes."""
        self.backends = set()
        self.services = set()
        self.workspaces = set()
        self.suspects = {}
        self.parts = []

    @property
    def is_empty(self):
        """Return whether nothing has changed."""
        return not (
            self.backends
            or self.services
            or self.workspaces
            or self.suspects
            or self.parts
        )
