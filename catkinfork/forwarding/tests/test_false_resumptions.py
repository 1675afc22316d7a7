"""Responses of faulty backend servers in place of the rest of a stream."""

from functools import partial

import pytest

from catkinfork.forwarding.tests.scripted import (
    SEAL,
    break_event,
    event,
    reset,
    stream,
    then_close,
)
from catkinfork.forwarding.tests.test_streams import join
from catkinfork.forwarding.tests.world import PROMPT, run_world


def respond(status, content_type, framing, body, has_id=True):
    """Return a script that answers with a given status, type and framing."""

    async def script(request, writer, n):
        lines = [f"HTTP/1.1 {status} Text", f"x-response-seal: {SEAL}"]
        if has_id:
            lines.append(f"x-request-id: {request.request_id}")
        if content_type:
            lines.append(f"content-type: {content_type}")
        head = "\r\n".join(lines).encode() + b"\r\n"
        if framing == "length":
            data = b"content-length: %d\r\n\r\n" % len(body) + body
        elif framing == "chunked":
            chunks = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
            data = b"transfer-encoding: chunked\r\n\r\n" + chunks + b"0\r\n\r\n"
        else:
            data = b"\r\n" + body
        writer.write(head + data)
        await writer.drain()
        if framing == "close":
            writer.close()

    return script


async def break_in_event(request, writer, n):
    """Send a part of an event and close the connection."""
    await then_close(b"14\r\nid: 5\ndata: par")(request, writer, n)


ERRORS = [b"", b"error", b"error\n\n", b"data: error\n\n", b"id: 9\ndata: error\n\n"]


@pytest.mark.parametrize("then", [reset, break_event, break_in_event])
@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
@pytest.mark.parametrize(
    ("status", "content_type"),
    [
        (200, "application/json"),
        (200, "text/plain"),
        (200, None),
        (201, "text/event-stream"),
        (204, "text/event-stream"),
        (206, "text/event-stream"),
        (302, "text/event-stream"),
        (404, "application/json"),
        (500, "text/event-stream"),
        (503, "text/event-stream"),
    ],
)
def test_error_does_not_continue_a_stream(status, content_type, framing, then):
    """Guards against an error within a stream, or as its end (ORDER, MIXED).

    A stream has begun and broken off, and the next backend server answers with
    something else than the rest of it.
    """

    async def test(world, body):
        script = respond(status, content_type, framing, body)
        backends = await world.start("engine", stream(1, 4, then=then), script)
        reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.status, reply.is_whole, reply.body) == (200, False, join(1, 4))
        assert len(backends[1].requests) == 1

    for body in ERRORS if status != 204 else [b""]:
        run_world(partial(test, body=body))


@pytest.mark.parametrize("framing", ["length", "chunked", "close"])
def test_stream_without_rest_does_not_look_complete(framing):
    """Guards against a stream that ends as complete before its last event (ORDER).

    The next backend server answers as if nothing were left of it.
    """

    async def test(world):
        script = respond(200, "text/event-stream", framing, b"")
        await world.start("engine", stream(1, 4, then=reset), script)
        reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.status, reply.is_whole, reply.body) == (200, False, join(1, 4))

    run_world(test)


def test_late_rest_of_a_stream_is_relayed():
    """Guards against a sound resumption that is taken for an error."""

    async def test(world):
        rest = respond(200, "text/event-stream", "length", event(5) + event(6))
        await world.start("engine", stream(1, 4, then=reset), rest)
        reply = await world.call("/draft/", headers=PROMPT)
        assert (reply.status, reply.is_whole, reply.body) == (200, True, join(1, 6))

    run_world(test)
