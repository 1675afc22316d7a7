"""Where a stream that its caller resumes may go on."""

from math import inf
from typing import NamedTuple

from catkinfork.balancing._streams import StreamOrigin

# Age that any stream may have at least, and as a multiple of the timeout of its route:
# a caller may have resumed it before.
MIN_STREAM_AGE_S = 60.0
STREAM_AGE_PER_TIMEOUT = 4.0
# Time for which a backend server may begin streams after its entry is gone, seconds.
SERVED_AFTER_REMOVAL_S = 4.0

# How the origin of a stream is known, for the log.
RECORDED = "recorded"
ONLY_VERSION = "only_version"
UNCONFIRMED = "unconfirmed"
CACHED = "cached"
UNCERTAIN = "uncertain"
UNKNOWN = "unknown"


class OriginFinding(NamedTuple):
    """What a forwarder knows of the origin of a stream.

    :param origin: :class:`StreamOrigin`, or None.
    :param source: ``recorded``, ``only_version``, ``cached`` by engines,
        ``uncertain`` if there are two records that differ, ``unconfirmed`` if the store
        lists one version but was not read since the request, or ``unknown``.
    """

    origin: StreamOrigin | None
    source: str


class EngineCache(NamedTuple):
    """Prompt parts that an engine keeps.

    :param version: version of the engine.
    :param parts: tokens kept by id of the part, or None if it did not answer. Those
        that were generated after the last part of a prompt count with it.
    """

    version: str
    parts: dict | None


class OriginFinder:
    """Finds the origin of a stream that its caller resumes.

    The record of the stream comes first. Without one, the origin is certain only if no
    other version can have served the route for as long as a stream may last.

    Load pattern: all forwarders are killed at once while two versions serve, or when
    the last server of the older version has just left. None of them knows the streams
    from before, and the store lists a single version. Or this forwarder was cut off or
    paused for a moment in which servers of another version joined and began streams.

    :param registry: :class:`BackendRegistry`.
    :param streams: :class:`StreamTable`.
    """

    def __init__(self, registry, streams):
        self.registry = registry
        self.streams = streams
        self.services = {}
        self.targets = {}
        self.targets_changed_at = {}

    def apply_configuration(self, configuration, now):
        """Record for which hosts of routes a target has changed.

        A request may match another route of its host than before if one was removed.

        :param configuration: :class:`Configuration`.
        """
        self.services = configuration.services
        targets = {}
        for route in configuration.routes:
            targets.setdefault(route.host, {})[route.prefix] = route.targets
        for host in targets:
            if targets[host] != self.targets.get(host):
                self.targets_changed_at[host] = now
        self.targets = targets
        for host in self.targets_changed_at.keys() - targets:
            del self.targets_changed_at[host]

    def find(self, route, key, stated_s, asked_at, now):
        """Return the :class:`OriginFinding` of a stream.

        :param route: :class:`Route` on which it is resumed.
        :param key: key of the stream, or None if its caller does not name it.
        :param stated_s: time that its caller will wait, seconds.
        :param asked_at: monotonic time at which its caller asked, seconds. The stream
            began before.
        """
        record = None if key is None else self.streams.find(key, now)
        if record is None:
            return self.find_only_origin(route, stated_s, asked_at)
        if record.origin is None:
            return OriginFinding(None, UNCERTAIN)
        return OriginFinding(record.origin, RECORDED)

    def is_served(self, origin):
        """Return whether a known backend server has the version of an origin.

        :param origin: :class:`StreamOrigin`.
        """
        return any(
            (backend.service, backend.entry.version) == origin
            for backend in self.registry.backends.values()
        )

    def find_by_caches(self, job, n_events, caches, since):
        """Return the finding from what the engines keep.

        The last part of a prompt belongs to one request or session, and an engine keeps
        what it generated after it: at least one token for each event. If none does, one
        that has only read the prompt was to go on with the stream, as forwarders send
        it to its own version only. If engines of several versions qualify, or one of
        another version did not answer, nothing is certain. The same holds if a server
        of another version has left, or has started again, since the stream may have
        begun: it may have written the stream, and took its memory along. That none has
        is known only if :meth:`knows_departures`. If one of an unknown version has,
        an engine counts that keeps as many generated tokens as the caller has received.

        :param job: :class:`Job`.
        :param n_events: events that the caller has received.
        :param caches: service name and :class:`EngineCache` entries, by service.
        :param since: result of :meth:`compute_begin`.
        """
        last_part = job.parts[-1]
        n_tokens = last_part.n_tokens + max(1, n_events)
        sending = set()
        reading = set()
        silent = set()
        most = {}
        for service, entries in caches:
            for version, parts in entries:
                origin = StreamOrigin(service, version)
                if parts is None:
                    silent.add(origin)
                elif last_part.name in parts:
                    reading.add(origin)
                    most[origin] = max(most.get(origin, 0), parts[last_part.name])
                    if parts[last_part.name] >= n_tokens:
                        sending.add(origin)
        origins = sending or reading
        gone = self.list_left({service for service, _ in caches}, since)
        if len(origins) != 1 or (silent | gone) - origins:
            return OriginFinding(None, UNKNOWN)
        (origin,) = origins
        if self.registry.versions.unknown_left_at >= since:
            n_sent = n_events * self.find_event_tokens(origin.service)
            if most.get(origin, 0) < last_part.n_tokens + n_sent:
                return OriginFinding(None, UNKNOWN)
        return OriginFinding(origin, CACHED)

    def find_event_tokens(self, service):
        """Return the generated tokens in one event of a stream, 1 if unknown."""
        known = self.services.get(service)
        engine = known.engine if known is not None else None
        return max(1, engine.n_event_tokens) if engine is not None else 1

    def list_left(self, services, since):
        """Return the origins whose servers have left, or have started again.

        :param services: names of services.
        :param since: monotonic time, seconds.
        """
        versions = self.registry.versions
        return {
            StreamOrigin(service, version)
            for service in services
            for version in versions.list_left(service, since)
        }

    def knows_departures(self, route, stated_s, asked_at):
        """Return whether all servers are known that may have left since a stream began.

        A process that has just started has seen none leave, which is no sign that none
        has. The caller of a stream waits for the timeout of its route, and its server
        may have been gone from the store for a while when it began.

        :param stated_s: time that its caller will wait, seconds.
        :param asked_at: monotonic time at which its caller asked, seconds.
        """
        age_s = max(route.timeout_s, stated_s) + SERVED_AFTER_REMOVAL_S
        return self.registry.versions.known_since <= asked_at - age_s

    def compute_begin(self, route, stated_s, asked_at):
        """Return the monotonic time at which a stream began at the earliest, seconds.

        :param stated_s: time that its caller will wait, seconds.
        :param asked_at: monotonic time at which its caller asked, seconds.
        """
        by_timeout_s = STREAM_AGE_PER_TIMEOUT * route.timeout_s
        return asked_at - max(MIN_STREAM_AGE_S, by_timeout_s, stated_s)

    def find_only_origin(self, route, stated_s, asked_at):
        """Return the finding without a record of the stream."""
        since = self.compute_begin(route, stated_s, asked_at)
        unknown = OriginFinding(None, UNKNOWN)
        if self.targets_changed_at.get(route.host, inf) > since:
            return unknown
        services = {share.service for share in route.targets if share.weight > 0}
        if len(services) != 1:
            return unknown
        (service,) = services
        if self.registry.find_only_version(service, since, -inf) is None:
            return unknown
        version = self.registry.find_only_version(service, since, asked_at)
        if version is None:
            return OriginFinding(None, UNCONFIRMED)
        return OriginFinding(StreamOrigin(service, version), ONLY_VERSION)
