"""Integration tests of forwarder processes: requests, changes and failures."""

import asyncio
import signal
import subprocess
import sys

import pytest

from catkinfork.platform.tests.standins import (
    KEY,
    ROOT,
    Platform,
    build_config,
    run_platform,
    wait_until,
)

pytestmark = pytest.mark.processes


async def start(platform, n_forwarders=1, delay_s=0.0):
    """Start a runner and forwarders, and wait until they are ready."""
    platform.store.put("op/config", build_config())
    runner = await platform.add_runner("i-1", delay_s)
    await platform.add_forwarders(n_forwarders)
    await platform.wait_ready()
    return runner


def test_request_is_forwarded(tmp_path):
    """Guards against requests that fail or carry wrong platform headers."""

    async def test(platform: Platform):
        runner = await start(platform)
        (forwarder,) = platform.forwarders
        assert await forwarder.call() == (200, b"i-1")
        assert (await forwarder.call(key="wrong"))[0] == 401
        assert (await forwarder.call(path="/none/"))[0] == 404
        ((_, headers),) = runner.requests
        assert headers["x-catkinfork-tenant-id"] == "a"
        assert headers["x-catkinfork-expect-instance"] == "i-1"
        assert int(headers["x-catkinfork-deadline-ms"]) <= 3000
        assert "authorization" not in headers

    run_platform(test, tmp_path)


def test_start_before_configuration(tmp_path):
    """Guards against a 404 or readiness before the first configuration."""

    async def test(platform):
        await platform.add_forwarders()
        (forwarder,) = platform.forwarders
        assert not await forwarder.is_ready()
        assert (await forwarder.call())[0] == 503
        platform.store.put("op/config", build_config())
        await platform.add_runner("i-1")
        await platform.wait_ready()
        assert await forwarder.call() == (200, b"i-1")

    run_platform(test, tmp_path)


def test_configuration_takes_effect_within_a_second(tmp_path):
    """Guards against late changes, revoked keys that still work, and older versions."""

    async def test(platform):
        await start(platform, n_forwarders=2)
        platform.store.put(
            "op/config", build_config(5, prefixes=("/new/",), keys=("other",))
        )
        for forwarder in platform.forwarders:

            async def is_served(forwarder=forwarder):
                return (await forwarder.call("/new/", key="other"))[0] == 200

            assert await wait_until(is_served) < 1.0
            assert (await forwarder.call("/new/", key=KEY))[0] == 401
        platform.store.put("op/config", build_config(4))
        platform.store.put("op/config", b"{broken")
        await asyncio.sleep(0.5)
        for forwarder in platform.forwarders:
            assert (await forwarder.call("/read/"))[0] == 404
            assert (await forwarder.call("/new/", key="other"))[0] == 200
            assert forwarder.list_events("configuration_rejected")

    run_platform(test, tmp_path)


@pytest.mark.parametrize("change", ["draining", "removed", "evacuated", "unreadable"])
def test_unavailable_runner_gets_no_new_requests(tmp_path, change):
    """Guards against requests to a runner that is out of service."""

    async def test(platform):
        first = await start(platform)
        second = await platform.add_runner("i-2")
        changed = second.build_entry(zone="kicukiro")
        platform.store.put("servers/i-2", changed)
        (forwarder,) = platform.forwarders
        await wait_until(lambda: len(forwarder.list_events("backend_added")) == 2)
        await asyncio.sleep(2.0)
        if change == "draining":
            platform.store.put("servers/i-1", first.build_entry("draining"))
        elif change == "removed":
            platform.store.put("servers/i-1", None)
        elif change == "evacuated":
            platform.store.put("op/evacuate/gasabo", {})
        else:
            platform.store.put("servers/i-1", first.build_entry(state="resting"))
        await asyncio.sleep(1.0)
        for _ in range(6):
            assert await forwarder.call() == (200, b"i-2")

    run_platform(test, tmp_path)


def test_requests_are_served_during_store_outage(tmp_path):
    """Guards against an outage of forwarders while the store is unavailable."""

    async def test(platform):
        await start(platform)
        (forwarder,) = platform.forwarders
        platform.store.refused_ports.add(forwarder.store_port)
        await wait_until(lambda: forwarder.list_events("source_lost"))
        assert await forwarder.call() == (200, b"i-1")
        platform.store.refused_ports.clear()
        await wait_until(lambda: forwarder.list_events("source_regained"))
        assert await forwarder.call() == (200, b"i-1")

    run_platform(test, tmp_path)


def test_forwarder_without_store_follows_peer(tmp_path):
    """Guards against a revoked key that a forwarder without the store accepts."""

    async def test(platform):
        await start(platform, n_forwarders=2)
        first, second = platform.forwarders
        platform.store.refused_ports.add(second.store_port)
        await wait_until(lambda: second.list_events("source_lost"))
        platform.store.put("op/config", build_config(9, keys=("other",)))

        async def is_refused():
            return (await second.call(key=KEY))[0] == 401

        assert await wait_until(is_refused) < 2.0
        await wait_until(lambda: len(second.list_events("configuration_adopted")) == 2)
        adopted = second.list_events("configuration_adopted")[-1]
        assert adopted["version"] == 9
        assert adopted["source"].startswith("peer")

    run_platform(test, tmp_path)


def test_restart_without_store_reads_state_from_peer(tmp_path):
    """Guards against a restarted process without state during a store outage."""

    async def test(platform):
        await start(platform, n_forwarders=2)
        second = platform.forwarders[1]
        second.signal(signal.SIGKILL)
        await second.process.wait()
        platform.store.refused_ports.add(second.store_port)
        second.output.write_text("")
        await second.start()
        await wait_until(second.is_ready)
        assert await second.call() == (200, b"i-1")

    run_platform(test, tmp_path)


def test_drain_completes_requests(tmp_path):
    """Guards against requests aborted by SIGTERM, and against a late exit."""

    async def test(platform):
        await start(platform, delay_s=0.4)
        (forwarder,) = platform.forwarders
        statuses = []

        async def keep_calling():
            while forwarder.process.returncode is None:
                try:
                    statuses.append((await forwarder.call())[0])
                except ConnectionRefusedError:
                    return

        tasks = [asyncio.create_task(keep_calling()) for _ in range(4)]
        await asyncio.sleep(0.6)
        forwarder.signal(signal.SIGTERM)
        await asyncio.sleep(0.2)
        assert not await forwarder.is_ready()
        assert await asyncio.wait_for(forwarder.process.wait(), 4.0) == 0
        await asyncio.gather(*tasks)
        assert len(statuses) > 8
        assert set(statuses) == {200}

    run_platform(test, tmp_path)


def test_valid_settings_are_reloaded(tmp_path):
    """Guards against a missed reload, and invalid settings that stop the process."""

    async def test(platform):
        await start(platform)
        (forwarder,) = platform.forwarders
        text = forwarder.path.read_text()
        forwarder.path.write_text(text.replace("seeds = ", "seeds = 127.0.0.9:1, "))
        forwarder.signal(signal.SIGHUP)
        await wait_until(lambda: forwarder.list_events("settings_reloaded"))
        assert forwarder.list_events("settings_reloaded")[0]["changed"] == "peers"
        forwarder.path.write_text("[nonsense]")
        await wait_until(lambda: len(forwarder.list_events("settings_reloaded")) == 2)
        assert forwarder.list_events("settings_reloaded")[1]["n_faults"] > 0
        assert await forwarder.call() == (200, b"i-1")

    run_platform(test, tmp_path)


def test_status_and_metrics(tmp_path):
    """Guards against missing status fields and metrics."""

    async def test(platform):
        await start(platform, n_forwarders=2)
        first = platform.forwarders[0]
        await first.call()
        status, body = await first.get("/status")
        assert status == 200
        assert b'"version":1' in body
        assert b"i-1" in body
        status, body = await first.get("/metrics", port_index=3)
        assert status == 200
        assert b"catkinfork_requests_total" in body
        assert b'catkinfork_attempts_ended_total{outcome="served"' in body
        assert b"catkinfork_request_seconds_bucket" in body
        assert b"catkinfork_configuration_version 1" in body

    run_platform(test, tmp_path)


def run_command(path):
    """Run a forwarder that fails to start, and return its result."""
    command = [sys.executable, "-m", "catkinfork", "forwarder", "--settings", str(path)]
    return subprocess.run(
        command, cwd=ROOT, capture_output=True, text=True, timeout=20, check=False
    )


def test_invalid_settings_prevent_start(tmp_path):
    """Guards against a process that starts with invalid settings."""
    path = tmp_path / "bad.ini"
    path.write_text("[forwarder]\nname = x\naddress = nowhere\n")
    result = run_command(path)
    assert result.returncode == 2
    assert "'nowhere' is not allowed" in result.stderr
    assert "[store] address" in result.stderr


def test_port_in_use_prevents_start(tmp_path):
    """Guards against a process that keeps running without its port."""

    async def test(platform):
        await start(platform)
        (forwarder,) = platform.forwarders
        result = await asyncio.to_thread(run_command, forwarder.path)
        assert result.returncode == 3
        assert "in use" in result.stderr

    run_platform(test, tmp_path)
