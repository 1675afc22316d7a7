"""Readiness, status and metrics responses of a forwarder."""

import time

import msgspec

from catkinfork.forwarding import AdminResponse

JSON = b"application/json"


def build_readiness_response(process):
    """Return the response to a readiness check of the load balancer."""
    if process.is_ready():
        return AdminResponse(200, JSON, b'{"ready":true}')
    return AdminResponse(503, JSON, b'{"ready":false}')


def build_status_response(process):
    """Return the state of the process, its peers and its backend servers as JSON."""
    now = process.loop.time()
    state = process.topology
    status = {
        "name": process.settings.forwarder.name,
        "incarnation": process.incarnation,
        "is_ready": process.is_ready(),
        "version": process.server.version,
        "era": state.era,
        "revision": state.revision,
        "store_failing_s": process.compute_store_outage_s(),
        "n_requests": len(process.server.exchanges),
        "peers": [
            {
                "address": peer.address,
                "is_fresh": peer.is_fresh,
                "silent_s": round(now - peer.heard_at, 3) if peer.heard_at else None,
                "version": peer.version,
                "era": peer.era,
                "revision": peer.revision,
                "is_leaving": peer.is_leaving,
            }
            for peer in process.directory.peers.values()
        ],
        "backend_servers": list_backends(process, now),
        "evacuated": sorted(state.registry.evacuated),
    }
    return AdminResponse(200, JSON, msgspec.json.encode(status))


def list_backends(process, now):
    """Return the status entry of each backend server."""
    backends = []
    for backend in process.topology.registry.backends.values():
        pool = process.balancer.pools.get(backend.service)
        if pool is None:
            continue
        state = pool.find(backend.name)
        limit = process.topology.registry.rate_limits.find(backend.entry)
        backends.append(
            {
                "name": backend.name,
                "service": backend.service,
                "version": backend.entry.version,
                "address": backend.entry.address,
                "data_centre": backend.data_centre,
                "is_ready": backend.is_ready,
                "is_left_out": state.health.is_ejected(now),
                "is_leaving": backend.is_leaving,
                "is_throttled": backend.is_throttled(now),
                "limit_per_s": None if limit is None or limit.is_lifted else limit.rate,
                "failure_rate": round(state.health.failure_rate, 3),
                "speed": round(state.speed, 3),
                "n_in_flight": state.load.n_in_flight,
                "n_all_in_flight": state.load.n_all_in_flight,
                "n_all_pending_tokens": state.load.n_all_pending_tokens,
            }
        )
    return backends


def build_metrics_response(process):
    """Return the metrics in the Prometheus text format."""
    metrics = process.server.metrics
    for name in ("backend_speed", "long_pause_excess"):
        metrics.clear_gauge(name)
    for name, text, labels, value in list_gauges(process):
        metrics.set_gauge(name, text, labels, value)
    body, headers = metrics.render(["text/plain"])
    content_type = dict(headers).get("Content-Type", "text/plain")
    return AdminResponse(200, content_type.encode(), body)


def list_transfer_gauges(transfers, labels):
    """Yield the gauges of the transfers of a service.

    :param transfers: :class:`ServiceTransfers`.
    """
    yield (
        "transfers",
        "Requests sent with a source of cached prompt tokens since the start",
        labels,
        transfers.n_transfers,
    )
    yield (
        "transferred_tokens",
        "Tokens of transfers whose first event was on time since the start",
        labels,
        transfers.n_tokens,
    )
    yield (
        "late_transfers",
        "Transfers whose first event was late, or that broke off, since the start",
        labels,
        transfers.n_late_transfers,
    )


def list_gauges(process):
    """Yield ``(name, help, labels, value)`` of each gauge."""
    server = process.server
    yield "requests_open", "Requests in progress", {}, len(server.exchanges)
    yield "callers_open", "Open connections of callers", {}, len(server.callers)
    yield (
        "configuration_version",
        "Version of the configuration in force",
        {},
        server.version,
    )
    yield (
        "store_failing_seconds",
        "Time since the store stopped answering, 0 if it answers",
        {},
        process.compute_store_outage_s(),
    )
    yield (
        "store_reads",
        "Calls to the store since the start",
        {},
        process.watcher.n_reads,
    )
    yield "loop_lag_seconds", "Delay of the event loop", {}, server.lag.lag_s
    yield "ready", "Whether the process takes connections", {}, int(process.is_ready())
    yield (
        "processor_seconds",
        "Processor time since the start",
        {},
        time.process_time(),
    )
    now = process.loop.time()
    yield (
        "peers_fresh",
        "Forwarders whose load is counted, this one included",
        {},
        process.directory.count_fresh(now),
    )
    for name, pool in process.balancer.pools.items():
        labels = {"service": name}
        yield "waiting", "Requests that wait for room", labels, pool.queue.n_jobs
        for backend, state in pool.states.items():
            if pool.weighs_pauses and state.pauses.excess:
                yield (
                    "long_pause_excess",
                    "Rate of too long pauses per event, beyond that of the service",
                    {"service": name, "backend_server": backend},
                    state.pauses.excess,
                )
        yield (
            "repeats_sent",
            "Attempts after the first since the start",
            labels,
            pool.retry_budget.n_retries,
        )
        if pool.service.engine is not None:
            yield from list_transfer_gauges(pool.transfers, labels)
        for gauge, text, value in pool.queue.order.list_gauges(pool.queue, now):
            yield gauge, text, labels, value
        if process.balancer.settings.spread_choice:
            yield from list_evenness_gauges(pool.evenness, labels)
    yield from list_speed_gauges(process.balancer.pools)
    for number, count in sorted(process.log.n_events.items()):
        yield (
            "events",
            "Log events since the start, by number",
            {"event": str(number)},
            count,
        )


def list_evenness_gauges(monitor, labels):
    """Yield the gauges of the evenness of load, as :func:`list_gauges` does.

    :param monitor: :class:`EvennessMonitor`.
    """
    yield (
        "load_imbalance",
        "Largest load of a server as a multiple of the mean in the latest report",
        labels,
        monitor.imbalance,
    )
    yield (
        "placements_drawn",
        "Attempts drawn among several equal offers since the start",
        labels,
        monitor.n_drawn,
    )


def list_speed_gauges(pools):
    """Yield ``(name, help, labels, value)`` for the speed of each backend server.

    :param pools: :class:`ServicePool` by name of the service.
    """
    for service, pool in pools.items():
        for name, state in pool.states.items():
            yield (
                "backend_speed",
                "Speed of a backend server relative to its service, 1 if unknown",
                {"service": service, "backend_server": name},
                state.speed,
            )
