"""Changes since the last frame to the peers."""


class ChangeSet:
    """Keys of the totals that have changed, and the prompt parts that were placed."""

    def __init__(self):
        self.part_crashes = {}
        self.served_parts = {}
        self.part_probes = {}
        self.survivors = {}
        self.rate_limits = {}
        self.speeds = {}
        self.clear()

    def clear(self):
        """Discard the changes that one frame contains as a whole."""
        self.backends = set()
        self.services = set()
        self.workspaces = set()
        self.suspects = {}
        self.withdrawn = {}
        self.parts = []
        self.leaving = set()

    @property
    def is_empty(self):
        """Return whether there are no changes."""
        return not (
            self.backends
            or self.services
            or self.workspaces
            or self.suspects
            or self.parts
            or self.part_crashes
            or self.served_parts
            or self.part_probes
            or self.survivors
            or self.withdrawn
            or self.rate_limits
            or self.leaving
        )


def pop_items(changes, n_items):
    """Remove and return the first items of a dictionary of changes.

    :param n_items: maximum number.
    """
    return [(key, changes.pop(key)) for key in list(changes)[:n_items]]
