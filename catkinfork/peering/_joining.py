"""Which peers a forwarder that starts asks for what they were told before."""

from math import inf

# Time after which a forwarder reports itself as ready without an answer, seconds.
MAX_JOIN_S = 1.2
# Time for which further peers are waited for once one has answered, seconds: in a
# small fleet, each one is heard within a heartbeat.
MIN_JOIN_S = 0.3
# Time after which the next peer is asked while another one does not answer, or has not
# finished asking itself, seconds.
ASK_INTERVAL_S = 0.2
# Answers, and questions, after which no further peer is asked.
MAX_ANSWERS = 3
MAX_ASKED = 8
# Time after the start up to which peers are asked that are heard late, seconds.
MAX_LATE_S = 120.0
# Age of a peer from which it is asked before younger ones, milliseconds.
SETTLED_MS = 60_000
# Age of what a peer knows from which nothing older matters, seconds: the longest time
# for which a stream may be resumed, or a crash counts.
MAX_KNOWLEDGE_S = 602.0


class JoinPlan:
    """Decides whom to ask, and when a forwarder that starts knows enough.

    A peer that has not finished asking itself knows less than others; its answer does
    not count, and it is asked again. Those that are leaving are asked last, since they
    may be gone before they have answered.

    Load pattern: all forwarders restart in turn, or several at once, so that some of
    the peers have just started as well; or all of them start at once, and nobody can
    answer; or all seeds are down, so that the others are heard after it was ready.

    :param directory: :class:`PeerDirectory`.
    :param incarnation: Unix time at which this process started, milliseconds.
    :param rng: ``random.Random``, so that the forwarders do not all ask the same peer.

    ``known_s`` is the age of what is known, and ``known_before_s`` the time before the
    start from which on it is, seconds.
    """

    def __init__(self, directory, incarnation, rng):
        self.directory = directory
        self.incarnation = incarnation
        self.rng = rng
        self.started_at = inf
        self.next_at = -inf
        self.n_open = 0
        self.n_asked = 0
        self.n_answers = 0
        self.known_s = 0.0
        self.known_before_s = 0.0
        self.asked = set()

    def start(self, now):
        """Begin to ask."""
        self.started_at = now

    def find_next(self, now):
        """Return the IP address of the peer to ask now, or None."""
        return self.choose(self.list_candidates(), now)

    def find_late(self, now):
        """Return the IP address of a peer to ask once the forwarder is ready, or None.

        Only a peer that ran before all that is known can tell something new.
        """
        if self.is_late_over(now):
            return None
        known_since = self.incarnation - 1000 * self.known_before_s
        older = [one for one in self.list_candidates() if one.incarnation < known_since]
        return self.choose(older, now)

    def is_late_over(self, now):
        """Return whether peers that are heard late are not asked any more."""
        return (
            now - self.started_at >= MAX_LATE_S
            or self.n_answers >= MAX_ANSWERS
            or self.known_s >= MAX_KNOWLEDGE_S
        )

    def choose(self, candidates, now):
        """Return the IP address of the peer to ask, or None if none is due.

        :param candidates: peers that may be asked.
        """
        if not candidates or now < self.next_at or self.n_asked >= MAX_ASKED:
            return None
        self.rng.shuffle(candidates)
        peer = min(candidates, key=self.rank)
        self.asked.add(peer.address)
        self.next_at = now + ASK_INTERVAL_S
        self.n_open += 1
        self.n_asked += 1
        return peer.address

    def list_candidates(self):
        """Return the peers that are heard and have not been asked."""
        return [
            peer
            for peer in self.directory.peers.values()
            if peer.is_fresh and peer.address not in self.asked
        ]

    def rank(self, peer):
        """Return the order in which a peer is asked."""
        is_young = self.incarnation - peer.incarnation < SETTLED_MS
        return peer.is_leaving, is_young

    def record_answer(self, address, is_joined, known_s, now):
        """Record the answer of a peer.

        :param is_joined: whether it has finished asking itself.
        :param known_s: age of what it knows, seconds.
        """
        self.n_open -= 1
        if not is_joined:
            self.n_asked -= 1
            self.asked.discard(address)
            return
        self.next_at = -inf
        self.n_answers += 1
        self.known_s = max(self.known_s, known_s)
        before_s = known_s - (now - self.started_at)
        self.known_before_s = max(self.known_before_s, before_s)

    def record_failure(self):
        """Record that a peer has not answered."""
        self.n_open -= 1
        self.next_at = -inf

    def record_withdrawn(self, address):
        """Record that an answer is not waited for; the peer may be asked again."""
        self.n_open -= 1
        self.asked.discard(address)

    def is_done(self, now):
        """Return whether the forwarder knows enough, or has waited for long enough."""
        waited_s = now - self.started_at
        if not self.directory.peers or waited_s >= MAX_JOIN_S:
            return True
        if not self.n_answers:
            return False
        if self.known_s >= MAX_KNOWLEDGE_S or self.n_answers >= MAX_ANSWERS:
            return True
        return waited_s >= MIN_JOIN_S and not self.list_candidates() and not self.n_open
