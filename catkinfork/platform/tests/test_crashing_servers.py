"""Requests that crash backend servers, over forwarder processes."""

import asyncio
import time
from typing import NamedTuple

import pytest

from catkinfork.platform.tests.crashing_standins import (
    CrashingEngine,
    CrashingLedger,
    add_servers,
    send,
)
from catkinfork.platform.tests.standins import build_config, run_platform
from catkinfork.platform.tests.stream_standins import (
    PATH,
    build_stream_config,
    wait_in_touch,
)

pytestmark = pytest.mark.processes

N_FORWARDERS = 4
# Bounds of the rules: time after which all hosts have to know, seconds, requests that
# may still reach servers then, and the share of sound requests that has to begin.
CONTACT_S = 3.0
MAX_LATE = 3
MIN_SHARE = 0.5


class Sent(NamedTuple):
    """A sound request.

    :param sent_at: monotonic time, seconds.
    :param has_begun: whether its caller has received an event.
    """

    sent_at: float
    has_begun: bool


class PromptCallers:
    """Callers whose prompts share a first part; some hold a part that crashes engines.

    Each request has a last part of its own and comes at the next forwarder.

    :param leave: whether callers of sound requests leave at the first event.

    ``sound`` has a :class:`Sent` for each request without the crashing part.
    """

    def __init__(self, platform, leave):
        self.platform = platform
        self.leave = leave
        self.tasks = []
        self.sound = []

    async def call(self, parts, number):
        """Send a request and return whether its stream has begun."""
        forwarder = self.platform.forwarders[number % N_FORWARDERS]
        parts = [*parts, f"{0xD0000 + len(self.tasks):x}:60"]
        headers = [
            "X-Catkinfork-Model-Id: m",
            f"X-Catkinfork-Token-Usage: {60 * len(parts)},100",
            f"X-Catkinfork-Prefix-Hash: {','.join(parts)}",
        ]
        name = f"{parts[-1]}-{number}"
        status, data = await send(
            forwarder,
            PATH,
            name,
            headers,
            name.encode(),
            leaves_at_event=self.leave,
        )
        return status == 200 and bool(data)

    async def call_sound(self, parts, number):
        """Send a sound request and record whether it has begun."""
        sent_at = time.monotonic()
        has_begun = await self.call(parts, number)
        self.sound.append(Sent(sent_at, has_begun))

    def start(self, coroutine):
        """Run a call beside the others."""
        self.tasks.append(asyncio.create_task(coroutine))

    async def send_sound(self, parts, n_requests, interval_s):
        """Send sound requests, one each interval."""
        for number in range(n_requests):
            self.start(self.call_sound(parts, number))
            await asyncio.sleep(interval_s)

    async def send_mixed(self, parts, crashing, duration_s, interval_s):
        """Send sound and crashing requests by turns, one each interval."""
        ends_at = time.monotonic() + duration_s
        number = 0
        while time.monotonic() < ends_at:
            self.start(self.call_sound(parts, number))
            await asyncio.sleep(interval_s)
            self.start(self.call(crashing, 3 * number + 1))
            await asyncio.sleep(interval_s)
            number += 1


def build_engine_config():
    """Build a configuration with a route of streams with prompts."""
    config = build_stream_config()
    config["routes"][0]["max_attempts"] = 2
    config["services"][0]["engine"] = {"slots": 64, "kv_capacity": 500_000}
    return config


@pytest.mark.parametrize(
    ("n_engines", "interval_s", "crashing", "leave"),
    [
        (5, 0.12, ["bb:60", "c0ffee:40"], False),
        (5, 0.12, ["c0ffee:40", "bb:60"], False),
        (3, 0.25, ["bb:60", "c0ffee:40"], False),
        (5, 0.12, ["bb:60", "c0ffee:40"], True),
    ],
    ids=["second_part", "first_part", "few_engines", "callers_leave"],
)
def test_sound_requests_beside_a_crashing_part_begin(
    tmp_path, n_engines, interval_s, crashing, leave
):
    """Guards against a first part that is refused with the crashing one (LOST, BUDGET).

    The first part is new, so that it only occurred beside the crashing one when all
    engines were down. Callers that leave at the first event see no end either.
    """

    async def test(platform):
        platform.store.put("op/config", build_engine_config())
        engines = await add_servers(platform, CrashingEngine, n_engines)
        await platform.add_forwarders(N_FORWARDERS)
        await platform.wait_ready()
        await wait_in_touch(platform)
        callers = PromptCallers(platform, leave)
        await callers.send_sound(["aa:60"], 20, 0.05)
        await asyncio.gather(*callers.tasks)
        assert all(one.has_begun for one in callers.sound)
        callers.sound.clear()
        duration_s = 2.5 * CONTACT_S + 44 * interval_s
        await callers.send_mixed(["bb:60"], crashing, duration_s, interval_s)
        await asyncio.gather(*callers.tasks)
        crashes = sorted(at for engine in engines for at in engine.crashed_at)
        assert crashes
        since = crashes[min(4, len(crashes) - 1)]
        arrived_at = [at for engine in engines for at in engine.arrived_at]
        assert sum(at > since + CONTACT_S for at in arrived_at) <= MAX_LATE
        late = [one for one in callers.sound if one.sent_at > since + 2 * CONTACT_S]
        assert len(late) >= 20
        assert sum(one.has_begun for one in late) >= MIN_SHARE * len(late)

    run_platform(test, tmp_path)


@pytest.mark.parametrize("n_crashes_at", [1, 3], ids=["one_host", "three_hosts"])
def test_request_whose_callers_leave_before_the_crash_is_refused(
    tmp_path, n_crashes_at
):
    """Guards against a crash that nobody counts, as the caller has left (BUDGET).

    Its caller leaves after 0.2 s and the server crashes after 0.25 s, again and again.
    Sound requests at the same servers are served.
    """

    async def test(platform):
        platform.store.put("op/config", build_config(prefixes=("/order/",)))
        servers = await add_servers(platform, CrashingLedger, 6)
        forwarders = await platform.add_forwarders(N_FORWARDERS)
        await platform.wait_ready()
        await wait_in_touch(platform)

        async def leave_early(number, request_id):
            forwarder = forwarders[number % N_FORWARDERS]
            return await send(
                forwarder, "/order/", request_id, (), b"crash", patience_s=0.2
            )

        for number in range(3):
            await leave_early(number % n_crashes_at, f"first-{number}")
            await asyncio.sleep(0.5)
        crashes = sorted(at for server in servers for at in server.crashed_at)
        assert len(crashes) == 3
        # All forwarders have to know by then; the counts are told at once.
        await asyncio.sleep(0.5)
        known_at = time.monotonic()
        for number in range(2 * N_FORWARDERS):
            status, _ = await leave_early(number, f"again-{number}")
            assert status == 503
            await asyncio.sleep(0.1)
        arrived_at = [at for server in servers for at in server.arrived_at]
        assert sum(at > known_at for at in arrived_at) == 0
        for number in range(N_FORWARDERS):
            status, _ = await send(
                forwarders[number], "/order/", f"sound-{number}", (), b"sound"
            )
            assert status == 200

    run_platform(test, tmp_path)
