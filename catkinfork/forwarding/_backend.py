"""Connections to backend servers: writing of requests and parsing of responses."""

import asyncio
import re
import select
import socket
from abc import ABC, abstractmethod

import httptools

from catkinfork.forwarding._messages import ResponseHead
from catkinfork.forwarding._sockets import poll_socket

# Time after which a connection with unacknowledged data is closed, milliseconds.
TCP_USER_TIMEOUT_MS = 1500
# TCP keep-alive: idle time and probe interval in seconds, number of probes.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
# Bytes that a backend server may send beside the body of the expected response, beyond
# as many as that has: heads, interim and unrelated responses, framing of chunks,
# trailers and discarded bodies. A faulty one may send such bytes without end.
MAX_OVERHEAD_BYTES = 1 << 18
# Bytes for which a part of the body counts besides, as its parsing takes time: shorter
# parts than that may come without end.
PART_COST_BYTES = 32
# Headers and trailers of a response; each takes many times its bytes as objects.
MAX_FIELDS = 256
# Interim, unrelated and expected heads that a backend server may send for one request.
MAX_HEADS = 64
# Time for which the rest of a discarded response is read, seconds.
MAX_DISCARD_TIME_S = 30.0
KEEP_ALIVE_TIMEOUT_PATTERN = re.compile(rb"timeout=(\d+)")
NO_BODY_STATUSES = {204, 304}
# Status codes of HTTP (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599
HEAD_METHOD = b"HEAD "


class TooManyFieldsError(Exception):
    """A response has more than :data:`MAX_FIELDS` headers and trailers."""


class TooManyHeadsError(Exception):
    """More than :data:`MAX_HEADS` heads were sent for one request."""


class InvalidStatusError(Exception):
    """A response has a status outside the range of HTTP."""


class TooManyPartsError(Exception):
    """The body of a response comes in too many short parts."""


class BaseResponseListener(ABC):
    """Receives the events of one response."""

    @abstractmethod
    def on_head(self, head):
        """Handle the head of the response.

        :param head: :class:`ResponseHead`.
        """

    @abstractmethod
    def on_data(self, data):
        """Handle a part of the body."""

    @abstractmethod
    def on_end(self):
        """Handle the end of a complete response."""

    @abstractmethod
    def on_error(self, detail):
        """Handle a failure before the response was complete.

        :param detail: description of the failure, for the log.
        """


class BackendConnection(asyncio.Protocol):
    """A connection to a backend server, which carries one request at a time.

    :param pool: :class:`ConnectionPool`.
    """

    def __init__(self, pool):
        self.pool = pool
        self.loop = pool.loop
        self.transport = None
        self.parser = None
        self.listener = None
        self.request_id = b""
        self.is_bodiless = False
        self.headers = []
        self.n_fields = 0
        self.is_reading_head = False
        self.reason = b""
        self.body_parts = []
        self.is_lost = False
        self.is_detached = False
        self.is_skipping = False
        self.is_delimited_by_close = False
        self.has_received_eof = False
        self.has_head = False
        self.is_complete = False
        self.is_reusable = True
        self.n_received_bytes = 0
        self.n_body_bytes = 0
        self.n_parts = 0
        self.n_heads = 0
        self.n_sent = 0
        self.opened_at = self.loop.time()
        self.idle_since = 0.0
        self.idle_timeout_s = None

    def connection_made(self, transport):
        self.transport = transport
        self.parser = httptools.HttpResponseParser(self)
        # Has the end of the request reported by resume_writing.
        transport.set_write_buffer_limits(high=0)
        set_keep_alive_options(transport.get_extra_info("socket"))

    def connection_lost(self, exc):
        self.is_lost = True
        self.pool.remove(self)
        self.fail(f"connection lost: {exc}" if exc else "connection closed")

    def eof_received(self):
        """Handle the end of what the backend server sends.

        If a part of the request is still unsent, the end counts once that is sent: a
        connection that is reset before was broken off, and the response with it.
        """
        if self.listener is None or not self.is_delimited_by_close or not self.has_head:
            return False
        self.is_reusable = False
        self.has_received_eof = True
        if self.transport.get_write_buffer_size():
            return True
        self.end_response()
        return False

    def resume_writing(self):
        """Handle the end of the request, all of which was sent."""
        if self.has_received_eof and self.listener is not None:
            self.end_response()

    def send(self, listener, request_id, data):
        """Send a request.

        :param listener: :class:`BaseResponseListener`.
        :param request_id: id that the response has to carry, if it has one.
        :param data: encoded request.
        """
        self.listener = listener
        self.is_detached = False
        self.request_id = request_id
        self.is_bodiless = data.startswith(HEAD_METHOD)
        self.has_head = False
        self.is_complete = False
        self.n_received_bytes = 0
        self.n_body_bytes = 0
        self.n_parts = 0
        self.n_heads = 0
        self.n_sent += 1
        self.transport.write(data)

    def data_received(self, data):
        if self.listener is None:
            # No request is in flight, so the data belongs to none.
            self.abort()
            return
        self.n_received_bytes += len(data)
        detail = self.parse(data)
        # A complete response remains valid if malformed data follows it.
        if detail:
            self.is_reusable = False
        if not detail or self.is_complete:
            self.deliver_body()
        if self.is_complete:
            self.end_response()
        elif detail:
            # A discarded response that has begun may be too long to be read to its end.
            if not (self.is_detached and self.has_head):
                self.fail(detail)
            self.abort()

    def parse(self, data):
        """Feed received data to the parser.

        :returns: description of a violation of the protocol, empty if there is none.
        """
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            return f"malformed response: {error}"
        except httptools.HttpParserUpgrade:
            return "unexpected protocol upgrade"
        n_overhead_bytes = self.n_received_bytes - self.n_body_bytes
        if n_overhead_bytes > MAX_OVERHEAD_BYTES + self.n_body_bytes:
            return f"{n_overhead_bytes} bytes beside {self.n_body_bytes} of the body"
        return ""

    def deliver_body(self):
        """Pass received parts of the body to the listener."""
        if not self.body_parts or self.listener is None:
            return
        data = b"".join(self.body_parts)
        self.body_parts = []
        self.listener.on_data(data)

    def on_message_begin(self):
        """Reset the state for a new response.

        :raises TooManyHeadsError: if more were sent than a sound server sends.
        """
        self.n_heads += 1
        if self.n_heads > MAX_HEADS:
            raise TooManyHeadsError
        self.headers = []
        self.n_fields = 0
        self.is_reading_head = True
        self.reason = b""
        if self.is_complete:
            self.is_reusable = False
            self.is_skipping = True

    def on_status(self, reason):
        """Append a part of the reason phrase."""
        self.reason += reason

    def on_header(self, name, value):
        """Append a header; trailers are not relayed.

        :raises TooManyFieldsError: if the response has more than a sound one has.
        """
        self.n_fields += 1
        if self.n_fields > MAX_FIELDS:
            raise TooManyFieldsError
        if self.is_reading_head:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Pass the head to the listener; skip interim and unrelated responses.

        :raises InvalidStatusError: if the status is none of HTTP.
        """
        self.is_reading_head = False
        if self.is_complete:
            return
        status = self.parser.get_status_code()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise InvalidStatusError
        names = {}
        for name, value in self.headers:
            names.setdefault(name, value)
        is_expected = status >= 200 and not self.is_for_other_request()
        if self.pool.on_head is not None:
            self.pool.on_head(status, names, is_expected)
        if not is_expected:
            self.is_skipping = True
            return
        self.is_skipping = False
        self.has_head = True
        length = names.get(b"content-length")
        is_chunked = b"chunked" in names.get(b"transfer-encoding", b"").lower()
        has_body = status not in NO_BODY_STATUSES
        self.is_delimited_by_close = has_body and length is None and not is_chunked
        self.record_idle_timeout(names.get(b"keep-alive", b""))
        n_bytes = None
        if length is not None and not is_chunked and length.isdigit():
            n_bytes = int(length)
        framing = "chunked" if is_chunked else "length"
        if self.is_delimited_by_close:
            framing = "close"
        head = ResponseHead(status, self.reason, tuple(self.headers), n_bytes, framing)
        self.listener.on_head(head)
        if self.is_bodiless:
            # The parser would take the next response for the body.
            self.is_complete = True
            self.is_reusable = False

    def is_for_other_request(self):
        """Return whether the response carries the id of another request."""
        name = self.pool.names.request_id
        for key, value in self.headers:
            if key == name:
                return value != self.request_id
        return False

    def record_idle_timeout(self, value):
        """Record the idle timeout that the backend server announces."""
        match = KEEP_ALIVE_TIMEOUT_PATTERN.search(value)
        if match:
            self.idle_timeout_s = float(match[1])

    def on_body(self, body):
        """Append a part of the body.

        :raises TooManyPartsError: if its parts are too many for their length.
        """
        self.n_parts += 1
        cost = PART_COST_BYTES * self.n_parts
        if cost > MAX_OVERHEAD_BYTES + self.n_body_bytes:
            raise TooManyPartsError
        if not self.is_skipping and not self.is_detached:
            self.n_body_bytes += len(body)
            self.body_parts.append(body)

    def on_message_complete(self):
        """Mark the response as complete, unless it is skipped."""
        if self.is_skipping:
            self.is_skipping = False
            return
        if self.has_head:
            self.is_complete = True
            self.is_reusable = self.is_reusable and self.parser.should_keep_alive()

    def end_response(self):
        """Release or close the connection and notify the listener of the end."""
        listener, self.listener = self.listener, None
        self.pool.remove_detached(self)
        is_sent = not self.transport.get_write_buffer_size()
        is_open = not self.is_lost and not self.transport.is_closing()
        is_free = self.is_reusable and is_sent and is_open
        if is_free and not self.is_delimited_by_close:
            # A slow caller may have paused it with the end of its response.
            self.resume()
            self.pool.release(self)
        else:
            self.transport.close()
        if listener is not None:
            listener.on_end()

    def fail(self, detail):
        """Notify the listener that the response cannot be completed."""
        listener, self.listener = self.listener, None
        if listener is not None:
            self.body_parts = []
            listener.on_error(detail)

    def detach(self, listener=None):
        """Replace the listener; the rest of the response is read and discarded.

        :param listener: :class:`BaseResponseListener` that is told the head, if it is
            still to come, and the end. It is not told if this process closes the
            connection, as it does with the oldest of many.
        """
        self.listener = listener or NULL_LISTENER
        self.is_detached = True
        self.body_parts = []
        self.resume()
        self.pool.add_detached(self)
        self.loop.call_later(MAX_DISCARD_TIME_S, self.abort_discarded, self.n_sent)

    def abort_discarded(self, n_sent):
        """Abort the connection if it still reads a discarded response.

        :param n_sent: number of the request whose response is discarded.
        """
        is_reading = self.is_detached and self.listener is not None
        if is_reading and self.n_sent == n_sent:
            self.abort()

    def abort(self):
        """Abort the connection, which cancels the request at the backend server."""
        self.listener = None
        if not self.is_lost:
            self.transport.abort()

    def has_unread(self):
        """Return whether data, or the end of the connection, was not read yet.

        On an idle connection, neither belongs to a request.
        """
        return poll_socket(self.transport.get_extra_info("socket"), select.POLLIN)

    def pause(self):
        """Pause reading."""
        if not self.is_lost and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self):
        """Resume reading."""
        if not self.is_lost and not self.transport.is_closing():
            self.transport.resume_reading()


class NullListener(BaseResponseListener):
    """Discards a response."""

    def on_head(self, head):
        pass

    def on_data(self, data):
        pass

    def on_end(self):
        pass

    def on_error(self, detail):
        pass


NULL_LISTENER = NullListener()


def set_keep_alive_options(sock):
    """Let the kernel close a connection whose peer does not respond.

    :param sock: connected socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
