"""One part of a prompt crashes runners; sound requests share key and first part."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

import common
from common import CONTACT_S, TROUBLE, P, run_case
from streams import ModelRunner, Stream, build_configuration

CRASHING = "c0ffee"
OLD_FIRST = "aaaa01:100"
NEW_FIRST = "bbbb02:100"
N_RUNNERS = 5
DOWN_S = 3.0
PREFILL_S = 0.03
INTERVAL_S = 0.5
N_OUTSIDE = 30
LENGTH_S = 30.0


class CrashingRunner(ModelRunner):
    """A runner that crashes when it begins to write an answer on one part."""

    async def answer(self, method, target, headers, body, reader, writer):
        if CRASHING not in headers[f"{P}Prefix-Hash".lower()]:
            await super().answer(method, target, headers, body, reader, writer)
            return
        await asyncio.sleep(PREFILL_S)
        if not self.is_up:
            return
        request_id = headers[f"{P}Request-Id".lower()]
        self.fleet.crashes.append(time.monotonic())
        self.end(f"crashed by {request_id}")
        asyncio.get_running_loop().create_task(self.return_later())

    async def return_later(self):
        await asyncio.sleep(DOWN_S)
        await self.start()


class Request(Stream):
    """A first attempt of a client, with the time at which it was sent."""

    def __init__(self, fleet, name, parts, n_events=25):
        super().__init__(fleet, name, parts[-1], n_events)
        self.parts = parts
        self.sent_at = time.monotonic()

    @property
    def has_begun(self):
        return bool(self.events)


async def case(fleet):
    fleet.crashes = []
    fleet.store.put("op/config", build_configuration())
    for number in range(N_RUNNERS):
        runner = CrashingRunner(fleet, f"i-lm-{number}", "v1")
        fleet.runners.append(runner)
        await runner.start()
    await fleet.start()
    await asyncio.sleep(CONTACT_S + 0.5)
    outside, tasks = [], []

    def launch(name, parts, n_sent):
        one = Request(fleet, name, parts)
        tasks.append(asyncio.create_task(one.attempt(fleet.forwarders[n_sent % 4])))
        return one

    for number in range(N_OUTSIDE):
        outside.append(
            launch(f"before{number}", [OLD_FIRST, f"d{number:05x}:60"], number)
        )
        await asyncio.sleep(0.2)
    await asyncio.sleep(3.0)
    # The application of this key uses a new first part from now on. Every other request
    # holds the crashing part as well.
    sound = []
    started_at = time.monotonic()
    number = 0
    while time.monotonic() < started_at + LENGTH_S:
        parts = [NEW_FIRST, f"f{number:05x}:60"]
        sound.append(launch(f"sound{number}", parts, number))
        await asyncio.sleep(INTERVAL_S / 2)
        parts = [NEW_FIRST, f"{CRASHING}:40", f"e{number:05x}:60"]
        if TROUBLE:
            launch(f"bad{number}", parts, 3 * number + 1)
        await asyncio.sleep(INTERVAL_S / 2)
        number += 1
    await asyncio.gather(*tasks)
    crashes = fleet.crashes
    since = crashes[min(4, len(crashes) - 1)] if crashes else started_at
    late = [one for one in sound if one.sent_at > since + 2 * CONTACT_S]
    n_outside = sum(one.has_begun for one in outside)
    n_late = sum(one.has_begun for one in late)
    fleet.record.write(
        f"crashes {len(crashes)}; sound requests begun outside: {n_outside} of "
        f"{len(outside)}, later than 2 x contact_ms after the crash that counts: "
        f"{n_late} of {len(late)}"
    )
    if min(len(outside), len(late)) < 20:
        raise common.CannotRunError("too few requests")
    return n_late / len(late) < 0.5 * n_outside / len(outside)


run_case(Path(__file__).parent, 4, case)
