"""Requests that are in progress, or wait, in a planned stop."""

import asyncio
import socket

import anyio
import pytest

from catkinfork.forwarder.tests.stopping import (
    GRACE_S,
    HEAD,
    PATIENT,
    call_during_stop,
    stop,
)
from catkinfork.forwarding.tests.scripted import answer, silence, stream
from catkinfork.forwarding.tests.world import PROMPT, Caller, run_world


def test_request_that_a_stop_ends_is_logged_with_its_times():
    """Guards against a cut request of which a log does not tell when it was sent."""

    async def test(world):
        await world.start("engine", stream(1, 100, gap_s=0.1))
        await call_during_stop(world, "/chat/", PROMPT)
        (cut,) = world.list_events("request_cut")
        assert cut["request_id"] == "r1"
        assert cut["has_begun"]
        assert cut["head_s"] <= cut["sent_s"] <= cut["placed_s"] < 0.0
        assert GRACE_S - 0.75 < cut["cut_s"] < GRACE_S
        (started,) = world.list_events("forwarder_draining")
        assert started["signal_age_s"] == 0.0

    run_world(test)


@pytest.mark.parametrize("path", ["/order/", "/read/"])
def test_request_that_outlasts_the_grace_is_answered(path):
    """Guards against requests in flight that are cut as the process exits."""

    async def test(world):
        await world.start("plain", silence)
        reply = await call_during_stop(world, path)
        assert reply.status in (502, 504)
        assert reply.is_whole

    run_world(test)


def test_request_that_waits_is_refused_before_the_process_exits():
    """Guards against a queued request that is cut without a refusal."""

    async def test(world):
        (backend,) = await world.start("plain", silence)
        callers = []
        while not world.balancer.has_waiting():
            callers.append(await world.connect())
            await callers[-1].send("/order/")
            await anyio.sleep(0.02)
        n_sent = len(backend.requests)
        reply = await call_during_stop(world, "/order/")
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert len(backend.requests) == n_sent

    run_world(test)


def test_stream_that_outlasts_the_grace_is_visibly_incomplete():
    """Guards against a stream that looks complete because the process exits."""

    async def test(world):
        await world.start("engine", stream(1, 100, gap_s=0.1))
        reply = await call_during_stop(world, "/chat/", PROMPT)
        assert (reply.status, reply.is_whole) == (200, False)

    run_world(test)


def test_upload_that_never_ends_is_refused_before_the_process_exits():
    """Guards against a caller whose upload is cut without any response."""

    async def test(world):
        await world.start("plain", answer())
        caller = await world.connect()
        await caller.send_raw(HEAD + b"b")
        replies = []

        async def read():
            replies.append(await caller.read())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await anyio.sleep(0.1)
            await stop(world)
        assert replies[0].status == 503

    run_world(test, limits=PATIENT)


def test_response_to_a_slow_reader_is_sent_before_the_process_exits():
    """Guards against the end of a response that is lost in the exiting process.

    The forwarder has the whole response, and the caller does not read it at first.
    """

    async def test(world):
        await world.start("plain", answer(body=b"x" * 60_000))
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", world.port))
        caller = Caller(*await asyncio.open_connection(sock=sock))
        caller.writer.transport.pause_reading()
        await anyio.sleep(0.05)
        (connection,) = world.server.callers
        server_socket = connection.transport.get_extra_info("socket")
        server_socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        await caller.send("/order/")
        await anyio.sleep(0.2)
        assert not world.server.exchanges
        assert connection.transport.get_write_buffer_size()
        replies = []

        async def read():
            await anyio.sleep(1.0)
            caller.writer.transport.resume_reading()
            replies.append(await caller.read())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read)
            await stop(world)
        assert len(replies[0].body) == 60_000

    run_world(test)


def test_part_of_a_second_request_does_not_end_the_stop_with_an_error():
    """Guards against a stop that fails, and cuts others, for one pipelined request."""

    async def test(world):
        await world.start("plain", silence)
        caller = await world.connect()
        await caller.send_raw(HEAD + b"body" + HEAD)
        other = await world.connect()
        await other.send("/read/")
        await anyio.sleep(0.1)
        replies = []

        async def read(caller):
            replies.append(await caller.read())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(read, caller)
            tasks.start_soon(read, other)
            await stop(world)
        assert [reply.status for reply in replies] == [502, 502]
        assert [reply.headers["connection"] for reply in replies] == ["close", "close"]

    run_world(test, limits=PATIENT)


def test_connection_is_not_closed_before_its_last_response_has_arrived():
    """Guards against a close that destroys a response on its way.

    Data that the caller sends after such a close resets the connection.
    """

    async def test(world):
        await world.start("plain", answer(body=b"x" * 60_000))
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", world.port))
        caller = Caller(*await asyncio.open_connection(sock=sock))
        caller.writer.transport.pause_reading()
        await anyio.sleep(0.05)
        (connection,) = world.server.callers
        await caller.send("/order/")
        await anyio.sleep(0.2)
        assert not world.server.exchanges
        assert not connection.transport.get_write_buffer_size()
        assert not connection.is_idle()
        caller.writer.transport.resume_reading()
        assert len((await caller.read()).body) == 60_000
        await anyio.sleep(0.1)
        assert connection.is_idle()

    run_world(test)
