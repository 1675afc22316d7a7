"""Headers of requests to a backend server and of its responses."""

# Headers that apply to a single connection (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# Request headers of the caller that the client replaces: it derives them from the URL
# and the body, or sets them itself.
DERIVED_HEADERS = frozenset(
    {
        "host",
        "content-length",
        "expect",
        "idempotency-key",
        "x-fencing-token",
        "x-request-id",
        "x-request-timeout",
    }
)


def strip_hop_by_hop(headers):
    """Remove hop-by-hop headers, including those that ``Connection`` lists.

    :param headers: pairs of name and value.
    """
    connection_options = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP_HEADERS | connection_options
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def build_request_headers(start, fencing_token):
    """Build the headers of a request to the backend server.

    :param start: :class:`~catkinfork.protocol.Start`.
    :param fencing_token: incarnation of the agent.
    """
    headers = [
        (name, value)
        for name, value in strip_hop_by_hop(start.headers)
        if name.lower() not in DERIVED_HEADERS
    ]
    headers.append(("X-Request-Id", start.request_id))
    headers.append(("X-Fencing-Token", str(fencing_token)))
    headers.append(("X-Request-Timeout", f"{start.deadline_ms / 1000:.3f}"))
    if start.key:
        headers.append(("Idempotency-Key", start.key))
    return headers


def encode_headers(headers):
    """Encode headers; values may hold any octet (RFC 9110, section 5.5)."""
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]


def decode_response_headers(response):
    """Decode the end-to-end headers of an httpx response."""
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw
    ]
    return strip_hop_by_hop(headers)
