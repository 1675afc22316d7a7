"""HTTP GET with limits on time and size, for the platform's services."""

from functools import cache
from typing import NamedTuple

import anyio
import httpx
from result import Err, Ok

from catkinfork.configuration._errors import (
    SourceTimeout,
    SourceUnreachable,
    UnexpectedResponse,
)
from catkinfork.observability import log_event

# An unresponsive connection must be replaced within 2 s. The services respond in
# milliseconds, so 0.6 s without a byte, beyond the requested wait, is a timeout.
INACTIVITY_TIMEOUT_S = 0.6
# Limit for a complete response, which may arrive slowly without an inactivity timeout.
RESPONSE_TIMEOUT_S = 5.0
BACKOFF_MIN_S = 0.1
# Upper limit for the time until a recovered service is read, well under the 6 s in
# which a document must be in force.
BACKOFF_MAX_S = 2.0


class Response(NamedTuple):
    """A complete response.

    :param status: HTTP status.
    :param headers: ``httpx.Headers``.
    :param content: bytes of the body.
    """

    status: int
    headers: httpx.Headers
    content: bytes


class Backoff:
    """Exponential backoff with jitter.

    :param rng: ``random.Random``.
    """

    def __init__(self, rng):
        self.rng = rng
        self.n_failures = 0

    def reset(self):
        """Reset the delay after a success."""
        self.n_failures = 0

    def next_delay(self):
        """Record a failure and return the delay before the next attempt, in seconds."""
        max_delay = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self.n_failures)
        self.n_failures = min(self.n_failures + 1, 16)
        return max_delay * self.rng.uniform(0.5, 1.0)


@cache
def load_tls_context():
    """Return the shared TLS context of all readers; loading takes tens of milliseconds.

    The trusted certificate authorities are those of certifi, or of ``SSL_CERT_FILE``.
    """
    return httpx.create_ssl_context()


class OutageLog:
    """Logs the first of several consecutive failures, and the recovery.

    :param url: URL of the service.
    :param failed_event: event with ``url``, ``reason`` and ``detail``.
    :param recovered_event: event with ``url`` and ``failed_s``.
    :param on_event: called with each :class:`LogEvent`.
    """

    def __init__(self, url, failed_event, recovered_event, on_event):
        self.url = url
        self.failed_event = failed_event
        self.recovered_event = recovered_event
        self.on_event = on_event
        self.failed_at = None

    def record_failure(self, error):
        """Record a :class:`SourceError`."""
        if self.failed_at is not None:
            return
        self.failed_at = anyio.current_time()
        event = log_event(
            self.failed_event, url=self.url, reason=error.reason, detail=error.detail
        )
        self.on_event(event)

    def record_success(self):
        """Record a complete response."""
        if self.failed_at is None:
            return
        failed_s = anyio.current_time() - self.failed_at
        self.failed_at = None
        self.on_event(log_event(self.recovered_event, url=self.url, failed_s=failed_s))


class HttpReader:
    """HTTP client of one service.

    :param max_bytes: maximum size of a body.
    :param is_keeping: whether connections are kept alive between calls. If calls are
        seconds apart, an idle connection may fail unnoticed in between.
    """

    def __init__(self, max_bytes, is_keeping):
        self.max_bytes = max_bytes
        self.is_keeping = is_keeping
        self.client = None

    async def __aenter__(self):
        limits = httpx.Limits(max_keepalive_connections=1 if self.is_keeping else 0)
        # Settings alone decide the destination, so proxy variables are ignored.
        self.client = httpx.AsyncClient(
            limits=limits, trust_env=False, verify=load_tls_context()
        )
        return self

    async def __aexit__(self, *exception):
        await self.client.aclose()

    async def get(self, url, params=None, wait_s=0.0, headers=None):
        """Send a GET request.

        :param url: absolute URL.
        :param params: query parameters.
        :param wait_s: time for which the service may delay its response.
        :param headers: request headers.
        :returns: ``Ok(Response)`` or ``Err(SourceError)``. After an error the
            connection is closed, and the next call opens a new one.
        """
        timeout = httpx.Timeout(
            INACTIVITY_TIMEOUT_S, read=wait_s + INACTIVITY_TIMEOUT_S
        )
        try:
            with anyio.fail_after(wait_s + RESPONSE_TIMEOUT_S):
                return await self.receive(url, params, timeout, headers)
        except (httpx.TimeoutException, TimeoutError) as error:
            detail = (
                f"{type(error).__name__} after {wait_s + INACTIVITY_TIMEOUT_S:.1f} s"
            )
            return Err(SourceTimeout(url, detail))
        except httpx.TransportError as error:
            return Err(SourceUnreachable(url, f"{type(error).__name__}: {error}"))
        except httpx.HTTPError as error:
            return Err(UnexpectedResponse(url, f"{type(error).__name__}: {error}"))

    async def receive(self, url, params, timeout, headers):
        """Send a GET request and read the response, up to the maximum size."""
        content = bytearray()
        request = self.client.stream(
            "GET", url, params=params, timeout=timeout, headers=headers
        )
        async with request as response:
            async for chunk in response.aiter_bytes():
                content += chunk
                if len(content) > self.max_bytes:
                    detail = f"body exceeds {self.max_bytes} bytes"
                    return Err(UnexpectedResponse(url, detail))
        return Ok(Response(response.status_code, response.headers, bytes(content)))
