"""What forwarder processes know after all of them were restarted in turn."""

import asyncio
import signal

import pytest

from catkinfork.platform.tests.standins import (
    Platform,
    Runner,
    build_config,
    read_head,
    run_platform,
    wait_until,
)
from catkinfork.platform.tests.stream_standins import (
    N_EVENTS,
    N_FIRST_EVENTS,
    OTHER_PROMPT,
    PROMPT,
    add_stream_runner,
    break_off,
    build_stream_config,
    kill,
    list_events,
    read_status,
    restart,
    resume,
    stop,
    wait_in_touch,
)

pytestmark = pytest.mark.processes

# Streams of each version.
N_STREAMS = 6
# A prompt of each version, so that placement prefers no engine for what it has read.
PROMPTS = {"v1": PROMPT, "v2": OTHER_PROMPT}


class Streams:
    """Forwarders, and streams that began at runners of two versions.

    Both runners keep the last parts of the prompts, so that their lists do not tell
    where a stream began.

    :param platform: :class:`Platform`.
    """

    def __init__(self, platform):
        self.platform = platform
        self.begun = {}

    async def start(self, n_forwarders):
        """Start the forwarders, and begin and break off the streams at all of them."""
        platform = self.platform
        platform.store.put("op/config", build_stream_config())
        older = await add_stream_runner(platform, "i-1", "v1", "kicukiro")
        await platform.add_forwarders(n_forwarders)
        await wait_in_touch(platform)
        await self.begin("v1")
        # The forwarders are in this data centre and prefer it.
        newer = await add_stream_runner(platform, "i-2", "v2", "gasabo")
        await self.begin("v2")
        for runner in (older, newer):
            runner.lists_kept = True
            runner.kept |= {"b2": 110, "d4": 110}

    async def begin(self, version):
        """Begin streams at all forwarders until enough are at the runner of a version.

        Some may go to another one, as requests in flight are told with a delay.
        """
        forwarders = self.platform.forwarders
        while self.count_begun(version) < N_STREAMS:
            request_id = f"r-{version}-{len(self.begun)}"
            forwarder = forwarders[len(self.begun) % len(forwarders)]
            events = await break_off(forwarder, request_id, PROMPTS[version])
            self.begun[request_id] = events[0][1]
            assert events == list_events(events[0][1], 1, N_FIRST_EVENTS)
            assert len(self.begun) < 10 * N_STREAMS

    def count_begun(self, version):
        """Return the number of streams that began at a version."""
        return list(self.begun.values()).count(version)

    async def check_all_go_on(self, forwarders=None):
        """Check that all streams go on at their version, at another forwarder each.

        :param forwarders: those that are asked in turn; all of them by default.
        """
        forwarders = forwarders or self.platform.forwarders
        for number, (request_id, version) in enumerate(self.begun.items()):
            forwarder = forwarders[(number + 1) % len(forwarders)]
            rest = list_events(version, N_FIRST_EVENTS + 1, N_EVENTS)
            prompt = PROMPTS[request_id.split("-")[1]]
            result = await resume(forwarder, request_id, prompt)
            assert result == (200, rest)


async def restart_planned(*forwarders):
    """Stop forwarders with SIGTERM, start them and wait until they are ready."""
    await asyncio.gather(*[stop(forwarder) for forwarder in forwarders])
    await asyncio.gather(*[restart(forwarder) for forwarder in forwarders])
    for forwarder in forwarders:
        await wait_until(forwarder.is_ready)


def run_streams(n_forwarders, test, folder, grace_s=Platform.grace_s):
    """Run a coroutine function that takes streams and the forwarders."""

    async def main(platform):
        platform.grace_s = grace_s
        streams = Streams(platform)
        await streams.start(n_forwarders)
        await test(streams, platform.forwarders)

    run_platform(main, folder)


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 0, 1)], ids=str)
def test_streams_go_on_after_a_restart_in_turn(tmp_path, order):
    """Guards against streams that are refused, or joined, after planned work."""

    async def test(streams, forwarders):
        for number in order:
            await restart_planned(forwarders[number])
        await streams.check_all_go_on()

    run_streams(3, test, tmp_path)


def test_streams_go_on_after_restarts_of_two_hosts_at_once(tmp_path):
    """Guards against two forwarders that start at once and learn nothing."""

    async def test(streams, forwarders):
        await restart_planned(*forwarders[:2])
        await restart_planned(*forwarders[2:])
        await streams.check_all_go_on()

    run_streams(4, test, tmp_path)


def test_restarts_that_overlap_leave_no_stream_unknown(tmp_path):
    """Guards against knowledge that is lost as each host stops while another starts.

    The next one is told to stop before the one before is ready.
    """

    async def test(streams, forwarders):
        tasks = []
        for forwarder in forwarders:
            tasks.append(asyncio.create_task(restart_planned(forwarder)))
            await asyncio.sleep(0.7)
        await asyncio.gather(*tasks)
        await streams.check_all_go_on()

    run_streams(4, test, tmp_path)


def test_forwarder_is_ready_once_it_has_asked(tmp_path):
    """Guards against a forwarder that takes work before it knows what peers know."""

    async def test(streams, forwarders):
        await restart_planned(forwarders[0])
        await wait_until(lambda: forwarders[0].list_events("forwarder_joined"))
        (joined,) = forwarders[0].list_events("forwarder_joined")
        assert joined["n_answers"] == len(forwarders) - 1
        assert joined["n_streams"] == len(streams.begun)
        assert joined["waited_s"] < 1.0
        assert (await read_status(forwarders[0]))["is_ready"]

    run_streams(3, test, tmp_path)


# Time from SIGTERM to the forced termination, and from the end of a process until it is
# started again, seconds: as long as a slow host takes to start.
GRACE_S = 8
START_DELAY_S = 2.0
STOP_INTERVAL_S = 0.2


async def restart_slowly(forwarder):
    """Stop a forwarder with SIGTERM, and start it as a slow host would."""
    await stop(forwarder)
    await asyncio.sleep(START_DELAY_S)
    await restart(forwarder)
    await wait_until(forwarder.is_ready)


async def restart_all_slowly(forwarders):
    """Restart forwarders in turn, so that none serves for a moment."""
    tasks = []
    for forwarder in forwarders:
        tasks.append(asyncio.create_task(restart_slowly(forwarder)))
        await asyncio.sleep(STOP_INTERVAL_S)
    await asyncio.gather(*tasks)


@pytest.mark.parametrize("order", [(0, 1, 2), (2, 1, 0)], ids=str)
def test_streams_go_on_if_hosts_start_slowly(tmp_path, order):
    """Guards against streams that are lost as all hosts are stopped before one is back.

    It is planned work alone: the last one to stop has to wait for one that starts.
    """

    async def test(streams, forwarders):
        await restart_all_slowly([forwarders[number] for number in order])
        await streams.check_all_go_on()

    run_streams(3, test, tmp_path, GRACE_S)


def test_streams_are_not_joined_if_hosts_start_slowly(tmp_path):
    """Guards against streams that go on at another version than the one that left.

    The last server of the version leaves while the hosts restart (ORDER).
    """

    async def test(streams, forwarders):
        restarts = asyncio.create_task(restart_all_slowly(forwarders))
        await wait_until(lambda: forwarders[0].process.returncode is not None)
        streams.platform.store.put("servers/i-2", None)
        await restarts
        for number, (request_id, version) in enumerate(streams.begun.items()):
            forwarder = forwarders[number % len(forwarders)]
            prompt = PROMPTS[request_id.split("-")[1]]
            status, _ = await resume(forwarder, request_id, prompt)
            assert status == (200 if version == "v1" else 503)

    run_streams(3, test, tmp_path, GRACE_S)


class CrashingRunner(Runner):
    """A runner whose connection is lost for each request."""

    async def serve(self, reader, writer):
        self.requests.append(await read_head(reader))


N_CRASHING_RUNNERS = 5
MAX_CRASHES = 3


@pytest.mark.parametrize("n_at_once", [1, 2])
def test_crashing_request_is_refused_after_a_restart_in_turn(tmp_path, n_at_once):
    """Guards against a request that crashes runners anew after planned work."""

    async def test(platform):
        platform.store.put("op/config", build_config())
        for number in range(N_CRASHING_RUNNERS):
            runner = CrashingRunner(f"i-{number}")
            await runner.open()
            platform.runners.append(runner)
            platform.store.put(f"servers/{runner.name}", runner.build_entry())
        forwarders = await platform.add_forwarders(4)
        await wait_in_touch(platform)

        def count_arrived():
            return sum(len(runner.requests) for runner in platform.runners)

        for number in range(MAX_CRASHES):
            status, _ = await forwarders[number].call("/read/crash", request_id="r1")
            assert status == 502
            await asyncio.sleep(0.3)
        assert count_arrived() == MAX_CRASHES
        for start in range(0, len(forwarders), n_at_once):
            some = forwarders[start : start + n_at_once]
            await restart_planned(*some)
            for forwarder in some:
                status, _ = await forwarder.call("/read/crash", request_id="r2")
                assert status == 503
        assert count_arrived() == MAX_CRASHES
        assert (await forwarders[0].call("/read/other"))[0] == 502
        assert count_arrived() == MAX_CRASHES + 1

    run_platform(test, tmp_path)


def test_streams_go_on_at_a_host_that_was_ready_before_it_heard_a_peer(tmp_path):
    """Guards against a host that starts while nobody is heard, and never asks.

    The only peer that runs stands still meanwhile, and ends before anybody can ask it
    for a single stream.
    """

    async def test(streams, forwarders):
        *others, known, late = forwarders
        await asyncio.gather(*[stop(one) for one in (*others, late)])
        known.signal(signal.SIGSTOP)
        await restart(late)
        await wait_until(lambda: late.list_events("forwarder_joined"))
        (joined,) = late.list_events("forwarder_joined")
        assert joined["n_asked"] == 0
        known.signal(signal.SIGCONT)
        await wait_until(lambda: late.list_events("forwarder_informed"))
        await kill(known)
        await streams.check_all_go_on([late])

    run_streams(4, test, tmp_path)
