"""Interfaces of the sources of configuration and backend server entries."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from catkinfork.topology._types import BackendEntry, Configuration


class Item(NamedTuple):
    """One published key and value.

    :param key: key of the item.
    :param value: encoded value, or None if the item has been removed.
    :param revision: store revision of the last change.
    :param created: store revision at which the key was created, 0 if unknown.
    """

    key: str
    value: bytes | None
    revision: int
    created: int = 0


class Position(NamedTuple):
    """Position in the history of the store.

    Revisions are only comparable within one era: a store that is restored from a copy
    begins a new era, in which it goes back and gives out revisions again.
    """

    era: int
    revision: int


class Departure(NamedTuple):
    """Last entry of a backend server that is gone.

    :param started_ms: Unix time of its start, milliseconds.
    """

    name: str
    started_ms: int
    sequence: int


class Changes(NamedTuple):
    """Result of a read.

    :param items: :class:`Item` entries.
    :param revision: store revision up to which the result is complete.
    :param is_full: whether this is a full snapshot, so that other items do not exist.
    :param era: era of the store in which the items were read.
    :param departed: :class:`Departure` entries of backend servers that are gone, known
        to a peer.
    """

    items: list
    revision: int
    is_full: bool
    era: int = 0
    departed: tuple = ()

    @property
    def position(self):
        """Return the :class:`Position` up to which the result is complete."""
        return Position(self.era, self.revision)


class PartialList(NamedTuple):
    """All items whose keys have a prefix.

    :param items: :class:`Item` entries.
    :param revision: store revision up to which the list is complete.
    :param era: era of the store in which the items were read.
    """

    prefix: str
    items: list
    revision: int
    era: int


class PastEntries(NamedTuple):
    """What the history of a source tells of the entries of backend servers.

    :param items: :class:`Item` entries in the order in which they were written.
    :param covered_s: time for which they are complete, seconds.
    """

    items: list
    covered_s: float


class SourceError(Exception):
    """A source failed or sent an unexpected response.

    :param detail: cause of the failure.
    """

    def __init__(self, detail):
        super().__init__(detail)
        self.detail = detail


class SourceTimeoutError(SourceError):
    """A source did not answer in time."""


class HistoryLostError(SourceError):
    """The change history after a revision is no longer available."""


class EraChangedError(HistoryLostError):
    """The store has begun a new era during a read."""


def ignore_call(*arguments):
    """Do nothing, and return False."""
    return False


class BaseSource(ABC):
    """Source of published items, with snapshot reads and long polling.

    ``era`` is the greatest era that the source has stated, ``on_items`` a callable that
    takes items of an answer that is still being read, and their era, and returns
    whether they were applied, and
    ``on_long_read`` one that is called as long as an answer takes long to read.
    """

    name = ""
    era = 0

    on_items = staticmethod(ignore_call)
    on_long_read = staticmethod(ignore_call)

    @abstractmethod
    async def list_all(self):
        """Return a full snapshot as :class:`Changes`.

        :raises SourceError: if the source fails.
        """

    @abstractmethod
    async def wait(self, revision):
        """Wait for changes after a revision; the result is empty on a timeout.

        :raises HistoryLostError: if the changes are no longer available.
        :raises SourceError: if the source fails.
        """

    async def read_changes(self, revision):
        """Return the changes after a revision, without a wait if there are none.

        :raises HistoryLostError: if the changes are no longer available.
        :raises SourceError: if the source fails.
        """
        return await self.wait(revision)

    async def retry(self, revision):
        """Return the changes after a revision, without a wait, after a failed read.

        Unlike a watch that waits, such a read is not cut while the source works.

        :raises HistoryLostError: if the changes are no longer available.
        :raises SourceError: if the source fails.
        """
        return await self.read_changes(revision)

    async def read_operator_items(self):
        """Return the :class:`PartialList` of what operators publish, or None.

        :raises SourceError: if the source fails.
        """
        return

    async def read_past(self, revision):
        """Return the :class:`PastEntries` before a revision, or None if there are none.

        :raises SourceError: if the source fails.
        """
        return


class BasePeers(ABC):
    """The other forwarders, as sources of their state."""

    @abstractmethod
    def has_any(self):
        """Return whether any peer is known."""

    @abstractmethod
    def count_forwarders(self):
        """Return the number of live forwarders, including this one."""

    @abstractmethod
    def find_newer(self, position):
        """Return the :class:`BaseSource` of the peer with the newest state, or None.

        :param position: :class:`Position` of the local state; only newer ones qualify.
        """

    @abstractmethod
    def find_newer_configuration(self, version):
        """Return the source of the peer with the newest configuration, or None.

        :param version: local version; only newer ones qualify.
        """


class ConfigurationItem(NamedTuple):
    """A published configuration.

    :param ignored: descriptions of its figures that cannot be right; their last good
        values stay in force.
    """

    configuration: Configuration
    ignored: tuple[str, ...] = ()


class EntryItem(NamedTuple):
    """A backend server entry; ``entry`` is None if it has been removed."""

    name: str
    entry: BackendEntry | None


class EvacuationItem(NamedTuple):
    """Evacuation state of a data centre."""

    data_centre: str
    is_evacuated: bool


class UnreadableItem(NamedTuple):
    """A published value that cannot be decoded.

    :param name: name of the backend server whose entry it is, empty for other items.
    :param detail: cause of the failure.
    :param is_entry: whether it is an entry of a backend server, rather than a
        configuration or an evacuation.
    """

    name: str
    detail: str
    is_entry: bool = False


class UnconfiguredItem(NamedTuple):
    """An entry whose service the newest configuration does not name.

    The backend server is not used until a configuration names the service.

    :param entry: :class:`BackendEntry`.
    """

    entry: BackendEntry


class BaseDecoder(ABC):
    """Decodes published values to typed items."""

    @abstractmethod
    def decode(self, item):
        """Return the typed form of an :class:`Item`, or None if it is irrelevant.

        A value that cannot be decoded, or cannot be right, is returned as an
        :class:`UnreadableItem`.
        """
