"""Answers in numbered parts that are buffered until they are acknowledged."""

from catkinfork.protocol import ResponsePart, Send

MAX_PART_BYTES = 64 * 1024
KEEPALIVE_INTERVAL_S = 0.5
# Equals the gateway's default maximum response size. Bounds the agent's memory if a
# router acknowledges nothing.
MAX_UNACKED_BYTES = 64 * 1024 * 1024
# Answers to keyed requests are small (orders, reservations); larger ones are not
# recorded.
MAX_RECORDED_ANSWER_BYTES = 256 * 1024
# Memory of the Python objects that hold a part or a header, without their content.
PART_OVERHEAD_BYTES = 256
HEADER_OVERHEAD_BYTES = 160


class Listener:
    """One attempt that waits for an answer.

    :param attempt: attempt id.
    :param deadline: monotonic time of the caller's deadline.
    :param now: monotonic time in seconds.
    """

    __slots__ = ("attempt", "deadline", "is_silent", "next_unacked", "sent_at")

    def __init__(self, attempt, deadline, now):
        self.attempt = attempt
        self.deadline = deadline
        self.next_unacked = 0
        self.sent_at = now
        self.is_silent = False


class Answer:
    """Buffered parts of one answer and the attempts that wait for it.

    :param is_keyed: whether the full answer is kept for repeats of its key.
    """

    __slots__ = (
        "first_sequence",
        "is_ended",
        "is_keyed",
        "listeners",
        "n_bytes",
        "parts",
    )

    def __init__(self, is_keyed):
        self.is_keyed = is_keyed
        self.parts = []
        self.first_sequence = 0
        self.n_bytes = 0
        self.is_ended = False
        self.listeners = {}

    @property
    def n_parts(self):
        """Sequence number of the next part."""
        return self.first_sequence + len(self.parts)

    @property
    def has_all_parts(self):
        """Whether no part has been dropped yet."""
        return self.first_sequence == 0

    @property
    def is_recordable(self):
        """Whether the answer has all its parts and is small enough to be recorded."""
        return self.has_all_parts and self.n_bytes <= MAX_RECORDED_ANSWER_BYTES

    def estimate_bytes(self):
        """Return the estimated memory of the parts in bytes."""
        n_bytes = self.n_bytes + PART_OVERHEAD_BYTES * len(self.parts)
        for part in self.parts:
            for name, value in part.headers:
                n_bytes += HEADER_OVERHEAD_BYTES + len(name) + len(value)
        return n_bytes

    def add_listener(self, attempt, deadline, now):
        """Add an attempt and return the sends of the parts so far."""
        self.listeners[attempt] = Listener(attempt, deadline, now)
        return self.send_from(attempt, 0, now)

    def remove_listener(self, attempt):
        """Remove an attempt that no longer waits."""
        self.listeners.pop(attempt, None)
        self.drop_acked_parts()

    def send_from(self, attempt, sequence, now):
        """Return the sends of all buffered parts from a sequence number on.

        :param attempt: id of an attempt that waits for the answer.
        :param sequence: sequence number of the first part to send.
        """
        listener = self.listeners[attempt]
        listener.sent_at = now
        start = max(sequence - self.first_sequence, 0)
        return [
            Send(attempt.router, part._replace(attempt=attempt))
            for part in self.parts[start:]
        ]

    def add(self, now, **values):
        """Add one part and return its sends to the live listeners.

        Parts after the one that ended the answer are ignored.
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
        self.drop_acked_parts()
        return sends

    def add_data(self, data, now):
        """Add body bytes, split into parts of at most ``MAX_PART_BYTES``."""
        sends = []
        for start in range(0, len(data), MAX_PART_BYTES):
            sends += self.add(now, data=data[start : start + MAX_PART_BYTES])
        return sends

    def acknowledge(self, attempt, next_sequence):
        """Record that an attempt has received all parts before a sequence number."""
        listener = self.listeners.get(attempt)
        if listener is None:
            return
        listener.is_silent = False
        next_sequence = min(next_sequence, self.n_parts)
        listener.next_unacked = max(listener.next_unacked, next_sequence)
        self.drop_acked_parts()

    def drop_acked_parts(self):
        """Drop parts that all listeners have, unless they are kept for the key."""
        if (
            self.is_keyed
            and self.first_sequence == 0
            and self.n_bytes <= MAX_RECORDED_ANSWER_BYTES
        ):
            return
        next_unacked = [listener.next_unacked for listener in self.listeners.values()]
        n_dropped = min(next_unacked, default=self.n_parts) - self.first_sequence
        if n_dropped <= 0:
            return
        self.n_bytes -= sum(len(part.data) for part in self.parts[:n_dropped])
        del self.parts[:n_dropped]
        self.first_sequence += n_dropped

    def abort(self, failure, now):
        """End the answer with a failure and drop all other parts."""
        sends = self.add(now, failure=failure)
        n_dropped = len(self.parts) - 1
        self.first_sequence += max(n_dropped, 0)
        del self.parts[:-1]
        self.n_bytes = 0
        return sends

    def is_acked_by(self, attempt):
        """Return whether an attempt has received the full answer."""
        listener = self.listeners.get(attempt)
        if listener is None:
            return True
        return self.is_ended and listener.next_unacked >= self.n_parts

    def build_keepalives(self, now):
        """Return keepalives for listeners that were sent nothing recently."""
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
