"""Origins of streams, as forwarders tell each other and ask for."""

from catkinfork.balancing import StreamOrigin, pop_items
from catkinfork.peering._frames import StreamEntry

# Streams told, and asked for, in one frame; the others follow in the next ones.
MAX_STREAMS_PER_FRAME = 32
MAX_QUESTIONS_PER_FRAME = 24
# Longest time for which the origin of a stream is kept on the word of a peer.
MAX_LIFETIME_MS = 600_000


class StreamNotices:
    """Tells, records and answers where streams began.

    :param balancer: :class:`Balancer`.
    :param compute_hash: callable that returns the 32-bit hash of a name.
    """

    def __init__(self, balancer, compute_hash):
        self.balancer = balancer
        self.streams = balancer.streams
        self.compute_hash = compute_hash

    def fill(self, frame, now):
        """Add the next origins to tell and the next questions to a frame."""
        frame.streams = self.list_origins(now)
        questions = pop_items(self.streams.questions, MAX_QUESTIONS_PER_FRAME)
        frame.stream_questions = [key for key, _ in questions]

    def defer(self, frame):
        """Leave the origins and questions of a frame that is too large to the next."""
        for entry in frame.streams:
            for key, _ in entry.streams:
                self.streams.unsent.setdefault(key, 1)
        for key in frame.stream_questions:
            self.streams.ask(key)
        frame.streams = []
        frame.stream_questions = []

    def list_origins(self, now):
        """Return the entries of the next streams to tell."""
        by_origin = {}
        unsent = self.streams.unsent
        for key, n_tellings in pop_items(unsent, MAX_STREAMS_PER_FRAME):
            record = self.streams.find(key, now)
            if record is None:
                continue
            if n_tellings > 1:
                unsent[key] = n_tellings - 1
            lifetime_ms = int((record.expires_at - now) * 1000)
            by_origin.setdefault(record.origin, []).append((key, lifetime_ms))
        return [
            self.build_entry(origin, streams) for origin, streams in by_origin.items()
        ]

    def build_entry(self, origin, streams):
        """Return the entry of the streams of one origin.

        :param origin: :class:`StreamOrigin`, or None if it is uncertain.
        """
        if origin is None:
            return StreamEntry(0, "", streams)
        return StreamEntry(self.compute_hash(origin.service), origin.version, streams)

    def record(self, frame, now):
        """Record what a peer tells, and answer what it asks."""
        for entry in frame.streams:
            self.record_entry(entry, now)
        for key in frame.stream_questions:
            self.streams.answer(key, now)

    def record_entry(self, entry, now):
        """Record the streams of one origin; those of unknown services are ignored."""
        origin = None
        if entry.version:
            service = self.find_service(entry.service)
            if service is None:
                return
            origin = StreamOrigin(service, entry.version)
        for key, lifetime_ms in entry.streams:
            lifetime_s = min(MAX_LIFETIME_MS, lifetime_ms) / 1000
            self.streams.record_told(key, origin, lifetime_s, now)

    def find_service(self, hashed):
        """Return the name of the service with a hash, or None if it is unknown."""
        for name in self.balancer.pools:
            if self.compute_hash(name) == hashed:
                return name
        return None
