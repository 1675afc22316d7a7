"""ASGI application that accepts callers' requests and streams their responses."""

import math
import uuid
from abc import ABC, abstractmethod
from functools import partial

import anyio
from result import Err, Ok

from catkinfork.gateway._events import (
    CALLER_GONE,
    REQUEST_REFUSED,
    RESPONSE_BROKEN,
    SLOW_CALLER,
)
from catkinfork.gateway._exchange import Exchange, ResponseHead, is_refusal
from catkinfork.gateway._refusals import (
    BODY_TIMEOUT,
    NOT_READY,
    UNAUTHORIZED,
    encode_refusal,
    refuse_large_body,
    refuse_large_header,
)
from catkinfork.gateway._requests import (
    MODELS_PATH,
    HttpRequest,
    convert_request,
    find_header,
    list_models,
)
from catkinfork.observability import log_event
from catkinfork.routing import UNKNOWN


class CallerDisconnectedError(Exception):
    """The caller closed the connection before its request body was complete."""


class ResponseAbortedError(Exception):
    """A response was aborted after its headers had been sent.

    The server then closes the connection, so that the caller does not mistake the
    response for a complete one.
    """


class BaseRequestHandler(ABC):
    """Interface of the router process that the gateway depends on."""

    @abstractmethod
    def find_view(self):
        """Return the :class:`DocumentView` in force, or None."""

    @abstractmethod
    def read_clock(self):
        """Return the monotonic time in seconds."""

    @abstractmethod
    def submit(self, request, exchange):
        """Submit a :class:`RouterRequest`.

        :param request: :class:`RouterRequest`.
        :param exchange: :class:`Exchange` that receives the response.
        """

    @abstractmethod
    def abandon(self, request_id):
        """Abandon a request whose caller no longer waits for the response."""

    @abstractmethod
    def write_log(self, action):
        """Write a :class:`LogEvent`."""


class Gateway:
    """ASGI application for callers.

    :param settings: :class:`GatewaySettings`.
    :param handler: :class:`BaseRequestHandler`.
    """

    def __init__(self, settings, handler):
        self.settings = settings
        self.handler = handler

    async def __call__(self, scope, receive, send):
        if scope["type"] == "lifespan":
            await handle_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.handle_request(scope, receive, send)

    async def handle_request(self, scope, receive, send):
        """Handle one HTTP request."""
        request_id = uuid.uuid4().hex
        headers = decode_headers(scope["headers"])
        caller = self.check_caller(scope, headers)
        if caller.is_err():
            await self.refuse_before_submit(
                send, caller.err_value, headers, request_id, ""
            )
            return
        view, workspace = caller.ok_value
        if scope["path"] == MODELS_PATH and scope["method"] == "GET":
            content_type = [("content-type", "application/json")]
            await send_response(send, 200, content_type, list_models(view))
            return
        try:
            body = await self.read_body(headers, receive)
        except CallerDisconnectedError:
            self.log_caller_gone(request_id, workspace, "request body")
            return
        request = body.and_then(
            partial(self.convert, scope, headers, view, workspace, request_id)
        )
        if request.is_err():
            refusal = request.err_value
            await self.refuse_before_submit(
                send, refusal, headers, request_id, workspace
            )
            return
        await self.run_exchange(request.ok_value, receive, send)

    def check_caller(self, scope, headers):
        """Check header size and readiness, and authenticate the caller.

        :returns: ``Ok`` with document view and workspace, or ``Err`` with a
            :class:`Refusal`.
        """
        if count_header_bytes(scope) > self.settings.max_header_bytes:
            return Err(refuse_large_header(self.settings.max_header_bytes))
        view = self.handler.find_view()
        if view is None:
            return Err(NOT_READY)
        workspace = view.find_workspace(parse_api_key(headers))
        if workspace is None:
            return Err(UNAUTHORIZED)
        return Ok((view, workspace))

    def convert(self, scope, headers, view, workspace, request_id, body):
        """Convert an HTTP request; see :func:`convert_request`."""
        http = HttpRequest(
            request_id,
            workspace,
            scope["method"],
            decode_raw_path(scope),
            scope["query_string"].decode("latin-1"),
            headers,
            body,
        )
        return convert_request(http, view, self.settings, self.handler.read_clock())

    async def read_body(self, headers, receive):
        """Read the complete body within the body timeout.

        :returns: ``Ok`` with the bytes, or ``Err`` with a :class:`Refusal`.
        :raises CallerDisconnectedError: if the caller disconnects before the end.
        """
        max_bytes = self.settings.max_body_bytes
        length = find_header(headers, "content-length")
        if length.isdigit() and int(length) > max_bytes:
            return Err(refuse_large_body(max_bytes))
        chunks = []
        n_bytes = 0
        with anyio.move_on_after(self.settings.body_timeout_s):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise CallerDisconnectedError
                chunks.append(message.get("body", b""))
                n_bytes += len(chunks[-1])
                if n_bytes > max_bytes:
                    return Err(refuse_large_body(max_bytes))
                if not message.get("more_body", False):
                    return Ok(b"".join(chunks))
        return Err(BODY_TIMEOUT)

    async def run_exchange(self, request, receive, send):
        """Submit a request and stream its response until either side ends it.

        A request whose response was not sent completely is abandoned.
        """
        exchange = Exchange(request.request_id)
        self.handler.submit(request, exchange)
        is_complete = False
        async with anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            tasks.start_soon(self.watch_disconnect, request, exchange, receive, scope)
            try:
                await self.stream_response(request, exchange, send)
                is_complete = True
            finally:
                if not is_complete:
                    self.handler.abandon(request.request_id)
            tasks.cancel_scope.cancel()

    async def watch_disconnect(self, request, exchange, receive, scope):
        """Cancel the exchange when the caller disconnects.

        The server also reports a disconnect after a complete response, which is
        ignored.
        """
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                if exchange.is_ending:
                    return
                self.log_caller_gone(request.request_id, request.workspace, "response")
                scope.cancel()
                return

    async def stream_response(self, request, exchange, send):
        """Send the items of an exchange to the caller.

        :raises ResponseAbortedError: if the response fails after its head was sent.
        """
        first = await exchange.pull()
        if is_refusal(first):
            exchange.is_ending = True
            await self.refuse(send, first, request.request_id, request.workspace)
            return
        await send_head(send, first, request.request_id)
        n_bytes = 0
        is_last = False
        while not is_last:
            item = await exchange.pull()
            if is_refusal(item):
                self.abort_response(request, item.code)
            if exchange.is_over_limit:
                self.log_slow_caller(request, exchange)
                self.abort_response(request, "slow_caller")
            n_bytes += len(item.data)
            if n_bytes > self.settings.max_response_bytes:
                self.abort_response(request, "response_too_large")
            is_last = exchange.is_ending = item.is_last
            await send(
                {
                    "type": "http.response.body",
                    "body": item.data,
                    "more_body": not is_last,
                }
            )

    def abort_response(self, request, code):
        """Log the reason why a response is aborted, and raise.

        :raises ResponseAbortedError: always.
        """
        self.handler.write_log(
            log_event(
                RESPONSE_BROKEN,
                request_id=request.request_id,
                workspace=request.workspace,
                code=code,
            )
        )
        raise ResponseAbortedError(request.request_id, code)

    def log_slow_caller(self, request, exchange):
        self.handler.write_log(
            log_event(
                SLOW_CALLER,
                request_id=request.request_id,
                workspace=request.workspace,
                buffered_bytes=exchange.n_buffered_bytes,
            )
        )

    def log_caller_gone(self, request_id, workspace, stage):
        self.handler.write_log(
            log_event(
                CALLER_GONE, request_id=request_id, workspace=workspace, stage=stage
            )
        )

    async def refuse_before_submit(self, send, refusal, headers, request_id, workspace):
        """Refuse a request that was not submitted to the router.

        If the request has an idempotency key, an earlier submission of that key may
        have run. Only the owner of the key can rule that out, so the outcome is
        reported as unknown.
        """
        if find_header(headers, "idempotency-key"):
            refusal = refusal._replace(outcome=UNKNOWN)
        await self.refuse(send, refusal, request_id, workspace)

    async def refuse(self, send, refusal, request_id, workspace):
        """Send a refusal and log it."""
        self.handler.write_log(
            log_event(
                REQUEST_REFUSED,
                request_id=request_id,
                workspace=workspace,
                code=refusal.code,
                status=refusal.status,
                detail=refusal.message,
            )
        )
        headers = [
            ("content-type", "application/json"),
            ("x-request-id", request_id),
        ]
        if refusal.retry_after_s > 0:
            headers.append(("retry-after", str(math.ceil(refusal.retry_after_s))))
        body = encode_refusal(refusal, request_id)
        await send_response(send, refusal.status, headers, body)


def count_header_bytes(scope):
    """Return the total size of the path, query string and headers of a request."""
    n_bytes = len(scope["path"]) + len(scope["query_string"])
    return n_bytes + sum(len(name) + len(value) for name, value in scope["headers"])


def decode_raw_path(scope):
    """Return the path as the caller sent it, without decoding percent escapes."""
    raw_path = scope.get("raw_path") or scope["path"].encode()
    return raw_path.partition(b"?")[0].decode("latin-1")


def decode_headers(raw):
    """Decode headers and convert their names to lower case."""
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in raw
    ]


def parse_api_key(headers):
    """Return the bearer token of the ``Authorization`` header, or an empty string."""
    scheme, _, key = find_header(headers, "authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def encode_headers(headers):
    """Encode headers as byte strings, as ASGI requires."""
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]


async def send_head(send, head: ResponseHead, request_id):
    """Send the status and headers of a streamed response."""
    headers = [pair for pair in head.headers if pair[0].lower() != "x-request-id"]
    headers.append(("x-request-id", request_id))
    await send(
        {
            "type": "http.response.start",
            "status": head.status,
            "headers": encode_headers(headers),
        }
    )


async def send_response(send, status, headers, body):
    """Send a complete response."""
    headers = [*headers, ("content-length", str(len(body)))]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": encode_headers(headers),
        }
    )
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def handle_lifespan(receive, send):
    """Acknowledge the start-up and shutdown messages of the ASGI server."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
