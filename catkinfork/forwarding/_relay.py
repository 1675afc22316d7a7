"""Relaying of backend server responses to callers."""

from abc import ABC, abstractmethod

from catkinfork.forwarding._messages import (
    LAST_CHUNK,
    encode_chunk,
    encode_response_head,
)
from catkinfork.forwarding._numbers import parse_event_number

# Responses up to this size are buffered until complete, so that the request can be
# retried if the backend server fails; larger ones are streamed.
MAX_BUFFERED_BYTES = 65536
# The same for requests that a planned stop may end; larger ones could still be cut.
MAX_HELD_BYTES = 1 << 20
# Largest event of a resumable stream: events are relayed whole.
MAX_EVENT_BYTES = 1 << 18
CHUNKED = b"transfer-encoding: chunked"
EVENT_STREAM = b"text/event-stream"
# An event ends with an empty line; lines end with LF, CRLF or CR.
EVENT_SEPARATORS = (b"\n\n", b"\n\r\n", b"\r\r")
MAX_SEPARATOR_BYTES = 3


class OversizedEventError(Exception):
    """An event exceeds :data:`MAX_EVENT_BYTES` without being complete."""


class BaseRelay(ABC):
    """Relays one response, which may come from several backend servers in turn.

    :param caller: :class:`CallerConnection`.
    :param is_keep_alive: callable that returns whether the caller's connection accepts
        another request. It is called when the head is sent: until then, requests may
        arrive that have to be answered before the connection closes.
    :param is_chunked: whether the caller accepts chunked encoding (HTTP/1.1).

    ``is_closing`` states whether the connection closes after the response, once the
    head was sent.
    """

    def __init__(self, caller, is_keep_alive, is_chunked):
        self.caller = caller
        self.is_keep_alive = is_keep_alive
        self.is_closing = False
        self.is_chunked = is_chunked
        self.head = None
        self.is_started = False
        self.n_bytes = 0

    def handle_head(self, head):
        """Store the head of the first attempt; ignore those of later attempts."""
        if self.head is None:
            self.head = head

    @abstractmethod
    def handle_data(self, data):
        """Process a part of the body.

        :returns: whether a part of the response was sent to the caller, or would have
            been if it were not held back.
        :raises OversizedEventError: if the body has an event without an end.
        """

    @abstractmethod
    def handle_end(self):
        """Process the end of the response.

        :returns: whether the response is complete.
        """

    def start(self, framing):
        """Return the encoded head, which is about to be sent.

        :param framing: header that delimits the body.
        """
        self.is_started = True
        self.is_closing = not self.is_keep_alive()
        return encode_response_head(self.head, framing, self.is_closing)

    def write(self, data):
        """Write a part of the body, preceded by the head if it is the first part."""
        framing = CHUNKED if self.is_chunked else b"connection: close"
        prefix = b""
        if not self.is_started:
            prefix = self.start(framing)
        self.n_bytes += len(data)
        if self.is_chunked and data:
            data = encode_chunk(data)
        self.caller.write(prefix + data)

    def write_end(self):
        """Terminate a body that has no ``Content-Length``."""
        if not self.is_started:
            self.write(b"")
        if self.is_chunked:
            self.caller.write(LAST_CHUNK)


class BodyRelay(BaseRelay):
    """Relays a response that is not an event stream.

    :param max_buffered_bytes: size up to which the body is buffered.
    """

    def __init__(
        self, caller, is_keep_alive, is_chunked, max_buffered_bytes=MAX_BUFFERED_BYTES
    ):
        super().__init__(caller, is_keep_alive, is_chunked)
        self.max_buffered_bytes = max_buffered_bytes
        self.buffered = []
        self.n_buffered_bytes = 0

    def handle_data(self, data):
        if self.is_started:
            self.write(data)
            return True
        self.buffered.append(data)
        self.n_buffered_bytes += len(data)
        if self.n_buffered_bytes > self.max_buffered_bytes:
            self.write(b"".join(self.buffered))
            self.buffered = []
            return True
        return self.n_buffered_bytes > MAX_BUFFERED_BYTES

    def handle_end(self):
        if self.is_started:
            self.write_end()
            return True
        body = b"".join(self.buffered)
        expected = self.head.n_bytes
        framing = b"content-length: %d" % len(body)
        if not body and expected:
            # A response to HEAD has a Content-Length but no body.
            framing = b"content-length: %d" % expected
        self.n_bytes = len(body)
        self.caller.write(self.start(framing) + body)
        return True


class BaseStreamRelay(BaseRelay):
    """Relays an event stream.

    A stream that ends inside an event is incomplete, whatever its framing: a backend
    server that crashes may end its response as if it were complete. The same holds for
    one without any event whose only end is that of its connection.
    """

    def __init__(self, caller, is_keep_alive, is_chunked):
        super().__init__(caller, is_keep_alive, is_chunked)
        self.framing = ""
        self.has_event = False

    def handle_head(self, head):
        super().handle_head(head)
        self.framing = head.framing
        self.has_event = False

    @abstractmethod
    def is_inside_event(self):
        """Return whether the data of the current attempt ends inside an event."""

    def handle_end(self):
        if self.is_inside_event():
            return False
        if self.framing == "close" and not self.has_event:
            return False
        self.write_end()
        return True


class EventStreamRelay(BaseStreamRelay):
    """Relays an event stream without buffering."""

    def __init__(self, caller, is_keep_alive, is_chunked):
        super().__init__(caller, is_keep_alive, is_chunked)
        self.last_bytes = b""

    def handle_data(self, data):
        self.has_event = True
        self.last_bytes = (self.last_bytes + data[-MAX_SEPARATOR_BYTES:])[
            -MAX_SEPARATOR_BYTES:
        ]
        self.write(data)
        return True

    def is_inside_event(self):
        return bool(self.last_bytes) and not self.last_bytes.endswith(EVENT_SEPARATORS)


class ResumableStreamRelay(BaseStreamRelay):
    """Relays an event stream that can be resumed on another backend server.

    Only complete events are sent to the caller, so that the stream can be resumed after
    the last one.

    :param last_event_id: id of the last event that the caller has received, empty if
        none.
    """

    def __init__(self, caller, is_keep_alive, is_chunked, last_event_id):
        super().__init__(caller, is_keep_alive, is_chunked)
        self.last_event_id = last_event_id
        self.partial_event = b""
        self.is_resumed = False

    def accepts(self, head):
        """Return whether a later response can continue the stream.

        :param head: :class:`ResponseHead`.
        """
        return head.status == self.head.status and is_event_stream(head)

    def handle_head(self, head):
        self.is_resumed = self.head is not None
        self.partial_event = b""
        super().handle_head(head)

    def handle_data(self, data):
        if self.partial_event:
            data = self.partial_event + data
        end = find_last_event_end(data)
        self.partial_event = data[end:]
        if len(self.partial_event) > MAX_EVENT_BYTES:
            raise OversizedEventError
        if not end:
            return False
        self.has_event = True
        events = data[:end]
        if self.is_resumed:
            events = self.drop_delivered(events)
            if not events:
                return False
            self.is_resumed = False
        event_id = find_last_event_id(events)
        if event_id is not None:
            self.last_event_id = event_id
        self.write(events)
        return event_id is not None or has_data(events)

    def drop_delivered(self, events):
        """Return the events without those that the caller has already received."""
        last_number = parse_event_number(self.last_event_id)
        if last_number is None:
            return events
        remaining = []
        for event in split_events(events):
            number = parse_event_number(find_last_event_id(event) or b"")
            if number is None or number > last_number:
                remaining.append(event)
        return b"".join(remaining)

    def is_inside_event(self):
        return bool(self.partial_event)

    def handle_end(self):
        # A stream breaks off before its last event, so that something is left of it.
        if self.is_resumed and not self.has_event:
            return False
        return super().handle_end()


def build_relay(exchange, head):
    """Return the relay for a response.

    :param exchange: :class:`Exchange`.
    :param head: :class:`ResponseHead`.
    """
    request = exchange.request
    is_chunked = request.version == "1.1"
    is_keep_alive = exchange.is_keep_alive
    if not is_event_stream(head) or head.status >= 300:
        may_cut = exchange.server.balancer.may_cut(exchange.job)
        max_bytes = MAX_HELD_BYTES if may_cut else MAX_BUFFERED_BYTES
        return BodyRelay(exchange.caller, is_keep_alive, is_chunked, max_bytes)
    if not exchange.job.route.is_resumable:
        return EventStreamRelay(exchange.caller, is_keep_alive, is_chunked)
    last_event_id = request.find_header(exchange.server.names.last_event_id) or b""
    return ResumableStreamRelay(
        exchange.caller, is_keep_alive, is_chunked, last_event_id
    )


def is_event_stream(head):
    """Return whether a response is an event stream."""
    return EVENT_STREAM in (head.find_header(b"content-type") or b"").lower()


def find_last_event_end(data):
    """Return the position after the last complete event, 0 if there is none."""
    if data.endswith(b"\n\n"):
        return len(data)
    lf_end = data.rfind(b"\n\n") + 2
    crlf_end = data.rfind(b"\r\n\r\n") + 4
    return max(lf_end if lf_end >= 2 else 0, crlf_end if crlf_end >= 4 else 0)


def split_events(data):
    """Split complete events into a list."""
    separator = b"\r\n\r\n" if b"\r\n\r\n" in data else b"\n\n"
    return [event + separator for event in data.split(separator) if event]


def find_last_event_id(events):
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


def has_data(events):
    """Return whether complete events carry data, and are not only comments."""
    return events.startswith(b"data") or b"\ndata" in events
