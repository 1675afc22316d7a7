"""Connections to the store go silent, and a runner that left gets requests for long."""

import asyncio
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback_3 import (  # noqa: E402
    HOST,
    Forwarder,
    Runner,
    Store,
    build_configuration,
    has_trouble,
    list_free_ports,
    read_head,
    run_script,
)

SERVICE = "depot"
N_FORWARDERS = 4
# Requests that each machine gets at once, and time for which a runner works on one.
N_AT_ONCE = 12
WORK_S = 0.09
# Bounds of the site file, seconds.
CONTACT_S = 3.0
DRAIN_S = 2.0
# Times after the silence of the connections, seconds: at which the entry is removed, at
# which the requests are sent, and at which the runner that left exits.
REMOVED_S = 0.2
SENT_S = 3.05
EXIT_S = 3.12
# Time from a call to the store to the silence of its connection, seconds.
CALL_AGE_S = 0.05

ROUTE = {
    "name": "order",
    "host": HOST,
    "prefix": "/order/",
    "kind": "unsafe",
    "timeout_ms": 1500,
    "aim_ms": 300,
    "priority": 2,
    "service": SERVICE,
    "max_attempts": 1,
    "public": True,
}
SERVICES = [
    {
        "name": SERVICE,
        "health_path": "/healthz",
        "max_connections": 96,
        "cold_s": 0.0,
        "cold_per_s": 0.0,
    }
]


class OrderRunner(Runner):
    """A runner that works on each request for a while, and notes when it came."""

    def __init__(self, store, record, name):
        super().__init__(store, record, name, SERVICE, 24)
        self.arrivals = []

    async def run(self, writer, request_id, headers, body):
        self.arrivals.append((request_id, time.monotonic()))
        await asyncio.sleep(WORK_S)
        await super().run(writer, request_id, headers, body)


class Clients:
    """Clients that send requests to all machines, each on a connection of its own.

    ``sent_at`` and ``ends`` have the time and the end of each request, by id.
    """

    def __init__(self, forwarders, record):
        self.forwarders = forwarders
        self.record = record
        self.sent_at = {}
        self.ends = {}

    async def send_at_once(self, name):
        """Send requests to all machines at the same moment.

        :param name: beginning of their ids.
        """
        requests = [
            self.send(forwarder, f"{name}-{forwarder.ip}-{number}")
            for forwarder in self.forwarders
            for number in range(N_AT_ONCE)
        ]
        await asyncio.gather(*requests)

    async def send(self, forwarder, request_id):
        """Send a request and record how it ends."""
        self.sent_at[request_id] = time.monotonic()
        end = "closed connection"
        try:
            reader, writer = await asyncio.open_connection(
                forwarder.ip, forwarder.front_port
            )
            lines = (
                "POST /order/2f HTTP/1.1",
                f"Host: {HOST}",
                f"X-Catkinfork-Request-Id: {request_id}",
                "X-Catkinfork-Deadline-Ms: 3000",
                "Content-Length: 0",
            )
            writer.write("\r\n".join([*lines, "", ""]).encode())
            start_line, _ = await read_head(reader)
            end = start_line.split(" ")[1]
            writer.close()
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.ends[request_id] = end
        self.record.write(f"client of {forwarder.ip}: {request_id} ends with {end}")


async def play(record):
    """Play the case and return whether the rule was kept."""
    store = Store()
    await store.open("127.0.0.1", 0)
    store_port = store.server.sockets[0].getsockname()[1]
    await store.put("op/config", build_configuration(1, [ROUTE], SERVICES))
    runners = [OrderRunner(store, record, name) for name in ("i-a", "i-b", "i-c")]
    for runner in runners:
        await runner.start("v1")
    ports = list_free_ports(4)
    with tempfile.TemporaryDirectory() as folder:
        ips = [f"127.0.0.{number + 2}" for number in range(N_FORWARDERS)]
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        forwarders = [
            Forwarder(Path(folder), ip, ports, store_port, seeds) for ip in ips
        ]
        try:
            for forwarder in forwarders:
                await forwarder.start()
            for forwarder in forwarders:
                await forwarder.wait_ready()
            await asyncio.sleep(CONTACT_S + 1.0)
            return await empty_runner(store, runners[-1], forwarders, record)
        finally:
            for forwarder in forwarders:
                await forwarder.end()


async def empty_runner(store, leaver, forwarders, record):
    """Empty a runner while no request comes, and return whether the rule was kept."""
    clients = Clients(forwarders, record)
    await clients.send_at_once("before")
    store.watch_arrived.clear()
    await store.watch_arrived.wait()
    await asyncio.sleep(CALL_AGE_S)
    silent_at = time.monotonic()
    if has_trouble():
        store.silence_connections()
        record.write("open connections to the store go silent, new ones work")
    await asyncio.sleep(REMOVED_S)
    await leaver.leave()
    left_at = time.monotonic()
    asyncio.get_running_loop().call_later(
        silent_at + EXIT_S - time.monotonic(), leaver.crash
    )
    await asyncio.sleep(silent_at + SENT_S - time.monotonic())
    await clients.send_at_once("order")
    bound = max(silent_at + CONTACT_S, left_at + DRAIN_S)
    late = [
        (request_id, arrived_at - left_at)
        for request_id, arrived_at in leaver.arrivals
        if clients.sent_at[request_id] > bound
    ]
    for request_id, delay_s in late:
        record.write(
            f"{request_id} reached runner {leaver.name} {delay_s:.3f} s after its "
            f"entry was removed, and ends with {clients.ends[request_id]}"
        )
    record.write(f"{len(late)} requests reached it from machines in touch")
    return not late


run_script(play, FOLDER)
