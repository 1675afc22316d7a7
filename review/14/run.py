"""Clients send bodies within the limit, and forwarders exceed their memory."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback_3 import (  # noqa: E402
    HOST,
    READ_LIMIT_BYTES,
    SEAL,
    Forwarder,
    Runner,
    Store,
    build_configuration,
    encode_response,
    has_trouble,
    list_free_ports,
    read_head,
    run_script,
)

SERVICE = "daftari"
# Memory of an edge machine and clients of a zone with one such machine, site file.
MEMORY_MB = 150
N_CLIENTS = 20
N_WAVES = 3
# max_body_bytes of the configuration, and the largest body of the site's traffic.
LIMIT_BYTES = 4194304
USUAL_BYTES = 72000
WORK_S = 0.0225
# Time after which a process that ended is started again, seconds.
RESTART_S = 0.5
SAMPLE_INTERVAL_S = 0.002
# Fault: as many ends on as many machines.
MIN_ENDS, MIN_MACHINES = 3, 2

ROUTE = {
    "name": "reserve",
    "host": HOST,
    "prefix": "/reserve/",
    "kind": "unsafe",
    "timeout_ms": 5000,
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


class ReserveRunner(Runner):
    """A runner that works on each request for a moment."""

    async def run(self, writer, request_id, headers, body):
        self.record.write(f"{request_id} has a body of {len(body)} bytes")
        await asyncio.sleep(WORK_S)
        answer_headers = [
            ("X-Catkinfork-Request-Id", request_id),
            ("X-Catkinfork-Response-Seal", SEAL),
        ]
        writer.write(encode_response(200, b"done", answer_headers))


class Machine:
    """A machine that ends a process above its memory, and starts it again.

    ``n_ends`` is the number of times, and ``peak_mb`` the most memory seen.
    """

    def __init__(self, forwarder, record):
        self.forwarder = forwarder
        self.record = record
        self.n_ends = 0
        self.peak_mb = 0.0

    async def watch(self):
        """Watch the memory of the process until it is cancelled."""
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            used_mb = read_memory_mb(self.forwarder.process.pid)
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb <= MEMORY_MB:
                continue
            await self.forwarder.end()
            self.n_ends += 1
            self.record.write(
                f"machine {self.forwarder.ip} ends the process at {used_mb:.0f} MB"
            )
            await asyncio.sleep(RESTART_S)
            await self.forwarder.start()


def read_memory_mb(pid):
    """Return the resident memory of a process in MB."""
    n_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return n_pages * os.sysconf("SC_PAGE_SIZE") / 1e6


async def send(forwarder, request_id, n_bytes, record):
    """Send a request with a body, and record how it ends."""
    end = "closed connection"
    try:
        reader, writer = await asyncio.open_connection(
            forwarder.ip, forwarder.front_port, limit=READ_LIMIT_BYTES
        )
        lines = (
            "POST /reserve/2f HTTP/1.1",
            f"Host: {HOST}",
            f"X-Catkinfork-Request-Id: {request_id}",
            "X-Catkinfork-Deadline-Ms: 5000",
            f"Content-Length: {n_bytes}",
        )
        writer.write("\r\n".join([*lines, "", ""]).encode() + bytes(n_bytes))
        start_line, _ = await read_head(reader)
        end = start_line.split(" ")[1]
        writer.close()
    except (OSError, asyncio.IncompleteReadError):
        pass
    record.write(f"client of {forwarder.ip}: {request_id} ends with {end}")


async def play(record):
    """Play the case and return whether the rule was kept."""
    store = Store()
    await store.open("127.0.0.1", 0)
    store_port = store.server.sockets[0].getsockname()[1]
    await store.put("op/config", build_configuration(1, [ROUTE], SERVICES))
    for name in ("i-a", "i-b", "i-c", "i-d"):
        await ReserveRunner(store, record, name, SERVICE, 6).start("v1")
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
            machines = [Machine(forwarder, record) for forwarder in forwarders]
            watches = [asyncio.create_task(machine.watch()) for machine in machines]
            for wave in range(N_WAVES):
                await send_wave(wave, forwarders, record)
            for watch in watches:
                watch.cancel()
        finally:
            for forwarder in forwarders:
                await forwarder.end()
    for machine in machines:
        record.write(
            f"machine {machine.forwarder.ip}: {machine.n_ends} ends, at most "
            f"{machine.peak_mb:.0f} MB"
        )
    n_machines = sum(machine.n_ends >= MIN_ENDS for machine in machines)
    return n_machines < MIN_MACHINES


async def send_wave(wave, forwarders, record):
    """Let all clients send one request at once, once the machines are ready."""
    for forwarder in forwarders:
        await forwarder.wait_ready()
    await asyncio.sleep(1.0)
    n_bytes = LIMIT_BYTES if has_trouble() else USUAL_BYTES
    requests = [
        send(forwarder, f"reserve-{forwarder.ip}-{wave}-{number}", n_bytes, record)
        for forwarder in forwarders
        for number in range(N_CLIENTS)
    ]
    await asyncio.gather(*requests)
    await asyncio.sleep(2 * RESTART_S)


run_script(play, FOLDER)
