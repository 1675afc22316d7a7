"""Runners are upgraded in place while the store is down, and streams are joined."""

import asyncio
import sys
import tempfile
from pathlib import Path

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
N_STREAMS = 12
N_EVENTS = 60
PAUSE_S = 0.1
# Time for which the store is down, seconds; the site file has up to 9.0.
STORE_DOWN_S = 8.0
# Time for which a runner is away when it starts again, seconds.
RESTART_S = 1.0
# Rule ORDER: more than this many streams.
MAX_JOINED = 2

ROUTE = {
    "name": "draft",
    "host": HOST,
    "prefix": "/draft/",
    "kind": "streaming",
    "timeout_ms": 12000,
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


async def read_stream(forwarder, number, record):
    """Send a request and return the versions that wrote events of its answer."""
    request_id = f"stream-{number}"
    reader, writer = await asyncio.open_connection(forwarder.ip, forwarder.front_port)
    lines = (
        "POST /draft/2f HTTP/1.1",
        f"Host: {HOST}",
        f"X-Catkinfork-Request-Id: {request_id}",
        "X-Catkinfork-Deadline-Ms: 12000",
        "X-Catkinfork-Model-Id: m",
        f"X-Catkinfork-Token-Usage: 300,{8 * N_EVENTS}",
        f"X-Catkinfork-Prefix-Hash: 5c1e07a2:100,{number + 16:x}:200",
        "Content-Length: 0",
    )
    record.write(f"client sends {request_id} to {forwarder.ip}")
    writer.write("\r\n".join([*lines, "", ""]).encode())
    writers = []
    end = "is broken off"
    try:
        start_line, _ = await read_head(reader)
        while size := int(await reader.readuntil(b"\r\n"), 16):
            events = (await reader.readexactly(size + 2)).decode()
            for line in events.splitlines():
                if line.startswith("data: "):
                    writers.append(line.removeprefix("data: "))
        end = "ends"
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        pass
    finally:
        writer.close()
    counts = {one: writers.count(one) for one in dict.fromkeys(writers)}
    record.write(f"answer to {request_id}: {start_line}; events by {counts}; it {end}")
    return {one.split(" ")[1] for one in writers}


async def upgrade(runner):
    """Replace the software of a runner: it starts again under its id."""
    runner.crash()
    await asyncio.sleep(RESTART_S)
    await runner.start(NEW)


async def play(record):
    """Play the case and return whether the rule was kept."""
    store = Store()
    await store.open("127.0.0.1", 0)
    store_port = store.server.sockets[0].getsockname()[1]
    await store.put("op/config", build_configuration(1, [ROUTE], SERVICES))
    runners = [
        StreamRunner(store, record, name, SERVICE, 64, N_EVENTS, PAUSE_S)
        for name in ("i-a", "i-b")
    ]
    for runner in runners:
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
            await asyncio.sleep(4.0)
            versions = await upgrade_under_load(store, runners, forwarders, record)
        finally:
            for forwarder in forwarders:
                await forwarder.end()
    n_joined = sum(len(found) > 1 for found in versions)
    record.write(f"{n_joined} of {len(versions)} streams hold events of two versions")
    return n_joined <= MAX_JOINED


async def upgrade_under_load(store, runners, forwarders, record):
    """Upgrade the runners in turn while streams begin and run.

    :returns: versions that wrote events, by stream.
    """
    first, second = runners
    if has_trouble():
        record.write("the store is down")
        store.is_down = True
        asyncio.get_running_loop().call_later(STORE_DOWN_S, raise_store, store, record)
    await asyncio.sleep(0.5)
    await upgrade(first)
    await asyncio.sleep(1.5)
    streams = [
        asyncio.create_task(read_stream(forwarders[number % 2], number, record))
        for number in range(N_STREAMS)
    ]
    await asyncio.sleep(2.0)
    await upgrade(second)
    return await asyncio.gather(*streams)


def raise_store(store, record):
    """End the outage of the store."""
    store.is_down = False
    record.write("the store is up")


run_script(play, FOLDER)
