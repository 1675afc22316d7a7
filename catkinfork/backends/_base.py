"""Base class of the HTTP clients for backend servers."""

from abc import ABC, abstractmethod
from contextlib import asynccontextmanager

import anyio
import httpx

from catkinfork.backends._errors import (
    BackendError,
    BackendRefusedError,
    BackendResetError,
    ResponseTooLargeError,
    format_error,
    translate_errors,
)
from catkinfork.backends._headers import build_request_headers, encode_headers
from catkinfork.execution import BackendEnd, BackendFailure, BackendHealth

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
HEALTH_INTERVAL_S = 0.5
# Time that a cancelled attempt may take to cancel its execution on the server.
CANCEL_TIMEOUT_S = 0.5
# Status codes of HTTP (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599


class BaseBackend(ABC):
    """Client that executes requests on one backend server, without retries.

    Each request uses a new connection. A pooled connection may have been closed or
    may have become unresponsive while it was idle; a failure would then not show
    whether the request had been sent.

    :param settings: :class:`~catkinfork.settings.BackendSettings`.
    :param incarnation: incarnation of the agent, used as the fencing token.
    :param max_response_bytes: size limit of a response body in bytes.
    """

    def __init__(self, settings, incarnation, max_response_bytes=MAX_RESPONSE_BYTES):
        self.settings = settings
        self.incarnation = incarnation
        self.max_response_bytes = max_response_bytes
        # The transport is used directly because an httpx client would store cookies
        # and share them between callers.
        self.transport = httpx.AsyncHTTPTransport(
            trust_env=False,
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
        )

    async def close(self):
        """Close all connections."""
        await self.transport.aclose()

    async def run(self, start, emit):
        """Execute one attempt and emit its events.

        The last event is always ``BackendEnd`` or ``BackendFailure``, also when the
        surrounding cancel scope is cancelled.

        :param start: :class:`~catkinfork.protocol.Start`.
        :param emit: callable that takes an event.
        """
        try:
            units = await self.execute(start, emit)
        except BackendError as error:
            emit(BackendFailure(start.attempt, error.kind, error.detail))
        except anyio.get_cancelled_exc_class():
            with anyio.move_on_after(CANCEL_TIMEOUT_S, shield=True):
                await self.cancel_execution(start)
            emit(BackendFailure(start.attempt, "cancelled", "cancelled by the agent"))
            raise
        else:
            emit(BackendEnd(start.attempt, units))

    @abstractmethod
    async def execute(self, start, emit):
        """Send the request of an attempt and emit the head and data of its response.

        :param start: :class:`~catkinfork.protocol.Start`.
        :param emit: callable that takes an event.
        :returns: service units of the attempt.
        :raises BackendError: if there is no complete response.
        """

    async def cancel_execution(self, start):
        """Cancel an execution that would continue after its connection is closed.

        Does nothing by default.
        """
        return

    async def fetch_cold_state(self):
        """Fetch whether the backend server is in a cold start; False by default."""
        return False

    async def watch_health(self, emit):
        """Poll the health and emit it at first and on each change, until cancelled.

        :param emit: callable that takes a ``BackendHealth``.
        """
        last_health = None
        while True:
            health = await self.fetch_health()
            if health != last_health:
                last_health = health
                emit(health)
            await anyio.sleep(HEALTH_INTERVAL_S)

    async def fetch_health(self):
        """Fetch the current health of the backend server as ``BackendHealth``."""
        try:
            status, _ = await self.fetch("GET", self.settings.health_path)
        except BackendError:
            return BackendHealth(is_up=False, is_cold=False)
        if status != httpx.codes.OK:
            return BackendHealth(is_up=False, is_cold=False)
        return BackendHealth(is_up=True, is_cold=await self.fetch_cold_state())

    async def fetch(self, method, path):
        """Send a request without a body that does not belong to an attempt.

        :param method: HTTP method.
        :param path: path and query string.
        :returns: status and body.
        :raises BackendError: if there is no complete response.
        """
        request = self.build_request(method, path, [], b"")
        async with self.open_response(request) as response:
            body = b"".join([data async for data in self.iterate_body(response)])
        return response.status_code, body

    def build_request(self, method, path, headers, body):
        """Build an httpx request with exactly these headers and this body.

        :raises BackendRefusedError: if the arguments do not form a valid HTTP request.
        """
        base = httpx.URL(self.settings.url)
        target = base.raw_path.rstrip(b"/") + path.encode("utf-8")
        timeout = httpx.Timeout(self.settings.idle_timeout_s, pool=None)
        try:
            return httpx.Request(
                method,
                base.copy_with(raw_path=target),
                headers=encode_headers(headers),
                content=body or None,
                extensions={"timeout": timeout.as_dict()},
            )
        except (ValueError, httpx.InvalidURL) as error:
            raise BackendRefusedError(format_error(error)) from error

    def build_attempt_request(self, start, body=None):
        """Build the httpx request of an attempt.

        :param start: :class:`~catkinfork.protocol.Start`.
        :param body: body that replaces the one of ``start``, if given.
        """
        headers = build_request_headers(start, self.incarnation)
        content = start.body if body is None else body
        return self.build_request(start.method, start.path, headers, content)

    @asynccontextmanager
    async def open_response(self, request, head_timeout_s=None):
        """Send a request and yield the response as soon as its head has arrived.

        :param request: httpx request.
        :param head_timeout_s: timeout until the head, in addition to the idle timeout;
            None for no limit.
        :raises BackendError: if there is no response.
        """
        with translate_errors(), anyio.fail_after(head_timeout_s):
            response = await self.transport.handle_async_request(request)
        try:
            check_status(response.status_code)
            yield response
        finally:
            await response.aclose()

    async def iterate_body(self, response):
        """Yield the chunks of a response body without decoding its content coding.

        :raises BackendError: if the body is truncated or too large.
        """
        n_bytes = 0
        with translate_errors():
            async for data in response.aiter_raw():
                n_bytes += len(data)
                if n_bytes > self.max_response_bytes:
                    detail = f"response exceeds {self.max_response_bytes} bytes"
                    raise ResponseTooLargeError(detail)
                yield data


def check_status(status):
    """Check the status of a response, after which the request may have run.

    :raises BackendResetError: if it is none of HTTP.
    """
    if not MIN_STATUS <= status <= MAX_STATUS:
        raise BackendResetError(f"invalid status {status}")
