"""State of one execution of a request on the backend server."""

from catkinfork.execution._answers import Answer


class Execution:
    """A request that waits for a place or runs.

    :param start: the :class:`Start` that requested it.
    :param record: :class:`KeyRecord`, None without a key.

    ``cancel_code`` is the failure code of an execution that the agent itself cancels,
    empty otherwise.
    """

    __slots__ = (
        "answer",
        "cancel_code",
        "has_head",
        "is_claiming",
        "is_crash_recorded",
        "is_running",
        "is_suspect",
        "record",
        "start",
        "started_at",
        "units",
    )

    def __init__(self, start, record):
        self.start = start
        self.record = record
        self.answer = Answer(record is not None)
        self.is_claiming = False
        self.is_running = False
        self.is_suspect = start.is_suspect
        self.is_crash_recorded = False
        self.has_head = False
        self.started_at = 0.0
        self.units = 0
        self.cancel_code = ""

    @property
    def attempt(self):
        """Id of the attempt that started it, which identifies it to the backend."""
        return self.start.attempt

    @property
    def is_cancellable(self):
        """Whether it may be cancelled once no attempt waits for its answer."""
        return self.record is None and self.start.is_idempotent

    @property
    def deadline(self):
        """Latest deadline of the attempts that wait, None if there are none."""
        listeners = self.answer.listeners.values()
        return max((listener.deadline for listener in listeners), default=None)
