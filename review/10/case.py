"""All forwarders are killed at once while a client repeats a request that crashes."""

import asyncio
import time
from pathlib import Path

from loopback_2 import CONTACT_S, Fleet, Server, build_config, has_trouble, run_case

FOLDER = Path(__file__).resolve().parent
N_SERVERS = 5
N_HOSTS = 4
BAD_BODY = b"crash"
CRASH_S = 0.1
DOWN_S = 1.0
# The client sends the request at two machines at once, again and again.
N_AT_ONCE = 2
ROUND_S = 1.5
N_ROUNDS = 6
SOUND_PER_S = 40.0
# Retries later than contact_ms after the third crash that break no rule.
MAX_RETRIES = 3


class CrashingServer(Server):
    """A runner that one request crashes as it begins to run; it is back soon.

    ``crashes`` has the time and the id of each such request at any runner.
    """

    crashes = None

    async def answer(self, target, request_id, headers, body, writer):
        if body != BAD_BODY:
            await super().answer(target, request_id, headers, body, writer)
            return
        self.crashes.append((time.monotonic(), request_id))
        self.record.add(f"{self.name} runs {request_id}, which crashes it")
        await asyncio.sleep(CRASH_S)
        if self.is_up:
            self.crash()
            asyncio.ensure_future(self.come_back())

    async def come_back(self):
        """Start again under the same id and at the same address."""
        await asyncio.sleep(DOWN_S)
        self.born = int(time.time() * 1000)
        await self.open(self.address)
        self.start_beats()


async def send_sound(fleet, stop):
    """Send sound orders at a steady rate; return their statuses."""
    tasks = []
    while not stop.is_set():
        host = fleet.hosts[len(tasks) % N_HOSTS]
        body = f"order {len(tasks)}".encode()
        task = fleet.send(host, "/order/1", f"o{len(tasks):05d}", body=body)
        tasks.append(asyncio.ensure_future(task))
        await asyncio.sleep(1.0 / SOUND_PER_S)
    return await asyncio.gather(*tasks)


async def send_bad(fleet, phase):
    """Send the request that crashes, each time under new ids at two machines."""
    for number in range(N_ROUNDS):
        await asyncio.gather(
            *(
                fleet.send(
                    fleet.hosts[(number + one) % N_HOSTS],
                    "/order/9",
                    f"bad-{phase}-{number}-{one}",
                    body=BAD_BODY,
                )
                for one in range(N_AT_ONCE)
            )
        )
        await asyncio.sleep(ROUND_S)


async def kill_all(fleet):
    """Kill all forwarders at the same moment and start them again."""
    await asyncio.gather(*(host.kill() for host in fleet.hosts))
    for host in fleet.hosts:
        await host.start()
    for host in fleet.hosts:
        await host.wait_ready()


async def play(folder):
    """Return whether the request reached runners in more than three retries."""
    fleet = Fleet(folder, N_HOSTS)
    route = {"prefix": "/order/", "service": "depot"}
    fleet.store.put("op/config", build_config(1, [route], [{"name": "depot"}]))
    CrashingServer.crashes = []
    try:
        for number in range(N_SERVERS):
            await fleet.add_server(f"i-{number}", "depot", CrashingServer)
        await fleet.start_hosts()
        stop = asyncio.Event()
        sound = asyncio.ensure_future(send_sound(fleet, stop))
        await asyncio.sleep(1.0)
        await send_bad(fleet, "first")
        n_first = len(CrashingServer.crashes)
        if has_trouble():
            await kill_all(fleet)
        # Machines are in touch again after this time.
        await asyncio.sleep(CONTACT_S + 0.5)
        in_touch_at = time.monotonic()
        fleet.record.add("all machines are in touch")
        await send_bad(fleet, "second")
        stop.set()
        statuses = await sound
        third_at = CrashingServer.crashes[2][0]
        retries = [
            request_id
            for at, request_id in CrashingServer.crashes
            if at > third_at + CONTACT_S and fleet.sent[request_id] >= in_touch_at
        ]
        text = (
            f"{n_first} requests reached runners at first, {len(retries)} later than "
            f"contact_ms after the third crash; sound orders "
            f"{ {one: statuses.count(one) for one in sorted(set(statuses))} }"
        )
        fleet.record.add(text)
        print(text)
        return len(retries) > MAX_RETRIES
    finally:
        await fleet.close()


run_case(play, FOLDER)
