"""What forwarders tell once, as one document for a forwarder that starts."""

from math import inf
from typing import Annotated

import msgspec

from catkinfork.balancing import PartCrash, StreamOrigin
from catkinfork.peering._ages import compute_age_ms
from catkinfork.peering._frames import (
    MALFORMED,
    CrashCountEntry,
    LongHash,
    PartCrashEntry,
    PartRunEntry,
    ServedPartEntry,
    Total,
    Version,
    decode_valid_entries,
)
from catkinfork.peering._stream_notices import MAX_LIFETIME_MS
from catkinfork.topology import MAX_NAME_LENGTH

# Streams of one entry, so that an odd one takes few others out.
MAX_STREAMS_PER_ENTRY = 64

Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]
# Service and version of a backend server, the version empty if it is uncertain, and
# pairs of the key of a stream and the time for which its caller may resume it,
# milliseconds.
StreamsEntry = tuple[Name, Version, list[tuple[LongHash, Total]]]
# Service and version of a backend server that has left or has started again, and the
# time since then, milliseconds.
LeftEntry = tuple[Name, Version, Total]
# Service, and the requests and retries of all forwarders within the window of its retry
# budget.
BudgetEntry = tuple[Name, Total, Total]


class Snapshot(msgspec.Struct, array_like=True):
    """State that a forwarder has been told once, or has told its peers once.

    New fields go to the end: a forwarder of another build ignores those that it does
    not know.

    :param is_joined: whether the sender itself has finished asking its peers.
    :param known_ms: time for which the sender has been told everything, directly or by
        the snapshots of others, milliseconds.
    :param streams: origins of streams.
    :param left: versions whose backend servers have left.
    :param crash_counts: crashes of whole requests.
    :param part_crashes: crashes of prompt parts.
    :param served_parts: prompt parts that were served.
    :param part_runs: durations of the requests that crashes of prompt parts ended.
    :param budgets: use of the retry budgets.
    """

    is_joined: bool
    known_ms: Total
    streams: list[StreamsEntry] = []
    left: list[LeftEntry] = []
    crash_counts: list[CrashCountEntry] = []
    part_crashes: list[PartCrashEntry] = []
    served_parts: list[ServedPartEntry] = []
    part_runs: list[PartRunEntry] = []
    budgets: list[BudgetEntry] = []


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Snapshot)


def decode_snapshot(data):
    """Return the :class:`Snapshot` of a peer without odd entries, or None."""
    try:
        return _DECODER.decode(data)
    except MALFORMED:
        return decode_valid_entries(data, Snapshot)


class SnapshotExchange:
    """Builds and applies snapshots.

    :param balancer: :class:`Balancer`.
    :param crash_notices: :class:`CrashNotices`.
    :param now: monotonic time at which the process started, seconds.

    ``known_since`` is the monotonic time since which everything is known that was told,
    and ``is_joined`` states whether the peers have been asked.
    """

    def __init__(self, balancer, crash_notices, now):
        self.balancer = balancer
        self.crash_notices = crash_notices
        self.known_since = now
        self.is_joined = False

    def build(self, now):
        """Return the snapshot as MessagePack."""
        snapshot = Snapshot(
            self.is_joined,
            compute_age_ms(self.known_since, now),
            self.list_streams(now),
            self.list_left(now),
            [
                self.crash_notices.build_entry(count, now)
                for count in self.balancer.crash_guard.suspects.list_counts(now)
            ],
            self.list_part_crashes(now),
            [
                ServedPartEntry(part, compute_age_ms(started_at, now))
                for part, started_at in self.balancer.crash_guard.parts.served.items()
            ],
            self.list_part_runs(),
            [
                (service, *pool.retry_budget.count_all(now))
                for service, pool in self.balancer.pools.items()
            ],
        )
        return _ENCODER.encode(snapshot)

    def apply(self, snapshot, now, is_late=False):
        """Record what a peer knows.

        :param snapshot: :class:`Snapshot`.
        :param is_late: whether the forwarder was ready before. It has counted requests
            and retries from the frames of its peers since, which would count twice.
        """
        self.record_streams(snapshot.streams, now)
        for service, version, age_ms in snapshot.left:
            left_at = now - age_ms / 1000
            self.balancer.registry.versions.record_told(service, version, left_at)
        self.crash_notices.record_entries(snapshot.crash_counts, now)
        self.record_parts(snapshot, now)
        for service, n_requests, n_retries in () if is_late else snapshot.budgets:
            pool = self.balancer.pools.get(service)
            if pool is not None:
                pool.retry_budget.record_told(n_requests, n_retries, now)
        if snapshot.is_joined:
            known_since = now - snapshot.known_ms / 1000
            self.known_since = min(self.known_since, known_since)

    def list_streams(self, now):
        """Return the entries of all streams that may still be resumed."""
        by_origin = {}
        for key, (origin, expires_at) in self.balancer.streams.records.items():
            if now < expires_at:
                lifetime_ms = int((expires_at - now) * 1000)
                by_origin.setdefault(origin, []).append((key, lifetime_ms))
        entries = []
        for origin, streams in by_origin.items():
            service, version = origin or ("", "")
            for start in range(0, len(streams), MAX_STREAMS_PER_ENTRY):
                some = streams[start : start + MAX_STREAMS_PER_ENTRY]
                entries.append((service, version, some))
        return entries

    def list_part_crashes(self, now):
        """Return the entries of the crashes of all prompt parts."""
        return [
            PartCrashEntry(part, backend, compute_age_ms(crashed_at, now))
            for part, suspect in self.balancer.crash_guard.parts.suspects.items()
            for backend, crashed_at in suspect.crashed_at.items()
        ]

    def list_part_runs(self):
        """Return the durations of the requests that crashes of prompt parts ended."""
        return [
            PartRunEntry(part, backend, compute_age_ms(placed_at, crashed_at))
            for part, suspect in self.balancer.crash_guard.parts.suspects.items()
            for backend, crashed_at in suspect.crashed_at.items()
            if (placed_at := suspect.placed_at[backend]) > -inf
        ]

    def record_parts(self, snapshot, now):
        """Record which prompt parts were served, then the crashes since."""
        crash_guard = self.balancer.crash_guard
        runs = {PartCrash(*crash): run_ms for *crash, run_ms in snapshot.part_runs}
        for part, age_ms in snapshot.served_parts:
            crash_guard.parts.record_served(part, now - age_ms / 1000)
        for part, backend, age_ms in snapshot.part_crashes:
            crash = PartCrash(part, backend)
            crashed_at = now - age_ms / 1000
            placed_at = crashed_at - runs.get(crash, inf) / 1000
            crash_guard.record_peer_part_crash(crash, crashed_at, placed_at)

    def list_left(self, now):
        """Return the entries of the versions whose backend servers have left."""
        return [
            (service, version, compute_age_ms(left_at, now))
            for (
                service,
                version,
            ), left_at in self.balancer.registry.versions.left.items()
        ]

    def record_streams(self, entries, now):
        """Record the origins of streams."""
        for service, version, streams in entries:
            origin = StreamOrigin(service, version) if version else None
            for key, lifetime_ms in streams:
                lifetime_s = min(MAX_LIFETIME_MS, lifetime_ms) / 1000
                self.balancer.streams.record_told(key, origin, lifetime_s, now)
