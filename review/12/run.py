"""Another writer stores large values, and a withdrawn key stays in force."""

import asyncio
import base64
import os
import sys
import tempfile
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from loopback_3 import (  # noqa: E402
    HOST,
    Forwarder,
    Link,
    Runner,
    Store,
    build_configuration,
    has_trouble,
    list_free_ports,
    read_head,
    run_script,
)

SERVICE = "depot"
KEPT_KEY, WITHDRAWN_KEY = "asnmgkcuyj8pjbvk9m68", "k7b2ex5wa5xwyhks8nbk"
# Rate of the store's link, 1,000 Mbit/s as that of each machine.
LINK_BYTES_PER_S = 125e6
# Values that another writer stores, their size, the largest that the store takes, and
# the time between two: that of one value on such a link.
N_VALUES = 60
VALUE_BYTES = 1048576
VALUE_INTERVAL_S = 0.012
# Bounds of the site file, seconds.
CONFIG_S = 2.0
CONTACT_S = 3.0
# Time for which requests are sent after the key was withdrawn, seconds.
WATCHED_S = 12.0

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
    "public": False,
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


async def send(forwarder, request_id, key, record):
    """Send a request with a key, and return the status of its answer."""
    reader, writer = await asyncio.open_connection(forwarder.ip, forwarder.front_port)
    lines = (
        "POST /order/2f HTTP/1.1",
        f"Host: {HOST}",
        f"X-Catkinfork-Request-Id: {request_id}",
        "X-Catkinfork-Deadline-Ms: 3000",
        f"Authorization: Bearer {key}",
        "Content-Length: 0",
    )
    writer.write("\r\n".join([*lines, "", ""]).encode())
    start_line, _ = await read_head(reader)
    writer.close()
    status = start_line.split(" ")[1]
    record.write(f"client of {forwarder.ip}: {request_id} ends with {status}")
    return status


async def play(record):
    """Play the case and return whether the rule was kept."""
    store = Store(Link(LINK_BYTES_PER_S))
    await store.open("127.0.0.1", 0)
    store_port = store.server.sockets[0].getsockname()[1]
    keys = [KEPT_KEY, WITHDRAWN_KEY]
    await store.put("op/config", build_configuration(1, [ROUTE], SERVICES, keys))
    runners = [Runner(store, record, name, SERVICE, 6) for name in ("i-a", "i-b")]
    for runner in runners:
        await runner.start("v1")
    ports = list_free_ports(4)
    with tempfile.TemporaryDirectory() as folder:
        ips = [f"127.0.0.{number}" for number in (2, 3, 4, 5)]
        seeds = [f"{ip}:{ports[2]}" for ip in ips[:3]]
        forwarders = [
            Forwarder(Path(folder), ip, ports, store_port, seeds) for ip in ips
        ]
        try:
            for forwarder in forwarders:
                await forwarder.start()
            for forwarder in forwarders:
                await forwarder.wait_ready()
            await asyncio.sleep(CONTACT_S)
            n_served = await withdraw_key(store, forwarders, record)
        finally:
            for forwarder in forwarders:
                await forwarder.end()
    record.write(f"{n_served} requests with the withdrawn key were served late")
    return n_served == 0


async def withdraw_key(store, forwarders, record):
    """Withdraw a key, and return the number of requests that are served with it late.

    Late is more than the time that a configuration may take.
    """
    for forwarder in forwarders:
        status = await send(forwarder, "before", WITHDRAWN_KEY, record)
        if status != "200":
            raise RuntimeError("the key is not in force before it is withdrawn")
    if has_trouble():
        value = base64.b64encode(os.urandom(VALUE_BYTES))
        for number in range(N_VALUES):
            store.put_encoded(f"servers/blob-{number}", value)
            await asyncio.sleep(VALUE_INTERVAL_S)
        record.write(f"another writer has stored {N_VALUES} values of 1 MiB")
    await asyncio.sleep(0.5)
    configuration = build_configuration(2, [ROUTE], SERVICES, [KEPT_KEY])
    await store.put("op/config", configuration)
    acknowledged_at = time.monotonic()
    record.write("the operator has withdrawn a key")
    n_served = 0
    number = 0
    while (elapsed_s := time.monotonic() - acknowledged_at) < WATCHED_S:
        for forwarder in forwarders:
            number += 1
            status = await send(forwarder, f"order-{number}", WITHDRAWN_KEY, record)
            if status == "200" and elapsed_s > CONFIG_S:
                n_served += 1
        await asyncio.sleep(0.25)
    return n_served


run_script(play, FOLDER)
