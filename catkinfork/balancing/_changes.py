"""Changes since the last frame to the peers."""


class ChangeSet:
    """Keys of the totals that have changed, and the prompt parts that were placed."""

    def __init__(self):
        self.clear()

    def clear(self):
        """Discard all changes."""
        self.backends = set()
        self.services = set()
        self.workspaces = set()
        self.suspects = {}
        self.parts = []

    @property
    def is_empty(self):
        """Return whether there are no changes."""
        return not (
            self.backends
            or self.services
            or self.workspaces
            or self.suspects
            or self.parts
        )
