"""Versions of backend servers that may have served recently."""

from math import inf

from catkinfork.topology._recent import RecentTable

MAX_LEFT = 1024
# Longest time between two reads of the store within which hardly any backend server is
# missed, seconds: one that starts, serves and leaves in between.
MAX_READ_GAP_S = 4.0


class VersionHistory:
    """When the versions of each service were last published.

    ``known_since`` is the monotonic time since which it is complete, infinite before
    the first read of the store, ``read_at`` that of the last read, and ``gap_s`` the
    time between the last two reads.
    """

    def __init__(self):
        self.left = RecentTable(MAX_LEFT)
        self.known_since = inf
        self.read_at = -inf
        self.gap_s = 0.0

    def record_read(self, now):
        """Record that the entries of all backend servers are known as of now."""
        self.gap_s = now - self.read_at
        if self.gap_s > MAX_READ_GAP_S:
            self.known_since = now
        self.read_at = now

    def record_left(self, entry, now):
        """Record that a backend server has left, or has started again.

        :param entry: its last :class:`BackendEntry`.
        """
        self.left[(entry.service, entry.version)] = now

    def record_told(self, service, version, left_at):
        """Record what a peer knows of a server that has left, or has started again."""
        key = (service, version)
        self.left[key] = max(left_at, self.left.get(key, left_at))

    def is_complete(self, since, now):
        """Return whether all versions that served since a monotonic time are known."""
        return self.known_since <= since and now - self.read_at <= MAX_READ_GAP_S

    def list_left(self, service, since):
        """Return the versions of a service whose servers left since then."""
        return {
            version
            for (name, version), left_at in self.left.items()
            if name == service and left_at >= since
        }
