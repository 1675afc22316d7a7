"""ASGI application for callers."""

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


class CallerGoneError(Exception):
    """The caller closed the connection."""


class ResponseBrokenError(Exception):
    """A response ended after its first byte; the server closes the connection."""


class BaseRequestHandler(ABC):
    """What the gateway needs of the router process."""

    @abstractmethod
    def find_view(self):
        """Return the :class:`DocumentView` in force, or None."""

    @abstractmethod
    def read_clock(self):
        """Return the monotonic time in seconds."""

    @abstractmethod
    def submit(self, request, exchange):
        """Hand a :class:`RouterRequest` over; its response goes to ``exchange``."""

    @abstractmethod
    def abandon(self, request_id):
        """Note that the caller of a request has gone."""

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
            await answer_lifespan(receive, send)
        elif scope["type"] == "http":
            await self.answer(scope, receive, send)

    async def answer(self, scope, receive, send):
        """Answer one HTTP request."""
        request_id = uuid.uuid4().hex
        headers = decode_headers(scope["headers"])
        caller = self.check_caller(scope, headers)
        if caller.is_err():
            await self.refuse_early(send, caller.err_value, headers, request_id, "")
            return
        view, workspace = caller.ok_value
        if scope["path"] == MODELS_PATH and scope["method"] == "GET":
            content_type = [("content-type", "application/json")]
            await send_whole(send, 200, content_type, list_models(view))
            return
        try:
            body = await self.read_body(headers, receive)
        except CallerGoneError:
            self.note_caller_gone(request_id, workspace, "request body")
            return
        request = body.and_then(
            partial(self.convert, scope, headers, view, workspace, request_id)
        )
        if request.is_err():
            refusal = request.err_value
            await self.refuse_early(send, refusal, headers, request_id, workspace)
            return
        await self.exchange(request.ok_value, receive, send)

    def check_caller(self, scope, headers):
        """Find the workspace of a caller.

        :returns: ``Ok`` with document view and workspace, or ``Err`` with a
            :class:`Refusal`.
        """
        if count_header_bytes(scope) > self.settings.max_header_bytes:
            return Err(refuse_large_header(self.settings.max_header_bytes))
        view = self.handler.find_view()
        if view is None:
            return Err(NOT_READY)
        workspace = view.find_workspace(read_api_key(headers))
        if workspace is None:
            return Err(UNAUTHORIZED)
        return Ok((view, workspace))

    def convert(self, scope, headers, view, workspace, request_id, body):
        """Convert an HTTP request; see :func:`convert_request`."""
        http = HttpRequest(
            request_id,
            workspace,
            scope["method"],
            read_raw_path(scope),
            scope["query_string"].decode("latin-1"),
            headers,
            body,
        )
        return convert_request(http, view, self.settings, self.handler.read_clock())

    async def read_body(self, headers, receive):
        """Read the whole body.

        :returns: ``Ok`` with the bytes, or ``Err`` with a :class:`Refusal`.
        :raises CallerGoneError: if the caller closes the connection before its end.
        """
        bound = self.settings.max_body_bytes
        length = find_header(headers, "content-length")
        if length.isdigit() and int(length) > bound:
            return Err(refuse_large_body(bound))
        chunks = []
        n_bytes = 0
        with anyio.move_on_after(self.settings.body_timeout_s):
            while True:
                message = await receive()
                if message["type"] == "http.disconnect":
                    raise CallerGoneError
                chunks.append(message.get("body", b""))
                n_bytes += len(chunks[-1])
                if n_bytes > bound:
                    return Err(refuse_large_body(bound))
                if not message.get("more_body", False):
                    return Ok(b"".join(chunks))
        return Err(BODY_TIMEOUT)

    async def exchange(self, request, receive, send):
        """Submit a request and pass its response on until either side ends."""
        exchange = Exchange(request.request_id)
        self.handler.submit(request, exchange)
        is_complete = False
        async with anyio.create_task_group() as tasks:
            scope = tasks.cancel_scope
            tasks.start_soon(self.watch_caller, request, exchange, receive, scope)
            try:
                await self.pass_response(request, exchange, send)
                is_complete = True
            finally:
                if not is_complete:
                    self.handler.abandon(request.request_id)
            tasks.cancel_scope.cancel()

    async def watch_caller(self, request, exchange, receive, scope):
        """Cancel the exchange when the caller closes the connection.

        The server also reports a disconnect once the response is complete.
        """
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                if exchange.is_ending:
                    return
                self.note_caller_gone(request.request_id, request.workspace, "response")
                scope.cancel()
                return

    async def pass_response(self, request, exchange, send):
        """Send the items of an exchange to the caller.

        :raises ResponseBrokenError: if the response breaks off after its head.
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
                self.break_off(request, item.code)
            if exchange.is_over_buffer:
                self.note_slow_caller(request, exchange)
                self.break_off(request, "slow_caller")
            n_bytes += len(item.data)
            if n_bytes > self.settings.max_response_bytes:
                self.break_off(request, "response_too_large")
            is_last = exchange.is_ending = item.is_last
            await send(
                {
                    "type": "http.response.body",
                    "body": item.data,
                    "more_body": not is_last,
                }
            )

    def break_off(self, request, code):
        """Log that a response broke off, and raise."""
        self.handler.write_log(
            log_event(
                RESPONSE_BROKEN,
                request_id=request.request_id,
                workspace=request.workspace,
                code=code,
            )
        )
        raise ResponseBrokenError(request.request_id, code)

    def note_slow_caller(self, request, exchange):
        """Log that a caller reads too slowly."""
        self.handler.write_log(
            log_event(
                SLOW_CALLER,
                request_id=request.request_id,
                workspace=request.workspace,
                buffered_bytes=exchange.n_buffered_bytes,
            )
        )

    def note_caller_gone(self, request_id, workspace, stage):
        """Log that a caller has gone."""
        self.handler.write_log(
            log_event(
                CALLER_GONE, request_id=request_id, workspace=workspace, stage=stage
            )
        )

    async def refuse_early(self, send, refusal, headers, request_id, workspace):
        """Refuse a request that has not reached the router's decisions.

        An earlier submission of a key may have run, so that only the owner of the
        key may say that it has not.
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
        await send_whole(send, refusal.status, headers, body)


def count_header_bytes(scope):
    """Return the size of path, query and headers of a request."""
    n_bytes = len(scope["path"]) + len(scope["query_string"])
    return n_bytes + sum(len(name) + len(value) for name, value in scope["headers"])


def read_raw_path(scope):
    """Return the path as the caller sent it, with its percent signs."""
    raw_path = scope.get("raw_path") or scope["path"].encode()
    return raw_path.partition(b"?")[0].decode("latin-1")


def decode_headers(raw):
    """Return lower-case header names and values as text."""
    return [
        (name.decode("latin-1").lower(), value.decode("latin-1")) for name, value in raw
    ]


def read_api_key(headers):
    """Return the API key of the ``Authorization`` header, or an empty text."""
    scheme, _, key = find_header(headers, "authorization").partition(" ")
    return key.strip() if scheme.lower() == "bearer" else ""


def encode_headers(headers):
    """Return headers as ASGI wants them."""
    return [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]


async def send_head(send, head: ResponseHead, request_id):
    """Send status and headers of a response."""
    headers = [pair for pair in head.headers if pair[0].lower() != "x-request-id"]
    headers.append(("x-request-id", request_id))
    await send(
        {
            "type": "http.response.start",
            "status": head.status,
            "headers": encode_headers(headers),
        }
    )


async def send_whole(send, status, headers, body):
    """Send a response whose body is known."""
    headers = [*headers, ("content-length", str(len(body)))]
    await send(
        {
            "type": "http.response.start",
            "status": status,
            "headers": encode_headers(headers),
        }
    )
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def answer_lifespan(receive, send):
    """Answer the server's start and stop messages."""
    while True:
        message = await receive()
        await send({"type": message["type"] + ".complete"})
        if message["type"] == "lifespan.shutdown":
            return
