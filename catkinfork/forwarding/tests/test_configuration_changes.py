"""Requests in progress while the configuration changes."""

import random
import time

import anyio
import pytest

from catkinfork.forwarding.tests.scripted import answer, stream
from catkinfork.forwarding.tests.world import (
    KEY,
    PROMPT,
    ROUTES,
    Reply,
    build_configuration,
    collect_errors,
    run_world,
)
from catkinfork.topology import (
    DRAINING,
    CallerLimits,
    Engine,
    RouteTable,
    Service,
    TrafficShare,
    Workspace,
)

N_CALLERS = 12
N_CHANGES = 25


def draw_service(rng, name):
    """Draw a definition of a service; it may change its kind."""
    engine = Engine(rng.choice([1, 4, 8]), rng.choice([1, 500, 100_000]))
    return Service(
        name,
        max_connections=rng.choice([1, 2, 64]),
        cold_s=rng.choice([0.0, 1.0]),
        cold_rate=rng.choice([0.0, 0.5, 50.0]),
        engine=rng.choice([engine, None]),
    )


def draw_route(rng, route):
    """Draw a change of a route."""
    weights = [rng.choice([0.0, 0.2, 1.0, 5.0]) for _ in range(2)]
    targets = tuple(map(TrafficShare, ["plain", "engine"], weights))
    return route._replace(
        timeout_s=rng.choice([0.05, 0.3, 2.0]),
        latency_target_s=rng.choice([0.0, 0.1, 1.0]),
        max_attempts=rng.choice([1, 2, 5]),
        targets=rng.choice([targets, targets[:1], targets[1:], route.targets]),
        has_prompt=rng.choice([True, False]),
        max_event_gap_s=rng.choice([0.0, 0.25]),
    )


def draw_configuration(rng, version):
    """Draw a configuration that differs from the one before in many ways."""
    routes = [draw_route(rng, route) for route in ROUTES if rng.random() < 0.9]
    limits = CallerLimits(
        rng.choice([200, 4096]),
        rng.choice([2, 10_000]),
        rng.choice([0.05, 3.0]),
        rng.choice([0.05, 3.0]),
        rng.choice([0.0, 1.0, 100_000.0]),
    )
    names = [name for name in ("plain", "engine") if rng.random() < 0.9]
    return build_configuration()._replace(
        version=version,
        routes=tuple(routes),
        services={name: draw_service(rng, name) for name in names},
        limits=limits,
        workspaces=rng.choice([(), (Workspace("a", (KEY,)),), (Workspace("b", ()),)]),
    )


@pytest.mark.parametrize("seed", range(3))
def test_every_request_is_answered_while_the_configuration_changes(seed):
    """Guards against requests that end without a response beside a change.

    Callers send one request after the other on kept connections while services change
    their kind, routes their target, and limits shrink. A response may be an error, and
    a connection may close between two requests, if nothing of a request was read.
    """

    async def test(world):
        rng = random.Random(seed)
        await world.start("plain", *[answer(delay_s=0.02)] * 2)
        await world.start("engine", *[stream(1, 3, gap_s=0.01)] * 2)
        is_over = False
        statuses = []
        unanswered = []

        async def keep_calling(number):
            caller = None
            while not is_over:
                is_new = caller is None
                if is_new:
                    caller = await world.connect()
                path = f"/{rng.choice(ROUTES).name}/"
                try:
                    await caller.send(path, headers=PROMPT)
                    reply = await caller.read()
                except ConnectionError:
                    reply = Reply(0, {}, b"", False)
                statuses.append(reply.status)
                if not reply.status and is_new:
                    unanswered.append((number, path))
                is_closing = reply.headers.get("connection") == "close"
                if not reply.is_whole or is_closing or rng.random() < 0.2:
                    caller.close()
                    caller = None
                await anyio.sleep(rng.choice([0.0, 0.01, 0.1]))

        errors = collect_errors(world)
        async with anyio.create_task_group() as tasks:
            for number in range(N_CALLERS):
                tasks.start_soon(keep_calling, number)
            for version in range(2, 2 + N_CHANGES):
                configuration = draw_configuration(rng, version)
                world.server.apply_configuration(RouteTable(configuration))
                world.server.close_unused_pools()
                await anyio.sleep(0.08)
            is_over = True
        assert not errors
        assert not unanswered
        assert 200 in statuses
        assert not world.server.exchanges

    run_world(test)


@pytest.mark.parametrize("n_bytes", [None, 30])
def test_request_that_arrives_as_its_connection_times_out_is_answered(n_bytes):
    """Guards against a close of an idle connection on which a request has arrived.

    A new configuration has a shorter timeout, and callers do not know it yet. The
    request, or the first bytes of its head, have arrived but were not read.
    """

    async def test(world):
        await world.start("plain", answer(body=b"whole"))
        caller = await world.connect()
        await caller.send("/order/")
        assert (await caller.read()).status == 200
        await anyio.sleep(0.1)
        data = b"POST /order/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r2\r\n"
        data += b"Authorization: Bearer key-of-a\r\nContent-Length: 0\r\n\r\n"
        caller.writer.write(data[:n_bytes])
        time.sleep(0.02)
        limits = CallerLimits(4096, 10_000, 10.0, 0.05, 100_000.0)
        configuration = build_configuration(limits, version=2)
        world.server.apply_configuration(RouteTable(configuration))
        for connection in list(world.server.callers):
            connection.close_if_idle(world.loop.time())
        if n_bytes is not None:
            caller.writer.write(data[n_bytes:])
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"whole")

    run_world(test)


def test_upload_that_has_arrived_is_no_slow_one():
    """Guards against a timeout of an upload whose rest waits in the socket."""

    async def test(world):
        await world.start("plain", answer(body=b"whole"))
        caller = await world.connect()
        data = b"POST /order/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r2\r\n"
        data += b"Authorization: Bearer key-of-a\r\nContent-Length: 4\r\n\r\nbody"
        caller.writer.write(data[:-2])
        await anyio.sleep(0.1)
        caller.writer.write(data[-2:])
        time.sleep(0.02)
        (connection,) = world.server.callers
        connection.close_if_idle(connection.last_active_at + 100.0)
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"whole")

    run_world(test)


@pytest.mark.parametrize("change", ["address", "draining", "gone", "evacuated"])
@pytest.mark.parametrize("path", ["/order/", "/read/"])
def test_request_in_progress_survives_a_change_of_its_server(change, path):
    """Guards against connections that are closed beneath a request."""

    async def test(world):
        await world.start("plain", answer(delay_s=0.3))
        caller = await world.connect()
        await caller.send(path)
        await anyio.sleep(0.1)
        now = world.loop.time()
        entry = world.registry.backends["plain-0"].entry._replace(sequence=2)
        if change == "address":
            moved = entry._replace(address="127.0.0.1:9", started_ms=1)
            world.registry.apply_entry(moved, now, "test")
            backend = world.registry.backends["plain-0"]
            assert world.server.get_pool(backend).address == "127.0.0.1:9"
        elif change == "draining":
            world.registry.apply_entry(entry._replace(state=DRAINING), now, "test")
        elif change == "gone":
            world.registry.remove("plain-0", now, now)
        else:
            world.registry.set_evacuated({"gasabo"})
        world.server.close_unused_pools()
        assert (await caller.read()).status == 200

    run_world(test)
