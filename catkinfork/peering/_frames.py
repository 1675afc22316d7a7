"""Datagram format of the state exchange between forwarders."""

from typing import NamedTuple

import msgspec

# Largest datagram that no link fragments.
MAX_FRAME_BYTES = 1400


class LoadEntry(NamedTuple):
    """Load from the sender at a backend server."""

    backend: int
    n_in_flight: int
    n_pending_tokens: int
    n_memory_tokens: int


class UsageEntry(NamedTuple):
    """Service tokens requested and received by a workspace since the sender's start."""

    service: int
    workspace: int
    n_requested_tokens: int
    n_received_tokens: int


class RetryEntry(NamedTuple):
    """Requests and retries of a service since the sender's start."""

    service: int
    n_requests: int
    n_retries: int


class PartEntry(NamedTuple):
    """A prompt part that the sender has placed at a backend server."""

    backend: int
    part: int
    n_tokens: int


class PriorityEntry(NamedTuple):
    """Priority of the first queued job of a service at the sender.

    :param priority: recent service of its workspace in tokens; lower values go first.
    """

    service: int
    priority: float


class SuspectEntry(NamedTuple):
    """Crashes that the sender has seen for a fingerprint; 0 once a request succeeds."""

    fingerprint: int
    n_crashes: int


class PartCrashEntry(NamedTuple):
    """A crash that is counted against a prompt part.

    :param backend: hash of the backend server that crashed.
    :param age_ms: time since the crash, milliseconds.
    """

    part: int
    backend: int
    age_ms: int


class ServedPartEntry(NamedTuple):
    """A prompt part that a served request has cleared of crashes.

    :param age_ms: time since its response began, milliseconds.
    """

    part: int
    age_ms: int


class LeavingEntry(NamedTuple):
    """A backend server that says that it is leaving.

    :param started_ms: Unix time of its start, milliseconds.
    """

    backend: int
    started_ms: int


class RateLimitEntry(NamedTuple):
    """Request rate that a backend server has named to the sender.

    :param started_ms: Unix time of its start, milliseconds.
    :param rate: requests per second, infinite if the limit was lifted.
    :param age_ms: time since the latest response that stated it, milliseconds.
    """

    backend: int
    started_ms: int
    rate: float
    age_ms: int


class StreamEntry(NamedTuple):
    """Streams that began at one version of a service.

    :param version: version of the backend server, empty if it is uncertain.
    :param streams: pairs of the key of a stream and the time for which its caller may
        resume it, milliseconds.
    """

    service: int
    version: str
    streams: list[tuple[int, int]]


class Frame(msgspec.Struct, array_like=True):
    """State of one forwarder for its peers.

    Loads and counts are totals of the sender, so a later frame makes up for a lost one.

    :param sender: IP address of the sender.
    :param incarnation: Unix milliseconds of the sender's start.
    :param sequence: sequence number of the frame within the incarnation.
    :param is_leaving: whether the sender is draining.
    :param version: version of the configuration in force.
    :param revision: latest store revision that the sender has read.
    :param era: era of the store to which the revision belongs.
    :param is_full: whether the loads cover all backend servers at which the sender has
        requests in flight.
    :param peers: IP addresses of forwarders that the sender knows.
    :param stream_questions: keys of streams whose origin the sender asks for.
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
    part_crashes: list[PartCrashEntry] = []
    served_parts: list[ServedPartEntry] = []
    era: int = 0
    leaving: list[LeavingEntry] = []
    rate_limits: list[RateLimitEntry] = []
    streams: list[StreamEntry] = []
    stream_questions: list[int] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame):
    """Encode a frame as a datagram."""
    return _ENCODER.encode(frame)


def decode_frame(data):
    """Return the frame of a datagram, or None if it is malformed."""
    try:
        return _DECODER.decode(data)
    except msgspec.DecodeError:
        return None
