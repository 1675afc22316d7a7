"""Forwarder processes whose settings file has values at or beyond a limit."""

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

WINDOWS = ("share_window_s", "repeat_window_s")


def write_balancing(forwarder, lines):
    """Write the settings of a forwarder with another section ``[balancing]``."""
    head, _, rest = forwarder.path.read_text().partition("[balancing]")
    log_section = rest[rest.index("[log]") :]
    forwarder.path.write_text("\n".join([head, "[balancing]", *lines, log_section]))


@pytest.mark.parametrize("name", WINDOWS)
def test_window_of_zero_is_reported_at_the_start(tmp_path, name):
    """Guards against a start that fails without saying which setting is at fault."""

    async def test(platform: Platform):
        (forwarder,) = await platform.create_forwarders()
        write_balancing(forwarder, [f"{name} = 0"])
        await forwarder.launch()
        assert await asyncio.wait_for(forwarder.process.wait(), 10.0) == 2
        fault = f"[balancing] {name}: '0' is not allowed, expected 0.01 to 86400"
        assert fault in forwarder.read_log()

    run_platform(test, tmp_path)


@pytest.mark.parametrize("name", WINDOWS)
def test_window_of_zero_is_not_applied_on_reload(tmp_path, name):
    """Guards against a reload that breaks a process with valid settings."""

    async def test(platform: Platform):
        platform.store.put("op/config", build_config())
        await platform.add_runner("i-1")
        (forwarder,) = await platform.add_forwarders()
        await platform.wait_ready()
        write_balancing(forwarder, [f"{name} = 0"])
        forwarder.signal(signal.SIGHUP)
        await wait_until(lambda: forwarder.list_events("settings_reloaded"))
        (reloaded,) = forwarder.list_events("settings_reloaded")
        assert (reloaded["n_faults"], reloaded["changed"]) == (1, "")
        assert name in reloaded["first_fault"]
        assert await forwarder.call() == (200, b"i-1")
        assert not forwarder.list_events("callback_failed")

    run_platform(test, tmp_path)


def test_process_serves_with_the_least_values(tmp_path):
    """Guards against allowed values that keep a process from serving."""

    async def test(platform: Platform):
        platform.store.put("op/config", build_config())
        await platform.add_runner("i-1")
        (forwarder,) = await platform.create_forwarders()
        windows = [f"{name} = 0.01" for name in WINDOWS]
        write_balancing(forwarder, [*windows, "repeat_ratio = 0", "n_repeat_slack = 0"])
        text = forwarder.path.read_text()
        forwarder.path.write_text(text.replace("grace_s = 4", "grace_s = 0"))
        await forwarder.start()
        await platform.wait_ready()
        for _ in range(10):
            assert await forwarder.call() == (200, b"i-1")
        forwarder.signal(signal.SIGTERM)
        assert await asyncio.wait_for(forwarder.process.wait(), 10.0) == 0
        assert not forwarder.list_events("callback_failed")

    run_platform(test, tmp_path)
