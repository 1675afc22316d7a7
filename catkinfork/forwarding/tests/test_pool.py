"""Connections to addresses that cannot be used."""

import asyncio

import anyio
import pytest

from catkinfork.forwarding import FetchError, HttpClient


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
