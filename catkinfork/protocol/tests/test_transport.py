"""Transport over real sockets: replacement of links and rejected frames."""

import anyio
import pynng
import pytest

from catkinfork.protocol import (
    MAX_FRAME_BYTES,
    BadSignatureError,
    Heartbeat,
    KeyRing,
    Sender,
    Transport,
)
from standins.local_fleet import find_free_ports

WAIT_S = 10.0
N_REPLACEMENTS = 30


class Node:
    """A transport, the messages it has received and the frames it has rejected.

    :param keys: :class:`KeyRing`.
    """

    def __init__(self, keys):
        [port] = find_free_ports(1)
        self.address = f"127.0.0.1:{port}"
        self.received = []
        self.rejected = []
        self.transport = Transport(
            self.address,
            keys,
            lambda: Sender(self.address, 1),
            lambda sender, message: self.received.append(message.sequence),
            self.rejected.append,
        )

    def send(self, other, sequence):
        """Send a numbered message to another node."""
        message = Heartbeat(sequence, "router", "gasabo")
        self.transport.send(other.address, message)


@pytest.fixture
def keys(tmp_path):
    path = tmp_path / "fleet.keys"
    path.write_text("00000001:" + "11" * 32)
    ring = KeyRing(path)
    ring.load()
    return ring


async def wait_for(condition):
    """Wait until a condition holds."""
    with anyio.fail_after(WAIT_S):
        while not condition():
            await anyio.sleep(0.005)


def run_nodes(nodes, scenario):
    """Run the transports of all nodes in the background of a scenario."""

    async def run():
        async with anyio.create_task_group() as tasks:
            for node in nodes:
                node.transport.listen()
                await tasks.start(node.transport.run)
            await scenario()
            tasks.cancel_scope.cancel()

    anyio.run(run)


def test_replacing_a_link_does_not_affect_other_links(keys):
    """Guards against a replacement that stops the receiver or other links.

    It would do so if the link's task were cancelled during a send.
    """
    first, second, third = Node(keys), Node(keys), Node(keys)

    async def scenario():
        for sequence in range(N_REPLACEMENTS):
            first.send(second, sequence)
            first.send(third, sequence)
            if sequence % 3:
                await anyio.sleep(0.002 * (sequence % 5))
            first.transport.replace(second.address)
            first.send(second, 1000 + sequence)
            await wait_for(lambda wanted=1000 + sequence: wanted in second.received)
        await wait_for(lambda: len(third.received) == N_REPLACEMENTS)
        second.send(first, 1)
        await wait_for(lambda: first.received == [1])

    run_nodes([first, second, third], scenario)
    assert third.received == list(range(N_REPLACEMENTS))


def test_link_to_unreachable_peer_can_be_replaced(keys):
    """Guards against a blocked send that a replacement of the link cannot end."""
    first, second = Node(keys), Node(keys)
    [port] = find_free_ports(1)
    unreachable = f"127.0.0.1:{port}"

    async def scenario():
        for sequence in range(N_REPLACEMENTS):
            message = Heartbeat(sequence, "router", "gasabo")
            first.transport.send(unreachable, message)
            await anyio.sleep(0.001 * (sequence % 4))
            first.transport.replace(unreachable)
        first.send(second, 7)
        second.send(first, 8)
        await wait_for(lambda: second.received == [7] and first.received == [8])

    run_nodes([first, second], scenario)


def test_message_to_own_address_is_delivered(keys):
    """Guards against a dispatcher that cannot reach the router in its own process."""
    node = Node(keys)

    async def scenario():
        node.send(node, 5)
        await wait_for(lambda: node.received == [5])

    run_nodes([node], scenario)


def test_frames_with_another_key_are_rejected(keys, tmp_path):
    """Guards against a foreign frame that is accepted or that stops the receiver."""
    path = tmp_path / "other.keys"
    path.write_text("00000001:" + "22" * 32)
    other_keys = KeyRing(path)
    other_keys.load()
    node, outsider, member = Node(keys), Node(other_keys), Node(keys)

    async def scenario():
        outsider.send(node, 1)
        await wait_for(lambda: node.rejected)
        member.send(node, 2)
        await wait_for(lambda: node.received)

    run_nodes([node, outsider, member], scenario)
    assert isinstance(node.rejected[0], BadSignatureError)
    assert node.received == [2]


def test_oversized_frame_is_dropped_by_the_socket(keys):
    """Guards against a frame that exhausts the memory of a process."""
    node, member = Node(keys), Node(keys)

    async def scenario():
        with pynng.Push0(send_timeout=2000) as raw_socket:
            raw_socket.dial(f"tcp://{node.address}", block=True)
            await raw_socket.asend(b"x" * (MAX_FRAME_BYTES + 1))
        member.send(node, 2)
        await wait_for(lambda: node.received == [2])

    run_nodes([node, member], scenario)
    assert node.rejected == []
