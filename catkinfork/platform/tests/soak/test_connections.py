"""Records of the connections of a soak."""

import asyncio
from types import SimpleNamespace

import pytest

from catkinfork.platform.tests.soak.connections import Call, connect
from catkinfork.platform.tests.soak.links import Link
from catkinfork.platform.tests.soak.records import (
    COMPLETE,
    CUT,
    NOT_CONNECTED,
    SAFE,
    Records,
)
from catkinfork.platform.tests.standins import list_unused_ports

DELAY_S = 0.3


def build_host(front, link=None):
    """Return a host at which callers connect."""
    return SimpleNamespace(name="host-1", front=front, link=link)


def test_pipelined_request_was_sent_before_the_response_ahead():
    """Guards against a loss that looks as if the request had crossed the close."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(DELAY_S)
        writer.write(b"HTTP/1.1 404 Text\r\nContent-Length: 0\r\n\r\n")
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host = build_host(server.sockets[0].getsockname())
        records = Records()
        calls = [Call(f"r{n}", SAFE, "GET", "/read/a", 2.0) for n in range(2)]
        connection = await connect(host, records, calls[0])
        await connection.pipeline(calls)
        server.close()
        return records.requests

    first, second = asyncio.run(run())
    assert (first.status, second.ending) == (404, CUT)
    assert second.sent_at == first.sent_at
    assert second.ended_at - second.sent_at >= DELAY_S


async def call_over_link(target):
    """Send a request over a link, and return the endings of all requests."""
    link = Link(target)
    host = build_host(await link.open(), link)
    records = Records()
    call = Call("r1", SAFE, "GET", "/read/a", 2.0)
    connection = await connect(host, records, call)
    if connection is not None:
        await connection.exchange(call)
    return [request.ending for request in records.requests]


def test_link_refuses_where_its_host_would():
    """Guards against a request that counts as lost, though no host has accepted it.

    Links, seed 305: the process had ended and the next one did not listen yet.
    """
    (port,) = list_unused_ports(1)
    assert asyncio.run(call_over_link(("127.0.0.1", port))) == [NOT_CONNECTED]


@pytest.mark.parametrize(
    ("data", "ending"),
    [(b"HTTP/1.1 404 Text\r\nContent-Length: 0\r\n\r\n", COMPLETE), (b"", CUT)],
)
def test_request_on_a_connection_that_was_accepted_counts(data, ending):
    """Guards against a lost request that counts as refused, as a link is in between."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(data)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        endings = await call_over_link(server.sockets[0].getsockname())
        server.close()
        return endings

    assert asyncio.run(run()) == [ending]
