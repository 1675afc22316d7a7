"""Interface that a role (router or agent) implements on top of a process."""

from abc import ABC, abstractmethod


class BaseRole(ABC):
    """Role-specific part of a process; all times are monotonic seconds."""

    @abstractmethod
    def list_cores(self):
        """Return the sans-I/O cores whose ``tick`` is called regularly."""

    @abstractmethod
    def handle(self, sender, message, now):
        """Return the actions for a message, or None if the role does not handle it."""

    @abstractmethod
    def execute_role_action(self, action, now):
        """Execute an action that only this role has."""

    @abstractmethod
    def adopt(self, view, now):
        """Put a document in force and return the resulting actions."""

    @abstractmethod
    def set_dispatchers(self, pool, addresses, now):
        """Set the live dispatchers of a pool and return the resulting actions.

        :param addresses: addresses of the dispatchers in order of preference.
        """

    @abstractmethod
    def review(self, now):
        """Check the liveness of peers and the host list; return the actions."""

    @abstractmethod
    def list_pools(self):
        """Return the names of the pools that this process takes part in."""

    @abstractmethod
    def count_open_requests(self):
        """Return the number of requests that stopping now would interrupt."""

    @abstractmethod
    def start_drain(self, now):
        """Stop accepting new work and return the resulting actions."""

    @abstractmethod
    def list_backend_servers(self):
        """Return the :class:`BackendServerStatus` of this process."""

    @abstractmethod
    def list_metrics(self):
        """Yield ``(name, help, labels, value)`` for each metric."""

    @abstractmethod
    def drain_timeout_s(self):
        """Return the maximum duration of a drain in seconds."""
