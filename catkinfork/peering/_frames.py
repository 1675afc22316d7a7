"""Datagram format of the state exchange between forwarders."""

from typing import Annotated, NamedTuple, get_args, get_origin

import msgspec

from catkinfork.topology import MAX_INTEGER, MAX_NAME_LENGTH, is_ip_address

# Largest datagram that no link fragments.
MAX_FRAME_BYTES = 1400
# Bounds of what a peer tells. Sums and differences of these values keep all digits in
# floating point.
MAX_TOTAL = 2**53
MAX_HASH = 2**32 - 1

Hash = Annotated[int, msgspec.Meta(ge=0, le=MAX_HASH)]
# Hash of 64 bit, without a sign.
LongHash = Annotated[int, msgspec.Meta(ge=0)]
Total = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOTAL)]
Integer = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
Priority = Annotated[float, msgspec.Meta(ge=0.0, le=float(MAX_TOTAL))]
Version = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
# Not a number is no rate either; infinity is.
Rate = Annotated[float, msgspec.Meta(ge=0.0)]


class LoadEntry(NamedTuple):
    """Load from the sender at a backend server."""

    backend: Hash
    n_in_flight: Total
    n_pending_tokens: Total
    n_memory_tokens: Total


class UsageEntry(NamedTuple):
    """Service tokens requested and received by a workspace since the sender's start."""

    service: Hash
    workspace: Hash
    n_requested_tokens: Total
    n_received_tokens: Total


class RetryEntry(NamedTuple):
    """Requests and retries of a service since the sender's start."""

    service: Hash
    n_requests: Total
    n_retries: Total


class PartEntry(NamedTuple):
    """A prompt part that the sender has placed at a backend server."""

    backend: Hash
    part: LongHash
    n_tokens: Total


class PriorityEntry(NamedTuple):
    """Priority of the first queued job of a service at the sender.

    :param priority: recent service of its workspace in tokens; lower values go first.
    """

    service: Hash
    priority: Priority


class SuspectEntry(NamedTuple):
    """Crashes that the sender has seen for a fingerprint; 0 once a request succeeds."""

    fingerprint: LongHash
    n_crashes: Total


class CrashCountEntry(NamedTuple):
    """Crashes of a fingerprint that one process has seen, as the sender knows them.

    :param source: hash of the address and the incarnation of that process.
    :param crash_age_ms: time since the last crash at any forwarder, milliseconds.
    :param seen_age_ms: time since the last crash or refused request, milliseconds.
    """

    fingerprint: LongHash
    source: Hash
    n_crashes: Total
    crash_age_ms: Total
    seen_age_ms: Total


class PartCrashEntry(NamedTuple):
    """A crash that is counted against a prompt part.

    :param backend: hash of the backend server that crashed.
    :param age_ms: time since the crash, milliseconds.
    """

    part: LongHash
    backend: Hash
    age_ms: Total


class ServedPartEntry(NamedTuple):
    """A prompt part that a served request has cleared of crashes.

    :param age_ms: time since its response began, milliseconds.
    """

    part: LongHash
    age_ms: Total


class PartRunEntry(NamedTuple):
    """Duration of the latest request that a crash ended, by prompt part.

    Apart from the crash, so that earlier releases read that.

    :param backend: hash of the backend server that crashed.
    :param run_ms: time from the placement of the request to the crash, milliseconds.
    """

    part: LongHash
    backend: Hash
    run_ms: Total


class SurvivorEntry(NamedTuple):
    """A backend server that has survived what looked like a crash.

    :param backend: hash of its name and start.
    :param age_ms: time since the event that proves it, milliseconds.
    """

    backend: Hash
    age_ms: Total


class PartProbeEntry(NamedTuple):
    """A request with a refused prompt part that was placed to learn if it crashes.

    :param age_ms: time since it was placed, milliseconds.
    """

    part: LongHash
    age_ms: Total


class LeavingEntry(NamedTuple):
    """A backend server that says that it is leaving.

    :param started_ms: Unix time of its start, milliseconds.
    """

    backend: Hash
    started_ms: Integer


class RateLimitEntry(NamedTuple):
    """Request rate that a backend server has named to the sender.

    :param started_ms: Unix time of its start, milliseconds.
    :param rate: requests per second, infinite if the limit was lifted.
    :param age_ms: time since the latest response that stated it, milliseconds.
    """

    backend: Hash
    started_ms: Integer
    rate: Rate
    age_ms: Total


class SpeedEntry(NamedTuple):
    """Times to the first event at a backend server, totals since the sender's start.

    :param started_ms: Unix time of its start, milliseconds.
    :param n_attempts: attempts of the sender that have had their first event.
    :param time_us: sum of the times until then, microseconds.
    :param n_tokens: sum of the work ahead of these events, tokens.
    """

    backend: Hash
    started_ms: Integer
    n_attempts: Total
    time_us: Total
    n_tokens: Total


class StreamEntry(NamedTuple):
    """Streams that began at one version of a service.

    :param version: version of the backend server, empty if it is uncertain.
    :param streams: pairs of the key of a stream and the time for which its caller may
        resume it, milliseconds.
    """

    service: Hash
    version: Version
    streams: list[tuple[LongHash, Total]]


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
    :param withdrawn: crash counts that have become lower, as a server survived.
    :param leaving_since: Unix milliseconds at which the sender began to drain, 0 if it
        does not, or is of an earlier release.
    :param has_joined: whether peers have told the sender what it missed before its
        start.
    """

    sender: str
    incarnation: Integer
    sequence: Integer
    is_leaving: bool
    version: Integer
    revision: Integer
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
    era: Integer = 0
    leaving: list[LeavingEntry] = []
    rate_limits: list[RateLimitEntry] = []
    streams: list[StreamEntry] = []
    stream_questions: list[LongHash] = []
    crash_counts: list[CrashCountEntry] = []
    part_probes: list[PartProbeEntry] = []
    part_runs: list[PartRunEntry] = []
    survivors: list[SurvivorEntry] = []
    withdrawn: list[SuspectEntry] = []
    leaving_since: Integer = 0
    has_joined: bool = False
    speeds: list[SpeedEntry] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)
_LENIENT_DECODER = msgspec.msgpack.Decoder(list[msgspec.Raw])
# Errors of a frame that cannot be decoded; a nested one exceeds the recursion limit.
MALFORMED = (msgspec.DecodeError, RecursionError)


def encode_frame(frame):
    """Encode a frame as a datagram."""
    return _ENCODER.encode(frame)


def decode_frame(data):
    """Return the frame of a datagram, or None if it is malformed.

    Entries with values that cannot be right are left out.
    """
    try:
        frame = _DECODER.decode(data)
    except MALFORMED:
        frame = decode_valid_entries(data, Frame)
    if frame is None or not is_ip_address(frame.sender):
        return None
    frame.peers = [address for address in frame.peers if is_ip_address(address)]
    return frame


def decode_valid_entries(data, message_type):
    """Return a message without its odd entries, or None.

    The fields that are not lists have to be right.

    :param message_type: class of the message, such as :class:`Frame`.
    """
    try:
        values = _LENIENT_DECODER.decode(data)
        fields = msgspec.structs.fields(message_type)
        pairs = zip(values, fields, strict=False)
        return message_type(
            *[decode_field(value, field.type) for value, field in pairs]
        )
    except (*MALFORMED, TypeError):
        # TypeError if fields are missing.
        return None


def decode_field(value, field_type):
    """Return a field of a frame; a list without its odd entries.

    :param value: field as MessagePack.
    :raises MALFORMED: if it is malformed.
    """
    if get_origin(field_type) is not list:
        return msgspec.msgpack.decode(value, type=field_type)
    decoder = msgspec.msgpack.Decoder(*get_args(field_type))
    entries = []
    for entry in _LENIENT_DECODER.decode(value):
        try:
            entries.append(decoder.decode(entry))
        except MALFORMED:
            continue
    return entries
