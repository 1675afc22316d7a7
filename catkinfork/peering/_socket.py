"""UDP socket for the state exchange between forwarders."""

import asyncio

from catkinfork.peering._frames import decode_frame


class PeerSocket(asyncio.DatagramProtocol):
    """Receives frames and sends datagrams.

    :param on_frame: callable that takes a :class:`Frame`.
    :param port: UDP port that all forwarders use.
    """

    def __init__(self, on_frame, port):
        self.on_frame = on_frame
        self.port = port
        self.transport = None
        self.n_malformed = 0
        self.n_errors = 0

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        frame = decode_frame(data)
        if frame is None:
            self.n_malformed += 1
        else:
            self.on_frame(frame)

    def error_received(self, exc):
        # Reported for peers that are down; PeerDirectory detects those by silence.
        self.n_errors += 1

    def send(self, address, data):
        """Send a datagram to a peer."""
        try:
            self.transport.sendto(data, (address, self.port))
        except (OSError, ValueError):
            # An address of another family, which peers may name.
            self.n_errors += 1
