"""Reading of what the engines of the platform keep."""

import asyncio

import anyio
import pytest

from catkinfork.platform import EngineCacheSource
from catkinfork.platform._engines import MAX_LIST_BYTES
from catkinfork.platform.tests.standins import list_unused_ports, read_head, serve_port

BODIES = {
    "two parts": (
        b'{"epoch":1,"held":[["","b2",40,"m"],["","a1",60,"m"]]}',
        {0xB2: 40, 0xA1: 60},
    ),
    "none": (b'{"epoch":1,"next":4,"held":[]}', {}),
    "more fields": (b'{"held":[["","b2",40,"m",1]],"lost":true}', {0xB2: 40}),
    "no list": (b'{"epoch":1}', None),
    "odd entry": (b'{"held":[["","zz",40,"m"]]}', None),
    "no name": (b'{"held":[["",7,40,"m"]]}', None),
    "nested": (b'{"held":' + b"[" * 100_000, None),
    "no JSON": (b"\xff", None),
}


async def list_parts(status, body):
    """Return the parts that a stand-in for an engine lists with a response."""
    targets = []

    async def respond(reader, writer):
        start_line, _ = await read_head(reader)
        targets.append(start_line.split(" ")[1])
        head = f"HTTP/1.1 {status} Text\r\ncontent-length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        await writer.drain()

    server = await serve_port(respond)
    port = server.sockets[0].getsockname()[1]
    source = EngineCacheSource(asyncio.get_running_loop())
    parts = await source.list_parts(f"127.0.0.1:{port}")
    server.close()
    assert targets == ["/kv-list"]
    return parts


@pytest.mark.parametrize("name", BODIES)
def test_parts_are_read(name):
    """Guards against an engine whose answer is misread or ends the process."""
    body, expected = BODIES[name]
    assert anyio.run(list_parts, 200, body) == expected


@pytest.mark.parametrize("status", [404, 429, 503])
def test_engine_that_refuses_lists_nothing(status):
    """Guards against a refusal that is taken for an empty list."""
    assert anyio.run(list_parts, status, b'{"held":[]}') is None


def test_engine_that_is_down_lists_nothing():
    """Guards against an engine that does not answer and is taken to keep nothing."""

    async def list_of_none():
        (port,) = list_unused_ports(1)
        source = EngineCacheSource(asyncio.get_running_loop())
        return await source.list_parts(f"127.0.0.1:{port}")

    assert anyio.run(list_of_none) is None


def test_endless_list_is_stopped():
    """Guards against engines whose answers without end fill the memory together.

    What is received beyond the bound is one read and the buffers of the socket.
    """
    n_sent = []

    async def respond(reader, writer):
        await read_head(reader)
        writer.write(b'HTTP/1.1 200 OK\r\n\r\n{"held":[')
        n_bytes = 0
        try:
            while n_bytes < 64 * MAX_LIST_BYTES:
                writer.write(b'["","b2",40,"m"],' * 4096)
                await writer.drain()
                n_bytes += 4096 * 17
        finally:
            n_sent.append(n_bytes)

    async def list_endless():
        server = await serve_port(respond)
        port = server.sockets[0].getsockname()[1]
        source = EngineCacheSource(asyncio.get_running_loop())
        parts = await source.list_parts(f"127.0.0.1:{port}")
        await anyio.sleep(0.1)
        server.close()
        return parts

    assert anyio.run(list_endless, backend_options={"use_uvloop": True}) is None
    assert n_sent
    assert n_sent[0] <= 12 * MAX_LIST_BYTES
