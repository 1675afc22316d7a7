"""HTTP GET with bounds on time and size, for the platform's services."""

from functools import cache
from typing import NamedTuple

import anyio
import httpx
from result import Err, Ok

from catkinfork.configuration._errors import (
    SourceSilent,
    SourceUnreachable,
    UnexpectedAnswer,
)
from catkinfork.observability import log_event

# A connection that has gone silent must be replaced within 2 s. The services answer in
# milliseconds, so that 0.6 s without a byte beyond the requested wait is silence.
SILENCE_S = 0.6
# Bound on a whole answer that trickles in.
ANSWER_TIMEOUT_S = 5.0
BACKOFF_MIN_S = 0.1
# A service that is back is noticed within this time, well under the 6 s in which a
# document must be in force.
BACKOFF_MAX_S = 2.0


class Answer(NamedTuple):
    """A complete answer.

    :param status: HTTP status.
    :param headers: ``httpx.Headers``.
    :param content: bytes of the body.
    """

    status: int
    headers: httpx.Headers
    content: bytes


class Backoff:
    """Growing pauses between attempts, with jitter.

    :param rng: ``random.Random``.
    """

    def __init__(self, rng):
        self.rng = rng
        self.n_failures = 0

    def reset(self):
        """Note a success."""
        self.n_failures = 0

    def next_pause(self):
        """Note a failure and return the pause before the next attempt, seconds."""
        longest = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2**self.n_failures)
        self.n_failures = min(self.n_failures + 1, 16)
        return longest * self.rng.uniform(0.5, 1.0)


@cache
def load_tls_context():
    """Return the TLS context of all readers; loading it takes tens of milliseconds.

    The trusted authorities are those of certifi, or of the file ``SSL_CERT_FILE``.
    """
    return httpx.create_ssl_context()


class OutageLog:
    """Logs the first failure of a row and the success that ends it.

    :param url: URL of the service.
    :param failed: event with ``url``, ``reason`` and ``detail``.
    :param recovered: event with ``url`` and ``failed_s``.
    :param on_event: called with each :class:`LogEvent`.
    """

    def __init__(self, url, failed, recovered, on_event):
        self.url = url
        self.failed = failed
        self.recovered = recovered
        self.on_event = on_event
        self.failed_at = None

    def note_failure(self, error):
        """Note a :class:`SourceError`."""
        if self.failed_at is not None:
            return
        self.failed_at = anyio.current_time()
        event = log_event(
            self.failed, url=self.url, reason=error.reason, detail=error.detail
        )
        self.on_event(event)

    def note_success(self):
        """Note a complete answer."""
        if self.failed_at is None:
            return
        failed_s = anyio.current_time() - self.failed_at
        self.failed_at = None
        self.on_event(log_event(self.recovered, url=self.url, failed_s=failed_s))


class HttpReader:
    """Reads from one service over HTTP.

    :param max_bytes: largest body.
    :param is_keeping: whether connections stay open between calls. Where calls are
        seconds apart, a kept connection may have gone silent in between.
    """

    def __init__(self, max_bytes, is_keeping):
        self.max_bytes = max_bytes
        self.is_keeping = is_keeping
        self.client = None

    async def __aenter__(self):
        limits = httpx.Limits(max_keepalive_connections=1 if self.is_keeping else 0)
        # Addresses come from the settings only, not from proxy variables.
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
        :param wait_s: time for which the service may hold the answer back.
        :param headers: request headers.
        :returns: ``Ok(Answer)`` or ``Err(SourceError)``. After an error the connection
            is closed, and the next call opens a new one.
        """
        timeout = httpx.Timeout(SILENCE_S, read=wait_s + SILENCE_S)
        try:
            with anyio.fail_after(wait_s + ANSWER_TIMEOUT_S):
                return await self.receive(url, params, timeout, headers)
        except (httpx.TimeoutException, TimeoutError) as error:
            detail = f"{type(error).__name__} after {wait_s + SILENCE_S:.1f} s"
            return Err(SourceSilent(url, detail))
        except httpx.TransportError as error:
            return Err(SourceUnreachable(url, f"{type(error).__name__}: {error}"))
        except httpx.HTTPError as error:
            return Err(UnexpectedAnswer(url, f"{type(error).__name__}: {error}"))

    async def receive(self, url, params, timeout, headers):
        """Send a GET request and receive its answer up to the largest size."""
        content = bytearray()
        request = self.client.stream(
            "GET", url, params=params, timeout=timeout, headers=headers
        )
        async with request as response:
            async for chunk in response.aiter_bytes():
                content += chunk
                if len(content) > self.max_bytes:
                    detail = f"body over {self.max_bytes} bytes"
                    return Err(UnexpectedAnswer(url, detail))
        return Ok(Answer(response.status_code, response.headers, bytes(content)))
