"""A request crashes runners soon after they begin it; its client leaves early."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import common
from common import CONTACT_S, TROUBLE, P, Runner, SoundCallers, call, run_case, send

BODY = b"an order that crashes each runner"
# Work on the request until the runner crashes; the kind of request takes 90 ms.
WORK_S = 0.25
# Clients that give up leave after half of the latency objective of 400 ms.
PATIENCE_S = 0.2
DOWN_S = 3.0
N_RETRIES = 12
# Clients that stay; the one that gives up is one in five.
N_SOUND_CALLERS = 4
MAX_RETRIES = 3


class PlainRunner(Runner):
    """A runner that crashes when it runs one request, and is back soon."""

    async def answer(self, method, target, headers, body, reader, writer):
        request_id = headers[f"{P}Request-Id".lower()]
        self.started.append(request_id)
        if body == BODY:
            self.fleet.arrivals.append((time.monotonic(), request_id))
            self.record.write(f"{self.name} begins to run {request_id}")
            await asyncio.sleep(WORK_S)
            if self.is_up:
                self.fleet.crashes.append(time.monotonic())
                self.end(f"crashed by {request_id}")
                asyncio.get_running_loop().create_task(self.return_later())
            return
        await asyncio.sleep(0.09)
        send(writer, 200, request_id, [f"{P}Response-Seal: s.{self.name}"], b"ok")

    async def return_later(self):
        await asyncio.sleep(DOWN_S)
        await self.start()


async def send_order(fleet, number, request_id, body=BODY):
    """Send a request as a client, which may leave early."""
    forwarder = fleet.forwarders[number % len(fleet.forwarders)]
    patience_s = PATIENCE_S if TROUBLE and body == BODY else 3.0
    headers = [f"{P}Deadline-Ms: 3000"]
    status, _, answer = await call(
        forwarder, "POST /order/2f", request_id, headers, body, patience_s
    )
    fleet.record.write(
        f"{request_id} to {forwarder.name}: {status or 'left'} {answer!r}"
    )
    return status


async def case(fleet):
    fleet.arrivals = []
    fleet.crashes = []
    route = {
        "name": "r-order",
        "host": common.HOST,
        "prefix": "/order/",
        "kind": "unsafe",
        "timeout_ms": 3000,
        "aim_ms": 400,
        "priority": 2,
        "service": "depot",
        "max_attempts": 1,
        "public": True,
    }
    service = common.build_plain_service("depot")
    fleet.store.put("op/config", common.build_configuration(7, [route], [service]))
    for number in range(6):
        runner = PlainRunner(fleet, f"i-depot-{number}", "depot")
        fleet.runners.append(runner)
        await runner.start()
    await fleet.start()
    await asyncio.sleep(CONTACT_S + 0.5)
    if await send_order(fleet, 0, "sound-0", b"sound") != 200:
        raise common.CannotRunError("a sound request is not served")
    sound = SoundCallers(fleet, "POST /order/2f", N_SOUND_CALLERS)
    for number in range(3):
        await send_order(fleet, number, f"first-{number}")
        await asyncio.sleep(1.0)
    if len(fleet.crashes) < 3:
        raise common.CannotRunError("fewer than three crashes")
    third_at = fleet.crashes[2]
    await asyncio.sleep(CONTACT_S + 0.2)
    for number in range(N_RETRIES):
        await send_order(fleet, number, f"again-{number}")
        await asyncio.sleep(1.0)
    sound.stop()
    late = [one for at, one in fleet.arrivals if at > third_at + CONTACT_S]
    fleet.record.write(
        f"retries that reached runners later than contact_ms after the third crash: "
        f"{len(late)} of {N_RETRIES}, at most {MAX_RETRIES}; "
        f"crashes {len(fleet.crashes)}"
    )
    return len(late) > MAX_RETRIES


run_case(Path(__file__).parent, 4, case)
