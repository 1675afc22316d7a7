"""Response heads that break off."""

from functools import partial

import pytest

from catkinfork.forwarding.tests.scripted import (
    answer,
    in_turn,
    reset,
)
from catkinfork.forwarding.tests.world import PROMPT, run_world

HEADS = [
    b"HTTP/1.1 %d OK\r\nx-request-id: ID\r\nx-response-seal: s\r\n%b%b" % head
    for head in [
        (200, b"content-type: application/json\r\n", b"content-length: 5\r\n"),
        (200, b"content-type: application/json\r\n", b"content-length: 0\r\n"),
        (200, b"", b"transfer-encoding: chunked\r\n"),
        (200, b"", b""),
        (200, b"content-type: text/event-stream\r\n", b""),
        (200, b"content-type: text/event-stream\r\n", b"content-length: 0\r\n"),
        (204, b"", b""),
        (500, b"", b"content-length: 0\r\n"),
    ]
]


@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("is_reused", [False, True])
@pytest.mark.parametrize("ending", ["close", "reset"])
def test_head_that_breaks_off_is_a_failure(head, is_reused, ending):
    """Guards against a short body that is framed as whole (MIXED, ORDER).

    The backend server stops in the middle of the head and closes the connection, on a
    new connection or after a response that was delimited in the same way.
    """
    head += b"\r\n"

    async def break_off(n_bytes, request, writer, n):
        data = head[:n_bytes].replace(b"ID", request.request_id.encode())
        writer.write(data)
        await writer.drain()
        if ending == "close":
            writer.close()
        else:
            await reset(request, writer, n)

    async def test(world, n_bytes):
        for path, service in (("/order/", "plain"), ("/chat/", "engine")):
            script = partial(break_off, n_bytes)
            if is_reused:
                script = in_turn(answer(), script)
            (backend,) = await world.start(service, script)
            if is_reused:
                assert (await world.call(path, headers=PROMPT)).status == 200
            reply = await world.call(path, headers=PROMPT)
            assert reply.status == 502
            assert len(backend.requests) == 1 + is_reused

    for n_bytes in [*range(0, len(head), 7), len(head) - 2, len(head) - 1]:
        run_world(partial(test, n_bytes=n_bytes))
