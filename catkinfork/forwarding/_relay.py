"""Passing a backend server's response on to a caller."""

from abc import ABC, abstractmethod

from catkinfork.forwarding._messages import (
    LAST_CHUNK,
    write_chunk,
    write_response_head,
)

# Plain responses up to this size are sent once they are complete, so that a backend
# server that breaks off can be replaced; larger ones are passed on as they arrive.
MAX_HELD_BYTES = 65536
CHUNKED = b"transfer-encoding: chunked"
EVENT_STREAM = b"text/event-stream"


class BaseRelay(ABC):
    """Relay of one response, from one or more backend servers.

    :param caller: :class:`CallerConnection`.
    :param is_closing: whether the caller's connection closes after the response.
    :param is_chunked: whether the caller understands chunks (HTTP/1.1).
    """

    def __init__(self, caller, is_closing, is_chunked):
        self.caller = caller
        self.is_closing = is_closing
        self.is_chunked = is_chunked
        self.head = None
        self.is_started = False
        self.n_bytes = 0

    def begin(self, head):
        """Take the head of a response; that of a resumed run is dropped."""
        if self.head is None:
            self.head = head

    @abstractmethod
    def feed(self, data):
        """Take a part of the body.

        :returns: whether anything was passed on.
        """

    @abstractmethod
    def end(self):
        """Take the end of the response.

        :returns: whether the response is whole.
        """

    def write(self, data):
        """Write a part of the body, with the head before the first one."""
        framing = CHUNKED if self.is_chunked else b"connection: close"
        prefix = b""
        if not self.is_started:
            self.is_started = True
            prefix = write_response_head(self.head, framing, self.is_closing)
        self.n_bytes += len(data)
        if self.is_chunked and data:
            data = write_chunk(data)
        self.caller.write(prefix + data)

    def write_end(self):
        """Write the end of a body without a stated length."""
        if not self.is_started:
            self.write(b"")
        if self.is_chunked:
            self.caller.write(LAST_CHUNK)


class PlainRelay(BaseRelay):
    """Relay of a response that is one body."""

    def __init__(self, caller, is_closing, is_chunked):
        super().__init__(caller, is_closing, is_chunked)
        self.held = []
        self.n_held = 0

    def begin(self, head):
        if not self.is_started:
            self.head = head
            self.held = []
            self.n_held = 0

    def feed(self, data):
        if self.is_started:
            self.write(data)
            return True
        self.held.append(data)
        self.n_held += len(data)
        if self.n_held > MAX_HELD_BYTES:
            self.write(b"".join(self.held))
            self.held = []
            return True
        return False

    def end(self):
        if self.is_started:
            self.write_end()
            return True
        body = b"".join(self.held)
        expected = self.head.n_bytes
        framing = b"content-length: %d" % len(body)
        if not body and expected:
            # A response to HEAD states the length of a body that is not sent.
            framing = b"content-length: %d" % expected
        self.is_started = True
        self.n_bytes = len(body)
        head = write_response_head(self.head, framing, self.is_closing)
        self.caller.write(head + body)
        return True


class StreamRelay(BaseRelay):
    """Relay of a stream of events, passed on as they arrive."""

    def feed(self, data):
        self.write(data)
        return True

    def end(self):
        self.write_end()
        return True


class ResumableRelay(BaseRelay):
    """Relay of a stream that may go on at another backend server.

    Only whole events are passed on, so that the next run can begin with the event after
    the last one.

    :param last_event_id: id of the last event that the caller has, empty if none.
    """

    def __init__(self, caller, is_closing, is_chunked, last_event_id):
        super().__init__(caller, is_closing, is_chunked)
        self.last_event_id = last_event_id
        self.tail = b""
        self.is_resumed = False

    def begin(self, head):
        self.is_resumed = self.head is not None
        self.tail = b""
        super().begin(head)

    def feed(self, data):
        if self.tail:
            data = self.tail + data
        end = find_events_end(data)
        self.tail = data[end:]
        if not end:
            return False
        events = data[:end]
        if self.is_resumed:
            events = self.drop_known(events)
            if not events:
                return False
            self.is_resumed = False
        event_id = find_last_id(events)
        if event_id is not None:
            self.last_event_id = event_id
        self.write(events)
        return True

    def drop_known(self, events):
        """Return the events that follow the last one that the caller has."""
        if not self.last_event_id.isdigit():
            return events
        known = int(self.last_event_id)
        kept = []
        for event in split_events(events):
            event_id = find_last_id(event)
            is_known = event_id is not None and event_id.isdigit()
            if not is_known or int(event_id) > known:
                kept.append(event)
        return b"".join(kept)

    def end(self):
        if self.tail:
            return False
        self.write_end()
        return True


def build_relay(exchange, head):
    """Return the relay for a response.

    :param exchange: :class:`Exchange`.
    :param head: :class:`ResponseHead`.
    """
    request = exchange.request
    is_chunked = request.version == "1.1"
    is_closing = not exchange.is_keep_alive()
    is_stream = EVENT_STREAM in (head.find(b"content-type") or b"")
    if not is_stream or head.status >= 300:
        return PlainRelay(exchange.caller, is_closing, is_chunked)
    if not exchange.job.route.is_resumable:
        return StreamRelay(exchange.caller, is_closing, is_chunked)
    last_event_id = request.find(exchange.server.names.last_event_id) or b""
    return ResumableRelay(exchange.caller, is_closing, is_chunked, last_event_id)


def find_events_end(data):
    """Return the position after the last whole event."""
    if data.endswith(b"\n\n"):
        return len(data)
    end = data.rfind(b"\n\n") + 2
    other = data.rfind(b"\r\n\r\n") + 4
    return max(end if end >= 2 else 0, other if other >= 4 else 0)


def split_events(data):
    """Return whole events one by one."""
    separator = b"\r\n\r\n" if b"\r\n\r\n" in data else b"\n\n"
    return [event + separator for event in data.split(separator) if event]


def find_last_id(events):
    """Return the id of the last event that has one, or None."""
    start = events.rfind(b"\nid:")
    if start >= 0:
        start += 4
    elif events.startswith(b"id:"):
        start = 3
    else:
        return None
    end = events.find(b"\n", start)
    return events[start:end].strip()
