"""Interface of the state machines that make the decisions of a process."""

from abc import ABC, abstractmethod


class BaseCore(ABC):
    """Deterministic state machine without I/O, clock or global random state.

    Both methods take the monotonic time in seconds and return a list of actions, each a
    ``NamedTuple``. :class:`Send` is an action of every core.
    """

    @abstractmethod
    def handle(self, sender, message, now):
        """Handle a message from a peer.

        :param sender: :class:`Sender` of the message.
        :param message: one of ``MESSAGE_TYPES``.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """

    @abstractmethod
    def tick(self, now):
        """Handle the timers that are due.

        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
