"""Streams that reach a forwarder process late in a planned stop."""

import asyncio
import signal
import time

import pytest

from catkinfork.platform.tests.standins import (
    KEY,
    Platform,
    read_head,
    run_platform,
    wait_until,
)
from catkinfork.platform.tests.stream_standins import (
    PATH,
    PROMPT,
    StreamRunner,
    build_stream_config,
)

pytestmark = pytest.mark.processes

N_EVENTS = 9
N_SHORT = 12
N_LATE = 4
BODY = b"some-body"
# Times after the SIGTERM at which the bodies are sent, seconds: before and after the
# 1.6 s from which requests of a stand-in with a grace of 4 s count as late.
IN_TIME_S, LATE_S = 0.3, 2.0
# Time for which a process has no processor time from its signal on, seconds.
STILL_S = 1.0


class PacedRunner(StreamRunner):
    """A runner whose streams end by themselves, after a time that may change.

    :param name: name of its entry in the store.

    ``gap_s`` is the time between two events, seconds.
    """

    def __init__(self, name):
        super().__init__(name, "v1")
        self.gap_s = 0.0

    async def stream(self, headers, reader, writer):
        request_id = headers["x-catkinfork-request-id"].encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"X-Catkinfork-Request-Id: %s\r\nX-Catkinfork-Response-Seal: seal\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n" % request_id
        )
        for number in range(1, N_EVENTS + 1):
            await asyncio.sleep(self.gap_s)
            event = b"id: %d\ndata: x\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def send_slowly(forwarder, request_id, body_at):
    """Send a head at once and the body later.

    :param body_at: monotonic time of the body, seconds.
    :returns: status, and whether the response is whole.
    """
    reader, writer = await asyncio.open_connection(forwarder.ip, forwarder.ports[0])
    lines = [
        f"POST {PATH} HTTP/1.1",
        "Host: site.example",
        f"Authorization: Bearer {KEY}",
        f"X-Catkinfork-Request-Id: {request_id}",
        "X-Catkinfork-Model-Id: m",
        "X-Catkinfork-Token-Usage: 30,20",
        f"X-Catkinfork-Prefix-Hash: {PROMPT}",
        f"Content-Length: {len(BODY)}",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    await asyncio.sleep(max(0.0, body_at - time.monotonic()))
    writer.write(BODY)
    try:
        status_line, headers = await read_head(reader)
        if "content-length" in headers:
            await reader.readexactly(int(headers["content-length"]))
        else:
            await reader.readuntil(b"\r\n0\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return int(status_line.split(" ")[1]), False
    finally:
        writer.close()
    return int(status_line.split(" ")[1]), True


async def start(platform):
    """Start a runner and a forwarder that has served short streams."""
    config = build_stream_config()
    config["routes"][0]["resumable"] = False
    platform.store.put("op/config", config)
    runner = PacedRunner("i-1")
    await runner.open()
    platform.runners.append(runner)
    platform.store.put("servers/i-1", runner.build_entry())
    (forwarder,) = await platform.add_forwarders()
    await platform.wait_ready()
    for number in range(N_SHORT):
        assert await send_slowly(forwarder, f"short-{number}", 0.0) == (200, True)
    return runner, forwarder


def test_late_streams_of_a_burst_are_refused_and_not_cut(tmp_path):
    """Guards against streams that are begun late in a planned stop, and cut.

    Streams last several times as long as before while the host is stopped, and some
    requests are uploaded slowly. Those that were sent in time may outlast the stop.
    """

    async def test(platform: Platform):
        runner, forwarder = await start(platform)
        runner.gap_s = 0.45
        forwarder.signal(signal.SIGTERM)
        # The driver may be late as well, so that times count from here.
        signalled_at = time.monotonic()
        late = [
            asyncio.create_task(
                send_slowly(forwarder, f"late-{number}", signalled_at + LATE_S)
            )
            for number in range(N_LATE)
        ]
        in_time = asyncio.create_task(
            send_slowly(forwarder, "in-time", signalled_at + IN_TIME_S)
        )
        assert await asyncio.gather(*late) == [(503, True)] * N_LATE
        assert (await in_time)[0] == 200
        await wait_until(lambda: forwarder.process.returncode is not None)
        assert forwarder.process.returncode == 0
        (cut,) = forwarder.list_events("request_cut")
        assert cut["request_id"] == "in-time"
        assert IN_TIME_S - 0.1 < cut["sent_s"] < LATE_S
        (draining,) = forwarder.list_events("forwarder_draining")
        assert 0.0 <= draining["signal_age_s"] < 1.0

    run_platform(test, tmp_path)


def test_signal_that_comes_while_a_process_stands_still_is_counted_from_then(tmp_path):
    """Guards against late streams of a host that has no processor time for a second.

    It handles the signal a second after it was sent, and cannot know when that was.
    """

    async def test(platform: Platform):
        runner, forwarder = await start(platform)
        runner.gap_s = 0.45
        forwarder.signal(signal.SIGSTOP)
        forwarder.signal(signal.SIGTERM)
        late_at = time.monotonic() + LATE_S
        late = asyncio.create_task(send_slowly(forwarder, "late", late_at))
        await asyncio.sleep(STILL_S)
        forwarder.signal(signal.SIGCONT)
        assert await late == (503, True)
        await wait_until(lambda: forwarder.process.returncode is not None)
        assert forwarder.process.returncode == 0
        (draining,) = forwarder.list_events("forwarder_draining")
        assert STILL_S - 0.3 < draining["signal_age_s"] < STILL_S + 1.0

    run_platform(test, tmp_path)
