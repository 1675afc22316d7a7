"""Connection of a caller: parses requests and writes responses."""

import asyncio
import re
from collections import deque

import httptools

from catkinfork.forwarding._messages import Request, write_own_response

# Requests that a caller may send ahead of the response to the first one.
MAX_PIPELINED = 16
# Time for which a closed connection still reads, so that the caller gets the last
# response instead of a reset, seconds.
LINGER_S = 0.5
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
TOKEN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
DIGITS = re.compile(rb"^[0-9]{1,15}$")


class BadRequestError(Exception):
    """A request that is refused before it is routed.

    :param status: status code.
    :param code: short reason.
    """

    def __init__(self, status, code):
        super().__init__(status, code)
        self.status = status
        self.code = code


class CallerConnection(asyncio.Protocol):
    """One connection of a caller.

    :param server: :class:`ForwardingServer`.
    """

    def __init__(self, server):
        self.server = server
        self.loop = server.loop
        self.transport = None
        self.parser = None
        self.exchange = None
        self.requests = deque()
        self.request = None
        self.url = b""
        self.headers = []
        self.pieces = []
        self.n_body_bytes = 0
        self.n_head_bytes = 0
        self.is_reading_head = False
        self.is_reading_body = False
        self.is_discarding = False
        self.is_lost = False
        self.is_paused = False
        self.active_at = 0.0

    def connection_made(self, transport):
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        self.active_at = self.loop.time()
        self.server.add(self)

    def connection_lost(self, exc):
        self.is_lost = True
        self.server.discard(self)
        self.leave()

    def eof_received(self):
        # A caller that half-closes has left: nobody reads the response.
        self.leave()
        return False

    def leave(self):
        """End the work for a caller that has left."""
        exchange, self.exchange = self.exchange, None
        self.requests.clear()
        if exchange is not None:
            exchange.on_caller_gone()

    def data_received(self, data):
        self.active_at = self.loop.time()
        if self.is_discarding:
            return
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400, "upgrade_not_supported")
        except httptools.HttpParserCallbackError as error:
            self.reject_cause(error)
        except httptools.HttpParserError:
            self.reject(400, "malformed_request")
        else:
            if self.is_reading_head:
                self.check_head_bytes(len(data))

    def check_head_bytes(self, n_bytes):
        """Refuse a head that is over the limit before it is complete."""
        self.n_head_bytes += n_bytes
        if self.n_head_bytes > self.server.limits.max_header_bytes:
            self.reject(431, "head_too_large")

    def reject_cause(self, error):
        """Refuse a request for a reason that a parser callback has raised."""
        cause = error.__context__
        if not isinstance(cause, BadRequestError):
            raise error
        self.reject(cause.status, cause.code)

    def on_message_begin(self):
        """Begin a request."""
        self.url = b""
        self.headers = []
        self.pieces = []
        self.n_body_bytes = 0
        self.n_head_bytes = 0
        self.is_reading_head = True
        self.is_reading_body = False
        if len(self.requests) >= MAX_PIPELINED:
            raise BadRequestError(429, "too_many_requests_ahead")

    def on_url(self, url):
        """Take a part of the request target."""
        self.url += url

    def on_header(self, name, value):
        """Take a header."""
        if not TOKEN.match(name):
            raise BadRequestError(400, "malformed_header")
        self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Check the head."""
        self.is_reading_head = False
        self.is_reading_body = True
        parser = self.parser
        request = Request(parser.get_method(), self.url, self.headers, self.loop.time())
        request.version = parser.get_http_version()
        request.is_keep_alive = parser.should_keep_alive()
        self.request = request
        check_head(request, self.server.limits)
        if request.find(b"expect") is not None:
            self.transport.write(CONTINUE)

    def on_body(self, body):
        """Take a part of the body."""
        self.n_body_bytes += len(body)
        if self.n_body_bytes > self.server.limits.max_body_bytes:
            raise BadRequestError(413, "body_too_large")
        self.pieces.append(body)

    def on_message_complete(self):
        """Start the request, or keep it until the one before is answered."""
        self.is_reading_body = False
        request = self.request
        request.body = b"".join(self.pieces)
        self.pieces = []
        self.requests.append(request)
        if self.exchange is None:
            self.start_next()

    def start_next(self):
        """Start the next request that has arrived."""
        if self.requests and not self.is_discarding:
            self.exchange = self.server.open_exchange(self, self.requests.popleft())
            self.exchange.start()

    def reject(self, status, code):
        """Refuse what cannot be read, and close."""
        self.is_discarding = True
        self.server.note_rejected(self, status, code)
        if self.exchange is None:
            body = b'{"error":"%s"}' % code.encode()
            self.write(write_own_response(status, body, (), is_closing=True))
            self.linger()

    def write(self, data):
        """Write bytes unless the connection is lost."""
        if not self.is_lost:
            self.transport.write(data)

    def finish(self, is_keep_alive):
        """End the response to the current request.

        :param is_keep_alive: whether the connection takes another request.
        """
        self.exchange = None
        self.active_at = self.loop.time()
        if self.is_discarding or not is_keep_alive:
            self.linger()
            return
        if self.requests:
            self.loop.call_soon(self.start_next)

    def linger(self):
        """Close after the caller had time to read what was written."""
        self.is_discarding = True
        if self.is_lost:
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)

    def abort(self):
        """Break the connection, so that a partial response does not look complete."""
        self.exchange = None
        if not self.is_lost:
            self.transport.abort()

    def pause_writing(self):
        self.is_paused = True
        if self.exchange is not None:
            self.exchange.pause()

    def resume_writing(self):
        self.is_paused = False
        if self.exchange is not None:
            self.exchange.resume()

    def check_idle(self, now):
        """Close the connection if the caller takes too long.

        :param now: monotonic seconds.
        """
        if self.exchange is not None or self.is_discarding:
            return
        limits = self.server.limits
        idle_s = now - self.active_at
        if self.is_reading_head and idle_s > limits.header_timeout_s:
            self.reject(408, "head_timeout")
        elif self.is_reading_body and idle_s > limits.idle_timeout_s:
            self.reject(408, "body_timeout")
        elif idle_s > limits.idle_timeout_s:
            self.is_discarding = True
            self.transport.close()


def check_head(request, limits):
    """Check the head of a request.

    Contradictory lengths are refused, since a backend server could read them otherwise
    than the forwarder.

    :param request: :class:`Request`.
    :param limits: :class:`CallerLimits`.
    :raises BadRequestError: if the request is refused.
    """
    n_bytes = sum(len(name) + len(value) + 4 for name, value in request.headers)
    if n_bytes + len(request.target) > limits.max_header_bytes:
        raise BadRequestError(431, "head_too_large")
    names = [name for name, _ in request.headers]
    if names.count(b"host") != 1:
        raise BadRequestError(400, "one_host_header_expected")
    if names.count(b"content-length") > 1 or names.count(b"transfer-encoding") > 1:
        raise BadRequestError(400, "repeated_length")
    length = request.find(b"content-length")
    coding = request.find(b"transfer-encoding")
    if length is not None and coding is not None:
        raise BadRequestError(400, "contradictory_lengths")
    if coding is not None and coding.strip().lower() != b"chunked":
        raise BadRequestError(400, "unknown_transfer_coding")
    if length is not None and not DIGITS.match(length):
        raise BadRequestError(400, "malformed_length")
    if length is not None and int(length) > limits.max_body_bytes:
        raise BadRequestError(413, "body_too_large")
    if not request.target.startswith(b"/"):
        raise BadRequestError(400, "malformed_target")
