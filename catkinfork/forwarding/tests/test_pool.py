"""Connections to addresses that cannot be used."""

import asyncio

import anyio
import pytest

from catkinfork.forwarding import FetchError, HttpClient
from catkinfork.forwarding.tests.scripted import answer
from catkinfork.forwarding.tests.world import run_world


@pytest.mark.parametrize("host", ["a..b", ".", "x" * 70, "a\0b", "[", "", "-", "%"])
def test_host_that_cannot_be_resolved_is_unreachable(host):
    """Guards against an address that ends the process that connects to it."""

    async def main():
        client = HttpClient("127.0.0.1:1", asyncio.get_running_loop())
        client.pool.host = host
        with pytest.raises(OSError, match=r".*"):
            await client.pool.open()
        with pytest.raises(FetchError):
            await client.fetch("/", 1.0)

    anyio.run(main, backend_options={"use_uvloop": True})


@pytest.mark.parametrize("address", ["[::1]:{}", "127.0.0.1:{}", "localhost:{}"])
def test_host_of_any_kind_is_connected(address):
    """Guards against brackets of an address that are taken as part of the host."""

    async def main():
        loop = asyncio.get_running_loop()
        host = "::1" if address.startswith("[") else "127.0.0.1"
        try:
            server = await loop.create_server(asyncio.Protocol, host, 0)
        except OSError:
            pytest.skip(f"{host} is not available")
        port = server.sockets[0].getsockname()[1]
        client = HttpClient(address.format(port), loop)
        connection = await client.pool.open()
        assert not connection.is_lost
        connection.abort()
        server.close()

    anyio.run(main, backend_options={"use_uvloop": True})


async def answer_and_close(request, writer, n):
    """Send a whole response, then close the connection unannounced."""
    await answer(extra="keep-alive: timeout=10\r\n")(request, writer, n)
    writer.close()


def test_connection_that_was_closed_unread_is_not_reused():
    """Guards against a sound request that fails, and counts as crashing, as the event
    loop has not yet read the end of the connection that it is sent on.
    """

    async def test(world):
        await world.start("plain", answer())
        pool = world.server.get_pool(world.registry.backends["plain-0"])
        world.backends[0].script = answer_and_close
        caller = await world.connect()
        await caller.send("/order/")
        while not pool.idle_connections:
            await anyio.sleep(0)
        (connection,) = pool.idle_connections
        connection.transport.pause_reading()
        await anyio.sleep(0.1)
        assert not connection.is_lost
        assert (await caller.read()).status == 200
        assert (await world.call("/order/")).status == 200
        assert not world.list_events("crash_recorded")

    run_world(test)
