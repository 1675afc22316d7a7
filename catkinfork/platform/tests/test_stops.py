"""Integration tests of forwarder processes that are stopped."""

import asyncio
import signal

import pytest

from catkinfork.platform.tests.standins import (
    Platform,
    build_config,
    run_platform,
    wait_until,
)

pytestmark = pytest.mark.processes


async def start(platform, delay_s):
    """Start a runner and a forwarder, and return the forwarder once it is ready."""
    platform.store.put("op/config", build_config())
    await platform.add_runner("i-1", delay_s)
    (forwarder,) = await platform.add_forwarders()
    await platform.wait_ready()
    return forwarder


def test_request_that_outlasts_the_grace_gets_an_answer(tmp_path):
    """Guards against a process that exits without answering what it has passed on.

    The grace of the stand-in is 4 s and the request takes 10 s; its caller and its
    route allow for it.
    """

    async def test(platform: Platform):
        forwarder = await start(platform, delay_s=10.0)
        config = build_config(2)
        config["routes"][0]["timeout_ms"] = 20_000
        platform.store.put("op/config", config)
        await wait_until(
            lambda: len(forwarder.list_events("configuration_adopted")) == 2
        )
        (runner,) = platform.runners
        call = asyncio.create_task(forwarder.call(deadline_ms=20_000))
        await wait_until(lambda: runner.requests)
        forwarder.signal(signal.SIGTERM)
        status, body = await call
        assert (status, body) == (502, b'{"error":"draining"}')
        assert await asyncio.wait_for(forwarder.process.wait(), 5.0) == 0

    run_platform(test, tmp_path)


@pytest.mark.parametrize("second", [signal.SIGTERM, signal.SIGINT, signal.SIGHUP])
def test_second_signal_does_not_cut_requests(tmp_path, second):
    """Guards against a signal in a planned stop that ends the process at once."""

    async def test(platform):
        forwarder = await start(platform, delay_s=1.0)
        (runner,) = platform.runners
        call = asyncio.create_task(forwarder.call())
        await wait_until(lambda: runner.requests)
        forwarder.signal(signal.SIGTERM)
        await wait_until(lambda: forwarder.list_events("forwarder_draining"))
        forwarder.signal(second)
        assert await call == (200, b"i-1")
        assert await asyncio.wait_for(forwarder.process.wait(), 5.0) == 0
        (stopped,) = forwarder.list_events("forwarder_stopped")
        assert stopped["n_requests_left"] == 0

    run_platform(test, tmp_path)
