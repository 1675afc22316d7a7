"""Table of attempts, which makes late and duplicate messages harmless."""

from collections import OrderedDict

# Longer than a message can stay in the socket buffer of a live connection, and longer
# than a router takes to resume or abandon an attempt.
RETENTION_S = 30.0
MAX_ROUTER_INCARNATIONS = 4096


class Attempt:
    """State of one attempt.

    :param answer: :class:`Answer` that it waits for, or None.
    :param execution: :class:`Execution` of that answer, None if it has ended.

    ``refusal`` is the :class:`StartRefused` that was sent, or None.
    """

    __slots__ = ("answer", "ended_at", "execution", "refusal")

    def __init__(self, answer=None, execution=None):
        self.answer = answer
        self.execution = execution
        self.refusal = None
        self.ended_at = None


class AttemptTable:
    """Open and recently ended attempts, and a high-water mark for each router.

    Each incarnation of a router numbers its attempts in ascending order. The highest
    number that was removed therefore distinguishes a removed attempt from one that
    never arrived.
    """

    def __init__(self):
        self.attempts = {}
        self.ended = OrderedDict()
        self.high_water_marks = OrderedDict()

    def find(self, attempt):
        """Return the :class:`Attempt` of an id, or None."""
        return self.attempts.get(attempt)

    def open(self, attempt, answer, execution):
        """Add an attempt that waits for an answer."""
        self.attempts[attempt] = Attempt(answer, execution)

    def refuse(self, refusal, now):
        """Record a refusal, which answers all later messages of the attempt."""
        entry = self.attempts.setdefault(refusal.attempt, Attempt())
        if entry.answer is not None:
            entry.answer.remove_listener(refusal.attempt)
            entry.answer = None
            entry.execution = None
        entry.refusal = refusal
        self.close(refusal.attempt, now)

    def close(self, attempt, now):
        """Record the end of an attempt, which is removed after ``RETENTION_S``."""
        entry = self.attempts.get(attempt)
        if entry is None or entry.ended_at is not None:
            return
        entry.ended_at = now
        self.ended[attempt] = now

    def extend_retention(self, attempt, now):
        """Restart the retention of an ended attempt whose router is still active."""
        if attempt in self.ended:
            self.ended[attempt] = now
            self.ended.move_to_end(attempt)

    def is_forgotten(self, attempt):
        """Return whether an id that is not in the table may have been removed."""
        high_water_mark = self.high_water_marks.get(
            (attempt.router, attempt.incarnation), -1
        )
        return attempt.number <= high_water_mark

    def remove_expired(self, now):
        """Remove the attempts whose retention has expired."""
        while self.ended:
            attempt, ended_at = next(iter(self.ended.items()))
            if now - ended_at < RETENTION_S:
                return
            del self.ended[attempt]
            entry = self.attempts.pop(attempt)
            if entry.answer is not None:
                entry.answer.remove_listener(attempt)
            self.raise_high_water_mark(attempt)

    def raise_high_water_mark(self, attempt):
        """Record the highest removed number of an incarnation of a router."""
        router = (attempt.router, attempt.incarnation)
        high_water_mark = max(self.high_water_marks.pop(router, -1), attempt.number)
        self.high_water_marks[router] = high_water_mark
        if len(self.high_water_marks) > MAX_ROUTER_INCARNATIONS:
            self.high_water_marks.popitem(last=False)

    def list_open_of_router(self, address):
        """Return the open attempts of a router with their entries."""
        return [
            (attempt, entry)
            for attempt, entry in self.attempts.items()
            if attempt.router == address and entry.ended_at is None
        ]
