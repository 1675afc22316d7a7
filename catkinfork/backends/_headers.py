"""Headers towards and from a backend server."""

# Headers of one connection (RFC 9110, section 7.6.1), not of the request.
HOP_BY_HOP = frozenset(
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
# The client derives these from the URL and the body, or sets them itself.
DERIVED = frozenset(
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
    """Return headers without those that concern one connection only.

    :param headers: name and value pairs.
    """
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def build_request_headers(start, fencing_token):
    """Return the headers of a request to the backend server.

    :param start: :class:`~catkinfork.protocol.Start`.
    :param fencing_token: incarnation of the agent.
    """
    headers = [
        (name, value)
        for name, value in strip_hop_by_hop(start.headers)
        if name.lower() not in DERIVED
    ]
    headers.append(("X-Request-Id", start.request_id))
    headers.append(("X-Fencing-Token", str(fencing_token)))
    headers.append(("X-Request-Timeout", f"{start.deadline_ms / 1000:.3f}"))
    if start.key:
        headers.append(("Idempotency-Key", start.key))
    return headers


def encode_headers(headers):
    """Return headers as bytes; values may hold any octet (RFC 9110, section 5.5)."""
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]


def read_response_headers(response):
    """Return the headers of a response of httpx that concern the caller."""
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, value in response.headers.raw
    ]
    return strip_hop_by_hop(headers)
