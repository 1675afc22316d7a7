"""Backend servers that left before a process started, by the history of the store."""

from typing import NamedTuple

from catkinfork.topology._registry import is_other_start
from catkinfork.topology._source import EntryItem, UnconfiguredItem, UnreadableItem

# Sequence of the first entry of a start of a backend server, at most.
FIRST_SEQUENCE = 1


class PastDepartures(NamedTuple):
    """Starts of backend servers that ended within the history of the store.

    :param entries: their last :class:`BackendEntry` objects.
    :param has_unknown: whether there are others, whose entries were written before the
        history begins.
    """

    entries: list
    has_unknown: bool


class PastFollower:
    """Follows the entries in the history of the store.

    ``last`` has the last entry of each backend server by name, None for a key whose
    value named none.

    :param decode: callable that returns the typed form of an :class:`Item`.
    """

    def __init__(self, decode):
        self.decode = decode
        self.last = {}
        self.ended = []
        self.has_unknown = False

    def follow(self, item):
        """Follow the next item."""
        decoded = self.decode(item)
        if isinstance(decoded, EntryItem) and decoded.entry is None:
            self.follow_removal(decoded.name)
        elif isinstance(decoded, EntryItem | UnconfiguredItem):
            self.follow_entry(decoded.entry, item)
        elif isinstance(decoded, UnreadableItem) and decoded.is_entry:
            self.end(decoded.name)
            self.last[decoded.name] = None

    def follow_removal(self, name):
        """Follow the removal of an entry, which may be older than the history."""
        if name not in self.last:
            self.has_unknown = True
        self.end(name)

    def follow_entry(self, entry, item):
        """Follow an entry, which may replace that of a former start.

        The first one of a start under a key that was there before does, also if the
        former one is older than the history.
        """
        former = self.last.get(entry.name)
        if former is not None and is_other_start(entry, former):
            self.ended.append(former)
        is_first = entry.name not in self.last and entry.sequence <= FIRST_SEQUENCE
        if is_first and 0 < item.created < item.revision:
            self.has_unknown = True
        self.last[entry.name] = entry

    def end(self, name):
        """Record that the start of a backend server has ended, if it is known."""
        entry = self.last.pop(name, None)
        if entry is not None:
            self.ended.append(entry)

    def list_departures(self, backends):
        """Return the :class:`PastDepartures`.

        :param backends: known :class:`Backend` objects by name, as of the end of the
            history.
        """
        entries = list(self.ended)
        for name, entry in self.last.items():
            backend = backends.get(name)
            is_there = backend is not None and entry is not None
            if is_there and not is_other_start(backend.entry, entry):
                continue
            if entry is not None:
                entries.append(entry)
        return PastDepartures(entries, self.has_unknown)
