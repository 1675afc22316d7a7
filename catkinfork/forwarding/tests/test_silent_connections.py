"""Connections of the HTTP client that fall silent while new ones work."""

import asyncio
import time

import anyio
import pytest

from catkinfork.forwarding import (
    FetchError,
    FetchTimeoutError,
    HttpClient,
    SecondRequest,
)

SECOND = SecondRequest(0.1, "/now")


class Server:
    """A server that answers with the target, after a time for each connection.

    :param delays_s: time until each answer on a connection, seconds, None for silence,
        by the number of the connection; the last one repeats. An exception closes it.
    """

    def __init__(self, *delays_s):
        self.delays_s = delays_s
        self.n_connections = 0
        self.targets = []
        self.n_open = 0

    async def serve(self, stream, writer):
        """Serve one connection."""
        number = min(self.n_connections, len(self.delays_s) - 1)
        self.n_connections += 1
        self.n_open += 1
        try:
            while True:
                head = await stream.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1]
                self.targets.append((number, target.decode()))
                delay_s = self.delays_s[number]
                if delay_s is None:
                    await stream.read()
                    return
                if isinstance(delay_s, Exception):
                    await asyncio.sleep(0.2)
                    return
                await asyncio.sleep(delay_s)
                writer.write(
                    b"HTTP/1.1 200 X\r\nKeep-Alive: timeout=9\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(target), target)
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.n_open -= 1
            writer.close()


def run(server, test):
    """Run a coroutine function that takes a client of a server."""

    async def main():
        listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        client = HttpClient(f"127.0.0.1:{port}", asyncio.get_running_loop())
        try:
            return await test(client)
        finally:
            client.close()
            listener.close()

    return anyio.run(main, backend_options={"use_uvloop": True})


def test_silent_connection_is_replaced():
    """Guards against a silent connection that counts as a silent server."""
    server = Server(None, 0.0)

    async def test(client):
        started_at = time.monotonic()
        response = await client.fetch("/wait", 1.0, second=SECOND)
        assert (response.body, response.is_second) == (b"/now", True)
        assert time.monotonic() - started_at < 0.5
        response = await client.fetch("/wait", 1.0, second=SECOND)
        assert (response.body, response.is_second) == (b"/wait", False)
        await asyncio.sleep(0.05)
        assert server.n_open == 1

    run(server, test)
    assert server.targets == [(0, "/wait"), (1, "/now"), (1, "/wait")]


def test_idle_connections_are_closed_with_a_silent_one():
    """Guards against a next request on a connection that fell silent with the first."""
    server = Server(0.05, 0.05, 0.0)

    async def test(client):
        async with anyio.create_task_group() as tasks:
            for _ in range(2):
                tasks.start_soon(client.fetch, "/wait", 1.0)
        assert len(client.pool.idle_connections) == 2
        server.delays_s = (None, None, 0.0)
        response = await client.fetch("/wait", 1.0, second=SECOND)
        assert response.is_second
        assert len(client.pool.idle_connections) == 1
        assert not (await client.fetch("/wait", 1.0, second=SECOND)).is_second

    run(server, test)


def test_late_answer_on_the_first_connection_counts():
    """Guards against a slow server whose answers never count."""
    server = Server(0.25, None)

    async def test(client):
        response = await client.fetch("/wait", 1.0, second=SECOND)
        assert (response.body, response.is_second) == (b"/wait", False)
        await asyncio.sleep(0.05)
        assert server.n_open == 1

    run(server, test)


def test_first_connection_that_is_closed_leaves_the_second():
    """Guards against an answer that is lost as the silent connection ends."""
    server = Server(OSError(), 0.3)

    async def test(client):
        response = await client.fetch("/wait", 1.0, second=SECOND)
        assert (response.body, response.is_second) == (b"/now", True)

    run(server, test)


def test_both_connections_may_fail():
    """Guards against a wait for an answer that no connection will bring."""

    async def test(client):
        with pytest.raises(FetchError, match="closed"):
            await client.fetch("/wait", 5.0, second=SECOND)

    run(Server(OSError()), test)


def test_silent_server_is_a_timeout():
    """Guards against a silent server that counts as sound, or is asked on and on."""
    server = Server(None)

    async def test(client):
        with pytest.raises(FetchTimeoutError):
            await client.fetch("/wait", 0.4, second=SECOND)
        await asyncio.sleep(0.05)
        assert server.n_open == 0

    run(server, test)
    assert server.n_connections == 2


def test_second_connection_that_is_refused_leaves_the_first():
    """Guards against an answer that is given up as no new connection is accepted."""
    server = Server(0.3)

    async def test(client):
        async def refuse():
            raise OSError("refused")

        open_first = client.pool.open
        connection = await open_first()
        client.pool.release(connection)
        client.pool.open = refuse
        response = await client.fetch("/wait", 1.0, second=SECOND)
        assert response.body == b"/wait"

    run(server, test)
