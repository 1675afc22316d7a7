"""Requests that are in progress, or arrive late, in a planned stop."""

import asyncio
import socket
from types import SimpleNamespace

import anyio
import pytest

from catkinfork.forwarder._drain import compute_end, drain
from catkinfork.forwarding.tests.scripted import answer, in_turn, silence, stream
from catkinfork.forwarding.tests.world import KEY, PROMPT, Caller, run_world
from catkinfork.peering import HandoverPlan, PeerDirectory
from catkinfork.topology import CallerLimits

GRACE_S = 2.0
# Limits that allow slow uploads.
PATIENT = CallerLimits(4096, 10_000, 10.0, 10.0, 100_000.0)
HEAD = (
    b"POST /order/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: late\r\n"
    b"Authorization: Bearer %s\r\nContent-Length: 4\r\n\r\n" % KEY.encode()
)


CHAT_HEAD = (
    b"POST /chat/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: late\r\n"
    b"Authorization: Bearer %s\r\nContent-Length: 4\r\n"
    b"X-Token-Counts: 100,20\r\nX-Prompt-Parts: a1:60,b2:40\r\n\r\n" % KEY.encode()
)


def begin_leaving(leaving_since):
    """Return the plan of a forwarder that has no peers."""
    directory = PeerDirectory("10.0.0.1", [], 0.0)
    return HandoverPlan(directory, leaving_since)


async def stop(world, grace_s=GRACE_S, signal_age_s=0.0):
    """Drain the server of a world as a process does on SIGTERM.

    :param signal_age_s: time from the signal to the begin of the drain, seconds.
    """
    forwarder = SimpleNamespace(grace_s=grace_s)
    process = SimpleNamespace(
        server=world.server,
        settings=SimpleNamespace(forwarder=forwarder),
        peer_exchange=SimpleNamespace(begin_leaving=begin_leaving),
        log=SimpleNamespace(write=world.events.append),
    )
    await drain(process, anyio.current_time() - signal_age_s)
    # The process exits here: whatever has not left it is lost.
    for caller in list(world.server.callers):
        caller.transport.abort()


async def call_during_stop(world, path, headers=()):
    """Send a request just before a stop and return the :class:`Reply`."""
    caller = await world.connect()
    await caller.send(path, headers=headers)
    await anyio.sleep(0.1)
    replies = []

    async def read():
        replies.append(await caller.read())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await stop(world)
    return replies[0]


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


def test_request_that_is_uploaded_too_late_is_refused_at_once():
    """Guards against a late request that is passed on, and then cut by the exit.

    Its route allows more time than is left, and so does what is known of its duration.
    """

    async def test(world):
        script = in_turn(answer(delay_s=1.0), silence)
        (backend,) = await world.start("plain", script)
        assert (await world.call("/order/")).status == 200
        caller = await world.connect()
        await caller.send_raw(HEAD)
        replies = []

        async def upload():
            await anyio.sleep(1.0)
            await caller.send_raw(b"body")
            started_at = world.loop.time()
            replies.append(await caller.read())
            replies.append(world.loop.time() - started_at)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(upload)
            await anyio.sleep(0.1)
            await stop(world)
        reply, waited_s = replies
        assert reply.status == 503
        assert float(reply.headers["retry-after"]) > 0
        assert reply.headers["connection"] == "close"
        assert len(backend.requests) == 1
        assert waited_s < 0.3

    run_world(test, limits=PATIENT)


async def upload_late(world, data, delay_s, **options):
    """Send the head of a request, its body in a stop, and return the :class:`Reply`.

    :param data: head of the request.
    :param delay_s: time from the begin of the drain to the body, seconds.
    """
    caller = await world.connect()
    await caller.send_raw(data)
    await anyio.sleep(0.1)
    replies = []

    async def upload():
        await anyio.sleep(delay_s)
        await caller.send_raw(b"body")
        replies.append(await caller.read())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(upload)
        await stop(world, **options)
    return replies[0]


async def check_late_stream(world, delay_s, **options):
    """Check that a stream is refused though those before it were short."""
    script = in_turn(*[stream(1, 3)] * 20, stream(1, 100, gap_s=0.1))
    (backend,) = await world.start("engine", script)
    for _ in range(20):
        assert (await world.call("/chat/", headers=PROMPT)).status == 200
    reply = await upload_late(world, CHAT_HEAD, delay_s, **options)
    assert (reply.status, reply.is_whole) == (503, True)
    assert float(reply.headers["retry-after"]) > 0
    assert len(backend.requests) == 20


def test_late_stream_is_refused_though_streams_were_short():
    """Guards against a late stream that is taken on an estimate, begins and is cut.

    Streams last longer in a burst than those from which the estimate comes.
    """

    async def test(world):
        await check_late_stream(world, 1.0)

    run_world(test, limits=PATIENT)


def test_stop_counts_from_its_signal():
    """Guards against late streams that a host takes because it saw the signal late."""

    async def test(world):
        await check_late_stream(world, 0.4, signal_age_s=0.5)

    run_world(test, limits=PATIENT)


@pytest.mark.parametrize(
    ("grace_s", "handled_s", "ends_s"),
    [(8.0, 0.0, 7.3), (8.0, 0.4, 7.3), (8.0, 1.4, 8.067), (4.0, 1.0, 4.3)],
)
def test_requests_are_not_cut_before_the_last_part_of_the_grace(
    grace_s, handled_s, ends_s
):
    """Guards against a forced termination, and against cutting sound requests early.

    The signal came at any time in the part of a second before it was handled.
    """
    end = compute_end(10.0, 10.0 + handled_s, grace_s)
    assert end - 10.0 == pytest.approx(ends_s, abs=0.001)
    assert end - (10.0 + handled_s) >= min(7.3, 5 / 6 * grace_s - 0.04)


def test_short_request_that_is_uploaded_late_is_served():
    """Guards against refusals of late requests that can still be served."""

    async def test(world):
        (backend,) = await world.start("plain", answer(body=b"whole"))
        assert (await world.call("/order/")).status == 200
        caller = await world.connect()
        await caller.send_raw(HEAD)
        replies = []

        async def upload():
            await anyio.sleep(1.0)
            await caller.send_raw(b"body")
            replies.append(await caller.read())

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(upload)
            await anyio.sleep(0.1)
            await stop(world)
        assert (replies[0].status, replies[0].body) == (200, b"whole")
        assert len(backend.requests) == 2

    run_world(test, limits=PATIENT)


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


async def call_behind_a_late_read(world, data, later=b""):
    """Send a request that the host reads only as it is about to exit.

    :param later: data that is sent after it was read.
    :returns: :class:`Reply`.
    """
    caller = await world.connect()
    await anyio.sleep(0.05)
    (connection,) = world.server.callers
    connection.transport.pause_reading()
    await caller.send_raw(data)
    replies = []

    async def read():
        await anyio.sleep(1.2)
        connection.transport.resume_reading()
        await anyio.sleep(0.1)
        await caller.send_raw(later)
        replies.append(await caller.read())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(read)
        await stop(world, grace_s=3.0)
    return replies[0]


@pytest.mark.parametrize("n_unsent", [0, 4])
def test_request_that_is_read_late_is_served_within_the_grace(n_unsent):
    """Guards against an exit beside a request that waits unread on its connection."""

    async def test(world):
        (backend,) = await world.start("plain", answer(body=b"whole"))
        assert (await world.call("/order/")).status == 200
        data = HEAD + b"body"
        n_first = len(data) - n_unsent
        reply = await call_behind_a_late_read(world, data[:n_first], data[n_first:])
        assert (reply.status, reply.body) == (200, b"whole")
        assert len(backend.requests) == 2

    run_world(test, limits=PATIENT)


def test_part_of_a_request_that_is_read_late_is_refused():
    """Guards against a connection that is cut without a response as the process exits.

    The rest of the request never comes.
    """

    async def test(world):
        await world.start("plain", answer())
        reply = await call_behind_a_late_read(world, HEAD)
        assert (reply.status, reply.is_whole) == (503, True)

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
