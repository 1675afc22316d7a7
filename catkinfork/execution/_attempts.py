"""Memory of attempts, so that late and duplicated messages change nothing."""

from collections import OrderedDict

# Longer than any message can stay in a socket buffer of a live connection, and longer
# than a router takes to resume or give up an attempt.
RETENTION_S = 30.0
MAX_ROUTERS = 4096


class Attempt:
    """What became of one attempt.

    :param answer: :class:`Answer` that it listens to, or None.
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
    """Attempts that are open or ended lately, and a floor for each older router.

    Numbers of attempts rise for each incarnation of a router, so the highest forgotten
    number tells a forgotten attempt from one that has never arrived.
    """

    def __init__(self):
        self.attempts = {}
        self.ended = OrderedDict()
        self.floors = OrderedDict()

    def find(self, attempt):
        """Return the :class:`Attempt` of an id, or None."""
        return self.attempts.get(attempt)

    def open(self, attempt, answer, execution):
        """Note an attempt that listens to an answer."""
        self.attempts[attempt] = Attempt(answer, execution)

    def refuse(self, refusal, now):
        """Note a refusal, which is repeated to any later message of the attempt."""
        entry = self.attempts.setdefault(refusal.attempt, Attempt())
        if entry.answer is not None:
            entry.answer.forget(refusal.attempt)
            entry.answer = None
            entry.execution = None
        entry.refusal = refusal
        self.close(refusal.attempt, now)

    def close(self, attempt, now):
        """Note that an attempt has ended; it is forgotten after ``RETENTION_S``."""
        entry = self.attempts.get(attempt)
        if entry is None or entry.ended_at is not None:
            return
        entry.ended_at = now
        self.ended[attempt] = now

    def touch(self, attempt, now):
        """Keep an ended attempt for longer because its router is still there."""
        if attempt in self.ended:
            self.ended[attempt] = now
            self.ended.move_to_end(attempt)

    def is_forgotten(self, attempt):
        """Return whether an id that is not in the table may have been in it."""
        floor = self.floors.get((attempt.router, attempt.incarnation), -1)
        return attempt.number <= floor

    def forget_old(self, now):
        """Forget the attempts that ended long ago."""
        while self.ended:
            attempt, ended_at = next(iter(self.ended.items()))
            if now - ended_at < RETENTION_S:
                return
            del self.ended[attempt]
            entry = self.attempts.pop(attempt)
            if entry.answer is not None:
                entry.answer.forget(attempt)
            self.raise_floor(attempt)

    def raise_floor(self, attempt):
        """Remember the highest forgotten number of a router's incarnation."""
        router = (attempt.router, attempt.incarnation)
        floor = max(self.floors.pop(router, -1), attempt.number)
        self.floors[router] = floor
        if len(self.floors) > MAX_ROUTERS:
            self.floors.popitem(last=False)

    def list_router(self, address):
        """Return the open attempts of a router with their entries."""
        return [
            (attempt, entry)
            for attempt, entry in self.attempts.items()
            if attempt.router == address and entry.ended_at is None
        ]
