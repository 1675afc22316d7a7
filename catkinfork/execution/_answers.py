"""Answers in numbered parts, kept until they are acknowledged."""

from catkinfork.protocol import ResponsePart, Send

MAX_PART_BYTES = 64 * 1024
KEEPALIVE_INTERVAL_S = 0.5
# The gateway's default largest response; a router that acknowledges nothing must not
# fill the agent's memory.
MAX_UNACKED_BYTES = 64 * 1024 * 1024
# Answers to keyed requests are small (orders, reservations); larger ones are not kept.
MAX_RECORDED_BYTES = 256 * 1024
# Sizes of the Python objects that hold a part or a header, without their content.
PART_OVERHEAD_BYTES = 256
HEADER_OVERHEAD_BYTES = 160


class Listener:
    """One attempt that waits for an answer.

    :param attempt: attempt id.
    :param deadline: monotonic time of the caller's deadline.
    :param now: monotonic time in seconds.
    """

    __slots__ = ("acked", "attempt", "deadline", "is_silent", "sent_at")

    def __init__(self, attempt, deadline, now):
        self.attempt = attempt
        self.deadline = deadline
        self.acked = 0
        self.sent_at = now
        self.is_silent = False


class Answer:
    """Parts of one answer and the attempts that wait for it.

    :param is_keyed: whether the whole answer is kept for later submissions of the key.
    """

    __slots__ = (
        "first",
        "is_ended",
        "is_keyed",
        "listeners",
        "n_bytes",
        "parts",
    )

    def __init__(self, is_keyed):
        self.is_keyed = is_keyed
        self.parts = []
        self.first = 0
        self.n_bytes = 0
        self.is_ended = False
        self.listeners = {}

    @property
    def n_parts(self):
        """Number of the next part."""
        return self.first + len(self.parts)

    @property
    def is_complete_copy(self):
        """Whether every part so far is still held."""
        return self.first == 0

    @property
    def is_recordable(self):
        """Whether the whole answer is held and small enough to be kept."""
        return self.is_complete_copy and self.n_bytes <= MAX_RECORDED_BYTES

    def measure_bytes(self):
        """Return the memory that the parts take, estimated."""
        n_bytes = self.n_bytes + PART_OVERHEAD_BYTES * len(self.parts)
        for part in self.parts:
            for name, value in part.headers:
                n_bytes += HEADER_OVERHEAD_BYTES + len(name) + len(value)
        return n_bytes

    def listen(self, attempt, deadline, now):
        """Add an attempt and return the parts that it has missed."""
        self.listeners[attempt] = Listener(attempt, deadline, now)
        return self.send_from(attempt, 0, now)

    def forget(self, attempt):
        """Drop an attempt that no longer waits."""
        self.listeners.pop(attempt, None)
        self.trim()

    def send_from(self, attempt, sequence, now):
        """Return the sends of all parts from a number on.

        :param attempt: an attempt that listens.
        :param sequence: number of the first part to send.
        """
        listener = self.listeners[attempt]
        listener.sent_at = now
        start = max(sequence - self.first, 0)
        return [
            Send(attempt.router, part._replace(attempt=attempt))
            for part in self.parts[start:]
        ]

    def add(self, now, **values):
        """Add one part and return its sends to the attempts that listen.

        Nothing follows the part that ends an answer.
        """
        if self.is_ended:
            return []
        defaults = {"status": 0, "headers": [], "data": b"", "units": 0}
        fields = {**defaults, "is_last": False, "failure": "", **values}
        part = ResponsePart(attempt=None, sequence=self.n_parts, **fields)
        self.parts.append(part)
        self.n_bytes += len(part.data)
        self.is_ended = part.is_last or part.failure != ""
        sends = []
        for listener in self.listeners.values():
            if listener.is_silent:
                continue
            listener.sent_at = now
            address = listener.attempt.router
            sends.append(Send(address, part._replace(attempt=listener.attempt)))
        self.trim()
        return sends

    def add_data(self, data, now):
        """Add body bytes, cut into parts of at most ``MAX_PART_BYTES``."""
        sends = []
        for start in range(0, len(data), MAX_PART_BYTES):
            sends += self.add(now, data=data[start : start + MAX_PART_BYTES])
        return sends

    def acknowledge(self, attempt, next_sequence):
        """Note that an attempt has the parts before a number."""
        listener = self.listeners.get(attempt)
        if listener is None:
            return
        listener.is_silent = False
        next_sequence = min(next_sequence, self.n_parts)
        listener.acked = max(listener.acked, next_sequence)
        self.trim()

    def trim(self):
        """Drop parts that every attempt has, unless they are kept for the key."""
        if self.is_keyed and self.first == 0 and self.n_bytes <= MAX_RECORDED_BYTES:
            return
        acked = [listener.acked for listener in self.listeners.values()]
        n_dropped = min(acked, default=self.n_parts) - self.first
        if n_dropped <= 0:
            return
        self.n_bytes -= sum(len(part.data) for part in self.parts[:n_dropped])
        del self.parts[:n_dropped]
        self.first += n_dropped

    def break_off(self, failure, now):
        """End the answer and drop its parts but for the failure."""
        sends = self.add(now, failure=failure)
        n_dropped = len(self.parts) - 1
        self.first += max(n_dropped, 0)
        del self.parts[:-1]
        self.n_bytes = 0
        return sends

    def is_acked_by(self, attempt):
        """Return whether an attempt has the whole answer."""
        listener = self.listeners.get(attempt)
        if listener is None:
            return True
        return self.is_ended and listener.acked >= self.n_parts

    def keep_alive(self, now):
        """Return keepalives to attempts that got nothing for a while."""
        sends = []
        for listener in self.listeners.values():
            if listener.is_silent or now - listener.sent_at < KEEPALIVE_INTERVAL_S:
                continue
            listener.sent_at = now
            part = ResponsePart(
                listener.attempt, self.n_parts, 0, [], b"", False, "", 0, True
            )
            sends.append(Send(listener.attempt.router, part))
        return sends
