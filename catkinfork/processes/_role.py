"""What a role of the fleet adds to a process."""

from abc import ABC, abstractmethod


class BaseRole(ABC):
    """Decisions and figures of a role; times are monotonic seconds."""

    @abstractmethod
    def list_cores(self):
        """Return the decision objects that tick."""

    @abstractmethod
    def handle(self, sender, message, now):
        """Return the actions for a message of the role, or None if it has none."""

    @abstractmethod
    def perform(self, action, now):
        """Carry out an action of the role."""

    @abstractmethod
    def adopt(self, view, now):
        """Return the actions for a new document in force."""

    @abstractmethod
    def set_dispatchers(self, pool, addresses, now):
        """Return the actions for the live dispatchers of a pool, first choice first."""

    @abstractmethod
    def review(self, now):
        """Return the actions of the regular review of peers and hosts."""

    @abstractmethod
    def list_pools(self):
        """Return the names of the pools in which this process takes part."""

    @abstractmethod
    def count_open(self):
        """Return the number of requests that a stop would cut."""

    @abstractmethod
    def start_drain(self, now):
        """Return the actions that stop the taking of new work."""

    @abstractmethod
    def list_backend_servers(self):
        """Return the :class:`BackendServerStatus` of this process."""

    @abstractmethod
    def list_metrics(self):
        """Yield ``(name, help, labels, value)`` for each metric."""

    @abstractmethod
    def drain_timeout_s(self):
        """Return the longest drain in seconds."""
