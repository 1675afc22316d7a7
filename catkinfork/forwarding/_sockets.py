"""State of sockets that the event loop does not tell."""

import fcntl
import select
import struct
import termios


def count_unacknowledged(sock):
    """Return the number of bytes that the peer of a TCP socket has not acknowledged.

    :param sock: socket, or the stand-in of the event loop for one.
    """
    size = struct.Struct("i")
    return size.unpack(fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(size.size)))[
        0
    ]


def poll_socket(sock, events):
    """Return whether any of the polled events is pending on a socket.

    :param sock: socket, or the stand-in of the event loop for one.
    :param events: ``select.POLL...`` flags.
    """
    poll = select.poll()
    poll.register(sock, events)
    return bool(poll.poll(0))
