import json
from typing import NamedTuple

import anyio
import pytest

from catkinfork.backends import BackendEnd, ServiceBackend
from catkinfork.backends.tests.support import (
    INCARNATION,
    TEST_TIMEOUT_S,
    build_start,
    collect,
    join_data,
    serve_ledger,
    wait_until,
)

pytestmark = pytest.mark.anyio


class Case(NamedTuple):
    """A fault of the ledger and the expected report of the client."""

    fault: dict
    status: int
    kind: str
    n_executions: int


CASES = {
    "no fault": Case({}, 201, "", 1),
    "status 503": Case({"status": 503}, 503, "", 0),
    "break before execution": Case({"break": "before"}, 0, "reset", 0),
    "break after execution": Case({"break": "after"}, 0, "reset", 1),
    "silent": Case({"delay_s": 60}, 0, "silent", 0),
}


def build_reservation(**fields):
    """Build the ``Start`` of a reservation with an idempotency key."""
    body = {"item": "roof-tiles", "quantity": 2}
    fields = {"key": "k-1", "is_idempotent": False} | fields
    return build_start("POST", "/reservations", body, **fields)


@pytest.mark.parametrize("case", CASES.values(), ids=CASES)
async def test_request_is_sent_once(case):
    """Guards against a repeated reservation and a wrong kind of failure."""
    idle_timeout_s = 0.3 if case.kind == "silent" else TEST_TIMEOUT_S
    async with serve_ledger(idle_timeout_s) as (ledger, backend):
        if case.fault:
            ledger.faults = case.fault
            ledger.n_faults = 1
        events = await collect(backend, build_reservation())
    assert len(ledger.executions) == case.n_executions
    if case.kind:
        assert [event.kind for event in events] == [case.kind]
    else:
        assert events[0].status == case.status
        assert isinstance(events[-1], BackendEnd)
        assert sum(event.units for event in events[1:-1]) <= events[-1].units


async def test_request_reaches_the_service_unchanged():
    """Guards against a lost body, key, deadline or fencing token."""
    start = build_reservation(deadline_ms=2500)
    async with serve_ledger() as (ledger, backend):
        events = await collect(backend, start)
    record = ledger.executions[0]
    assert record["body"].encode() == start.body
    assert record["request_id"] == start.request_id
    assert record["key"] == "k-1"
    assert record["token"] == INCARNATION
    assert record["timeout_s"] == 2.5
    assert json.loads(join_data(events))["item"] == "roof-tiles"


@pytest.mark.parametrize("path", ["/stock/roof-tiles", "/stock/a%20b%2Fc?x=1&y=%C3%A9"])
async def test_path_is_unchanged(path):
    """Guards against a path or query whose percent-encoding is changed."""
    async with serve_ledger() as (_, backend):
        request = backend.build_request("GET", path, [], b"")
        assert request.url.raw_path == path.encode()
        events = await collect(backend, build_start("GET", path, None))
    assert events[0].status == 200


async def test_service_that_is_down_refuses():
    """Guards against ``unknown`` for a request that was never sent."""
    async with serve_ledger() as (ledger, backend):
        ledger.server.crash(60)
        events = await collect(backend, build_reservation())
    assert [event.kind for event in events] == ["refused"]


async def test_malformed_request_fails_alone():
    """Guards against a malformed request that crashes the agent."""
    starts = [
        build_reservation(headers=[("X-Note", "line\nbreak")]),
        build_reservation(headers=[("X-Note", "\u20ac")]),
        build_reservation()._replace(path="/\x00"),
        build_reservation()._replace(method="BAD METHOD"),
    ]
    async with serve_ledger() as (ledger, backend):
        for start in starts:
            events = await collect(backend, start)
            assert [event.kind for event in events] == ["refused"]
    assert ledger.executions == []


async def test_crash_during_execution_is_a_reset():
    """Guards against ``refused`` for a reservation that may have been executed."""
    events = []
    async with (
        serve_ledger(execute_ms=10_000) as (ledger, backend),
        anyio.create_task_group() as group,
    ):
        group.start_soon(backend.run, build_reservation(), events.append)
        await wait_until(lambda: is_busy(ledger))
        ledger.server.crash(60)
    assert [event.kind for event in events] == ["reset"]


async def test_cancel_is_reported():
    """Guards against a cancelled attempt that ends without a final event."""
    events = []
    async with (
        serve_ledger(execute_ms=10_000) as (ledger, backend),
        anyio.create_task_group() as group,
    ):
        group.start_soon(backend.run, build_reservation(), events.append)
        await wait_until(lambda: is_busy(ledger))
        group.cancel_scope.cancel()
    assert [event.kind for event in events] == ["cancelled"]


def is_busy(ledger):
    """Return whether the ledger is executing a request."""
    return ledger.places._value < ledger.settings.places


async def test_large_response_is_ended():
    """Guards against a response that exhausts the agent's memory."""
    async with serve_ledger(max_response_bytes=10) as (_, backend):
        events = await collect(backend, build_reservation())
    assert events[-1].kind == "too_expensive"
    assert join_data(events) == b""


async def test_fence_of_the_service_refuses_an_older_agent():
    """Guards against an agent that keeps executing after its replacement has started.

    The service knows a higher fencing token and rejects the lower one with 409.
    """
    async with serve_ledger(checks_fence=True) as (ledger, backend):
        newer = ServiceBackend(backend.settings, INCARNATION + 1)
        await collect(newer, build_reservation())
        await newer.close()
        events = await collect(backend, build_reservation())
    assert events[0].status == 409
    assert len(ledger.executions) == 1
