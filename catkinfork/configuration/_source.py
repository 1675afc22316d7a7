"""Client of the configuration service."""

from abc import ABC, abstractmethod
from typing import NamedTuple

import anyio
from result import Err, Ok

from catkinfork.configuration._errors import UnexpectedResponse, ValueNotFound
from catkinfork.configuration._events import SOURCE_FAILED, SOURCE_RECOVERED
from catkinfork.configuration._http import Backoff, HttpReader, OutageLog
from catkinfork.document import MAX_DOCUMENT_BYTES

# Longest time for which the service may delay the response to a long poll. No bytes
# arrive meanwhile, so this adds to the time until an unresponsive connection is
# detected: 1 s + 0.6 s is under the 2 s allowed. The service's call limit counts
# pending calls, so the shorter interval uses little more of it.
LONG_POLL_WAIT_S = 1.0
# A reinstalled service may restart its revisions. In case its responses do not show
# that, the value is read at this interval without a revision.
FULL_READ_INTERVAL_S = 600.0
# Limit on the rate of calls if the service responds to long polls at once.
MIN_CALL_INTERVAL_S = 0.05
POLL_JITTER = 0.2


class Value(NamedTuple):
    """A value of the configuration service.

    :param content: bytes of the value.
    :param revision: the service's counter of changes.
    """

    content: bytes
    revision: int


class BaseConfigurationSource(ABC):
    """Source of the document."""

    @abstractmethod
    async def read_once(self):
        """Read the value.

        :returns: ``Ok(Value)`` or ``Err(SourceError)``.
        """

    @abstractmethod
    async def run(self, on_value):
        """Deliver the value and each later one until cancelled.

        :param on_value: called with the bytes of each value; a value may be delivered
            more than once, and after a failure an older one may be.
        """


class HttpConfigurationSource(BaseConfigurationSource):
    """Client of the configuration service, see ``docs/platform.md``.

    :param settings: :class:`PlatformSettings`.
    :param uses_long_polling: whether to use long polling (routers) or polling (agents).
    :param rng: ``random.Random`` for the jitter.
    :param on_event: called with each :class:`LogEvent`.
    """

    def __init__(self, settings, uses_long_polling, rng, on_event):
        self.settings = settings
        self.uses_long_polling = uses_long_polling
        self.rng = rng
        self.on_event = on_event
        base = settings.configuration_url.rstrip("/")
        self.url = f"{base}/v1/values/{settings.environment}"
        self.revision = None
        self.outages = OutageLog(self.url, SOURCE_FAILED, SOURCE_RECOVERED, on_event)
        self.next_full_read_at = 0.0

    async def read_once(self):
        async with HttpReader(MAX_DOCUMENT_BYTES, is_keeping=False) as reader:
            return await self.fetch(reader, None, 0.0)

    async def run(self, on_value):
        backoff = Backoff(self.rng)
        async with HttpReader(MAX_DOCUMENT_BYTES, self.uses_long_polling) as reader:
            while True:
                started_at = anyio.current_time()
                wait_s = LONG_POLL_WAIT_S if self.uses_long_polling else 0.0
                result = await self.fetch(reader, self.choose_revision(), wait_s)
                if result.is_err():
                    self.revision = None
                    self.outages.record_failure(result.err())
                    await anyio.sleep(backoff.next_delay())
                    continue
                backoff.reset()
                self.outages.record_success()
                is_newer = self.handle_value(result.ok(), on_value)
                await self.wait_for_next_call(started_at, is_newer)

    def choose_revision(self):
        """Return the last known revision, or None to read the value unconditionally."""
        now = anyio.current_time()
        if self.revision is None or now >= self.next_full_read_at:
            self.next_full_read_at = now + FULL_READ_INTERVAL_S
            return None
        return self.revision

    async def fetch(self, reader, after, wait_s):
        """Read the value.

        :param after: revision after which a value is requested, or None for any.
        :param wait_s: time for which the service may delay its response.
        :returns: ``Ok(Value)`` or ``Err(SourceError)``; the content of the value is
            None if the service has none after ``after``.
        """
        params, delay_s = None, 0.0
        if after is not None:
            params, delay_s = {"after": after, "wait": f"{wait_s:g}"}, wait_s
        result = await reader.get(self.url, params, delay_s)
        if result.is_err():
            return result
        return self.decode_response(result.ok(), after)

    def decode_response(self, response, after):
        """Decode a response of the service."""
        if response.status == 404:
            detail = f"no value for environment {self.settings.environment}"
            return Err(ValueNotFound(self.url, detail))
        if response.status not in (200, 304) or (
            response.status == 304 and after is None
        ):
            detail = f"status {response.status}, expected 200, 304 or 404"
            return Err(UnexpectedResponse(self.url, detail))
        header = response.headers.get("X-Revision", "")
        if response.status == 304 and not header:
            return Ok(Value(None, after))
        if not (header.isascii() and header.isdigit() and len(header) < 19):
            detail = f"X-Revision {header!r:.40}, expected a whole number"
            return Err(UnexpectedResponse(self.url, detail))
        return Ok(
            Value(response.content if response.status == 200 else None, int(header))
        )

    def handle_value(self, value, on_value):
        """Deliver a value, if there is one; return whether its revision is new."""
        if value.content is None:
            if value.revision < self.revision:
                self.revision = None
            return False
        is_newer = value.revision != self.revision
        self.revision = value.revision
        on_value(value.content)
        return is_newer

    async def wait_for_next_call(self, started_at, is_newer):
        """Sleep until the next call is due."""
        if self.uses_long_polling:
            interval = MIN_CALL_INTERVAL_S if is_newer else LONG_POLL_WAIT_S
            await anyio.sleep_until(started_at + interval)
            return
        jitter = self.rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
        await anyio.sleep(self.settings.poll_interval_s * jitter)
