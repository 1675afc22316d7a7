"""Prefix transfers of a forwarder process, by the settings and the configuration."""

import asyncio
import signal

import pytest

from catkinfork.platform.tests.standins import (
    KEY,
    Platform,
    build_config,
    request,
    run_platform,
    wait_until,
)
from catkinfork.platform.tests.test_settings import write_balancing

pytestmark = pytest.mark.processes

FORGED = "203.0.113.9:80"


def build_transfer_config():
    """Build a configuration of engines whose links are much faster than they."""
    config = build_config(kind="safe")
    config["routes"][0] |= {"sticky": True, "timeout_ms": 9000, "aim_ms": 3000}
    figures = {"kv_bytes": 1000, "link_mbps": 8000}
    config["services"][0]["engine"] = {"slots": 6, "kv_capacity": 100_000} | figures
    return config


async def call(forwarder, parts, n_tokens):
    """Send a request with a prompt, and with a source that its caller names."""
    headers = [
        "X-Catkinfork-Request-Id: r1",
        f"Authorization: Bearer {KEY}",
        f"X-Catkinfork-Prefix-Hash: {parts}",
        f"X-Catkinfork-Token-Usage: {n_tokens},10",
        f"Kv-Fetch: {FORGED}",
    ]
    ip, port = forwarder.ip, forwarder.ports[0]
    status, body = await request(ip, port, "GET /read/", headers)
    assert status == 200
    return body.decode()


async def share(forwarder, runners, shared):
    """Let one engine read a part, load it, and send another request with the part.

    :returns: names of the engine that read it, and of the one that got that request.
    """
    for runner in runners.values():
        runner.delay_s = 0.0
    holder = await call(forwarder, f"{shared}1:2000,{shared}2:1000", 3000)
    for runner in runners.values():
        runner.delay_s = 0.5
    load = asyncio.ensure_future(call(forwarder, f"{shared}3:5000", 5000))
    n_requests = sum(len(one.requests) for one in runners.values())
    await wait_until(
        lambda: sum(len(one.requests) for one in runners.values()) > n_requests
    )
    other = await call(forwarder, f"{shared}1:2000,{shared}4:1000", 3000)
    assert await load == holder
    return holder, other


def test_process_names_the_source_until_the_setting_is_taken_away(tmp_path):
    """Guards against figures or a setting that do not reach the placement.

    It reads both, sends the header of the platform, and follows a reload.
    """

    async def test(platform: Platform):
        platform.store.put("op/config", build_transfer_config())
        runners = {name: await platform.add_runner(name) for name in ("i-1", "i-2")}
        (forwarder,) = await platform.create_forwarders()
        write_balancing(forwarder, ["min_transfer_speedup = 10"])
        await forwarder.start()
        await platform.wait_ready()
        holder, other = await share(forwarder, runners, "a")
        assert other != holder
        host, port = runners[holder].server.sockets[0].getsockname()
        sources = [
            headers.get("kv-fetch")
            for runner in runners.values()
            for _, headers in runner.requests
        ]
        assert sorted(sources, key=str) == [f"{host}:{port}", None, None]
        assert runners[other].requests[-1][1]["kv-fetch"] == f"{host}:{port}"
        _, body = await forwarder.get("/metrics", 3)
        assert b'catkinfork_transfers{service="ledger"} 1' in body
        assert b'catkinfork_transferred_tokens{service="ledger"} 2000' in body
        assert b'catkinfork_late_transfers{service="ledger"} 0' in body
        (switched,) = forwarder.list_events("transfers_switched")
        assert (switched["speedup"], switched["n_engines"]) == (2000.0, 2)

        write_balancing(forwarder, ["min_transfer_speedup = 0"])
        forwarder.signal(signal.SIGHUP)
        await wait_until(lambda: forwarder.list_events("settings_reloaded"))
        await share(forwarder, runners, "b")
        _, body = await forwarder.get("/metrics", 3)
        assert b'catkinfork_transfers{service="ledger"} 1' in body

    run_platform(test, tmp_path)
