"""Caller requests, the router's answers to them, and the state of open requests."""

from hashlib import blake2b
from typing import NamedTuple

from catkinfork.routing._refusals import NOT_RUN, UNKNOWN, Refusal

FINGERPRINT_BYTES = 16


class RouterRequest(NamedTuple):
    """A caller's request, including its whole body.

    :param request_id: id that is unique among the open requests of this router.
    :param workspace: workspace name.
    :param target: model or service name.
    :param method: HTTP method.
    :param path: path and query to send to the backend server.
    :param headers: name and value pairs to send to the backend server.
    :param body: request body.
    :param key: idempotency key, empty for none.
    :param is_idempotent: whether it may run more than once; ignored if there is a key.
    :param deadline: monotonic time by which the caller needs the answer, seconds.
    :param prefix: digest of the prompt prefix, empty for none.
    """

    request_id: str
    workspace: str
    target: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str
    is_idempotent: bool
    deadline: float
    prefix: str | bytes = ""


class Respond(NamedTuple):
    """Action: send a part of the response to the caller.

    :param request_id: id of the request.
    :param status: HTTP status in the first part, else 0.
    :param headers: response headers in the first part, else empty.
    :param data: body bytes.
    :param is_last: whether the response is complete with this part.
    """

    request_id: str
    status: int
    headers: list[tuple[str, str]]
    data: bytes
    is_last: bool


class Refuse(NamedTuple):
    """Action: end a request without a complete response.

    After a :class:`Respond` for the same request, the response is truncated.
    """

    request_id: str
    refusal: Refusal


class DemandClass(NamedTuple):
    """Properties shared by the waiting requests that one ``DemandEntry`` counts."""

    pool: str
    workspace: str
    target: str
    required: str
    preferred: str
    suspect: bytes


def compute_fingerprint(workspace, body):
    """Compute the digest that identifies requests that crash backend servers.

    :param workspace: workspace name.
    :param body: request body.
    :returns: 16 bytes.
    """
    digest = blake2b(digest_size=FINGERPRINT_BYTES)
    digest.update(workspace.encode() + b"\n")
    digest.update(body)
    return digest.digest()


class OpenRequest:
    """A request between its submission and its final answer.

    :param request: :class:`RouterRequest`.
    :param number: position in the order of submission.
    :param now: monotonic time of the submission, seconds.
    """

    def __init__(self, request, number, now):
        self.request = request
        self.number = number
        self.submitted_at = now
        self.fingerprint = compute_fingerprint(request.workspace, request.body)
        self.demand_class = None
        self.is_suspect = False
        self.redirect = ""
        self.attempt = None
        self.may_have_run = False
        self.n_tries = 0
        self.n_refused_starts = 0
        self.n_redirects = 0
        self.n_crashes = 0
        self.n_parts_sent = 0
        self.n_bytes = len(request.body) + sum(
            len(name) + len(value) for name, value in request.headers
        )

    def release_payload(self):
        """Release the body and the headers, which only a start needs."""
        self.request = self.request._replace(headers=[], body=b"")

    @property
    def is_idempotent(self):
        """Whether the request may run more than once."""
        return self.request.is_idempotent and not self.request.key

    @property
    def outcome(self):
        """``not_run`` if the router can rule out that it ran, else ``unknown``."""
        if self.request.key or self.may_have_run or self.attempt is not None:
            return UNKNOWN
        return NOT_RUN
