"""Tests of the limit of the connections of callers."""

import anyio

from catkinfork.forwarding._connections import ConnectionLimit
from catkinfork.forwarding.tests.scripted import answer
from catkinfork.forwarding.tests.world import run_world


def test_idle_connections_are_closed_in_batches():
    """Guards against a search for idle connections at each one that is accepted."""
    limit = ConnectionLimit(1000)
    assert [limit.is_crowded(n) for n in (420, 421)] == [False, True]
    assert limit.count_excess(600, 1.0) == 0
    assert limit.count_excess(601, 1.0) == 181
    assert limit.count_excess(602, 1.001) == 0
    assert limit.count_excess(602, 1.1) == 182


def test_only_connections_without_a_request_are_closed():
    """Guards against the close of a connection in use, or of one that is new."""

    async def test(world):
        await world.start("plain", answer(delay_s=0.3))
        busy = await world.connect()
        await busy.send("/order/")
        new = await world.connect()
        await anyio.sleep(0.05)
        world.server.connection_limit = ConnectionLimit(10)
        others = []
        connections = []
        for _ in range(8):
            others.append(await world.connect())
            await others[-1].send("/none/")
            reply = await others[-1].read()
            assert reply.status == 404
            connections.append(reply.headers.get("connection"))
            await anyio.sleep(0.03)
        assert "close" in connections
        assert len(world.server.callers) < len(others)
        assert (await busy.read()).status == 200
        await new.send("/order/")
        assert (await new.read()).status == 200

    run_world(test)
