"""Conversion of callers' HTTP requests to :class:`RouterRequest`."""

from hashlib import blake2b
from typing import NamedTuple

import msgspec
from result import Err, Ok

from catkinfork.document import ENGINE
from catkinfork.gateway._refusals import (
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    refuse_bad_request,
    refuse_unknown_target,
)
from catkinfork.routing import RouterRequest

CHAT_PATH = "/v1/chat/completions"
MODELS_PATH = "/v1/models"
SERVICES_PREFIX = "/services/"
IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})
MAX_KEY_CHARACTERS = 255
MAX_PREFIX_BYTES = 512
PREFIX_DIGEST_BYTES = 8

# Hop-by-hop headers, headers that the agent sets itself, and the API key, which must
# not reach the back ends.
DROPPED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "x-fencing-token",
        "x-request-id",
        "x-request-timeout",
    }
)


class HttpRequest(NamedTuple):
    """An HTTP request as received from the caller.

    :param request_id: id assigned by the gateway.
    :param workspace: workspace of the caller's API key.
    :param method: HTTP method.
    :param path: path without the query string, percent-encoding preserved.
    :param query: query string without the question mark.
    :param headers: pairs of lower-case name and value.
    :param body: complete body.
    """

    request_id: str
    workspace: str
    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes


class ChatRequest(NamedTuple):
    """The fields of a chat completion request that routing needs."""

    model: str
    messages: list


def find_header(headers, name):
    """Return the value of a header, or an empty string."""
    return next((value for key, value in headers if key == name), "")


def parse_timeout(headers, settings):
    """Parse the request timeout, capped at the configured maximum.

    :param headers: the request's headers.
    :param settings: :class:`GatewaySettings`.
    :returns: ``Ok`` with the timeout in seconds, or ``Err`` with a :class:`Refusal`.
    """
    text = find_header(headers, "x-request-timeout")
    if not text:
        return Ok(settings.default_request_timeout_s)
    try:
        seconds = float(text)
    except ValueError:
        seconds = -1.0
    if not 0.0 < seconds < float("inf"):
        message = f"X-Request-Timeout is {text!r}, expected seconds > 0"
        return Err(refuse_bad_request("bad_timeout", message))
    return Ok(min(seconds, settings.max_request_timeout_s))


def parse_idempotency_key(headers):
    """Parse the idempotency key.

    :param headers: the request's headers.
    :returns: ``Ok`` with the key (empty if there is none), or ``Err`` with a
        :class:`Refusal`.
    """
    key = find_header(headers, "idempotency-key").strip()
    if len(key) > MAX_KEY_CHARACTERS:
        message = (
            f"Idempotency-Key has {len(key)} characters, "
            f"expected <= {MAX_KEY_CHARACTERS}"
        )
        return Err(refuse_bad_request("bad_idempotency_key", message))
    return Ok(key)


def parse_chat_request(body):
    """Parse the body of a chat completion request.

    :param body: JSON as bytes.
    :returns: ``Ok`` with :class:`ChatRequest`, or ``Err`` with a :class:`Refusal`.
    """
    try:
        value = msgspec.json.decode(body)
    except msgspec.DecodeError as error:
        return Err(refuse_bad_request("bad_json", f"the body is not JSON: {error}"))
    if not isinstance(value, dict):
        message = f"the body is a {type(value).__name__}, expected an object"
        return Err(refuse_bad_request("bad_json", message))
    model = value.get("model")
    messages = value.get("messages")
    if not isinstance(model, str) or not isinstance(messages, list):
        message = "the body needs 'model' (text) and 'messages' (list)"
        return Err(refuse_bad_request("bad_chat_request", message))
    return Ok(ChatRequest(model, messages))


def compute_prefix_digest(workspace, messages):
    """Return a digest of the prompt prefix, for prefix-cache affinity.

    It is keyed by the workspace: equal prompts of two workspaces differ in digest.
    """
    prefix = msgspec.json.encode(messages)[:MAX_PREFIX_BYTES]
    key = workspace.encode()[:64]
    return blake2b(prefix, key=key, digest_size=PREFIX_DIGEST_BYTES).digest()


def convert_request(http, view, settings, now):
    """Convert an HTTP request to a :class:`RouterRequest`.

    :param http: :class:`HttpRequest`.
    :param view: :class:`DocumentView` in force.
    :param settings: :class:`GatewaySettings`.
    :param now: monotonic time in seconds.
    :returns: ``Ok`` with :class:`RouterRequest`, or ``Err`` with a :class:`Refusal`.
    """
    timeout = parse_timeout(http.headers, settings)
    key = parse_idempotency_key(http.headers)
    for parsed in (timeout, key):
        if parsed.is_err():
            return parsed
    deadline = now + timeout.ok_value
    if http.path == CHAT_PATH:
        return convert_chat_request(http, view, key.ok_value, deadline)
    if http.path.startswith(SERVICES_PREFIX):
        return convert_service_request(http, view, key.ok_value, deadline)
    return Err(NOT_FOUND)


def convert_chat_request(http, view, key, deadline):
    """Convert a chat completion request; see :func:`convert_request`."""
    if http.method != "POST":
        return Err(METHOD_NOT_ALLOWED)
    chat = parse_chat_request(http.body)
    if chat.is_err():
        return chat
    model = chat.ok_value.model
    if find_pool_kind(view, model) != ENGINE:
        return Err(refuse_unknown_target(model))
    prefix = compute_prefix_digest(http.workspace, chat.ok_value.messages)
    return Ok(build_request(http, model, CHAT_PATH, key, not key, deadline, prefix))


def convert_service_request(http, view, key, deadline):
    """Convert a request for a plain service; see :func:`convert_request`."""
    service, _, rest = http.path.removeprefix(SERVICES_PREFIX).partition("/")
    if find_pool_kind(view, service) in (None, ENGINE):
        return Err(refuse_unknown_target(service))
    path = f"/{rest}?{http.query}" if http.query else f"/{rest}"
    is_idempotent = http.method in IDEMPOTENT_METHODS and not key
    return Ok(build_request(http, service, path, key, is_idempotent, deadline, b""))


def build_request(http, target, path, key, is_idempotent, deadline, prefix):
    """Build the :class:`RouterRequest` for an HTTP request."""
    headers = [pair for pair in http.headers if pair[0] not in DROPPED_HEADERS]
    return RouterRequest(
        request_id=http.request_id,
        workspace=http.workspace,
        target=target,
        method=http.method,
        path=path,
        headers=headers,
        body=http.body,
        key=key,
        is_idempotent=is_idempotent,
        deadline=deadline,
        prefix=prefix,
    )


def find_pool_kind(view, target):
    """Return the kind of the pool that serves a target, or None."""
    pool = view.pool_of_target.get(target)
    return view.pools[pool].kind if pool is not None else None


def list_models(view):
    """Return the OpenAI-style list of models.

    :param view: :class:`DocumentView` in force.
    :returns: JSON as bytes.
    """
    models = [
        {"id": target, "object": "model", "owned_by": pool}
        for target, pool in sorted(view.pool_of_target.items())
        if view.pools[pool].kind == ENGINE
    ]
    return msgspec.json.encode({"object": "list", "data": models})
