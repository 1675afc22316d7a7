"""Origins of streams: the service and the version that began each of them."""

from collections import deque
from hashlib import blake2b
from typing import NamedTuple

from catkinfork.topology import RecentTable

# Streams whose origin is kept; beyond it, the origins recorded first are forgotten.
MAX_STREAMS = 32_768
# Frames in which an origin is told, since datagrams may be lost.
N_TELLINGS = 2
# Limits of what waits to be told or asked; in a flood, the oldest are dropped.
MAX_UNSENT = 4_096
MAX_QUESTIONS = 512
# Longest time between the start of a backend server and the reading of its entry while
# the store is read, seconds: it is published within a heartbeat or two.
ENTRY_LAG_S = 5.0
# Streams at one backend server, and backend servers, that are remembered for it.
MAX_RECENT_STREAMS = 256
MAX_BACKENDS = 1_024


class StreamOrigin(NamedTuple):
    """Where a stream began.

    :param service: name of the service.
    :param version: version of the backend server that sent the first event.
    """

    service: str
    version: str


class StreamRecord(NamedTuple):
    """What is known of a stream.

    :param origin: :class:`StreamOrigin`, or None if two different ones were recorded.
    :param expires_at: monotonic time after which its caller has given it up, seconds.
    """

    origin: StreamOrigin | None
    expires_at: float


class StreamTable:
    """Origins of the streams that callers may resume at any forwarder.

    A forwarder records the origin when it relays the first event of a stream, and tells
    its peers, so that the origin survives that forwarder. A backend server keeps no
    such record, and a caller only sends the id of the request.

    Load pattern: every stream is recorded and few are resumed, so that a record is
    small, of bounded lifetime and told together with loads.

    ``unsent`` has the keys to tell and the number of frames left for each,
    ``questions`` the keys that peers are asked for, and ``recent`` the keys of streams
    that began here, with their times, by backend server. ``versions`` has the version
    of each backend server.
    """

    def __init__(self):
        self.records = RecentTable(MAX_STREAMS)
        self.unsent = RecentTable(MAX_UNSENT)
        self.questions = RecentTable(MAX_QUESTIONS)
        self.recent = RecentTable(MAX_BACKENDS)
        self.versions = RecentTable(MAX_BACKENDS)

    @property
    def has_news(self):
        """Return whether there is anything to tell or to ask."""
        return bool(self.unsent or self.questions)

    def record(self, key, origin, lifetime_s, now):
        """Record the origin of a stream and tell it to the peers.

        :param key: result of :func:`compute_stream_key`.
        :param origin: :class:`StreamOrigin`, or None if it is uncertain.
        :param lifetime_s: time for which its caller may resume it, seconds.
        """
        self.record_told(key, origin, lifetime_s, now)
        self.unsent[key] = N_TELLINGS

    def record_begun(self, key, backend_name, now):
        """Record at which backend server a stream began."""
        recent = self.recent.get(backend_name)
        if recent is None:
            recent = self.recent[backend_name] = deque(maxlen=MAX_RECENT_STREAMS)
        recent.append((key, now))

    def tell_again(self, now):
        """Tell the peers once more where the streams began that began here.

        They outlive this forwarder, which is about to stop: datagrams may have been
        lost, and peers may have started since.
        """
        for recent in self.recent.values():
            for key, _ in recent:
                if self.find(key, now) is not None:
                    self.unsent.setdefault(key, 1)

    def follow_versions(self, versions, gap_s, now):
        """Follow backend servers that start again under their ids as other versions.

        Those whose entries are missing for a while are remembered.

        :param versions: versions of all known backend servers, by name.
        :param gap_s: time for which no entries were read before, seconds.
        """
        for name, version in versions.items():
            if self.versions.get(name, version) != version:
                self.invalidate(name, now - ENTRY_LAG_S - gap_s, now)
            self.versions[name] = version

    def invalidate(self, backend_name, since, now):
        """Make the origins uncertain of streams that began at a server since a time.

        It has started again under its id with another version, and may have done so
        before they began. Streams that began earlier are of the former version.

        :param since: monotonic time, seconds.
        """
        for key, begun_at in self.recent.pop(backend_name, ()):
            record = self.find(key, now)
            if record is not None and begun_at > since:
                self.record(key, None, record.expires_at - now, now)

    def record_told(self, key, origin, lifetime_s, now):
        """Record the origin of a stream as told by a peer.

        Two different origins for one stream leave it without a certain one.
        """
        expires_at = now + lifetime_s
        known = self.find(key, now)
        if known is not None:
            expires_at = max(expires_at, known.expires_at)
            if known.origin != origin:
                origin = None
        self.records[key] = StreamRecord(origin, expires_at)
        self.questions.pop(key, None)
        self.remove_expired(now)

    def find(self, key, now):
        """Return the :class:`StreamRecord` of a stream, or None."""
        record = self.records.get(key)
        return record if record is not None and now < record.expires_at else None

    def ask(self, key):
        """Ask the peers for the origin of a stream."""
        self.questions[key] = True

    def answer(self, key, now):
        """Tell the origin of a stream for which a peer asks, if it is known."""
        if self.find(key, now) is not None and key not in self.unsent:
            self.unsent[key] = 1

    def remove_expired(self, now):
        """Remove the records set first as long as they have expired."""
        while self.records:
            key = next(iter(self.records))
            if now < self.records[key].expires_at:
                return
            del self.records[key]


def compute_stream_key(workspace, request_id):
    """Return the 64-bit key of a stream.

    It includes the workspace, so that a caller cannot resume streams of others.

    :param request_id: id of the request that brought the first event, as bytes.
    """
    digest = blake2b(workspace.encode(), digest_size=8)
    digest.update(b"\0" + request_id)
    return int.from_bytes(digest.digest(), "big")
