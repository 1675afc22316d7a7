"""Interface of the decision objects."""

from abc import ABC, abstractmethod


class BaseCore(ABC):
    """A decision object: no I/O, no clock, no global randomness.

    Both methods take the monotonic time in seconds and return a list of actions, each a
    ``NamedTuple``; :class:`Send` is common to all.
    """

    @abstractmethod
    def handle(self, sender, message, now):
        """Take a message.

        :param sender: :class:`Sender` of the message.
        :param message: one of ``MESSAGE_TYPES``.
        :param now: monotonic time in seconds.
        :returns: list of actions.
        """

    @abstractmethod
    def tick(self, now):
        """Do what is due at a time.

        :param now: monotonic time in seconds.
        :returns: list of actions.
        """
