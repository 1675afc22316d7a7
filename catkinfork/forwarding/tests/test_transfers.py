"""Prefix transfers on the wire: the header, its retries, its log and its metrics."""

import anyio
import pytest

from catkinfork.balancing import LoadFigures
from catkinfork.forwarding import parse_part_name
from catkinfork.forwarding.tests.scripted import (
    answer,
    in_turn,
    reset,
    silence,
    stream,
)
from catkinfork.forwarding.tests.world import build_configuration, run_world
from catkinfork.topology import Engine, RouteTable, Service

HEADER = "x-transfer-source"
# A prompt with a shared part of 2,000 tokens.
PROMPT = ["X-Token-Counts: 3000,20", "X-Prompt-Parts: a1:2000,b2:1000"]
SHARED = {parse_part_name(b"a1"): 2000}
ENGINE = Engine(8, 100_000, 1000.0, 1e9)


async def start_engines(world, *scripts, min_speedup=10.0):
    """Start engines, of which the first has the shared part and is loaded."""
    settings = world.balancer.settings._replace(min_transfer_speedup=min_speedup)
    world.balancer.apply_settings(settings)
    services = {"plain": Service("plain"), "engine": Service("engine", engine=ENGINE)}
    configuration = build_configuration(version=2)._replace(services=services)
    world.server.apply_configuration(RouteTable(configuration))
    engines = await world.start("engine", *scripts)
    world.balancer.record_cached_parts(world.registry.backends["engine-0"], SHARED)
    state = world.balancer.pools["engine"].find("engine-0")
    state.load.set_peer_load("peer", LoadFigures(1, 12_000, 12_000))
    return engines


def test_first_attempt_names_the_source():
    """Guards against an engine that is not told where the shared part is."""

    async def test(world):
        holder, other = await start_engines(world, stream(1, 2), stream(1, 2))
        reply = await world.call("/draft/", headers=PROMPT)
        assert reply.is_whole
        (request,) = other.requests
        assert request.headers[HEADER] == holder.address
        (event,) = world.list_events("request_finished")
        assert event["transfer_source"] == "engine-0"
        assert event["n_transfer_tokens"] == 2000
        transfers = world.balancer.pools["engine"].transfers
        assert (transfers.n_transfers, transfers.n_tokens) == (1, 2000)
        assert (transfers.n_running, transfers.n_late_transfers) == (0, 0)

    run_world(test)


def test_retry_names_no_source():
    """Guards against a request that fails once more for the same transfer."""

    async def test(world):
        engines = await start_engines(
            world, stream(1, 2), in_turn(reset, stream(1, 2)), stream(1, 2)
        )
        reply = await world.call("/draft/", headers=PROMPT)
        assert reply.is_whole
        requests = [one for engine in engines for one in engine.requests]
        assert [HEADER in one.headers for one in engines[1].requests] == [True]
        assert sum(HEADER in one.headers for one in requests) == 1
        assert len(requests) == 2
        (attempt,) = world.list_events("attempt_ended")
        assert attempt["outcome"] == "broken"
        assert attempt["transfer_source"] == "engine-0"
        assert attempt["n_transfer_tokens"] == 2000
        (event,) = world.list_events("transfer_source_excluded")
        assert (event["cause"], event["pause_s"]) == ("broken", 0.5)

    run_world(test)


@pytest.mark.parametrize("min_speedup", [0.0, 10.0])
@pytest.mark.parametrize(
    ("service", "path"), [("plain", "/read/"), ("engine", "/chat/")]
)
def test_source_that_a_caller_names_is_dropped(service, path, min_speedup):
    """Guards against a caller that lets engines connect to any address."""

    async def test(world):
        script = answer() if service == "plain" else stream(1, 2)
        await start_engines(world, stream(1, 2), min_speedup=min_speedup)
        backend = world.backends[0]
        if service == "plain":
            (backend,) = await world.start("plain", script)
        await world.call(path, headers=["X-Transfer-Source: 203.0.113.9:80"])
        (request,) = backend.requests
        assert HEADER not in request.headers

    run_world(test)


def test_source_that_a_caller_names_is_replaced():
    """Guards against two sources in one request, of which the caller's may count."""

    async def test(world):
        holder, other = await start_engines(world, stream(1, 2), stream(1, 2))
        forged = "X-Transfer-Source: 203.0.113.9:80"
        await world.call("/draft/", headers=[forged, *PROMPT, forged])
        (request,) = other.requests
        assert request.headers[HEADER] == holder.address

    run_world(test)


def test_header_is_absent_while_transfers_are_off():
    """Guards against a header that engines without transfers do not know."""

    async def test(world):
        engines = await start_engines(
            world, stream(1, 2), stream(1, 2), min_speedup=0.0
        )
        await world.call("/draft/", headers=PROMPT)
        requests = [one for engine in engines for one in engine.requests]
        assert len(requests) == 1
        assert HEADER not in requests[0].headers
        (event,) = world.list_events("request_finished")
        assert (event["transfer_source"], event["n_transfer_tokens"]) == ("", 0)

    run_world(test)


def test_source_of_a_silent_attempt_is_excluded():
    """Guards against a source whose link is dead, and that nothing reports.

    The request may run once only, so that it waits until its deadline.
    """

    async def test(world):
        await start_engines(world, stream(1, 2), silence)
        caller = await world.connect()
        await caller.send("/chat/", headers=PROMPT)
        with anyio.fail_after(3.0):
            while not world.list_events("transfer_source_excluded"):
                await anyio.sleep(0.02)
        (event,) = world.list_events("transfer_source_excluded")
        assert (event["backend_server"], event["cause"]) == ("engine-0", "late")
        # 50 tokens/ms for each of two engines, and 0.25 s beside the prefill.
        assert event["allowed_s"] == pytest.approx(0.25 + 3000 / 50_000)
        assert event["attempt_s"] < 1.5
        caller.close()

    run_world(test)


def test_request_that_waits_for_a_connection_does_not_name_a_source_that_has_left():
    """Guards against a transfer from a server that leaves while a connection opens."""

    async def test(world):
        _, other = await start_engines(world, stream(1, 2), stream(1, 2))
        pool = world.server.get_pool(world.registry.backends["engine-1"])
        open_connection = pool.open

        async def open_late():
            world.balancer.mark_leaving(world.registry.backends["engine-0"])
            return await open_connection()

        pool.open = open_late
        reply = await world.call("/draft/", headers=PROMPT)
        assert reply.is_whole
        (request,) = other.requests
        assert HEADER not in request.headers
        assert world.balancer.pools["engine"].transfers.n_running == 0

    run_world(test)
