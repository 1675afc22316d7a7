"""Findings about a configuration, and their locations in its document."""

from abc import ABC, abstractmethod
from typing import NamedTuple

from catkinfork.topology import limit_detail

# Severities. With an error, the forwarders keep the configuration in force; a warning
# names what has no effect or contradicts itself; a note describes an intended change.
ERROR = "error"
WARNING = "warning"
NOTE = "note"


class Finding(NamedTuple):
    """One finding about a configuration.

    :param severity: ``error``, ``warning`` or ``note``.
    :param path: JSON path of the value in the document.
    :param text: what is wrong, or what changes, on one line and without API keys.
    """

    severity: str
    path: str
    text: str

    def describe(self):
        """Return the finding as one line."""
        return f"{self.severity}: {self.path}: {self.text}"


class BasePaths(ABC):
    """JSON paths of the parts of a decoded configuration.

    The checks know the fields of :class:`Configuration` only, and the adapter of the
    platform knows how its document names them.
    """

    @abstractmethod
    def locate(self, section, key=None, field="", item=None):
        """Return the JSON path of a part of the configuration.

        :param section: field of :class:`Configuration`.
        :param key: index of a route or of a workspace, or name of a service.
        :param field: field of the route, the service, the workspace or the limits.
        :param item: index in a field that is a list.
        """


def quote(name):
    """Return a name in quotes, on one line and of limited length."""
    return limit_detail(repr(name))


def count_noun(count, noun):
    """Return a count with its noun in the singular or plural."""
    return f"{count} {noun}" if count == 1 else f"{count} {noun}s"
