"""Requests and response heads as parsed from the wire."""

from typing import NamedTuple

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
    }
)

REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Request:
    """A caller's request.

    :param method: method in capitals.
    :param target: request target as sent.
    :param headers: pairs of lowercase name and value, in their order.
    :param received_at: monotonic time of the first byte.
    """

    __slots__ = (
        "body",
        "headers",
        "is_keep_alive",
        "method",
        "received_at",
        "target",
        "version",
    )

    def __init__(self, method, target, headers, received_at):
        self.method = method
        self.target = target
        self.headers = headers
        self.received_at = received_at
        self.body = b""
        self.is_keep_alive = True
        self.version = "1.1"

    def find(self, name):
        """Return the value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ResponseHead(NamedTuple):
    """Head of a backend server's response.

    :param status: status code.
    :param reason: reason phrase.
    :param headers: pairs of lowercase name and value, in their order.
    :param n_bytes: length of the body, or None if it has no stated length.
    """

    status: int
    reason: bytes
    headers: tuple
    n_bytes: int | None

    def find(self, name):
        """Return the value of a header, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


def list_connection_headers(headers):
    """Return the names that concern one connection only.

    :param headers: pairs of lowercase name and value.
    """
    named = set()
    for name, value in headers:
        if name == b"connection":
            named |= {part.strip().lower() for part in value.split(b",")}
    return named | HOP_BY_HOP if named else HOP_BY_HOP


def write_response_head(head, framing, is_closing):
    """Return the head of a relayed response as bytes.

    :param head: :class:`ResponseHead`.
    :param framing: header line that frames the body, without its line end.
    :param is_closing: whether the connection closes after the response.
    """
    dropped = list_connection_headers(head.headers)
    lines = [b"HTTP/1.1 %d %s" % (head.status, head.reason)]
    for name, value in head.headers:
        if name not in dropped and name != b"content-length":
            lines.append(name + b": " + value)
    lines.append(framing)
    if is_closing:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines)


def write_own_response(status, body, headers, is_closing):
    """Return a response of the forwarder itself as bytes.

    :param headers: pairs of name and value, besides those of the body.
    """
    reason = REASONS.get(status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (status, reason)]
    lines.append(b"content-type: application/json")
    lines.append(b"content-length: %d" % len(body))
    for name, value in headers:
        lines.append(name + b": " + value)
    if is_closing:
        lines.append(b"connection: close")
    lines.append(b"\r\n")
    return b"\r\n".join(lines) + body


def write_chunk(data):
    """Return a chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
