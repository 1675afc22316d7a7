"""Errors of the forwarder itself while it handles a request."""

import anyio
import pytest

from catkinfork.balancing import Balancer
from catkinfork.forwarding._caller import CallerConnection
from catkinfork.forwarding._exchange import Exchange
from catkinfork.forwarding._pool import ConnectionPool
from catkinfork.forwarding._relay import BodyRelay
from catkinfork.forwarding.tests.scripted import answer, silence, stream
from catkinfork.forwarding.tests.world import (
    PROMPT,
    ROUTES,
    build_configuration,
    collect_errors,
    run_world,
)
from catkinfork.topology import RouteTable, TrafficShare


class PlantedError(Exception):
    """An error that no code expects."""


def plant_error(monkeypatch, owner, name, n_calls=1):
    """Let the next calls of a method fail."""
    original = getattr(owner, name)
    calls = []

    def fail(*arguments, **options):
        calls.append(name)
        if len(calls) > n_calls:
            return original(*arguments, **options)
        raise PlantedError(name)

    monkeypatch.setattr(owner, name, fail)
    return calls


@pytest.mark.parametrize(
    ("owner", "name", "status"),
    [
        (CallerConnection, "on_headers_complete", 503),
        (Balancer, "submit", 503),
        (Exchange, "start_attempt", 503),
        (ConnectionPool, "acquire", 503),
        (Exchange, "handle_head", 502),
        (Exchange, "begin_relay", 502),
        (BodyRelay, "handle_data", 502),
        (BodyRelay, "handle_end", 502),
        (Balancer, "record_first_event", 502),
    ],
)
def test_request_whose_handling_fails_is_answered(monkeypatch, owner, name, status):
    """Guards against an error that closes a connection without a response.

    The response says that the request was not executed only if it was not sent.
    """

    async def test(world):
        (backend,) = await world.start("plain", answer())
        errors = collect_errors(world)
        plant_error(monkeypatch, owner, name)
        reply = await world.call("/order/")
        assert reply.status == status
        assert (status == 503) == (not backend.requests)
        assert any(isinstance(error, PlantedError) for error in errors)
        assert not world.server.exchanges
        assert (await world.call("/order/")).status == 200

    run_world(test)


def test_error_while_a_connection_is_opened_is_no_end_of_the_process(monkeypatch):
    """Guards against a process that ends by itself, with all requests in progress."""

    async def test(world):
        first, second = await world.start("plain", answer(), answer())
        errors = collect_errors(world)
        plant_error(monkeypatch, ConnectionPool, "open")
        assert (await world.call("/order/")).status == 200
        assert (len(first.requests), len(second.requests)) == (0, 1)
        assert [type(error) for error in errors] == [PlantedError]

    run_world(test)


def test_error_at_one_of_several_queued_requests_leaves_the_others(monkeypatch):
    """Guards against queued requests that hang after an error in a pass."""

    async def test(world):
        await world.start("plain", answer(delay_s=0.3))
        callers = [await world.connect() for _ in range(13)]
        for caller in callers:
            await caller.send("/order/")
        await anyio.sleep(0.1)
        assert world.balancer.has_waiting()
        collect_errors(world)
        plant_error(monkeypatch, Exchange, "start_attempt")
        statuses = [(await caller.read()).status for caller in callers]
        assert sorted(statuses) == [200] * 12 + [503]
        lines = world.list_events("request_finished")
        assert [line["outcome"] for line in lines if line["status"] == 503] == [
            "internal_error"
        ]

    run_world(test)


def test_error_in_a_timeout_is_no_end_of_the_process(monkeypatch):
    """Guards against a process that ends by itself, with all requests in progress."""

    async def test(world):
        await world.start("plain", silence)
        errors = collect_errors(world)
        plant_error(monkeypatch, Exchange, "handle_timeouts")
        reply = await world.call("/order/", headers=["X-Deadline-Ms: 200"])
        assert reply.status == 502
        assert [type(error) for error in errors] == [PlantedError]

    run_world(test)


def test_stream_whose_handling_fails_is_visibly_incomplete(monkeypatch):
    """Guards against a stream that looks complete, or hangs, after an error."""

    async def test(world):
        await world.start("engine", stream(1, 50, gap_s=0.02))
        collect_errors(world)
        caller = await world.connect()
        await caller.send("/chat/", headers=PROMPT)
        await anyio.sleep(0.1)
        plant_error(monkeypatch, Exchange, "handle_data")
        reply = await caller.read()
        assert (reply.status, reply.is_whole) == (200, False)

    run_world(test)


def test_route_to_a_service_that_is_not_listed_is_answered():
    """Guards against a closed connection if a configuration lists no such service."""

    async def test(world):
        await world.start("plain", answer())
        target = TrafficShare("unlisted", 1.0)
        routes = tuple(route._replace(targets=(target,)) for route in ROUTES)
        errors = collect_errors(world)
        world.server.apply_configuration(
            RouteTable(build_configuration(version=2, routes=routes))
        )
        reply = await world.call("/order/")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        (line,) = world.list_events("request_finished")
        assert line["outcome"] == "no_backend_server"
        assert not errors

    run_world(test)
