"""From an HTTP request of a caller to a request of the fleet."""

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
PREFIX_CHARACTERS = 512
PREFIX_DIGEST_BYTES = 8

# Headers that end at this hop, and the API key, which back ends must not see.
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
    """A request as it came from the caller.

    :param request_id: id given by the router.
    :param workspace: workspace of the caller's API key.
    :param method: HTTP method.
    :param path: path without query.
    :param query: query without question mark.
    :param headers: lower-case names and values.
    :param body: whole body.
    """

    request_id: str
    workspace: str
    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes


class ChatHead(NamedTuple):
    """What the router reads of a chat completion request."""

    model: str
    messages: list


def find_header(headers, name):
    """Return the value of a header, or an empty text."""
    return next((value for key, value in headers if key == name), "")


def read_timeout(headers, settings):
    """Return the time that the caller allows, in seconds.

    :param headers: the request's headers.
    :param settings: :class:`GatewaySettings`.
    :returns: ``Ok`` with seconds, or ``Err`` with a :class:`Refusal`.
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


def read_key(headers):
    """Return the idempotency key, empty for none.

    :param headers: the request's headers.
    :returns: ``Ok`` with the key, or ``Err`` with a :class:`Refusal`.
    """
    key = find_header(headers, "idempotency-key").strip()
    if len(key) > MAX_KEY_CHARACTERS:
        message = (
            f"Idempotency-Key has {len(key)} characters, "
            f"expected <= {MAX_KEY_CHARACTERS}"
        )
        return Err(refuse_bad_request("bad_idempotency_key", message))
    return Ok(key)


def read_chat(body):
    """Return model and messages of a chat completion request.

    :param body: JSON text.
    :returns: ``Ok`` with :class:`ChatHead`, or ``Err`` with a :class:`Refusal`.
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
    return Ok(ChatHead(model, messages))


def digest_prefix(workspace, messages):
    """Return a digest of the start of a prompt, for prefix-cache affinity."""
    start = msgspec.json.encode(messages)[:PREFIX_CHARACTERS]
    key = workspace.encode()[:64]
    return blake2b(start, key=key, digest_size=PREFIX_DIGEST_BYTES).digest()


def convert_request(http, view, settings, now):
    """Convert a caller's request.

    :param http: :class:`HttpRequest`.
    :param view: :class:`DocumentView` in force.
    :param settings: :class:`GatewaySettings`.
    :param now: monotonic time in seconds.
    :returns: ``Ok`` with :class:`RouterRequest`, or ``Err`` with a :class:`Refusal`.
    """
    timeout = read_timeout(http.headers, settings)
    key = read_key(http.headers)
    for checked in (timeout, key):
        if checked.is_err():
            return checked
    deadline = now + timeout.ok_value
    if http.path == CHAT_PATH:
        return convert_chat(http, view, key.ok_value, deadline)
    if http.path.startswith(SERVICES_PREFIX):
        return convert_service(http, view, key.ok_value, deadline)
    return Err(NOT_FOUND)


def convert_chat(http, view, key, deadline):
    """Convert a chat completion request; see :func:`convert_request`."""
    if http.method != "POST":
        return Err(METHOD_NOT_ALLOWED)
    chat = read_chat(http.body)
    if chat.is_err():
        return chat
    model = chat.ok_value.model
    if find_kind(view, model) != ENGINE:
        return Err(refuse_unknown_target(model))
    prefix = digest_prefix(http.workspace, chat.ok_value.messages)
    return Ok(build_request(http, model, CHAT_PATH, key, not key, deadline, prefix))


def convert_service(http, view, key, deadline):
    """Convert a request for a plain service; see :func:`convert_request`."""
    service, _, rest = http.path.removeprefix(SERVICES_PREFIX).partition("/")
    if find_kind(view, service) in (None, ENGINE):
        return Err(refuse_unknown_target(service))
    path = f"/{rest}?{http.query}" if http.query else f"/{rest}"
    is_idempotent = http.method in IDEMPOTENT_METHODS and not key
    return Ok(build_request(http, service, path, key, is_idempotent, deadline, b""))


def build_request(http, target, path, key, is_idempotent, deadline, prefix):
    """Return the :class:`RouterRequest` of an HTTP request."""
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


def find_kind(view, target):
    """Return the kind of the pool that serves a target, or None."""
    pool = view.pool_of_target.get(target)
    return view.pools[pool].kind if pool is not None else None


def list_models(view):
    """Return the OpenAI-style list of models.

    :param view: :class:`DocumentView` in force.
    :returns: bytes of the JSON text.
    """
    models = [
        {"id": target, "object": "model", "owned_by": pool}
        for target, pool in sorted(view.pool_of_target.items())
        if view.pools[pool].kind == ENGINE
    ]
    return msgspec.json.encode({"object": "list", "data": models})
