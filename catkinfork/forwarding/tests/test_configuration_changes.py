"""Requests in progress while the configuration changes."""

import random

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
        timeout_s=rng.choice([0.05, 0.3, 5.0]),
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


@pytest.mark.parametrize("seed", range(4))
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
