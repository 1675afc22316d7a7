"""Streams that callers resume, and the record of where streams began."""

import time
from math import inf

from catkinfork.balancing import (
    RECORDED,
    STREAM_ELSEWHERE,
    STREAM_UNKNOWN,
    UNCONFIRMED,
    UNKNOWN,
    StreamOrigin,
    compute_stream_key,
)
from catkinfork.forwarding._numbers import parse_event_number, parse_number
from catkinfork.forwarding._requests import MAX_REQUEST_ID_BYTES
from catkinfork.topology import STREAMING

# Time for which the answer of a peer is awaited, seconds, and what each forwarder adds
# to it: frames are sent less often in a larger fleet, and it takes two of them.
MIN_ORIGIN_TIMEOUT_S = 0.1
ORIGIN_TIMEOUT_PER_FORWARDER_S = 0.005
# Callers leave after 2 s without an event, or later; the engines are asked as well.
MAX_ORIGIN_TIMEOUT_S = 0.8
# Time for which a read of the store is awaited, seconds.
LIST_TIMEOUT_S = 0.6
# Time for which the answers of the engines are awaited, seconds.
LOOKUP_TIMEOUT_S = 0.8
# Time after a request by which all answers must be there, seconds.
MAX_DECISION_S = 1.8
# What is awaited.
NOTHING = ""
PEERS = "peers"
LIST = "list"
ENGINES = "engines"
# Time beyond the deadline of its caller for which the origin of a stream is kept, and
# the longest time that is kept at all, seconds.
RECORD_MARGIN_S = 2.0
MAX_RECORD_S = 600.0


class StreamResumption:
    """Finds where a stream goes on that its caller resumes, then submits its job.

    If this forwarder does not know, as it may have started later, or have been paused
    or cut off, it asks its peers. Then it reads the store, since a backend server that
    is not known yet may have begun the stream; and then it asks the engines, one of
    which keeps the prompt. A stream of unknown origin is refused: joined from two
    versions, its text would be wrong without a sign of it.

    :param exchange: :class:`Exchange`.

    ``asked_at`` is the monotonic time at which the request was read, ``source`` states
    how the origin became known, for the log, and ``expires_at`` is the monotonic time
    until which ``awaited`` is: ``peers``, ``list`` of the store, or ``engines``.
    """

    def __init__(self, exchange):
        self.exchange = exchange
        self.server = exchange.server
        self.key = find_resumed_key(exchange)
        self.services = list_services(exchange.job.route)
        # The time of the event loop may be that before a pause of the process.
        self.asked_at = time.monotonic()
        self.expires_at = inf
        self.awaited = PEERS
        self.source = ""

    def start(self, now):
        """Submit the job, refuse it, or ask the other sources one after the other."""
        if self.decide(now):
            return
        if self.ask_peers(now) or self.read_list(now):
            self.server.resumptions.add(self)

    def ask_peers(self, now):
        """Ask the peers, and return whether their answer is awaited.

        One that has not been heard for a moment, as this process was paused, may
        answer while the store is read.
        """
        # Streams of other routes are not recorded anywhere.
        is_recorded = self.exchange.job.route.is_resumable and self.key is not None
        if not is_recorded or self.source == RECORDED:
            return False
        peers = self.server.balancer.peers
        self.server.balancer.streams.ask(self.key)
        if peers.count_fresh(now) <= 1:
            return False
        self.await_source(PEERS, compute_origin_timeout_s(peers, now), now)
        return True

    def await_source(self, awaited, timeout_s, now):
        """Set what is awaited, and until when."""
        self.awaited = awaited
        self.expires_at = min(now + timeout_s, self.asked_at + MAX_DECISION_S)

    def read_list(self, now):
        """Have the store read, or refuse the job if its list cannot help.

        :returns: whether it is read, or the engines are asked.
        """
        if self.source == UNKNOWN and not self.may_look_up():
            self.refuse(STREAM_UNKNOWN)
            return False
        self.await_source(LIST, LIST_TIMEOUT_S, now)
        return not self.check(now)

    def may_look_up(self):
        """Return whether the engines may tell where the stream began."""
        job = self.exchange.job
        lookup = self.server.cache_lookup
        return lookup is not None and job.route.is_resumable and job.has_all_parts

    def look_up(self, now):
        """Ask the engines, or refuse the job if they cannot tell.

        :returns: whether they are asked.
        """
        if not self.may_look_up():
            self.refuse(STREAM_UNKNOWN)
            return False
        self.await_source(ENGINES, LOOKUP_TIMEOUT_S, now)
        self.request_caches(now)
        if not self.knows_departures():
            self.request_past()
        return True

    def request_caches(self, now):
        """Ask the engines that have not been asked just before."""
        for service in self.services:
            self.server.cache_lookup.request(service, now)

    def knows_departures(self):
        """Return whether all servers are known that may have begun it and left."""
        job = self.exchange.job
        stated_s = read_stated_s(self.exchange)
        origins = self.server.balancer.origins
        return origins.knows_departures(job.route, stated_s, self.asked_at)

    def request_past(self):
        """Have the history of the store read, which tells which servers have left.

        :returns: whether it is awaited.
        """
        server = self.server
        if server.balancer.registry.versions.is_past_read:
            return False
        if server.request_past is None:
            return False
        server.request_past()
        return True

    def check(self, now):
        """Decide once enough is known, or go on to the next source after a timeout.

        :returns: whether the resumption has been decided.
        """
        if self.exchange.is_done or self.decide(now):
            return True
        if self.awaited == LIST:
            if self.is_list_read():
                return not self.look_up(now)
            if self.server.request_read is not None:
                self.server.request_read()
        if now < self.expires_at:
            return False
        if self.awaited == PEERS:
            return not self.read_list(now)
        self.awaited = NOTHING
        return self.decide(now)

    def is_list_read(self):
        """Return whether a read of the store that started since the request is applied.

        It lists each backend server that may have begun the stream.
        """
        return self.server.balancer.registry.versions.asked_at >= self.asked_at

    def decide(self, now):
        """Submit or refuse the job if enough is known.

        :returns: whether it was decided.
        """
        job = self.exchange.job
        stated_s = read_stated_s(self.exchange)
        origins = self.server.balancer.origins
        finding = origins.find(job.route, self.key, stated_s, self.asked_at, now)
        if finding.source == UNKNOWN and self.awaited == ENGINES:
            caches = self.list_caches(now)
            if caches is None:
                self.request_caches(now)
                return False
            if self.knows_departures():
                since = origins.compute_begin(job.route, stated_s, self.asked_at)
                finding = origins.find_by_caches(
                    job, self.count_events(), caches, since
                )
            elif self.request_past():
                return False
        self.source = finding.source
        if self.must_wait(finding):
            return False
        if finding.origin is None:
            self.refuse(STREAM_UNKNOWN)
        elif finding.origin.service not in self.services:
            self.refuse(STREAM_ELSEWHERE)
        else:
            job.service, job.version = finding.origin
            self.exchange.submit(now)
        return True

    def must_wait(self, finding):
        """Return whether what is awaited may tell more than a finding does.

        :param finding: :class:`OriginFinding`.
        """
        if self.awaited == NOTHING:
            return False
        if finding.origin is None:
            is_open = finding.source in (UNKNOWN, UNCONFIRMED)
            return is_open and self.awaited != ENGINES
        # A backend server of the version may have joined just before.
        origins = self.server.balancer.origins
        return not self.is_list_read() and not origins.is_served(finding.origin)

    def list_caches(self, now):
        """Return pairs of service and what its engines keep, None until all answered.

        :returns: pairs of name and :class:`EngineCache` entries.
        """
        lookup = self.server.cache_lookup
        caches = [(service, lookup.find(service, now)) for service in self.services]
        return None if any(entries is None for _, entries in caches) else caches

    def count_events(self):
        """Return the number of events that the caller has received, 1 if unknown."""
        name = self.server.names.last_event_id
        return parse_event_number(self.exchange.request.find_header(name)) or 1

    def refuse(self, reason):
        """Refuse the request, which has not run."""
        self.exchange.refuse(self.server.balancer.refusals.refuse_stream(reason))


def compute_origin_timeout_s(peers, now):
    """Return the time for which the answer of a peer is awaited, seconds.

    :param peers: source of peer statistics.
    """
    n_forwarders = peers.count_forwarders(now)
    timeout_s = MIN_ORIGIN_TIMEOUT_S + ORIGIN_TIMEOUT_PER_FORWARDER_S * n_forwarders
    return min(MAX_ORIGIN_TIMEOUT_S, timeout_s)


def list_services(route):
    """Return the names of the services to which a route leads."""
    return {share.service for share in route.targets if share.weight > 0}


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


def bind_stream(exchange, now):
    """Bind a request to the version that began its response, and record the origin.

    An event without data does so as well, since the caller has the head then. A stream
    that is resumed keeps the id of the request that began it.
    """
    job = exchange.job
    job.version = exchange.attempt.version
    if not job.route.is_resumable:
        return
    streams = exchange.server.balancer.streams
    key = compute_exchange_key(exchange)
    origin = StreamOrigin(job.service, job.version)
    streams.record(key, origin, compute_record_lifetime_s(exchange), now)
    streams.record_begun(key, exchange.attempt.placement.backend.name, now)


def has_uncertain_origin(exchange, now):
    """Return whether the stream of an exchange may have begun at another version."""
    key = compute_exchange_key(exchange)
    record = exchange.server.balancer.streams.find(key, now)
    return record is not None and record.origin is None


def compute_exchange_key(exchange):
    """Return the key of the stream that a caller resumes, or begins."""
    if exchange.resumption is not None and exchange.resumption.key is not None:
        return exchange.resumption.key
    job = exchange.job
    return compute_stream_key(job.workspace, job.request_id.encode("latin-1"))


def compute_record_lifetime_s(exchange):
    """Return the time for which a caller may resume a stream, seconds.

    A caller may wait for longer than the timeout of the route, which ends one request.
    """
    longest_s = max(read_stated_s(exchange), exchange.job.route.timeout_s)
    return min(MAX_RECORD_S, longest_s) + RECORD_MARGIN_S


def read_stated_s(exchange):
    """Return the time that a caller states it will wait, seconds, 0 if it does not."""
    value = exchange.request.find_header(exchange.server.names.deadline_ms) or b""
    return (parse_number(value) or 0) / 1000
