"""Client to a backend server."""

from abc import ABC, abstractmethod
from contextlib import asynccontextmanager

import anyio
import httpx

from catkinfork.backends._errors import (
    BackendError,
    BackendRefusedError,
    ResponseTooLargeError,
    describe,
    translate_errors,
)
from catkinfork.backends._headers import build_request_headers, encode_headers
from catkinfork.execution import BackendEnd, BackendFailure, BackendHealth

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
HEALTH_INTERVAL_S = 0.5
# Bound on the time that a cancelled attempt may still take to stop its work.
ABANDON_TIMEOUT_S = 0.5


class BaseBackend(ABC):
    """Runs requests on one backend server; it never repeats one.

    Each request has a connection of its own. A connection from a pool may have been
    closed or gone silent while it was idle, and then a failure would not tell whether
    the request was sent.

    :param settings: :class:`~catkinfork.settings.BackendSettings`.
    :param incarnation: incarnation of the agent, which is the fencing token.
    :param max_response_bytes: largest response body.
    """

    def __init__(self, settings, incarnation, max_response_bytes=MAX_RESPONSE_BYTES):
        self.settings = settings
        self.incarnation = incarnation
        self.max_response_bytes = max_response_bytes
        # A client of httpx on top of it would keep the cookies of all callers.
        self.transport = httpx.AsyncHTTPTransport(
            trust_env=False,
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=0),
        )

    async def close(self):
        """Close all connections."""
        await self.transport.aclose()

    async def run(self, start, emit):
        """Run one request.

        The last event is ``BackendEnd`` or ``BackendFailure``, also when the
        surrounding cancel scope is cancelled.

        :param start: :class:`~catkinfork.protocol.Start`.
        :param emit: function that is called with each event.
        """
        try:
            units = await self.exchange(start, emit)
        except BackendError as error:
            emit(BackendFailure(start.attempt, error.kind, error.detail))
        except anyio.get_cancelled_exc_class():
            with anyio.move_on_after(ABANDON_TIMEOUT_S, shield=True):
                await self.abandon(start)
            emit(BackendFailure(start.attempt, "cancelled", "cancelled by the agent"))
            raise
        else:
            emit(BackendEnd(start.attempt, units))

    @abstractmethod
    async def exchange(self, start, emit):
        """Send a request and emit head and data of the response.

        :returns: service units of the attempt.
        :raises BackendError: if the response is not complete.
        """

    async def abandon(self, start):
        """Stop work that would go on without its connection; nothing by default."""
        return

    async def read_cold(self):
        """Return whether the backend server reports a cold start."""
        return False

    async def watch_health(self, emit):
        """Emit ``BackendHealth`` at first and on each change, until cancelled.

        :param emit: function that is called with each event.
        """
        known = None
        while True:
            health = await self.read_health()
            if health != known:
                known = health
                emit(health)
            await anyio.sleep(HEALTH_INTERVAL_S)

    async def read_health(self):
        """Return the state of the backend server now."""
        try:
            status, _ = await self.fetch("GET", self.settings.health_path)
        except BackendError:
            return BackendHealth(is_up=False, is_cold=False)
        if status != httpx.codes.OK:
            return BackendHealth(is_up=False, is_cold=False)
        return BackendHealth(is_up=True, is_cold=await self.read_cold())

    async def fetch(self, method, path):
        """Make a request of the client's own.

        :returns: status and body.
        :raises BackendError: if there is no complete response.
        """
        request = self.build_request(method, path, [], b"")
        async with self.open(request) as response:
            body = b"".join([data async for data in self.read(response)])
        return response.status_code, body

    def build_request(self, method, path, headers, body):
        """Return a request of httpx with exactly these headers and this body.

        :raises BackendRefusedError: if the parts do not form an HTTP request.
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
            raise BackendRefusedError(describe(error)) from error

    def build_start(self, start, body=None):
        """Return the request of an attempt.

        :param start: :class:`~catkinfork.protocol.Start`.
        :param body: body in place of that of ``start``, if given.
        """
        headers = build_request_headers(start, self.incarnation)
        content = start.body if body is None else body
        return self.build_request(start.method, start.path, headers, content)

    @asynccontextmanager
    async def open(self, request, head_timeout_s=None):
        """Send a request and yield the response, of which only the head has arrived.

        :param request: request of httpx.
        :param head_timeout_s: time for the head, beside the idle timeout.
        :raises BackendError: if there is no response.
        """
        with translate_errors(), anyio.fail_after(head_timeout_s):
            response = await self.transport.handle_async_request(request)
        try:
            yield response
        finally:
            await response.aclose()

    async def read(self, response):
        """Yield the parts of a response body, not decoded.

        :raises BackendError: if the body is not complete or too large.
        """
        n_bytes = 0
        with translate_errors():
            async for data in response.aiter_raw():
                n_bytes += len(data)
                if n_bytes > self.max_response_bytes:
                    limit = f"response exceeds {self.max_response_bytes} bytes"
                    raise ResponseTooLargeError(limit)
                yield data
