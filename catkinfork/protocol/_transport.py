"""Transport of the inner protocol: one Pull socket, one Push socket for each peer."""

from collections import deque
from contextlib import closing
from typing import NamedTuple

import anyio
import pynng

from catkinfork.protocol._codec import MAX_FRAME_BYTES, decode_frame, encode_frame
from catkinfork.protocol._errors import ProtocolError

OUTBOX_MESSAGES = 4096
SEND_TIMEOUT_MS = 2000
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
RECEIVE_BUFFER_MESSAGES = 256
IDLE_LINK_S = 60.0


class Traffic(NamedTuple):
    """Messages of one type in one direction since the start.

    :param message: name of the message type.
    :param direction: ``sent`` or ``received``.
    :param n_messages: number of messages.
    :param n_bytes: bytes of their frames.
    """

    message: str
    direction: str
    n_messages: int
    n_bytes: int


class Link:
    """Outgoing connection to one peer.

    :param destination: inner address ``host:port``.
    """

    def __init__(self, destination):
        self.destination = destination
        self.outbox = deque()
        self.wake = anyio.Event()
        self.socket = None
        self.is_closed = False

    def close(self):
        """End the link; a send that is blocked fails as closed.

        The task is not cancelled, because a cancelled send of pynng raises a plain
        ``CancelledError``, which ends the surrounding task group.
        """
        self.is_closed = True
        self.wake.set()
        if self.socket is not None:
            self.socket.close()


class Transport:
    """Sends and receives the messages of one process.

    :param address: inner address ``host:port`` on which to listen.
    :param keys: :class:`KeyRing` of the fleet.
    :param identity: callable that returns the current :class:`Sender`.
    :param on_message: callable that takes a sender and a message.
    :param on_reject: callable that takes a :class:`ProtocolError`.
    """

    def __init__(self, address, keys, identity, on_message, on_reject):
        self.address = address
        self.keys = keys
        self.identity = identity
        self.on_message = on_message
        self.on_reject = on_reject
        self.links = {}
        self.tasks = None
        self.socket = None
        self.traffic = {}
        self.n_dropped = 0

    def listen(self):
        """Bind the inner address.

        :raises pynng.exceptions.AddressInUse: if another process holds the port.
        """
        self.socket = pynng.Pull0(
            recv_max_size=MAX_FRAME_BYTES, recv_buffer_size=RECEIVE_BUFFER_MESSAGES
        )
        self.socket.listen(f"tcp://{self.address}")

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Receive until cancelled; links send in tasks beside it."""
        with closing(self.socket):
            async with anyio.create_task_group() as self.tasks:
                task_status.started()
                try:
                    await self.receive()
                finally:
                    self.tasks.cancel_scope.cancel()

    async def receive(self):
        """Hand every valid message to ``on_message``."""
        while True:
            frame = await self.socket.arecv()
            try:
                sender, message = decode_frame(self.keys, frame)
            except ProtocolError as error:
                self.on_reject(error)
                continue
            self.note_traffic(message, "received", len(frame))
            self.on_message(sender, message)

    def note_traffic(self, message, direction, n_bytes):
        """Count a message."""
        key = (type(message).__name__, direction)
        n_before, bytes_before = self.traffic.get(key, (0, 0))
        self.traffic[key] = (n_before + 1, bytes_before + n_bytes)

    def send(self, destination, message):
        """Queue a message; a message to this process itself is handed over directly.

        :param destination: inner address of the peer.
        :param message: one of ``MESSAGE_TYPES``.
        :raises FrameTooLargeError: if the message is too large for its kind.
        """
        if destination == self.address:
            self.tasks.start_soon(self.deliver_locally, message)
            return
        frame = encode_frame(self.keys, self.identity(), message)
        link = self.links.get(destination)
        if link is None:
            link = self.links[destination] = Link(destination)
            self.tasks.start_soon(self.run_link, link)
        if len(link.outbox) >= OUTBOX_MESSAGES:
            link.outbox.popleft()
            self.n_dropped += 1
        self.note_traffic(message, "sent", len(frame))
        link.outbox.append(frame)
        link.wake.set()

    async def deliver_locally(self, message):
        """Hand a message to this process itself."""
        self.on_message(self.identity(), message)

    def replace(self, destination):
        """Close the connection to a peer; the next message opens a new one."""
        link = self.links.pop(destination, None)
        if link is not None:
            link.close()

    async def run_link(self, link):
        """Send what is queued for one peer until the link is replaced or idle."""
        socket = pynng.Push0(
            send_timeout=SEND_TIMEOUT_MS,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        link.socket = socket
        with closing(socket):
            socket.tcp_nodelay = True
            socket.dial(f"tcp://{link.destination}", block=False)
            while not link.is_closed:
                with anyio.move_on_after(IDLE_LINK_S) as idle:
                    await link.wake.wait()
                if idle.cancelled_caught:
                    break
                link.wake = anyio.Event()
                await self.flush(link, socket)
        if self.links.get(link.destination) is link:
            del self.links[link.destination]

    async def flush(self, link, socket):
        """Send the queued frames of a link; drop them if the peer takes none."""
        while link.outbox and not link.is_closed:
            frame = link.outbox.popleft()
            try:
                await socket.asend(frame)
            except pynng.exceptions.Timeout:
                self.n_dropped += 1 + len(link.outbox)
                link.outbox.clear()
                return
            except pynng.exceptions.NNGException:
                self.n_dropped += 1
                continue

    def list_traffic(self):
        """Return the traffic since the start, a :class:`Traffic` for each type."""
        return [Traffic(*key, *counts) for key, counts in sorted(self.traffic.items())]
