"""Refusals, request conversion and response streaming of the gateway."""

from hashlib import sha256

import anyio
import httpx
import msgspec
import pytest

from catkinfork.document import parse_document
from catkinfork.gateway import (
    BaseRequestHandler,
    Gateway,
    ResponseData,
    ResponseHead,
)
from catkinfork.routing import NOT_RUN, Refusal
from catkinfork.settings import GatewaySettings

API_KEY = "dealers-key"
SETTINGS = GatewaySettings(
    "127.0.0.1:8080",
    max_body_bytes=2048,
    max_response_bytes=4096,
    body_timeout_s=0.2,
)
CHAT = "/v1/chat/completions"
DOCUMENT = {
    "environment": "production",
    "version": 1,
    "region": "rw-central",
    "workspaces": [
        {
            "name": "dealers",
            "share": 1,
            "key_digests": [sha256(API_KEY.encode()).hexdigest()],
        }
    ],
    "data_centres": [{"name": "gasabo"}],
    "pools": [
        {"name": "assistant", "kind": "engine", "max_cost": 1000},
        {"name": "ledger", "kind": "service", "max_cost": 1000},
    ],
    "backend_servers": [
        {
            "name": name,
            "data_centre": "gasabo",
            "pool": pool,
            "agent": f"10.0.0.{n}:7100",
            "serves": [target],
            "max_places": 4,
        }
        for n, (name, pool, target) in enumerate(
            [("runner-1", "assistant", "draft"), ("ledger-1", "ledger", "ledger")],
            start=1,
        )
    ],
}


class FakeHandler(BaseRequestHandler):
    """Request handler that answers every request with the same items.

    :param items: items to push to the exchange.
    """

    def __init__(self, items=()):
        self.items = items
        self.view = parse_document(msgspec.json.encode(DOCUMENT)).ok_value
        self.requests = []
        self.abandoned = []
        self.actions = []

    def find_view(self):
        return self.view

    def read_clock(self):
        return 100.0

    def submit(self, request, exchange):
        self.requests.append(request)
        for item in self.items:
            exchange.push(item)

    def abandon(self, request_id):
        self.abandoned.append(request_id)

    def write_log(self, action):
        self.actions.append(action)


def send(handler, method, path, **options):
    """Send one request through the application and return the response."""

    async def run():
        transport = httpx.ASGITransport(Gateway(SETTINGS, handler))
        async with httpx.AsyncClient(
            transport=transport, base_url="http://router"
        ) as client:
            return await client.request(method, path, **options)

    return anyio.run(run)


AUTHORIZED = {"Authorization": f"Bearer {API_KEY}"}
DRAFT = {"model": "draft", "messages": [{"role": "user", "content": "hello"}]}

REFUSED = [
    ("no key", "POST", CHAT, {}, b"{}", 401, "unauthorized"),
    ("unknown key", "POST", CHAT, {"Authorization": "Bearer x"}, b"", 401, None),
    (
        "other scheme",
        "POST",
        CHAT,
        {"Authorization": f"Basic {API_KEY}"},
        b"",
        401,
        None,
    ),
    ("not JSON", "POST", CHAT, AUTHORIZED, b"{", 400, "bad_json"),
    ("not an object", "POST", CHAT, AUTHORIZED, b"[]", 400, "bad_json"),
    ("no model", "POST", CHAT, AUTHORIZED, b"{}", 400, "bad_chat_request"),
    (
        "unknown model",
        "POST",
        CHAT,
        AUTHORIZED,
        msgspec.json.encode({**DRAFT, "model": "other"}),
        404,
        "unknown_target",
    ),
    (
        "a service in place of a model",
        "POST",
        CHAT,
        AUTHORIZED,
        msgspec.json.encode({**DRAFT, "model": "ledger"}),
        404,
        "unknown_target",
    ),
    ("unknown service", "GET", "/services/x/y", AUTHORIZED, b"", 404, "unknown_target"),
    ("model as service", "GET", "/services/draft/", AUTHORIZED, b"", 404, None),
    ("unknown path", "GET", "/elsewhere", AUTHORIZED, b"", 404, "not_found"),
    ("method", "GET", CHAT, AUTHORIZED, b"", 405, "method_not_allowed"),
    (
        "large header",
        "GET",
        CHAT,
        {"X-Long": "x" * 20000},
        b"",
        431,
        "header_too_large",
    ),
    ("large body", "POST", CHAT, AUTHORIZED, b"x" * 2049, 413, "body_too_large"),
    (
        "timeout not a number",
        "GET",
        "/services/ledger/stock",
        {**AUTHORIZED, "X-Request-Timeout": "soon"},
        b"",
        400,
        "bad_timeout",
    ),
    (
        "timeout not positive",
        "GET",
        "/services/ledger/stock",
        {**AUTHORIZED, "X-Request-Timeout": "-1"},
        b"",
        400,
        "bad_timeout",
    ),
    (
        "long key",
        "POST",
        "/services/ledger/reservations",
        {**AUTHORIZED, "Idempotency-Key": "k" * 256},
        b"",
        400,
        "bad_idempotency_key",
    ),
]


@pytest.mark.parametrize(
    ("method", "path", "headers", "body", "status", "code"),
    [case[1:] for case in REFUSED],
    ids=[case[0] for case in REFUSED],
)
def test_bad_requests_are_refused_with_a_typed_body(
    method, path, headers, body, status, code
):
    """Guards against a bad request that is submitted or gets an untyped response."""
    handler = FakeHandler()
    response = send(handler, method, path, headers=headers, content=body)
    error = response.json()["error"]
    assert response.status_code == status
    assert code in (None, error["code"])
    assert error["outcome"] == ("unknown" if "Idempotency-Key" in headers else NOT_RUN)
    assert error["request_id"] == response.headers["x-request-id"]
    assert handler.requests == []
    assert not any(API_KEY in str(action) for action in handler.actions)


@pytest.mark.parametrize(
    ("path", "has_view"), [("/services/x/y", True), ("/services/ledger/y", False)]
)
def test_early_refusal_of_a_key_does_not_say_that_it_has_not_run(path, has_view):
    """Guards against a duplicate execution under a new key.

    The first submission of the key may have run; a refusal of the second one that
    says ``not_run`` would let the caller repeat the operation.
    """
    handler = FakeHandler()
    handler.view = handler.view if has_view else None
    headers = {**AUTHORIZED, "Idempotency-Key": "k-1"}
    response = send(handler, "POST", path, headers=headers)
    assert response.json()["error"]["outcome"] == "unknown"


def test_no_document_is_refused_with_the_time_to_come_back():
    """Guards against a router that fails on requests before it has a document."""
    handler = FakeHandler()
    handler.view = None
    response = send(handler, "POST", CHAT, headers=AUTHORIZED, json=DRAFT)
    assert response.status_code == 503
    assert response.headers["retry-after"] == "1"


def test_service_request_passes_unchanged():
    """Guards against a changed path, query, header or body and a leaked API key."""
    items = [ResponseHead(201, [("x-a", "1")]), ResponseData(b"done", True)]
    handler = FakeHandler(items)
    headers = {**AUTHORIZED, "X-Order": "7", "Idempotency-Key": "k-1"}
    path = "/services/ledger/reservations/a%20b?x=1&y=2"
    response = send(handler, "POST", path, headers=headers, content=b"\x00body")
    (request,) = handler.requests
    assert (response.status_code, response.content) == (201, b"done")
    assert response.headers["x-a"] == "1"
    assert request.method == "POST"
    assert request.path == "/reservations/a%20b?x=1&y=2"
    assert request.body == b"\x00body"
    assert request.key == "k-1"
    assert not request.is_idempotent
    assert ("x-order", "7") in request.headers
    assert not any(API_KEY in value for _, value in request.headers)


@pytest.mark.parametrize(
    ("method", "key", "expected"),
    [
        ("GET", "", True),
        ("PUT", "", True),
        ("DELETE", "", True),
        ("POST", "", False),
        ("PATCH", "", False),
        ("GET", "k", False),
    ],
)
def test_idempotent_methods(method, key, expected):
    """Guards against the retry of a request that is not idempotent."""
    handler = FakeHandler([ResponseHead(200, []), ResponseData(b"", True)])
    headers = {**AUTHORIZED, **({"Idempotency-Key": key} if key else {})}
    send(handler, method, "/services/ledger/stock", headers=headers)
    assert handler.requests[0].is_idempotent is expected


def test_deadline_is_bounded_by_the_settings():
    """Guards against a caller that occupies a place indefinitely."""
    handler = FakeHandler([ResponseHead(200, []), ResponseData(b"", True)])
    headers = {**AUTHORIZED, "X-Request-Timeout": "1e9"}
    send(handler, "GET", "/services/ledger/stock", headers=headers)
    assert handler.requests[0].deadline == 100.0 + SETTINGS.max_request_timeout_s


def test_refusal_of_the_fleet_is_passed_on():
    """Guards against a lost outcome or Retry-After in a refusal by the router."""
    refusal = Refusal("queue_full", 429, "unknown", 2.2, "too many requests wait")
    handler = FakeHandler([refusal])
    response = send(handler, "POST", CHAT, headers=AUTHORIZED, json=DRAFT)
    assert response.status_code == 429
    assert response.headers["retry-after"] == "3"
    assert response.json()["error"]["outcome"] == "unknown"


def test_broken_response_does_not_look_complete():
    """Guards against a truncated response that the caller takes for a complete one."""
    refusal = Refusal("agent_lost", 502, "unknown", 1.0, "lost")
    items = [ResponseHead(200, []), ResponseData(b"half", False), refusal]
    handler = FakeHandler(items)
    with pytest.raises(ExceptionGroup):
        send(handler, "POST", CHAT, headers=AUTHORIZED, json=DRAFT)
    assert handler.abandoned == [handler.requests[0].request_id]


def test_response_over_the_bound_is_broken_off():
    """Guards against an unbounded response, and a limit that is not enforced."""
    data = [ResponseData(b"x" * 1024, False)] * 5
    handler = FakeHandler([ResponseHead(200, []), *data])
    with pytest.raises(ExceptionGroup):
        send(handler, "POST", CHAT, headers=AUTHORIZED, json=DRAFT)
    assert handler.abandoned == [handler.requests[0].request_id]
    assert "response_too_large" in str(handler.actions)


def run_application(handler, messages):
    """Run the application on raw ASGI messages and return the messages it sent."""
    sent = []

    async def receive():
        if messages:
            return messages.pop(0)
        await anyio.sleep_forever()
        return None

    async def collect(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "POST",
        "path": CHAT,
        "query_string": b"",
        "headers": [(b"authorization", f"Bearer {API_KEY}".encode())],
    }

    async def run():
        with anyio.fail_after(5.0):
            await Gateway(SETTINGS, handler)(scope, receive, collect)

    anyio.run(run)
    return sent


def test_body_cut_half_way_reaches_no_queue():
    """Guards against a truncated request body that is submitted as complete."""
    handler = FakeHandler()
    part = {"type": "http.request", "body": b"{", "more_body": True}
    assert run_application(handler, [part, {"type": "http.disconnect"}]) == []
    assert handler.requests == []


def test_body_that_stops_is_refused_in_time():
    """Guards against a connection held open by a body that stops arriving."""
    handler = FakeHandler()
    part = {"type": "http.request", "body": b"{", "more_body": True}
    sent = run_application(handler, [part])
    assert sent[0]["status"] == 408
    assert handler.requests == []


def test_caller_that_goes_away_is_abandoned():
    """Guards against execution that continues after the caller has disconnected."""
    handler = FakeHandler([ResponseHead(200, []), ResponseData(b"part", False)])
    body = {"type": "http.request", "body": msgspec.json.encode(DRAFT)}
    run_application(handler, [body, {"type": "http.disconnect"}])
    assert handler.abandoned == [handler.requests[0].request_id]


def test_disconnect_after_the_end_is_not_a_caller_that_has_gone():
    """Guards against a log event and an abandoned request after a complete response.

    The server reports a disconnect once the response has been sent.
    """
    handler = FakeHandler([ResponseHead(200, []), ResponseData(b"whole", True)])
    messages = [{"type": "http.request", "body": msgspec.json.encode(DRAFT)}]
    headers = [(b"authorization", f"Bearer {API_KEY}".encode())]
    scope = {"type": "http", "method": "POST", "path": CHAT, "query_string": b""}
    sent = []

    async def receive():
        while not messages:
            await anyio.sleep(0)
        return messages.pop(0)

    async def collect(message):
        sent.append(message)
        if not message.get("more_body", True):
            messages.append({"type": "http.disconnect"})
            await anyio.sleep(0.01)

    async def run():
        with anyio.fail_after(5.0):
            application = Gateway(SETTINGS, handler)
            await application({**scope, "headers": headers}, receive, collect)

    anyio.run(run)
    assert sent[-1]["body"] == b"whole"
    assert handler.actions == []
    assert handler.abandoned == []


def test_models_are_listed():
    """Guards against a list of models that includes plain services."""
    response = send(FakeHandler(), "GET", "/v1/models", headers=AUTHORIZED)
    assert [model["id"] for model in response.json()["data"]] == ["draft"]
