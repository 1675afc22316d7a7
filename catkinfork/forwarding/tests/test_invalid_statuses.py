"""Responses whose status is none of HTTP."""

import anyio
import pytest

from catkinfork.forwarding.tests.scripted import (
    answer,
    then_close,
)
from catkinfork.forwarding.tests.world import run_world


@pytest.mark.parametrize(
    "status", ["000", "001", "099", "600", "999", "0200", "20", "2000", "-20", "2x0"]
)
@pytest.mark.parametrize("framing", ["content-length: 4\r\n", "", "chunked"])
def test_status_that_is_none_is_a_failure(status, framing):
    """Guards against a status outside 100 to 599 that a caller gets (MIXED)."""
    body = b"what"
    if framing == "chunked":
        framing, body = "transfer-encoding: chunked\r\n", b"4\r\nwhat\r\n0\r\n\r\n"

    async def script(request, writer, n):
        head = (
            f"HTTP/1.1 {status} X\r\nx-request-id: {request.request_id}\r\n"
            f"x-response-seal: s\r\n{framing}\r\n"
        )
        await then_close(head.encode() + body)(request, writer, n)

    async def test(world):
        (backend,) = await world.start("plain", script)
        with anyio.fail_after(2.0):
            reply = await world.call("/order/")
        assert (reply.status, len(backend.requests)) == (502, 1)
        assert b"what" not in reply.body

    run_world(test)


@pytest.mark.parametrize("status", ["000", "099", "600"])
def test_request_that_gets_no_status_goes_on_elsewhere(status):
    """Guards against an idempotent request that waits for an answer that has come.

    The backend server keeps the connection open.
    """

    async def script(request, writer, n):
        head = f"HTTP/1.1 {status} X\r\nx-request-id: {request.request_id}\r\n"
        writer.write(head.encode() + b"content-length: 0\r\n\r\n")
        await writer.drain()

    async def test(world):
        first, _ = await world.start("plain", script, answer(body=b"second"))
        with anyio.fail_after(0.5):
            reply = await world.call("/read/")
        assert (reply.status, reply.body) == (200, b"second")
        assert len(first.requests) == 1

    run_world(test)
