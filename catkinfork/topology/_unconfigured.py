"""Entries of backend servers whose service no configuration names yet."""

from typing import NamedTuple

from catkinfork.topology._types import BackendEntry

# Entries that are kept, of which another writer may write any number, and the largest
# value of one, bytes.
MAX_UNCONFIGURED = 1024
MAX_UNCONFIGURED_BYTES = 4096


class UnconfiguredEntry(NamedTuple):
    """An entry whose service no configuration in force has named since it was read.

    :param entry: :class:`BackendEntry`.
    :param read_at: monotonic time at which it was read, seconds.
    :param key: key of its item.
    """

    entry: BackendEntry
    read_at: float
    key: str


class UnconfiguredTable:
    """The latest entries whose service a later configuration may name.

    An entry that does not change is not read again, so that it has to be kept.

    ``entries`` has them by name, the oldest ones first, and ``is_incomplete`` states
    whether some were too many or too large.
    """

    def __init__(self):
        self.entries = {}
        self.is_incomplete = False

    def __len__(self):
        return len(self.entries)

    def add(self, entry, item, now):
        """Add an entry in place of the former one of its backend server.

        :param entry: :class:`BackendEntry`.
        :param item: its :class:`Item`.
        :returns: keys of the items that are not kept.
        """
        self.pop(entry.name)
        if len(item.value) > MAX_UNCONFIGURED_BYTES:
            self.is_incomplete = True
            return [item.key]
        self.entries[entry.name] = UnconfiguredEntry(entry, now, item.key)
        if len(self.entries) <= MAX_UNCONFIGURED:
            return []
        self.is_incomplete = True
        return [self.pop(next(iter(self.entries))).key]

    def pop(self, name):
        """Remove and return the :class:`UnconfiguredEntry` of a server, or None."""
        return self.entries.pop(name, None)

    def take(self, services):
        """Remove and return the entries of some services.

        :param services: names.
        """
        names = [
            one for one in self.entries if self.entries[one].entry.service in services
        ]
        return [self.entries.pop(name) for name in names]
