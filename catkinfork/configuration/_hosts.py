"""Client of the host list."""

from abc import ABC, abstractmethod
from typing import Literal, NamedTuple, TypedDict

import anyio
import msgspec
from result import Err, Ok

from catkinfork.configuration._errors import UnexpectedAnswer
from catkinfork.configuration._events import (
    HOST_ENTRY_IGNORED,
    HOST_LIST_FAILED,
    HOST_LIST_RECOVERED,
)
from catkinfork.configuration._http import Backoff, HttpReader, OutageLog
from catkinfork.observability import log_event

LIVE = "live"
LEAVING = "leaving"
ROUTER = "router"
AGENT = "agent"
MAX_HOST_LIST_BYTES = 4 * 1024 * 1024
INTERVAL_JITTER = 0.1


class Host(NamedTuple):
    """A process that the platform lists.

    :param address: inner address of the process, ``host:port``.
    :param role: ``router`` or ``agent``.
    :param data_centre: data centre of its host.
    :param state: ``live`` or ``leaving``.
    """

    address: str
    role: str
    data_centre: str
    state: str


class RawHost(TypedDict):
    """An entry as the platform sends it; further keys are passed over."""

    address: str
    role: Literal["router", "agent"]
    data_centre: str
    state: Literal["live", "leaving"]


class BaseHostList(ABC):
    """Where live and leaving hosts are read from."""

    @abstractmethod
    async def read_once(self):
        """Read the list.

        :returns: ``Ok`` with a tuple of :class:`Host`, or ``Err(SourceError)``.
        """

    @abstractmethod
    async def run(self, on_hosts):
        """Deliver the list and each later one that differs until cancelled.

        :param on_hosts: called with a tuple of :class:`Host`, ordered by address.
        """


class HttpHostList(BaseHostList):
    """Reads the host list over HTTP, as in ``docs/platform.md``.

    :param settings: :class:`PlatformSettings`.
    :param rng: ``random.Random`` for the jitter.
    :param on_event: called with each :class:`LogEvent`.
    """

    def __init__(self, settings, rng, on_event):
        self.settings = settings
        self.rng = rng
        self.on_event = on_event
        self.url = settings.hosts_url
        self.outages = OutageLog(
            self.url, HOST_LIST_FAILED, HOST_LIST_RECOVERED, on_event
        )
        self.content = None
        self.tag = ""

    async def read_once(self):
        async with HttpReader(MAX_HOST_LIST_BYTES, is_keeping=False) as reader:
            result = await reader.get(self.url)
        return result.and_then(self.read_answer)

    async def run(self, on_hosts):
        backoff = Backoff(self.rng)
        last = None
        async with HttpReader(MAX_HOST_LIST_BYTES, is_keeping=True) as reader:
            while True:
                # The list of a large fleet is read every second and seldom changes.
                headers = {"If-None-Match": self.tag} if self.tag else None
                result = await reader.get(self.url, headers=headers)
                if result.is_err() or not self.is_same(result.ok()):
                    result = result.and_then(self.read_answer)
                    if result.is_err():
                        self.outages.note_failure(result.err())
                        await anyio.sleep(backoff.next_pause())
                        continue
                    if result.ok() != last:
                        last = result.ok()
                        on_hosts(last)
                backoff.reset()
                self.outages.note_success()
                jitter = self.rng.uniform(1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER)
                await anyio.sleep(self.settings.hosts_interval_s * jitter)

    def is_same(self, answer):
        """Return whether an answer repeats the last valid one."""
        if answer.status == 304:
            return self.content is not None
        return answer.status == 200 and answer.content == self.content

    def read_answer(self, answer):
        """Convert an answer to hosts; entries with a wrong form are passed over."""
        if answer.status != 200:
            detail = f"status {answer.status}, expected 200"
            return Err(UnexpectedAnswer(self.url, detail))
        try:
            raw = msgspec.json.decode(answer.content)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            return Err(UnexpectedAnswer(self.url, f"not JSON: {error}"))
        entries = raw.get("hosts") if isinstance(raw, dict) else None
        if not isinstance(entries, list):
            return Err(UnexpectedAnswer(self.url, "no list under the key hosts"))
        self.content = answer.content
        self.tag = answer.headers.get("ETag", "")
        hosts = [self.read_entry(*pair) for pair in enumerate(entries)]
        return Ok(tuple(sorted(host for host in hosts if host is not None)))

    def read_entry(self, position, entry):
        """Convert one entry, or log it and return None."""
        try:
            return Host(**msgspec.convert(entry, RawHost))
        except msgspec.ValidationError as error:
            event = log_event(
                HOST_ENTRY_IGNORED, url=self.url, position=position, detail=str(error)
            )
            self.on_event(event)
            return None
