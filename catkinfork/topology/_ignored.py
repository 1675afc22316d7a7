"""Log lines on ignored entries, of which another writer may write any number."""

from math import inf

from catkinfork.observability import log_event
from catkinfork.topology._checks import limit_detail
from catkinfork.topology._events import ENTRY_IGNORED
from catkinfork.topology._recent import RecentTable

# Keys of which the ignored entries are counted.
MAX_IGNORED = 1024
# Time between two log lines on ignored entries with one key, which another writer may
# write with each heartbeat, seconds.
IGNORED_LOG_INTERVAL_S = 60.0
# Lines within that time on all keys together: those on servers in use must not be lost
# among them.
MAX_IGNORED_LINES = 100


class IgnoredLog:
    """Logs ignored entries, once in a while for each key.

    :param write_log: callable that takes a :class:`LogEvent`.

    ``keys`` has the time of the last line and the entries since then by key.
    """

    def __init__(self, write_log):
        self.write_log = write_log
        self.keys = RecentTable(MAX_IGNORED)
        self.counted_since = -inf
        self.n_lines = 0

    def record(self, key, source, detail, now):
        """Record an ignored entry, and log it unless there was a line just before.

        :param source: name of the source of the entry.
        :param detail: why it is ignored.
        :param now: monotonic time, seconds.
        """
        logged_at, n_unlogged = self.keys.get(key, (-inf, 0))
        if now - self.counted_since >= IGNORED_LOG_INTERVAL_S:
            self.counted_since = now
            self.n_lines = 0
        is_full = self.n_lines >= MAX_IGNORED_LINES
        if is_full or now - logged_at < IGNORED_LOG_INTERVAL_S:
            self.keys[key] = (logged_at, n_unlogged + 1)
            return
        self.n_lines += 1
        self.keys[key] = (now, 0)
        self.write_log(
            log_event(
                ENTRY_IGNORED,
                key=limit_detail(key),
                source=source,
                detail=detail,
                n_unlogged=n_unlogged,
            )
        )
