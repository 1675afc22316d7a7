"""Versions of backend servers that may have served recently."""

from math import inf

from catkinfork.topology._recent import RecentTable

MAX_LEFT = 1024
# Longest time between two reads of the store within which hardly any backend server is
# missed, seconds: one that starts, serves and leaves in between.
MAX_READ_GAP_S = 4.0
# The same before a list: it does not tell which servers have come and gone, as changes
# do. An entry lasts for 1.5 s after its server has written it for the last time.
MAX_LIST_GAP_S = 2.0


class VersionHistory:
    """When the versions of each service were last published.

    ``known_since`` is the monotonic time since which it is complete, infinite before
    the first read of the store, and ``read_at`` that of the last read. ``asked_at`` is
    the latest start of a read, as of which the entries are known, and ``gap_s`` the
    time for which they were not before the last read. Until ``settled_at``, entries of
    servers that live may be missing from the store. ``is_past_read`` states whether the
    history of the store was read for the time before ``known_since``, and
    ``unknown_left_at`` is the last time at which a server of an unknown version left.
    """

    def __init__(self):
        self.left = RecentTable(MAX_LEFT)
        self.known_since = inf
        self.read_at = -inf
        self.asked_at = -inf
        self.settled_at = -inf
        self.gap_s = 0.0
        self.is_past_read = False
        self.unknown_left_at = -inf

    def record_read(self, now, asked_at=None):
        """Record that the entries of all backend servers were read.

        :param asked_at: monotonic time at which the read started, seconds, ``now`` by
            default. A response may have waited since, in the network or while this
            process was paused.
        """
        asked_at = now if asked_at is None else asked_at
        self.gap_s = now - self.asked_at
        if now - self.read_at > MAX_READ_GAP_S:
            self.start_anew(now)
        self.read_at = now
        if asked_at >= self.settled_at:
            self.asked_at = max(self.asked_at, asked_at)

    def record_list(self, now, settled_at=-inf):
        """Record that entries were listed, without the changes since the last read.

        :param settled_at: monotonic time by which servers that live are published
            again, if the store has lost their entries.
        """
        self.gap_s = now - self.asked_at
        if self.gap_s > MAX_LIST_GAP_S and self.known_since < now:
            self.start_anew(now)
        self.settled_at = max(self.settled_at, settled_at)

    def start_anew(self, now):
        """Record that nothing is known of the time before now."""
        self.known_since = now
        self.is_past_read = False

    def record_past(self, departures, covered_s, now):
        """Record what the history of the store tells of the time before it was read.

        When a server left is not known, so that it may have been just now.

        :param departures: :class:`PastDepartures`.
        :param covered_s: time for which the history is complete, seconds.
        """
        self.is_past_read = True
        for entry in departures.entries:
            self.record_left(entry, now)
        if departures.has_unknown:
            self.unknown_left_at = now
        self.known_since = min(self.known_since, now - covered_s)

    def record_left(self, entry, now):
        """Record that a backend server has left, or has started again.

        :param entry: its last :class:`BackendEntry`.
        """
        self.left[(entry.service, entry.version)] = now

    def is_complete(self, since, until):
        """Return whether all versions that served between two times are known.

        A read that started before ``until`` does not show a backend server that was
        published after it, however short the time between is.

        :param since: monotonic time, seconds.
        :param until: monotonic time, seconds.
        """
        if self.unknown_left_at >= since:
            return False
        return self.known_since <= since and self.asked_at >= until

    def record_told(self, service, version, left_at):
        """Record what a peer knows of a server that has left, or has started again."""
        key = (service, version)
        self.left[key] = max(left_at, self.left.get(key, left_at))

    def list_left(self, service, since):
        """Return the versions of a service whose servers left since then."""
        return {
            version
            for (name, version), left_at in self.left.items()
            if name == service and left_at >= since
        }
