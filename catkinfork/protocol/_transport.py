"""Transport of the internal protocol: one Pull socket and one Push socket per peer."""

from collections import deque
from contextlib import closing
from typing import NamedTuple

import anyio
import pynng

from catkinfork.protocol._codec import MAX_FRAME_BYTES, decode_frame, encode_frame
from catkinfork.protocol._errors import ProtocolError

MAX_QUEUED_FRAMES = 4096
SEND_TIMEOUT_MS = 2000
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 500
RECEIVE_BUFFER_FRAMES = 256
LINK_IDLE_TIMEOUT_S = 60.0


class Traffic(NamedTuple):
    """Number and size of the messages of one type in one direction since the start.

    :param message: name of the message type.
    :param direction: ``sent`` or ``received``.
    :param n_messages: number of messages.
    :param n_bytes: total size of their frames.
    """

    message: str
    direction: str
    n_messages: int
    n_bytes: int


class Link:
    """Outbound connection to one peer, with its send queue.

    :param destination: internal address ``host:port``.
    """

    def __init__(self, destination):
        self.destination = destination
        self.send_queue = deque()
        self.wake_event = anyio.Event()
        self.socket = None
        self.is_closed = False

    def close(self):
        """Close the link; a blocked send fails with an error that the socket is closed.

        The task is not cancelled, because a cancelled send of pynng raises a plain
        ``CancelledError``, which would cancel the surrounding task group.
        """
        self.is_closed = True
        self.wake_event.set()
        if self.socket is not None:
            self.socket.close()


class Transport:
    """Sends and receives the messages of one process.

    :param address: internal address ``host:port`` to listen on.
    :param keys: :class:`KeyRing` of the fleet.
    :param identity: callable that returns the current :class:`Sender`.
    :param on_message: called with the sender and the message of each valid frame.
    :param on_reject: called with a :class:`ProtocolError` for each invalid frame.
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
        """Bind the internal address.

        :raises pynng.exceptions.AddressInUse: if another process holds the port.
        """
        self.socket = pynng.Pull0(
            recv_max_size=MAX_FRAME_BYTES, recv_buffer_size=RECEIVE_BUFFER_FRAMES
        )
        self.socket.listen(f"tcp://{self.address}")

    async def run(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        """Receive until cancelled; each link sends in a task of its own."""
        with closing(self.socket):
            async with anyio.create_task_group() as self.tasks:
                task_status.started()
                try:
                    await self.receive()
                finally:
                    self.tasks.cancel_scope.cancel()

    async def receive(self):
        """Receive frames and pass each valid message to ``on_message``."""
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
        """Count a message and the bytes of its frame."""
        key = (type(message).__name__, direction)
        n_before, bytes_before = self.traffic.get(key, (0, 0))
        self.traffic[key] = (n_before + 1, bytes_before + n_bytes)

    def send(self, destination, message):
        """Queue a message; a message to this process itself bypasses the sockets.

        If the queue is full, its oldest frame is dropped.

        :param destination: internal address of the peer.
        :param message: one of ``MESSAGE_TYPES``.
        :raises FrameTooLargeError: if the frame exceeds the limit of its message type.
        """
        if destination == self.address:
            self.tasks.start_soon(self.deliver_locally, message)
            return
        frame = encode_frame(self.keys, self.identity(), message)
        link = self.links.get(destination)
        if link is None:
            link = self.links[destination] = Link(destination)
            self.tasks.start_soon(self.run_link, link)
        if len(link.send_queue) >= MAX_QUEUED_FRAMES:
            link.send_queue.popleft()
            self.n_dropped += 1
        self.note_traffic(message, "sent", len(frame))
        link.send_queue.append(frame)
        link.wake_event.set()

    async def deliver_locally(self, message):
        """Deliver a message that this process has sent to itself."""
        self.on_message(self.identity(), message)

    def replace(self, destination):
        """Close the connection to a peer; the next message opens a new one."""
        link = self.links.pop(destination, None)
        if link is not None:
            link.close()

    async def run_link(self, link):
        """Send the frames queued for one peer until the link is replaced or idle."""
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
                with anyio.move_on_after(LINK_IDLE_TIMEOUT_S) as idle_scope:
                    await link.wake_event.wait()
                if idle_scope.cancelled_caught:
                    break
                link.wake_event = anyio.Event()
                await self.flush(link, socket)
        if self.links.get(link.destination) is link:
            del self.links[link.destination]

    async def flush(self, link, socket):
        """Send the queued frames of a link; drop them if a send times out."""
        while link.send_queue and not link.is_closed:
            frame = link.send_queue.popleft()
            try:
                await socket.asend(frame)
            except pynng.exceptions.Timeout:
                self.n_dropped += 1 + len(link.send_queue)
                link.send_queue.clear()
                return
            except pynng.exceptions.NNGException:
                self.n_dropped += 1
                continue

    def list_traffic(self):
        """Return a :class:`Traffic` for each message type and direction."""
        return [Traffic(*key, *counts) for key, counts in sorted(self.traffic.items())]
