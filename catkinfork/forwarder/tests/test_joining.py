"""Questions to peers that are slow, of another build or broken, at the start."""

import asyncio
import random
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

import anyio
import msgspec
import pytest

from catkinfork.balancing import StreamOrigin
from catkinfork.forwarder._joining import Joining
from catkinfork.peering import PeerDirectory
from catkinfork.peering._joining import MAX_JOIN_S
from catkinfork.peering.tests.nodes import Node

OWN_IP = "127.0.0.1"
SNAPSHOT = msgspec.msgpack.encode([True, 700_000, [["s", "v1", [[7, 5000]]]]])


def build_answer(status, body):
    """Return an HTTP response."""
    return b"HTTP/1.1 %d X\r\ncontent-length: %d\r\n\r\n%s" % (status, len(body), body)


# None stands for a peer that accepts the connection and does not answer.
FAULTS = {
    "wedged": None,
    "older build": build_answer(404, b""),
    "fails": build_answer(500, SNAPSHOT),
    "garbage": build_answer(200, b"\xc1garbage"),
    "empty": build_answer(200, b""),
    "no HTTP": b"\0\1\2\3",
    "closes": b"",
}


@asynccontextmanager
async def serve_peers(answers):
    """Serve one answer at each of some addresses, and yield their common port."""

    def build_handler(answer):
        async def handle(reader, writer):
            with suppress(ConnectionError):
                await reader.readuntil(b"\r\n\r\n")
                if answer is None:
                    await reader.read()
                else:
                    writer.write(answer)
            writer.close()

        return handle

    servers = []
    port = 0
    try:
        for ip, answer in answers.items():
            server = await asyncio.start_server(build_handler(answer), ip, port)
            port = server.sockets[0].getsockname()[1]
            servers.append(server)
        yield port
    finally:
        for server in servers:
            server.close()
        # Lets the handlers see the end of their connections.
        await asyncio.sleep(0.05)


def join(answers):
    """Run the start of a forwarder whose peers give some answers.

    :returns: the process and the seconds until it has joined.
    """

    async def start(joining):
        started_at = joining.loop.time()
        await joining.run()
        assert joining.is_done
        return joining.process, joining.loop.time() - started_at

    return run_joining(answers, start)


def run_joining(answers, test):
    """Run a coroutine function that takes the :class:`Joining` of a new forwarder."""

    async def main():
        loop = asyncio.get_running_loop()
        directory = PeerDirectory(OWN_IP, answers, loop.time())
        for peer in directory.peers.values():
            peer.is_fresh = True
        node = Node(OWN_IP, [])
        process = SimpleNamespace(
            balancer=node.balancer,
            peer_exchange=node.exchange,
            directory=directory,
            incarnation=1,
            rng=random.Random(1),
            loop=loop,
            log=SimpleNamespace(write=lambda event: None),
            server=SimpleNamespace(routes=()),
        )
        async with serve_peers(answers) as port:
            return await test(Joining(process, port))

    return anyio.run(main)


def knows_stream(process):
    """Return whether a forwarder knows the stream of the sound answer."""
    record = process.balancer.streams.records.get(7)
    return record is not None and record.origin == StreamOrigin("s", "v1")


@pytest.mark.parametrize("fault", FAULTS)
def test_next_peer_is_asked_if_one_cannot_answer(fault):
    """Guards against a start that fails, or learns nothing, for one peer."""
    answers = {f"127.0.0.{number}": FAULTS[fault] for number in (21, 22, 23)}
    process, waited_s = join(answers | {"127.0.0.24": build_answer(200, SNAPSHOT)})
    assert knows_stream(process)
    assert waited_s < MAX_JOIN_S


@pytest.mark.parametrize("fault", FAULTS)
def test_start_is_not_held_up_if_no_peer_can_answer(fault):
    """Guards against a forwarder that is never ready beside peers of an older build."""
    process, waited_s = join({"127.0.0.21": FAULTS[fault]})
    assert not knows_stream(process)
    assert waited_s < MAX_JOIN_S + 1.0


def test_peer_that_was_too_slow_is_asked_again():
    """Guards against a forwarder that never learns what a slow peer knows.

    It is ready before the peer has answered.
    """

    async def test(joining):
        (peer,) = joining.process.directory.peers.values()
        peer.is_fresh = False
        joining.process.incarnation = joining.plan.incarnation = 1000
        peer.incarnation = 1

        async def appear():
            await anyio.sleep(MAX_JOIN_S - 0.1)
            peer.is_fresh = True

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(appear)
            await joining.run()
            assert joining.plan.n_answers == 0
            assert joining.plan.n_asked == 1
            assert joining.plan.find_late(joining.loop.time() + 1.0) == peer.address

    run_joining({"127.0.0.21": None}, test)
