"""Backend servers that send bytes without end, and what that costs a forwarder."""

import asyncio
import re
import time
from contextlib import suppress
from pathlib import Path

import pytest

from catkinfork.platform.tests.standins import (
    Runner,
    build_config,
    read_head,
    run_platform,
    wait_until,
)

pytestmark = pytest.mark.processes

N_CALLERS = 48
POURING_S = 4.0
BLOCK_BYTES = 1 << 16
# Memory that all connections to faulty servers together may take, MB: that of their
# socket buffers and of the bound for each of them.
MAX_GROWTH_MB = 40
# Time between two requests of a caller, seconds. A refusal comes at once, so that with
# less the callers of the faulty server would flood the forwarder and the test itself.
FAULTY_PAUSE_S, SOUND_PAUSE_S = 0.1, 0.01
# Sound requests of one caller that have to be answered meanwhile.
MIN_SOUND = 50

HEAD = (
    b"HTTP/1.1 200 OK\r\nX-Catkinfork-Request-Id: ID\r\n"
    b"X-Catkinfork-Response-Seal: seal\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
KINDS = {
    "short headers": (b"HTTP/1.1 200 OK\r\n", b"X-A: b\r\n"),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-A: b\r\n"),
    "interim heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "one-byte chunks": (CHUNKED, b"1\r\nx\r\n"),
    "short chunks": (CHUNKED, b"6\r\nxxxxxx\r\n"),
}


class PouringRunner(Runner):
    """A runner that sends the same bytes until its caller closes.

    :param first: bytes that are sent first.
    :param block: bytes that are repeated.
    """

    def __init__(self, name, first, block):
        super().__init__(name)
        self.first = first
        self.block = block * (BLOCK_BYTES // len(block))

    async def serve(self, reader, writer):
        while True:
            start_line, headers = await read_head(reader)
            await reader.readexactly(int(headers.get("content-length", 0)))
            self.requests.append((start_line, headers))
            request_id = headers["x-catkinfork-request-id"].encode()
            writer.write(self.first.replace(b"ID", request_id))
            while True:
                writer.write(self.block)
                await writer.drain()
                await asyncio.sleep(0.001)


def read_peak_mb(forwarder):
    """Return the peak memory of a forwarder process, MB."""
    status = Path(f"/proc/{forwarder.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1024


async def call_until(forwarder, path, ends_at, pause_s, statuses):
    """Send one request after the other until a time, and record their statuses.

    :param ends_at: monotonic time, seconds.
    :param pause_s: time between two requests, seconds.
    """
    n_sent = 0
    while time.monotonic() < ends_at:
        n_sent += 1
        request_id = f"{path.strip('/')}-{id(statuses)}-{n_sent}"
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            status, _ = await forwarder.call(
                path, request_id=request_id, deadline_ms=2000
            )
            statuses.append(status)
        await asyncio.sleep(pause_s)


async def start(platform, first, block):
    """Start a faulty server of one service and a sound one of another."""
    config = build_config(prefixes=("/read/", "/sound/"), kind="safe")
    config["routes"][1]["service"] = "sound"
    config["services"].append(config["services"][0] | {"name": "sound"})
    platform.store.put("op/config", config)
    faulty = PouringRunner("i-faulty", first, block)
    sound = Runner("i-sound")
    for runner, options in ((faulty, {"slots": 64}), (sound, {"service": "sound"})):
        await runner.open()
        platform.runners.append(runner)
        platform.store.put(f"servers/{runner.name}", runner.build_entry(**options))
    (forwarder,) = await platform.add_forwarders()
    await platform.wait_ready()
    await wait_until(lambda: forwarder.list_events("configuration_adopted"))
    return forwarder, faulty


@pytest.mark.parametrize("kind", KINDS)
def test_endless_bytes_fill_no_memory_and_starve_nobody(tmp_path, kind):
    """Guards against a forwarder that keeps what a faulty server sends without end.

    It would run out of memory, and the requests of all other callers end with it. Sound
    requests of another service are answered meanwhile.
    """

    async def test(platform):
        forwarder, faulty = await start(platform, *KINDS[kind])
        before_mb = read_peak_mb(forwarder)
        ends_at = time.monotonic() + POURING_S
        sound = []
        tasks = [
            asyncio.create_task(
                call_until(forwarder, "/read/", ends_at, FAULTY_PAUSE_S, [])
            )
            for _ in range(N_CALLERS)
        ]
        tasks.append(
            asyncio.create_task(
                call_until(forwarder, "/sound/", ends_at, SOUND_PAUSE_S, sound)
            )
        )
        await asyncio.gather(*tasks)
        assert faulty.requests
        assert read_peak_mb(forwarder) - before_mb < MAX_GROWTH_MB
        assert sound.count(200) >= MIN_SOUND
        assert forwarder.process.returncode is None

    run_platform(test, tmp_path)
