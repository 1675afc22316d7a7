"""A forwarder whose event loop falls behind under a flood."""

import socket
import time

import anyio
import pytest

from catkinfork.forwarding._lag import LagMonitor
from catkinfork.forwarding.tests.scripted import answer
from catkinfork.forwarding.tests.world import run_world

SWEEP_S = 0.025


def record_lags(monitor, lags, start=0.0):
    """Record sweeps that are late by the given times; return the changes."""
    changes = []
    now = start
    for lag_s in lags:
        planned_at = now + SWEEP_S
        now = planned_at + lag_s
        changes.append(monitor.record(planned_at, now))
    return [change for change in changes if change is not None]


def test_short_stall_does_not_change_readiness():
    """Guards against a host that leaves the rotation for one slow iteration."""
    monitor = LagMonitor()
    assert record_lags(monitor, [0.0] * 40 + [0.4] + [0.0] * 40) == []
    assert not monitor.is_behind


def test_lasting_lag_is_reported_once_and_ends_late():
    """Guards against flapping while the load is close to what a host can bear."""
    monitor = LagMonitor()
    lags = [0.3, 0.1, 0.3, 0.3] * 10
    changes = record_lags(monitor, lags)
    assert [change.is_behind for change in changes] == [True]
    assert record_lags(monitor, [0.1, 0.0] * 20, start=20.0) == []
    changes = record_lags(monitor, [0.0] * 80, start=40.0)
    assert [change.is_behind for change in changes] == [False]


def test_backlog_counts_as_lag_while_the_loop_is_punctual():
    """Guards against a host that stays in rotation while connections wait for seconds.

    Load pattern: a host that serves half of all callers. Its iterations are short, but
    more connections arrive than it accepts.
    """
    monitor = LagMonitor()
    changes = []
    for step in range(60):
        now = SWEEP_S * step
        changes.append(monitor.record(now, now, has_backlog=True))
    assert [change.is_behind for change in changes if change] == [True]
    assert monitor.lag_s == pytest.approx(59 * SWEEP_S)
    now += SWEEP_S
    monitor.record(now, now, has_backlog=False)
    assert monitor.lag_s < 59 * SWEEP_S


def test_pending_connections_are_seen():
    """Guards against a backlog that the forwarder does not notice."""

    async def test(world):
        await world.start("plain", answer())
        assert not world.server.has_backlog()
        caller = socket.socket()
        caller.setblocking(False)
        with pytest.raises(BlockingIOError):
            caller.connect(("127.0.0.1", world.port))
        time.sleep(0.02)
        assert world.server.has_backlog()
        await anyio.sleep(0.05)
        assert not world.server.has_backlog()
        caller.close()

    run_world(test)


def test_connections_are_accepted_together():
    """Guards against new connections that wait while iterations are long.

    With a single listener, uvloop accepts one connection in each iteration.
    """

    async def test(world):
        await world.start("plain", answer())
        callers = []
        for _ in range(24):
            caller = socket.socket()
            caller.setblocking(False)
            with pytest.raises(BlockingIOError):
                caller.connect(("127.0.0.1", world.port))
            callers.append(caller)
        n_iterations = 0
        while len(world.server.callers) < len(callers):
            time.sleep(0.01)
            await anyio.sleep(0)
            n_iterations += 1
        assert n_iterations <= 12
        for caller in callers:
            caller.close()

    run_world(test)


@pytest.mark.parametrize("path", ["/read/", "/order/"])
def test_request_of_departed_caller_is_not_sent_while_the_loop_lags(path):
    """Guards against work for callers that left while their request was unread."""

    async def test(world):
        (backend,) = await world.start("plain", answer())
        caller = await world.connect()
        await anyio.sleep(0.05)
        world.server.lag.lag_s = 0.3
        await caller.send(path)
        caller.close()
        time.sleep(0.1)
        await anyio.sleep(0.1)
        assert backend.requests == []
        (line,) = world.list_events("request_finished")
        assert line["outcome"] == "caller_gone"

    run_world(test)


def test_request_is_not_sent_after_its_deadline():
    """Guards against work that nobody waits for, after a connection took long to open.

    The deadline counts from the time at which the request may have arrived.
    """

    async def test(world):
        (backend,) = await world.start("plain", answer())
        world.server.lag.lag_s = 0.4
        reply = await world.call("/read/", headers=["X-Deadline-Ms: 300"])
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert backend.requests == []

    run_world(test)


def test_deadline_of_sent_request_allows_for_lag():
    """Guards against a backend server that is given more time than is left."""

    async def test(world):
        (backend,) = await world.start("plain", answer())
        world.server.lag.lag_s = 0.6
        await world.call("/read/", headers=["X-Deadline-Ms: 2000"])
        assert int(backend.requests[0].headers["x-deadline-ms"]) <= 1400

    run_world(test)


@pytest.mark.parametrize("n_bytes", [None, 30])
def test_request_that_arrives_as_idle_connections_close_is_answered(n_bytes):
    """Guards against a planned stop that cuts requests which were just accepted.

    The request, or the first bytes of its head, have arrived but were not read.
    """

    async def test(world):
        await world.start("plain", answer(body=b"whole"))
        caller = await world.connect()
        await caller.send("/order/")
        assert (await caller.read()).status == 200
        data = b"POST /order/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r2\r\n"
        data += b"Authorization: Bearer key-of-a\r\nContent-Length: 0\r\n\r\n"
        caller.writer.write(data[:n_bytes])
        time.sleep(0.02)
        world.server.is_draining = True
        world.server.close_idle_callers()
        if n_bytes is not None:
            await anyio.sleep(0.05)
            world.server.close_idle_callers()
            caller.writer.write(data[n_bytes:])
        reply = await caller.read()
        assert (reply.status, reply.body) == (200, b"whole")
        assert reply.headers["connection"] == "close"

    run_world(test)


@pytest.mark.parametrize(("is_behind", "connection"), [(True, "close"), (False, None)])
def test_host_that_is_behind_hands_its_callers_over(is_behind, connection):
    """Guards against callers that stay with an overloaded host on open connections.

    Load pattern: half of all callers are dealt to one small host.
    """

    async def test(world):
        await world.start("plain", answer())
        world.server.lag.is_behind = is_behind
        reply = await world.call("/read/")
        assert (reply.status, reply.headers.get("connection")) == (200, connection)

    run_world(test)
