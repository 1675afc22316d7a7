"""Where the configuration and the list of backend servers come from."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from catkinfork.topology._types import BackendEntry, Configuration


class Item(NamedTuple):
    """One published value.

    :param key: its key.
    :param value: its bytes, or None if it has been removed.
    :param revision: revision of its last change.
    """

    key: str
    value: bytes | None
    revision: int


class Changes(NamedTuple):
    """Items that were read.

    :param items: :class:`Item` entries.
    :param revision: revision of the store up to which nothing is missing.
    :param is_full: whether these are all items, so that others do not exist.
    """

    items: list
    revision: int
    is_full: bool


class SourceError(Exception):
    """A source does not answer as expected.

    :param detail: what was wrong.
    """

    def __init__(self, detail):
        super().__init__(detail)
        self.detail = detail


class HistoryLostError(SourceError):
    """The changes after a revision are no longer available."""


class BaseSource(ABC):
    """Published items that can be read and watched."""

    name = ""

    @abstractmethod
    async def list_all(self):
        """Return all items as :class:`Changes`.

        :raises SourceError: if the source does not answer as expected.
        """

    @abstractmethod
    async def wait(self, revision):
        """Return the changes after a revision, empty if none came in time.

        :raises HistoryLostError: if the changes are no longer available.
        :raises SourceError: if the source does not answer as expected.
        """


class ConfigurationItem(NamedTuple):
    """A published configuration."""

    configuration: Configuration


class EntryItem(NamedTuple):
    """A backend server's entry; the entry is None once it has been removed."""

    name: str
    entry: BackendEntry | None


class EvacuationItem(NamedTuple):
    """A data centre that is taken out of service, or taken back."""

    data_centre: str
    is_evacuated: bool


class UnreadableItem(NamedTuple):
    """A value that cannot be read.

    :param name: backend server that it would name, empty for other items.
    """

    name: str
    detail: str


class BaseDecoder(ABC):
    """Translates published values to typed items."""

    @abstractmethod
    def decode(self, item):
        """Return the typed form of an :class:`Item`, or None if it means nothing."""
