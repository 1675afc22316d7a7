"""Connection to a backend server: writes requests and parses responses."""

import asyncio
import re
import socket
from abc import ABC, abstractmethod

import httptools

from catkinfork.forwarding._messages import ResponseHead

# Time after which unacknowledged bytes end a connection, milliseconds.
USER_TIMEOUT_MS = 1500
# Keep-alive probes on idle connections, seconds and count.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_COUNT = 2
IDLE_TIMEOUT = re.compile(rb"timeout=(\d+)")
NO_BODY = {204, 304}


class BaseResponseListener(ABC):
    """Takes the events of one response."""

    @abstractmethod
    def on_head(self, head):
        """Take the head of the response.

        :param head: :class:`ResponseHead`.
        """

    @abstractmethod
    def on_data(self, data):
        """Take a part of the body."""

    @abstractmethod
    def on_end(self):
        """Take the complete end of the response."""

    @abstractmethod
    def on_broken(self, detail):
        """Take the end of the connection before the response was complete.

        :param detail: reason for the log.
        """


class BackendConnection(asyncio.Protocol):
    """One connection to a backend server; it carries one request at a time.

    :param pool: :class:`ConnectionPool`.
    """

    def __init__(self, pool):
        self.pool = pool
        self.loop = pool.loop
        self.transport = None
        self.parser = None
        self.listener = None
        self.request_id = b""
        self.headers = []
        self.reason = b""
        self.pieces = []
        self.is_lost = False
        self.is_skipping = False
        self.is_until_close = False
        self.has_head = False
        self.is_complete = False
        self.is_reusable = True
        self.idle_since = 0.0
        self.idle_timeout_s = None

    def connection_made(self, transport):
        self.transport = transport
        self.parser = httptools.HttpResponseParser(self)
        set_probes(transport.get_extra_info("socket"))

    def connection_lost(self, exc):
        self.is_lost = True
        self.pool.note_closed(self)
        self.fail(f"connection lost: {exc}" if exc else "connection closed")

    def eof_received(self):
        if self.listener is not None and self.is_until_close and self.has_head:
            self.is_reusable = False
            self.end_response()
        return False

    def send(self, listener, request_id, data):
        """Send a request.

        :param listener: :class:`BaseResponseListener`.
        :param request_id: id that the response has to bear.
        :param data: whole request.
        """
        self.listener = listener
        self.request_id = request_id
        self.has_head = False
        self.is_complete = False
        self.transport.write(data)

    def data_received(self, data):
        if self.listener is None:
            # Nothing is due: bytes after a complete response belong to no request.
            self.abort()
            return
        detail = ""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            detail = f"malformed response: {error}"
        except httptools.HttpParserUpgrade:
            detail = "protocol switch"
        # Spoiled bytes may follow a complete response, which stands.
        if detail:
            self.is_reusable = False
        if not detail or self.is_complete:
            self.deliver()
        if self.is_complete:
            self.end_response()
        elif detail:
            self.fail(detail)
            self.abort()

    def deliver(self):
        """Pass on what has arrived of the body."""
        if self.pieces and self.listener is not None:
            data = b"".join(self.pieces)
            self.pieces = []
            self.listener.on_data(data)

    def on_message_begin(self):
        """Begin a response."""
        self.headers = []
        self.reason = b""
        if self.is_complete:
            self.is_reusable = False
            self.is_skipping = True

    def on_status(self, reason):
        """Take the reason phrase."""
        self.reason += reason

    def on_header(self, name, value):
        """Take a header."""
        self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Pass on the head of the response to the request that was sent."""
        if self.is_complete:
            return
        status = self.parser.get_status_code()
        if status < 200 or self.is_foreign():
            self.is_skipping = True
            return
        self.is_skipping = False
        self.has_head = True
        names = {}
        for name, value in self.headers:
            names.setdefault(name, value)
        length = names.get(b"content-length")
        is_chunked = b"chunked" in names.get(b"transfer-encoding", b"").lower()
        has_body = status not in NO_BODY
        self.is_until_close = has_body and length is None and not is_chunked
        self.note_idle_timeout(names.get(b"keep-alive", b""))
        n_bytes = None
        if length is not None and not is_chunked and length.isdigit():
            n_bytes = int(length)
        head = ResponseHead(status, self.reason, tuple(self.headers), n_bytes)
        self.listener.on_head(head)

    def is_foreign(self):
        """Return whether the response bears the id of another request."""
        name = self.pool.names.request_id
        for key, value in self.headers:
            if key == name:
                return value != self.request_id
        return False

    def note_idle_timeout(self, value):
        """Take the idle timeout that the backend server states."""
        match = IDLE_TIMEOUT.search(value)
        if match:
            self.idle_timeout_s = float(match[1])

    def on_body(self, body):
        """Take a part of the body."""
        if not self.is_skipping:
            self.pieces.append(body)

    def on_message_complete(self):
        """End a response."""
        if self.is_skipping:
            self.is_skipping = False
            return
        if self.has_head:
            self.is_complete = True
            self.is_reusable = self.is_reusable and self.parser.should_keep_alive()

    def end_response(self):
        """Tell the listener that the response is complete, and free the connection."""
        listener, self.listener = self.listener, None
        is_sent = not self.transport.get_write_buffer_size()
        is_open = not self.is_lost and not self.transport.is_closing()
        is_free = self.is_reusable and is_sent and is_open
        if is_free and not self.is_until_close:
            self.pool.release(self)
        else:
            self.transport.close()
        if listener is not None:
            listener.on_end()

    def fail(self, detail):
        """Tell the listener that the response will not be complete."""
        listener, self.listener = self.listener, None
        if listener is not None:
            self.pieces = []
            listener.on_broken(detail)

    def detach(self):
        """Drop the listener; the response is read and thrown away."""
        self.listener = NULL_LISTENER

    def abort(self):
        """Break the connection, which stops the request at the backend server."""
        self.listener = None
        if not self.is_lost:
            self.transport.abort()

    def pause(self):
        """Read no more for now."""
        if not self.is_lost:
            self.transport.pause_reading()

    def resume(self):
        """Read again."""
        if not self.is_lost:
            self.transport.resume_reading()


class NullListener(BaseResponseListener):
    """Throws a response away."""

    def on_head(self, head):
        pass

    def on_data(self, data):
        pass

    def on_end(self):
        pass

    def on_broken(self, detail):
        pass


NULL_LISTENER = NullListener()


def set_probes(sock):
    """Let the system end a connection whose other end is silent.

    :param sock: connected socket.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    options = (
        (socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEP_ALIVE_COUNT),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for option, value in options:
        sock.setsockopt(socket.IPPROTO_TCP, option, value)
