"""Client of the configuration service."""

from abc import ABC, abstractmethod
from typing import NamedTuple

import anyio
from result import Err, Ok

from catkinfork.configuration._errors import NoSuchValue, UnexpectedAnswer
from catkinfork.configuration._events import SOURCE_FAILED, SOURCE_RECOVERED
from catkinfork.configuration._http import Backoff, HttpReader, OutageLog
from catkinfork.document import MAX_DOCUMENT_BYTES

# Longest time for which a watch is held back. A pending watch gives no sign of life, so
# that its length adds to the time in which a silent connection is noticed: 1 s + 0.6 s
# stay under the 2 s allowed. A pending watch counts as a call for as long as it lasts,
# so that shorter ones cost the service's call limit little.
WATCH_WAIT_S = 1.0
# A service that was set up anew may count revisions from the start. The value is read
# without a revision this often in case its answers do not show that.
FULL_READ_INTERVAL_S = 600.0
# Bound on the rate of calls if the service does not hold watches back.
MIN_CALL_INTERVAL_S = 0.05
POLL_JITTER = 0.2


class Value(NamedTuple):
    """A value of the configuration service.

    :param content: bytes of the value.
    :param revision: the service's own counter of changes.
    """

    content: bytes
    revision: int


class BaseConfigurationSource(ABC):
    """Where the document is read from."""

    @abstractmethod
    async def read_once(self):
        """Read the value.

        :returns: ``Ok(Value)`` or ``Err(SourceError)``.
        """

    @abstractmethod
    async def run(self, on_value):
        """Deliver the value and each later one until cancelled.

        :param on_value: called with the bytes of each value; the same value may be
            delivered more than once, and after a fault an older one.
        """


class HttpConfigurationSource(BaseConfigurationSource):
    """Reads the configuration service over HTTP, as in ``docs/platform.md``.

    :param settings: :class:`PlatformSettings`.
    :param is_watching: whether to watch (routers) or to poll (agents).
    :param rng: ``random.Random`` for the jitter.
    :param on_event: called with each :class:`LogEvent`.
    """

    def __init__(self, settings, is_watching, rng, on_event):
        self.settings = settings
        self.is_watching = is_watching
        self.rng = rng
        self.on_event = on_event
        base = settings.configuration_url.rstrip("/")
        self.url = f"{base}/v1/values/{settings.environment}"
        self.revision = None
        self.outages = OutageLog(self.url, SOURCE_FAILED, SOURCE_RECOVERED, on_event)
        self.full_read_at = 0.0

    async def read_once(self):
        async with HttpReader(MAX_DOCUMENT_BYTES, is_keeping=False) as reader:
            return await self.fetch(reader, None, 0.0)

    async def run(self, on_value):
        backoff = Backoff(self.rng)
        async with HttpReader(MAX_DOCUMENT_BYTES, self.is_watching) as reader:
            while True:
                started_at = anyio.current_time()
                wait_s = WATCH_WAIT_S if self.is_watching else 0.0
                result = await self.fetch(reader, self.choose_revision(), wait_s)
                if result.is_err():
                    self.revision = None
                    self.outages.note_failure(result.err())
                    await anyio.sleep(backoff.next_pause())
                    continue
                backoff.reset()
                self.outages.note_success()
                is_newer = self.take(result.ok(), on_value)
                await self.pause(started_at, is_newer)

    def choose_revision(self):
        """Return the revision to ask beyond, or None for the value as it is."""
        now = anyio.current_time()
        if self.revision is None or now >= self.full_read_at:
            self.full_read_at = now + FULL_READ_INTERVAL_S
            return None
        return self.revision

    async def fetch(self, reader, after, wait_s):
        """Read the value.

        :param after: revision beyond which a value is wanted, or None for any.
        :param wait_s: time for which the service may hold the answer back.
        :returns: ``Ok(Value)`` or ``Err(SourceError)``; the content of the value is
            None if the service has none beyond ``after``.
        """
        params, held_s = None, 0.0
        if after is not None:
            params, held_s = {"after": after, "wait": f"{wait_s:g}"}, wait_s
        result = await reader.get(self.url, params, held_s)
        if result.is_err():
            return result
        return self.read_answer(result.ok(), after)

    def read_answer(self, answer, after):
        """Convert an answer of the service to a value."""
        if answer.status == 404:
            detail = f"no value for environment {self.settings.environment}"
            return Err(NoSuchValue(self.url, detail))
        if answer.status not in (200, 304) or (answer.status == 304 and after is None):
            detail = f"status {answer.status}, expected 200, 304 or 404"
            return Err(UnexpectedAnswer(self.url, detail))
        text = answer.headers.get("X-Revision", "")
        if answer.status == 304 and not text:
            return Ok(Value(None, after))
        if not (text.isascii() and text.isdigit() and len(text) < 19):
            detail = f"X-Revision {text!r:.40}, expected a whole number"
            return Err(UnexpectedAnswer(self.url, detail))
        return Ok(Value(answer.content if answer.status == 200 else None, int(text)))

    def take(self, value, on_value):
        """Deliver a value; return whether the service had one to deliver."""
        if value.content is None:
            if value.revision < self.revision:
                self.revision = None
            return False
        is_newer = value.revision != self.revision
        self.revision = value.revision
        on_value(value.content)
        return is_newer

    async def pause(self, started_at, is_newer):
        """Wait until the next call is due."""
        if self.is_watching:
            interval = MIN_CALL_INTERVAL_S if is_newer else WATCH_WAIT_S
            await anyio.sleep_until(started_at + interval)
            return
        jitter = self.rng.uniform(1.0 - POLL_JITTER, 1.0 + POLL_JITTER)
        await anyio.sleep(self.settings.poll_interval_s * jitter)
