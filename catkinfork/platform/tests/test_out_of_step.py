"""Streams that callers take up at a forwarder that was paused or cut off for a moment.

Meanwhile a runner of another version joined and began them through another forwarder.
"""

import asyncio
import signal
import time

import pytest

from catkinfork.platform.tests.standins import (
    Forwarder,
    list_unused_ports,
    run_platform,
    serve_port,
    wait_until,
)
from catkinfork.platform.tests.stream_standins import (
    LAST_PART,
    N_EVENTS,
    N_FIRST_EVENTS,
    N_LAST_TOKENS,
    StreamRunner,
    add_stream_runner,
    break_off,
    build_stream_config,
    knows,
    list_events,
    resume,
    wait_in_touch,
)

pytestmark = pytest.mark.processes

REST_OF_NEWER = list_events("v2", N_FIRST_EVENTS + 1, N_EVENTS)
REST_OF_OLDER = list_events("v1", N_FIRST_EVENTS + 1, N_EVENTS)
PAUSE_S = 1.0
# Callers leave after 2 s without an event.
MAX_DECISION_S = 2.0


class LongRunningForwarder(Forwarder):
    """A forwarder process that takes itself for one that has run for an hour."""

    module = "catkinfork.platform.tests.long_running"


class StoreLink:
    """Link of a forwarder to the store, on which everything may stand still.

    :param store_port: port of the store.
    """

    def __init__(self, store_port):
        self.store_port = store_port
        self.is_open = asyncio.Event()
        self.is_open.set()
        self.port = 0
        self.server = None

    async def open(self):
        """Start to accept connections."""
        self.server = await serve_port(self.serve)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        """Pass on what both ends of a connection send."""
        await self.is_open.wait()
        store_reader, store_writer = await asyncio.open_connection(
            "127.0.0.1", self.store_port
        )
        try:
            await asyncio.gather(
                self.pass_on(reader, store_writer), self.pass_on(store_reader, writer)
            )
        finally:
            store_writer.close()

    async def pass_on(self, reader, writer):
        """Pass on what one end sends while the link is open."""
        while data := await reader.read(65536):
            await self.is_open.wait()
            writer.write(data)
        writer.close()


class OutOfStep:
    """Two forwarders and a runner of v1 that both know.

    :param platform: :class:`Platform`.
    """

    def __init__(self, platform):
        self.platform = platform
        self.older = None
        self.newer = StreamRunner("i-2", "v2")
        self.link = None

    async def start(self, forwarder_class, is_apart=True):
        """Start both forwarders.

        :param forwarder_class: class of the second one.
        :param is_apart: whether they do not hear each other.
        :returns: the two forwarders.
        """
        platform = self.platform
        platform.store.put("op/config", build_stream_config())
        self.older = await add_stream_runner(platform, "i-1", "v1", "kicukiro")
        self.link = StoreLink(await platform.store.open())
        await self.link.open()
        store_ports = [await platform.store.open(), self.link.port]
        *ports, peer_port, other_port = list_unused_ports(6)
        peer_ports = [peer_port, other_port if is_apart else peer_port]
        ips = ["127.0.0.2", "127.0.0.3"]
        seeds = [f"{ip}:{ports[2]}" for ip in ips]
        for number, kind in enumerate((Forwarder, forwarder_class)):
            forwarder = kind(
                platform.folder,
                ips[number],
                ports,
                peer_ports[number],
                store_ports[number],
                seeds,
            )
            platform.forwarders.append(forwarder)
            await forwarder.start()
        await platform.wait_ready()
        if not is_apart:
            await wait_in_touch(platform)
        return platform.forwarders

    async def begin_newer(self):
        """Let the runner of v2 join, and begin and break off a stream there."""
        first = self.platform.forwarders[0]
        await self.newer.open()
        self.platform.store.put("servers/i-2", self.newer.build_entry())
        await wait_until(lambda: knows(first, "i-2", "v2"))
        assert await break_off(first, "r-first") == list_events("v2", 1, N_FIRST_EVENTS)

    def list_kept(self):
        """Let the runners tell what they keep."""
        self.older.lists_kept = self.newer.lists_kept = True

    def is_older_asked_to_go_on(self):
        """Return whether the runner of v1 was asked for the rest of a stream."""
        return any("last-event-id" in headers for _, headers in self.older.requests)


def run_out_of_step(test, folder):
    """Run a coroutine function that takes an :class:`OutOfStep`."""
    run_platform(lambda platform: test(OutOfStep(platform)), folder)


@pytest.mark.parametrize("is_apart", [True, False])
def test_paused_forwarder_reads_the_store_before_it_goes_on(tmp_path, is_apart):
    """Guards against a list of servers that counts as certain after a pause.

    The request waits when the process wakes. If the forwarders hear each other, the
    origin of the stream waits as well, in the socket for frames.
    """

    async def test(world):
        first, second = await world.start(LongRunningForwarder, is_apart)
        second.signal(signal.SIGSTOP)
        await world.begin_newer()
        world.list_kept()
        resumed = asyncio.ensure_future(resume(second, "r-first"))
        await asyncio.sleep(PAUSE_S)
        second.signal(signal.SIGCONT)
        assert await resumed == (200, REST_OF_NEWER)
        assert not world.is_older_asked_to_go_on()

    run_out_of_step(test, tmp_path)


def test_forwarder_cut_off_refuses_until_it_has_read_the_store(tmp_path):
    """Guards against a list of servers that counts as certain while it is outdated."""

    async def test(world):
        first, second = await world.start(LongRunningForwarder)
        world.link.is_open.clear()
        await world.begin_newer()
        world.list_kept()
        started_at = time.monotonic()
        assert await resume(second, "r-first") == (503, [])
        assert time.monotonic() - started_at < MAX_DECISION_S
        assert not world.is_older_asked_to_go_on()
        world.link.is_open.set()
        await wait_until(lambda: knows(second, "i-2", "v2"))
        assert await resume(second, "r-first") == (200, REST_OF_NEWER)

    run_out_of_step(test, tmp_path)


def test_forwarder_cut_off_does_not_trust_the_engines_that_it_knows(tmp_path):
    """Guards against the engines of an outdated list, all of which answer.

    The one of v1 has read the prompt, as an earlier attempt had failed there. The
    forwarder started a short time ago, so that its list is not certain anyway.
    """

    async def test(world):
        first, second = await world.start(Forwarder)
        world.link.is_open.clear()
        world.older.kept |= {"a1": 20, LAST_PART: N_LAST_TOKENS}
        await world.begin_newer()
        world.list_kept()
        assert await resume(second, "r-first") == (503, [])
        assert not world.is_older_asked_to_go_on()
        world.link.is_open.set()
        await wait_until(lambda: knows(second, "i-2", "v2"))
        assert await resume(second, "r-first") == (200, REST_OF_NEWER)

    run_out_of_step(test, tmp_path)


def test_forwarder_in_touch_decides_soon(tmp_path):
    """Guards against streams that are refused, or wait, while a single version serves.

    Nothing has changed in the store, so that its watch waits, and nobody knows the
    stream.
    """

    async def test(world):
        first, second = await world.start(LongRunningForwarder)
        started_at = time.monotonic()
        assert await resume(second, "r-unknown") == (200, REST_OF_OLDER)
        assert time.monotonic() - started_at < MAX_DECISION_S / 4
        await wait_until(lambda: second.list_events("request_finished"))
        (line,) = second.list_events("request_finished")
        assert line["version_source"] == "only_version"

    run_out_of_step(test, tmp_path)
