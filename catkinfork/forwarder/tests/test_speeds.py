"""Speeds of engines in the process: settings, lag, status and metrics."""

from types import SimpleNamespace

from catkinfork.balancing.tests.support import build_balancer, submit
from catkinfork.forwarder._process import ForwarderProcess, build_balancer_settings
from catkinfork.forwarder._status import list_backends, list_speed_gauges
from catkinfork.forwarding._lag import LagMonitor
from catkinfork.forwarding._metrics import ForwarderMetrics
from catkinfork.settings import BalancingSection


def build_process(balancer):
    """Return a process without I/O around a balancer."""
    lag = LagMonitor()
    return SimpleNamespace(
        balancer=balancer,
        topology=SimpleNamespace(registry=balancer.registry),
        server=SimpleNamespace(lag=lag, has_backlog=lambda: False),
    )


def test_window_is_off_unless_it_is_set():
    """Guards against a fleet that estimates speeds without the setting."""
    section = BalancingSection()
    forwarder = SimpleNamespace(data_centre="gasabo")
    settings = SimpleNamespace(forwarder=forwarder, balancing=section)
    assert build_balancer_settings(settings).speed_window_s == 0.0
    settings.balancing = section._replace(speed_window_s=4.0)
    assert build_balancer_settings(settings).speed_window_s == 4.0


def test_status_and_metrics_show_speeds():
    """Guards against a slow engine that operators cannot see."""
    balancer = build_balancer(n_backends=2, speed_window_s=4.0)
    process = build_process(balancer)
    balancer.pools["s"].find("b0")
    balancer.pools["s"].find("b1").speed = 0.4567
    entries = {one["name"]: one["speed"] for one in list_backends(process, 0.0)}
    assert entries == {"b0": 1.0, "b1": 0.457}
    gauges = {
        one[2]["backend_server"]: one[3] for one in list_speed_gauges(balancer.pools)
    }
    assert gauges == {"b0": 1.0, "b1": 0.4567}


def test_metric_of_a_removed_engine_ends():
    """Guards against series that grow with the names of former engines."""
    metrics = ForwarderMetrics()
    metrics.clear_gauge("backend_speed")
    for name in ("b0", "b1"):
        metrics.clear_gauge("backend_speed")
        metrics.set_gauge("backend_speed", "", {"backend_server": name}, 1.0)
    body = metrics.render(["text/plain"])[0].decode()
    assert 'backend_server="b1"' in body
    assert 'backend_server="b0"' not in body


def test_attempts_during_a_lag_of_the_event_loop_are_not_counted():
    """Guards against engines that look slow as the host has no processor time."""
    balancer = build_balancer(n_backends=1, speed_window_s=4.0)
    process = build_process(balancer)
    placement = submit(balancer, 1.0)
    ForwarderProcess.record_lag(process, 1.1, 1.3)
    balancer.record_event(placement, 1.4)
    totals = balancer.pools["s"].find("b0").speed_record.totals
    assert totals.n_attempts == 0
