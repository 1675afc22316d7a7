"""Integration tests of forwarder processes that are stopped."""

import asyncio
import contextlib
import random
import signal
from pathlib import Path

import pytest

from catkinfork.platform.tests.finalized import FINALIZED
from catkinfork.platform.tests.standins import (
    Platform,
    build_config,
    catches,
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


def signal_if_running(forwarder, number):
    """Send a signal to a process unless it has ended."""
    with contextlib.suppress(ProcessLookupError):
        forwarder.signal(number)


def has_handlers(process):
    """Return whether a process has handlers for the signals that stop or reload it."""
    numbers = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
    return all(catches(process, number) for number in numbers)


def has_event_loop(process):
    """Return whether a process has imported the library of its event loop."""
    return "uvloop" in Path(f"/proc/{process.pid}/maps").read_text()


async def start_until_handlers(platform):
    """Start a forwarder up to the moment at which it has handlers for signals.

    In the interpreter's own start before, a signal has its default action.
    """
    (forwarder,) = await platform.create_forwarders()
    await forwarder.launch()
    while not has_handlers(forwarder.process):
        await asyncio.sleep(0.001)
    assert not has_event_loop(forwarder.process)
    return forwarder


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
@pytest.mark.parametrize("delay_s", [0.0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35, 0.5])
def test_signal_to_stop_during_the_start_is_a_planned_stop(tmp_path, number, delay_s):
    """Guards against a stop during the start that looks like a crash."""

    async def test(platform):
        forwarder = await start_until_handlers(platform)
        await asyncio.sleep(delay_s)
        for _ in range(5):
            signal_if_running(forwarder, number)
            await asyncio.sleep(0.002)
        assert await asyncio.wait_for(forwarder.process.wait(), 5.0) == 0

    run_platform(test, tmp_path)


def test_signals_to_reload_during_the_start_have_no_effect(tmp_path):
    """Guards against a process that a reload during its start ends."""

    async def test(platform):
        platform.store.put("op/config", build_config())
        await platform.add_runner("i-1")
        forwarder = await start_until_handlers(platform)
        while "forwarder_started" not in forwarder.read_log():
            forwarder.signal(signal.SIGHUP)
            await asyncio.sleep(0.005)
        await platform.wait_ready()
        assert await forwarder.call() == (200, b"i-1")
        assert forwarder.list_events("settings_reloaded")
        assert not forwarder.list_events("callback_failed")

    run_platform(test, tmp_path)


@pytest.mark.parametrize("seed", range(3))
def test_signals_without_pause_during_a_stop_have_no_effect(tmp_path, seed):
    """Guards against a signal that ends a process whose drain is over."""

    async def test(platform):
        forwarder = await start(platform, delay_s=0.0)
        forwarder.signal(signal.SIGTERM)
        rng = random.Random(seed)
        while forwarder.process.returncode is None:
            numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
            signal_if_running(forwarder, rng.choice(numbers))
            await asyncio.sleep(rng.random() * 0.002)
        assert forwarder.process.returncode == 0
        assert forwarder.list_events("forwarder_stopped")
        assert not forwarder.list_events("callback_failed")

    run_platform(test, tmp_path)


def test_process_ends_as_soon_as_its_drain_is_over(tmp_path):
    """Guards against a forced termination while the interpreter is finalized.

    On a busy host that takes longer than is left of the grace.
    """

    async def test(platform):
        platform.store.put("op/config", build_config())
        await platform.add_runner("i-1")
        (forwarder,) = await platform.create_forwarders()
        forwarder.module = "catkinfork.platform.tests.finalized"
        await forwarder.start()
        await platform.wait_ready()
        forwarder.signal(signal.SIGTERM)
        assert await asyncio.wait_for(forwarder.process.wait(), 5.0) == 0
        (stopped,) = forwarder.list_events("forwarder_stopped")
        assert stopped["n_requests_left"] == 0
        assert FINALIZED not in forwarder.read_log()

    run_platform(test, tmp_path)
