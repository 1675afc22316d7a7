"""All forwarders lose power as a runner leaves; streams go on at another version."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path
from typing import NamedTuple

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback_3 import (  # noqa: E402
    HOST,
    Forwarder,
    Store,
    StreamRunner,
    build_configuration,
    has_trouble,
    list_free_ports,
    read_head,
    run_script,
)

SERVICE = "lm"
OLD, NEW = "v1", "v2"
N_SESSIONS = 6
# Streams that keep the runners of the old version busy.
N_OTHERS = 36
N_EVENTS = 80
PAUSE_S = 0.1
# Events of the first request of a session.
N_FIRST_EVENTS = 3
DEADLINE_MS = 12000
# Time from the removal of the runner's entry to the loss of power, time without power,
# and time for which the runner serves on after the removal, seconds.
LOSS_AFTER_S = 0.5
MACHINES_DOWN_S = 1.5
SERVES_ON_S = 2.5
# Rule ORDER: more than this many streams.
MAX_JOINED = 2

ROUTE = {
    "name": "brief",
    "host": HOST,
    "prefix": "/brief/",
    "kind": "streaming",
    "timeout_ms": DEADLINE_MS,
    "aim_ms": 800,
    "priority": 1,
    "service": SERVICE,
    "max_attempts": 2,
    "public": True,
    "sticky": True,
    "resumable": True,
    "gap_target_ms": 250,
}
SERVICES = [
    {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_connections": 360,
        "cold_s": 0.0,
        "cold_per_s": 0.0,
        "engine": {"slots": 64, "kv_capacity": 558069, "stride": 8},
    }
]


class SessionRunner(StreamRunner):
    """A runner whose answers are as long as the request says."""

    async def run(self, writer, request_id, headers, body):
        self.n_events = int(headers["x-catkinfork-token-usage"].split(",")[1]) // 8
        await super().run(writer, request_id, headers, body)


class Answer(NamedTuple):
    """What a client has received.

    :param writers: runner and version of each event.
    :param is_whole: whether the stream has ended as complete.
    """

    writers: list
    is_whole: bool


class Client:
    """A client with a session of its own.

    :param session: number of its session; the last part of its prompts belongs to it.
    """

    def __init__(self, session, record):
        self.session = session
        self.record = record
        self.sent_at = None

    async def send(self, forwarder, request_id, n_events, resumed=None, last_event=0):
        """Send a request and return its :class:`Answer`.

        :param resumed: id of the request whose stream is taken up, or None.
        """
        if resumed is None:
            self.sent_at = time.monotonic()
        left_ms = DEADLINE_MS - int(1000 * (time.monotonic() - self.sent_at))
        lines = [
            "POST /brief/2f HTTP/1.1",
            f"Host: {HOST}",
            f"X-Catkinfork-Request-Id: {request_id}",
            f"X-Catkinfork-Deadline-Ms: {left_ms}",
            "X-Catkinfork-Model-Id: m",
            f"X-Catkinfork-Token-Usage: 160,{8 * n_events}",
            f"X-Catkinfork-Prefix-Hash: 5c1e07a2:100,{self.session + 16:x}:60",
            "Content-Length: 0",
        ]
        if resumed is not None:
            lines += [f"Last-Event-Id: {last_event}", f"Resumes: {resumed}"]
        self.record.write(f"client sends {request_id} to {forwarder.ip}")
        writers = []
        is_whole = False
        status = "no answer"
        try:
            reader, writer = await asyncio.open_connection(
                forwarder.ip, forwarder.front_port
            )
            writer.write("\r\n".join([*lines, "", ""]).encode())
            start_line, _ = await read_head(reader)
            status = start_line.split(" ")[1]
            while status == "200" and (
                size := int(await reader.readline() or b"x", 16)
            ):
                events = (await reader.readexactly(size + 2)).decode()
                writers += [
                    line.removeprefix("data: ")
                    for line in events.splitlines()
                    if line.startswith("data: ")
                ]
            is_whole = status == "200"
            writer.close()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        counts = {one: writers.count(one) for one in dict.fromkeys(writers)}
        self.record.write(
            f"answer to {request_id}: {status}, events by {counts}, "
            f"{'whole' if is_whole else 'not whole'}"
        )
        return Answer(writers, is_whole)

    async def read_stream(self, forwarder):
        """Read a stream, take it up once if it breaks off, and return its versions."""
        request_id = f"stream-{self.session}"
        answer = await self.send(forwarder, request_id, N_EVENTS)
        writers = answer.writers
        if not answer.is_whole and writers:
            await forwarder.wait_ready()
            again = await self.send(
                forwarder, f"{request_id}-again", N_EVENTS, request_id, len(writers)
            )
            writers = writers + again.writers
        return {one.split(" ")[1] for one in writers}


async def play(record):
    """Play the case and return whether the rule was kept."""
    store = Store()
    await store.open("127.0.0.1", 0)
    store_port = store.server.sockets[0].getsockname()[1]
    await store.put("op/config", build_configuration(1, [ROUTE], SERVICES))
    runners = [
        SessionRunner(store, record, name, SERVICE, 64, N_EVENTS, PAUSE_S)
        for name in ("i-a", "i-b", "i-c", "i-d")
    ]
    for runner in runners[:-1]:
        await runner.start(OLD)
    ports = list_free_ports(4)
    with tempfile.TemporaryDirectory() as folder:
        ips = ["127.0.0.2", "127.0.0.3"]
        seeds = [f"{ip}:{ports[2]}" for ip in ips]
        forwarders = [
            Forwarder(Path(folder), ip, ports, store_port, seeds) for ip in ips
        ]
        try:
            for forwarder in forwarders:
                await forwarder.start()
            for forwarder in forwarders:
                await forwarder.wait_ready()
            await asyncio.sleep(3.0)
            versions = await lose_power(runners[-1], forwarders, record)
        finally:
            for forwarder in forwarders:
                await forwarder.end()
    n_joined = sum(len(found) > 1 for found in versions)
    record.write(f"{n_joined} of {len(versions)} streams hold events of two versions")
    return n_joined <= MAX_JOINED


async def lose_power(added, forwarders, record):
    """Let sessions begin and go on, then take the power of the machines.

    :param added: :class:`SessionRunner` of the new version, not started yet.
    :returns: versions that wrote events, by stream.
    """
    clients = [Client(number, record) for number in range(N_SESSIONS)]
    await asyncio.gather(
        *[
            client.send(
                forwarders[client.session % 2],
                f"first-{client.session}",
                N_FIRST_EVENTS,
            )
            for client in clients
        ]
    )
    others = [
        asyncio.create_task(
            Client(100 + number, record).send(
                forwarders[number % 2], f"other-{number}", N_EVENTS
            )
        )
        for number in range(N_OTHERS)
    ]
    await asyncio.sleep(0.5)
    await added.start(NEW)
    await asyncio.sleep(1.0)
    streams = [
        asyncio.create_task(client.read_stream(forwarders[client.session % 2]))
        for client in clients
    ]
    await asyncio.sleep(2.0)
    if has_trouble():
        await added.leave()
        loop = asyncio.get_running_loop()
        loop.call_later(SERVES_ON_S, added.crash)
        await asyncio.sleep(LOSS_AFTER_S)
        record.write("the forwarders lose power")
        await asyncio.gather(*[forwarder.end() for forwarder in forwarders])
        await asyncio.sleep(MACHINES_DOWN_S)
        for forwarder in forwarders:
            await forwarder.start()
    versions = await asyncio.gather(*streams)
    await asyncio.gather(*others)
    return versions


run_script(play, FOLDER)
