"""Waiting watches are cut while runners leave without a report."""

import asyncio
import time
from pathlib import Path

from loopback_2 import DRAIN_S, Fleet, build_config, has_trouble, run_case

FOLDER = Path(__file__).resolve().parent
N_SERVERS = 8
N_LEAVING = 2
REQUESTS_PER_S = 200.0
# Cuts of the waiting watches before the one at the removal, and the time between them.
N_CUTS = 2
CUT_INTERVAL_S = 0.35
# A runner that leaves serves on for drain_ms and a little longer, then exits.
EXTRA_S = 0.2
PAUSE_S = 4.0


async def send_load(fleet, stop):
    """Send requests at a steady rate to all forwarders; return their statuses."""
    tasks = []
    while not stop.is_set():
        host = fleet.hosts[len(tasks) % len(fleet.hosts)]
        task = fleet.send(host, "/order/1", f"r{len(tasks):06d}")
        tasks.append(asyncio.ensure_future(task))
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    return await asyncio.gather(*tasks)


async def cut_watches(fleet):
    """Cut the waiting watches."""
    fleet.record.add(f"{fleet.store.cut_watches()} waiting watches are cut")


async def leave(fleet, server):
    """Let a runner leave; return the delay of each request that reached it too late."""
    if has_trouble():
        for _ in range(N_CUTS):
            await cut_watches(fleet)
            await asyncio.sleep(CUT_INTERVAL_S)
    server.beats.cancel()
    fleet.store.put(f"servers/{server.name}", None)
    removed_at = time.monotonic()
    fleet.record.add(f"the entry of {server.name} is removed")
    if has_trouble():
        await cut_watches(fleet)
    await asyncio.sleep(DRAIN_S + EXTRA_S)
    server.crash()
    fleet.record.add(f"{server.name} has exited")
    late = []
    for at, request_id in server.arrivals:
        # Taken from the client after the time as well.
        if fleet.sent[request_id] - removed_at > DRAIN_S:
            late.append(at - removed_at)
            text = f"{request_id} reached {server.name} {late[-1]:.3f} s after that"
            fleet.record.add(text)
    return late


async def play(folder):
    """Return whether a request reached a runner too late."""
    fleet = Fleet(folder, n_hosts=4)
    route = {"prefix": "/order/", "service": "depot"}
    fleet.store.put("op/config", build_config(1, [route], [{"name": "depot"}]))
    try:
        for number in range(N_SERVERS):
            await fleet.add_server(f"i-{number}", "depot")
        await fleet.start_hosts()
        stop = asyncio.Event()
        load = asyncio.ensure_future(send_load(fleet, stop))
        await asyncio.sleep(PAUSE_S)
        late = []
        for server in fleet.servers[:N_LEAVING]:
            late += await leave(fleet, server)
            await asyncio.sleep(PAUSE_S)
        stop.set()
        statuses = await load
        text = f"{len(late)} requests reached runners more than {DRAIN_S} s after"
        text += f" the removal, the last {max(late, default=0):.3f} s"
        text += (
            f"; {len(statuses) - statuses.count(200)} of {len(statuses)} orders failed"
        )
        fleet.record.add(text)
        print(text)
        return bool(late)
    finally:
        await fleet.close()


run_case(play, FOLDER)
