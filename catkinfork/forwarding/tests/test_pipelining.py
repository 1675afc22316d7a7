"""Requests that arrive on a connection behind another one."""

from catkinfork.balancing import ABANDONED
from catkinfork.forwarding.tests.scripted import answer, in_turn
from catkinfork.forwarding.tests.world import run_world


def test_request_that_arrives_between_two_others_does_not_overtake():
    """Guards against responses in the wrong order, of two requests in progress at once.

    The third request arrives after the first one has ended, before the second one
    starts.
    """

    async def test(world):
        slow = answer(delay_s=0.2)
        await world.start("plain", in_turn(answer(), answer(), slow, answer()))
        caller = await world.connect()
        await caller.send("/order/", request_id="r1")
        await caller.read()
        (connection,) = world.server.callers
        data = b"POST /order/ HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: %s\r\n"
        data += b"Authorization: Bearer key-of-a\r\nContent-Length: 0\r\n\r\n"
        connection.data_received(data % b"r2" + data % b"r3")
        connection.exchange.stop_attempt(ABANDONED, world.loop.time())
        connection.exchange.reply(503, "test", 1.0)
        connection.data_received(data % b"r4")
        replies = [await caller.read() for _ in range(3)]
        ids = [reply.headers["x-request-id"] for reply in replies]
        assert ids == ["r2", "r3", "r4"]

    run_world(test)
