"""Connections of callers: parsing of requests and writing of responses."""

import asyncio
import re
import select
from collections import deque

import httptools

from catkinfork.forwarding._messages import Request, encode_local_response
from catkinfork.forwarding._sockets import count_unacknowledged, poll_socket

# Maximum number of pipelined requests that wait for the current one.
MAX_PIPELINED = 16
# Time for which data is read and discarded before a close, seconds: closing with unread
# data would reset the connection, and the caller would lose the last response.
LINGER_S = 0.5
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Code of requests whose handling has failed.
INTERNAL_ERROR = "internal_error"
HEADER_NAME_PATTERN = re.compile(rb"^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$")
CONTENT_LENGTH_PATTERN = re.compile(rb"^[0-9]{1,15}$")


class BadRequestError(Exception):
    """A request is rejected before it reaches a backend server.

    :param status: status code of the response.
    :param code: refusal code.
    """

    def __init__(self, status, code):
        super().__init__(status, code)
        self.status = status
        self.code = code


class CallerConnection(asyncio.Protocol):
    """A connection of a caller.

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
        self.rejection = None
        self.url = b""
        self.headers = []
        self.body = bytearray()
        self.n_body_bytes = 0
        self.n_head_bytes = 0
        self.n_field_bytes = 0
        self.n_begun = 0
        self.is_reading_head = False
        self.is_reading_body = False
        self.awaits_continue = False
        self.is_discarding = False
        self.is_lost = False
        self.is_paused = False
        self.last_active_at = 0.0

    def connection_made(self, transport):
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)
        self.last_active_at = self.loop.time()
        self.server.add_caller(self)

    def connection_lost(self, exc):
        self.is_lost = True
        self.server.remove_caller(self)
        self.handle_disconnect()

    def eof_received(self):
        # A half-close counts as a disconnect: the caller will not read the response.
        self.handle_disconnect()
        return False

    def has_peer_closed(self):
        """Return whether the peer has closed, even if this was not read yet."""
        if self.is_lost or self.transport.is_closing():
            return True
        return poll_socket(self.transport.get_extra_info("socket"), select.POLLRDHUP)

    def is_idle(self):
        """Return whether no request is in progress, being read or waiting unread.

        The caller has also received the last response.
        """
        if self.exchange is not None or self.requests:
            return False
        if self.is_reading_head or self.is_reading_body:
            return False
        return not self.has_unread() and not self.has_unacknowledged()

    def has_unread(self):
        """Return whether data, or the end of the connection, was not read yet."""
        if self.is_lost or self.transport.is_closing():
            return False
        return poll_socket(self.transport.get_extra_info("socket"), select.POLLIN)

    def has_unacknowledged(self):
        """Return whether the peer has not received all that was written."""
        if self.is_lost or self.transport.is_closing():
            return False
        if self.transport.get_write_buffer_size():
            return True
        return count_unacknowledged(self.transport.get_extra_info("socket")) > 0

    def handle_disconnect(self):
        """Cancel the requests of a caller that has disconnected."""
        exchange, self.exchange = self.exchange, None
        self.requests.clear()
        if exchange is not None:
            exchange.on_caller_disconnected()

    def data_received(self, data):
        self.last_active_at = self.loop.time()
        if self.is_discarding:
            return
        # Number of requests of which the data may be a part.
        self.n_begun = int(self.is_reading_head or self.is_reading_body)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.reject(400, "upgrade_not_supported")
        except httptools.HttpParserCallbackError as error:
            self.reject_for_callback_error(error)
        except httptools.HttpParserError:
            self.reject(400, "malformed_request")
        else:
            # Data that ends another request as well is not of one head alone.
            if self.is_reading_head and self.n_begun == 1:
                self.check_head_bytes(len(data))

    def check_head_bytes(self, n_bytes):
        """Reject a head that exceeds the limit before it is complete."""
        self.n_head_bytes += n_bytes
        if self.n_head_bytes > self.server.limits.max_header_bytes:
            self.reject(431, "head_too_large")

    def reject_for_callback_error(self, error):
        """Reject a request for which a parser callback raised an error."""
        cause = error.__context__
        if not isinstance(cause, BadRequestError):
            report_error(self.loop, cause or error)
            cause = BadRequestError(503, INTERNAL_ERROR)
        self.reject(cause.status, cause.code)

    def on_message_begin(self):
        """Reset the state for a new request."""
        self.url = b""
        self.headers = []
        self.body = bytearray()
        self.n_body_bytes = 0
        self.n_head_bytes = 0
        self.n_field_bytes = 0
        self.n_begun += 1
        self.is_reading_head = True
        self.is_reading_body = False
        self.awaits_continue = False
        if len(self.requests) >= MAX_PIPELINED:
            raise BadRequestError(429, "too_many_requests_ahead")

    def on_url(self, url):
        """Append a part of the request target."""
        self.url += url

    def on_header(self, name, value):
        """Append a header; trailers are not passed on.

        A short one takes many times its bytes as objects, so that the limit holds
        within each read.
        """
        if not HEADER_NAME_PATTERN.match(name):
            raise BadRequestError(400, "malformed_header")
        self.n_field_bytes += count_field_bytes(name, value)
        if self.n_field_bytes > self.server.limits.max_header_bytes:
            raise BadRequestError(431, "head_too_large")
        if self.is_reading_head:
            self.headers.append((name.lower(), value))

    def on_headers_complete(self):
        """Build the request from its head and check it."""
        self.is_reading_head = False
        self.n_field_bytes = 0
        self.is_reading_body = True
        parser = self.parser
        request = Request(parser.get_method(), self.url, self.headers, self.loop.time())
        request.version = parser.get_http_version()
        request.is_keep_alive = parser.should_keep_alive()
        self.request = request
        check_head(request, self.server.limits)
        self.awaits_continue = request.find_header(b"expect") is not None
        self.send_continue()

    def send_continue(self):
        """Ask for the body of a request whose caller awaits this.

        The responses to the requests ahead of it are sent first.
        """
        if not self.awaits_continue or self.is_discarding:
            return
        if self.exchange is None and not self.requests:
            self.awaits_continue = False
            self.write(CONTINUE)

    def on_body(self, body):
        """Append a part of the body."""
        self.n_body_bytes += len(body)
        if self.n_body_bytes > self.server.limits.max_body_bytes:
            raise BadRequestError(413, "body_too_large")
        self.body += body

    def on_message_complete(self):
        """Start the request, or queue it while another one is in progress.

        One that arrived with another, whose response closes the connection, is ignored.
        """
        self.is_reading_body = False
        self.awaits_continue = False
        if self.is_discarding:
            return
        request = self.request
        request.body = bytes(self.body)
        self.body = bytearray()
        self.requests.append(request)
        if self.exchange is None:
            self.start_next()

    def start_next(self):
        """Start the next request of the queue."""
        if self.requests and self.exchange is None:
            self.exchange = self.server.open_exchange(self, self.requests.popleft())
            self.server.run(self.exchange, self.exchange.start)

    def reject(self, status, code):
        """Reject an invalid request and close the connection.

        The requests ahead of it are answered first. On a connection that closes after
        its last response, it gets none.
        """
        if self.is_discarding:
            return
        self.is_discarding = True
        self.server.log_rejection(self, status, code)
        self.rejection = (status, code)
        if self.exchange is None and not self.requests:
            self.send_rejection()

    def send_rejection(self):
        """Send the response to an invalid request and close the connection."""
        status, code = self.rejection
        body = b'{"error":"%s"}' % code.encode()
        self.write(encode_local_response(status, body, (), is_closing=True))
        self.linger()

    def write(self, data):
        """Write data unless the connection is lost."""
        if not self.is_lost:
            self.transport.write(data)

    def finish(self, is_keep_alive):
        """Complete the current request after its response has been written.

        :param is_keep_alive: whether the connection accepts another request.
        """
        self.exchange = None
        self.last_active_at = self.loop.time()
        if not is_keep_alive:
            self.linger()
        elif self.requests:
            self.loop.call_soon(self.start_next)
        elif self.rejection is not None:
            self.send_rejection()
        else:
            self.send_continue()

    def linger(self):
        """Perform a lingering close, so that the caller receives the last response."""
        self.is_discarding = True
        self.requests.clear()
        if self.is_lost:
            return
        if self.transport.can_write_eof():
            self.transport.write_eof()
        self.loop.call_later(LINGER_S, self.transport.close)

    def abort(self):
        """Abort the connection, so that a partial response does not look complete."""
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

    def close_if_idle(self, now):
        """Close the connection if a timeout for the caller has expired.

        :param now: monotonic seconds.
        """
        if self.exchange is not None or self.requests or self.is_discarding:
            return
        limits = self.server.limits
        idle_s = now - self.last_active_at
        timeout_s = limits.idle_timeout_s
        if self.is_reading_head:
            timeout_s = limits.header_timeout_s
        if idle_s <= timeout_s or self.has_unread():
            return
        if self.is_reading_head:
            self.reject(408, "head_timeout")
        elif self.is_reading_body:
            self.reject(408, "body_timeout")
        else:
            self.is_discarding = True
            self.transport.close()


def report_error(loop, error):
    """Report an unexpected error to the handler of the event loop."""
    message = "a request could not be handled"
    loop.call_exception_handler({"message": message, "exception": error})


def count_field_bytes(name, value):
    """Return the bytes of a header or trailer, with its separators."""
    return len(name) + len(value) + 4


def check_head(request, limits):
    """Check the head of a request.

    Conflicting body lengths are rejected to prevent request smuggling: a backend server
    could frame the request differently from the forwarder.

    :param request: :class:`Request`.
    :param limits: :class:`CallerLimits`.
    :raises BadRequestError: if the head is invalid or exceeds a limit.
    """
    n_bytes = sum(count_field_bytes(*field) for field in request.headers)
    if n_bytes + len(request.target) > limits.max_header_bytes:
        raise BadRequestError(431, "head_too_large")
    names = [name for name, _ in request.headers]
    if names.count(b"host") != 1:
        raise BadRequestError(400, "one_host_header_expected")
    if names.count(b"content-length") > 1 or names.count(b"transfer-encoding") > 1:
        raise BadRequestError(400, "repeated_length")
    length = request.find_header(b"content-length")
    coding = request.find_header(b"transfer-encoding")
    if length is not None and coding is not None:
        raise BadRequestError(400, "contradictory_lengths")
    if coding is not None and coding.strip().lower() != b"chunked":
        raise BadRequestError(400, "unknown_transfer_coding")
    if length is not None and not CONTENT_LENGTH_PATTERN.match(length):
        raise BadRequestError(400, "malformed_length")
    if length is not None and int(length) > limits.max_body_bytes:
        raise BadRequestError(413, "body_too_large")
    if not request.target.startswith(b"/"):
        raise BadRequestError(400, "malformed_target")
