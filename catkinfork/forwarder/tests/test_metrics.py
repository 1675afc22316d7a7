"""Metrics of a forwarder whose backend servers change between two scrapes."""

import asyncio
from types import SimpleNamespace

from catkinfork.balancing.tests.test_pauses import (
    SETTINGS,
    build_fleet,
    replay_slow_spells,
)
from catkinfork.forwarder._status import build_metrics_response
from catkinfork.forwarding._metrics import ForwarderMetrics


def build_process(balancer):
    """Return what the metrics read of a process."""
    return SimpleNamespace(
        balancer=balancer,
        compute_store_outage_s=lambda: 0.0,
        directory=SimpleNamespace(count_fresh=lambda now: 1),
        is_ready=lambda: True,
        log=SimpleNamespace(n_events={}),
        loop=SimpleNamespace(time=lambda: 1.0),
        server=SimpleNamespace(
            callers=(),
            exchanges=(),
            lag=SimpleNamespace(lag_s=0.0),
            metrics=ForwarderMetrics(),
            version=1,
        ),
        watcher=SimpleNamespace(n_reads=0),
    )


def scrape(process):
    """Return the lines of the metrics on long pauses."""

    async def read():
        return build_metrics_response(process).body.decode()

    lines = asyncio.run(read()).splitlines()
    return [one for one in lines if one.startswith("catkinfork_long_pause_excess{")]


def build_pausing_fleet():
    """Return a balancer with a backend server that pauses, and the time."""
    balancer = build_fleet()
    now = replay_slow_spells(balancer, [0.2] * 20 + [0.47] * 4, [0.1] * 24)
    balancer.list_candidates(balancer.pools["s"], now)
    return balancer, now


def test_metric_of_a_server_ends_with_its_pauses():
    """Guards against a server that looks slow for good after one slow period."""
    balancer, now = build_pausing_fleet()
    process = build_process(balancer)
    (line,) = scrape(process)
    assert 'backend_server="b0"' in line
    balancer.list_candidates(balancer.pools["s"], now + 60.0)
    assert scrape(process) == []


def test_metric_of_pauses_ends_with_the_setting():
    """Guards against pauses that are shown, but neither updated nor of any effect."""
    balancer, _ = build_pausing_fleet()
    process = build_process(balancer)
    assert len(scrape(process)) == 1
    balancer.apply_settings(SETTINGS)
    assert scrape(process) == []
