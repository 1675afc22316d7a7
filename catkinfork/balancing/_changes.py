"""Changes since the last frame to the peers."""


class ChangeSet:
    """Keys of the totals that have changed, and the prompt parts that were placed."""

    def __init__(self):
        self.part_crashes = {}
        self.clear()

    def clear(self):
        """Discard the changes that one frame contains as a whole."""
        self.backends = set()
        self.services = set()
        self.workspaces = set()
        self.suspects = {}
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
            or self.leaving
        )

    def pop_part_crashes(self, n_crashes):
        """Remove and return some of the changed crashes of prompt parts.

        :param n_crashes: maximum number.
        :returns: pairs of :class:`PartCrash` and whether it was cleared.
        """
        crashes = list(self.part_crashes)[:n_crashes]
        return [(crash, self.part_crashes.pop(crash)) for crash in crashes]
