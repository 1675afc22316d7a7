"""Streams that callers resume, and the record of where streams began."""

from math import inf

from catkinfork.balancing import (
    STREAM_ELSEWHERE,
    STREAM_UNKNOWN,
    UNCERTAIN,
    StreamOrigin,
    compute_stream_key,
)
from catkinfork.forwarding._numbers import parse_number
from catkinfork.forwarding._requests import MAX_REQUEST_ID_BYTES
from catkinfork.topology import STREAMING

# Time for which the answer of a peer is awaited, seconds: two frames of a large fleet.
ORIGIN_TIMEOUT_S = 0.4
# Time beyond the deadline of its caller for which the origin of a stream is kept, and
# the longest time that is kept at all, seconds.
RECORD_MARGIN_S = 2.0
MAX_RECORD_S = 600.0


class StreamResumption:
    """Finds where a stream goes on that its caller resumes, then submits its job.

    A peer is asked if this forwarder does not know, as it may have started later. A
    stream of unknown origin is refused: joined from two versions, its text would be
    wrong without a sign of it.

    :param exchange: :class:`Exchange`.

    ``source`` states how the origin became known, for the log, and ``expires_at`` is
    the monotonic time until which an answer of the peers is awaited.
    """

    def __init__(self, exchange):
        self.exchange = exchange
        self.key = find_resumed_key(exchange)
        self.expires_at = inf
        self.source = ""

    def start(self, now):
        """Submit the job, refuse it, or ask the peers."""
        if self.decide(now):
            return
        server = self.exchange.server
        if self.key is None or server.balancer.peers.count_fresh(now) < 2:
            self.refuse(STREAM_UNKNOWN)
            return
        server.balancer.streams.ask(self.key)
        self.expires_at = now + ORIGIN_TIMEOUT_S
        server.resumptions.add(self)

    def check(self, now):
        """Decide once a peer has answered, or refuse the job after the timeout.

        :returns: whether the resumption has been decided.
        """
        if self.exchange.is_done or self.decide(now):
            return True
        if now < self.expires_at:
            return False
        self.refuse(STREAM_UNKNOWN)
        return True

    def decide(self, now):
        """Submit or refuse the job if enough is known.

        :returns: whether it was decided.
        """
        job = self.exchange.job
        finding = self.exchange.server.balancer.origins.find(job.route, self.key, now)
        self.source = finding.source
        if finding.source == UNCERTAIN:
            self.refuse(STREAM_UNKNOWN)
            return True
        if finding.origin is None:
            return False
        services = {share.service for share in job.route.targets if share.weight > 0}
        if finding.origin.service not in services:
            self.refuse(STREAM_ELSEWHERE)
            return True
        job.service, job.version = finding.origin
        self.exchange.submit(now)
        return True

    def refuse(self, reason):
        """Refuse the request, which has not run."""
        exchange = self.exchange
        exchange.refuse(exchange.server.balancer.refusals.refuse_stream(reason))


def is_resumption(exchange):
    """Return whether a caller resumes a stream that has sent it events before."""
    if exchange.job.route.kind != STREAMING:
        return False
    last_event_id = exchange.server.names.last_event_id
    return bool(exchange.request.find_header(last_event_id))


def find_resumed_key(exchange):
    """Return the key of the stream that a caller resumes, or None.

    A request that names no stream, several ones or an id that is no request id has
    none.
    """
    name = exchange.server.names.resumed_id
    ids = [value for header, value in exchange.request.headers if header == name]
    if len(ids) != 1 or not 0 < len(ids[0]) <= MAX_REQUEST_ID_BYTES:
        return None
    return compute_stream_key(exchange.job.workspace, ids[0])


def record_origin(exchange, now):
    """Record where a stream began when its first event is relayed.

    A stream that is resumed keeps the id of the request that began it.
    """
    job = exchange.job
    if not job.route.is_resumable:
        return
    key = exchange.resumption.key if exchange.resumption is not None else None
    if key is None:
        key = compute_stream_key(job.workspace, job.request_id.encode("latin-1"))
    origin = StreamOrigin(job.service, job.version)
    lifetime_s = compute_record_lifetime_s(exchange)
    exchange.server.balancer.streams.record(key, origin, lifetime_s, now)


def compute_record_lifetime_s(exchange):
    """Return the time for which a caller may resume a stream, seconds.

    A caller may wait for longer than the timeout of the route, which ends one request.
    """
    value = exchange.request.find_header(exchange.server.names.deadline_ms) or b""
    stated_s = (parse_number(value) or 0) / 1000
    longest_s = max(stated_s, exchange.job.route.timeout_s)
    return min(MAX_RECORD_S, longest_s) + RECORD_MARGIN_S
