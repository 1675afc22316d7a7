"""Another writer stores large values, and a restart ends all forwarders by memory."""

import asyncio
import os
import signal
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback_3 import (  # noqa: E402
    HOST,
    Forwarder,
    Machine,
    Runner,
    Store,
    build_configuration,
    has_fault,
    has_trouble,
    list_free_ports,
    read_head,
    run_script,
)

SERVICE = "daftari"
# Memory of an edge machine, site file.
MEMORY_MB = 150
# Values that another writer stores, their size, the largest that the store takes, and
# the time between two, seconds.
N_VALUES = 60
VALUE_BYTES = 1048576
VALUE_INTERVAL_S = 0.25
# Grace of a planned stop, seconds.
GRACE_S = 8.0
# Time for which the machines are watched after the restart, seconds.
WATCHED_S = 15.0

ROUTE = {
    "name": "reserve",
    "host": HOST,
    "prefix": "/reserve/",
    "kind": "unsafe",
    "timeout_ms": 1500,
    "aim_ms": 125,
    "priority": 2,
    "service": SERVICE,
    "max_attempts": 1,
    "public": True,
}
SERVICES = [
    {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_connections": 110,
        "cold_s": 0.0,
        "cold_per_s": 0.0,
    }
]


async def send(forwarder, request_id, record):
    """Send a request, and record how it ends."""
    end = "no answer"
    try:
        reader, writer = await asyncio.open_connection(
            forwarder.ip, forwarder.front_port
        )
        lines = (
            "POST /reserve/2f HTTP/1.1",
            f"Host: {HOST}",
            f"X-Catkinfork-Request-Id: {request_id}",
            "X-Catkinfork-Deadline-Ms: 1500",
            "Content-Length: 0",
        )
        writer.write("\r\n".join([*lines, "", ""]).encode())
        start_line, _ = await read_head(reader)
        end = start_line.split(" ")[1]
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        pass
    record.write(f"client of {forwarder.ip}: {request_id} ends with {end}")


async def send_all(forwarders, name, record):
    """Send a request to each machine."""
    requests = [send(one, f"{name}-{one.ip}", record) for one in forwarders]
    await asyncio.gather(*requests)


async def play(record):
    """Play the case and return whether the rule was kept."""
    store = Store()
    await store.open("127.0.0.1", 0)
    store_port = store.server.sockets[0].getsockname()[1]
    await store.put("op/config", build_configuration(1, [ROUTE], SERVICES))
    for name in ("i-a", "i-b", "i-c", "i-d"):
        await Runner(store, record, name, SERVICE, 6).start("v1")
    ports = list_free_ports(4)
    with tempfile.TemporaryDirectory() as folder:
        ips = [f"127.0.0.{number}" for number in (2, 3, 4)]
        seeds = [f"{ip}:{ports[2]}" for ip in ips]
        forwarders = [
            Forwarder(Path(folder), ip, ports, store_port, seeds) for ip in ips
        ]
        try:
            for forwarder in forwarders:
                await forwarder.start()
            for forwarder in forwarders:
                await forwarder.wait_ready()
            machines = [Machine(one, record, MEMORY_MB) for one in forwarders]
            await restart_one(store, machines, record)
        finally:
            for forwarder in forwarders:
                await forwarder.end()
    return not has_fault(machines, record)


async def restart_one(store, machines, record):
    """Store the values, then stop one machine as planned and start it again."""
    forwarders = [machine.forwarder for machine in machines]
    for machine in machines:
        machine.watch()
    if has_trouble():
        for number in range(N_VALUES):
            await store.put(f"servers/blob-{number}", os.urandom(VALUE_BYTES))
            await asyncio.sleep(VALUE_INTERVAL_S)
        record.write(f"another writer has stored {N_VALUES} values of 1 MiB")
    await send_all(forwarders, "before", record)
    for machine in machines:
        record.write(f"{machine.forwarder.ip} uses up to {machine.peak_mb:.0f} MB")
    await machines[0].stop_watching()
    await restart(forwarders[0], record)
    machines[0].watch()
    await asyncio.sleep(WATCHED_S)
    await send_all(forwarders, "after", record)
    for machine in machines:
        await machine.stop_watching()


async def restart(forwarder, record):
    """Stop a machine as planned, and start it again."""
    record.write(f"machine {forwarder.ip} gets SIGTERM, and starts again")
    os.kill(forwarder.process.pid, signal.SIGTERM)
    try:
        await asyncio.wait_for(forwarder.process.wait(), GRACE_S)
    except TimeoutError:
        await forwarder.end()
    await forwarder.start()


run_script(play, FOLDER)
