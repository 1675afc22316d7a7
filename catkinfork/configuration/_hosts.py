"""Client of the host list."""

from abc import ABC, abstractmethod
from typing import Literal, NamedTuple, TypedDict

import anyio
import msgspec
from result import Err, Ok

from catkinfork.configuration._errors import UnexpectedResponse
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
    """A process in the host list of the platform.

    :param address: internal address of the process, ``host:port``.
    :param role: ``router`` or ``agent``.
    :param data_centre: data centre of its host.
    :param state: ``live`` or ``leaving``.
    """

    address: str
    role: str
    data_centre: str
    state: str


class HostEntry(TypedDict):
    """Entry of the host list on the wire; unknown keys are ignored."""

    address: str
    role: Literal["router", "agent"]
    data_centre: str
    state: Literal["live", "leaving"]


class BaseHostList(ABC):
    """Source of the live and leaving hosts."""

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
    """Client of the host list, see ``docs/platform.md``.

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
        self.etag = ""

    async def read_once(self):
        async with HttpReader(MAX_HOST_LIST_BYTES, is_keeping=False) as reader:
            result = await reader.get(self.url)
        return result.and_then(self.read_answer)

    async def run(self, on_hosts):
        backoff = Backoff(self.rng)
        last_hosts = None
        async with HttpReader(MAX_HOST_LIST_BYTES, is_keeping=True) as reader:
            while True:
                # The list of a large fleet is read every second but rarely changes, so
                # a conditional request avoids most transfers.
                headers = {"If-None-Match": self.etag} if self.etag else None
                result = await reader.get(self.url, headers=headers)
                if result.is_err() or not self.is_same(result.ok()):
                    result = result.and_then(self.read_answer)
                    if result.is_err():
                        self.outages.record_failure(result.err())
                        await anyio.sleep(backoff.next_delay())
                        continue
                    if result.ok() != last_hosts:
                        last_hosts = result.ok()
                        on_hosts(last_hosts)
                backoff.reset()
                self.outages.record_success()
                jitter = self.rng.uniform(1.0 - INTERVAL_JITTER, 1.0 + INTERVAL_JITTER)
                await anyio.sleep(self.settings.hosts_interval_s * jitter)

    def is_same(self, response):
        """Return whether a response repeats the last valid one."""
        if response.status == 304:
            return self.content is not None
        return response.status == 200 and response.content == self.content

    def read_answer(self, response):
        """Decode a response to hosts; malformed entries are ignored."""
        if response.status != 200:
            detail = f"status {response.status}, expected 200"
            return Err(UnexpectedResponse(self.url, detail))
        try:
            decoded = msgspec.json.decode(response.content)
        except (msgspec.DecodeError, RecursionError, ValueError) as error:
            return Err(UnexpectedResponse(self.url, f"not JSON: {error}"))
        entries = decoded.get("hosts") if isinstance(decoded, dict) else None
        if not isinstance(entries, list):
            return Err(
                UnexpectedResponse(self.url, "expected a list under the key hosts")
            )
        self.content = response.content
        self.etag = response.headers.get("ETag", "")
        hosts = [self.decode_entry(*pair) for pair in enumerate(entries)]
        return Ok(tuple(sorted(host for host in hosts if host is not None)))

    def decode_entry(self, position, entry):
        """Decode one entry, or log that it is malformed and return None."""
        try:
            return Host(**msgspec.convert(entry, HostEntry))
        except msgspec.ValidationError as error:
            event = log_event(
                HOST_ENTRY_IGNORED, url=self.url, position=position, detail=str(error)
            )
            self.on_event(event)
            return None
