"""Datagrams between forwarders."""

from hashlib import blake2b
from typing import NamedTuple

import msgspec

# Largest datagram that passes all links in one piece, bytes.
MAX_FRAME_BYTES = 1400


class LoadEntry(NamedTuple):
    """What the sender has in flight at a backend server."""

    backend: int
    n_in_flight: int
    n_pending_tokens: int
    n_memory_tokens: int


class UsageEntry(NamedTuple):
    """Service that a workspace has asked for and received, since the sender's start."""

    service: int
    workspace: int
    n_requested_tokens: int
    n_received_tokens: int


class RetryEntry(NamedTuple):
    """Requests and repeats of a service, since the sender's start."""

    service: int
    n_requests: int
    n_retries: int


class PartEntry(NamedTuple):
    """A prompt part that a backend server reads."""

    backend: int
    part: int
    n_tokens: int


class PriorityEntry(NamedTuple):
    """Turn of the first job of a service that waits at the sender.

    :param priority: recent service of its workspace in tokens; lower ones go first.
    """

    service: int
    priority: float


class SuspectEntry(NamedTuple):
    """Crashes that the sender has seen for a request; 0 once it has succeeded."""

    fingerprint: int
    n_crashes: int


class Frame(msgspec.Struct, array_like=True):
    """What a forwarder tells its peers. Each entry is a total of its sender.

    :param sender: IP number of the sender.
    :param incarnation: Unix milliseconds of the sender's start.
    :param sequence: number of the frame within the incarnation.
    :param is_leaving: whether the sender drains.
    :param version: version of the configuration in force.
    :param revision: revision of the store that the sender has seen.
    :param is_full: whether the loads name all backend servers at which the sender has
        requests in flight.
    """

    sender: str
    incarnation: int
    sequence: int
    is_leaving: bool
    version: int
    revision: int
    is_full: bool = False
    peers: list[str] = []
    loads: list[LoadEntry] = []
    uses: list[UsageEntry] = []
    repeats: list[RetryEntry] = []
    parts: list[PartEntry] = []
    suspects: list[SuspectEntry] = []
    turns: list[PriorityEntry] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame):
    """Return a frame as bytes."""
    return _ENCODER.encode(frame)


def decode_frame(data):
    """Return the frame of a datagram, or None if it cannot be read."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None


def hash_name(name):
    """Return a name as 32 bits, as frames hold it."""
    return int.from_bytes(blake2b(name.encode(), digest_size=4).digest(), "big")
