"""Detection of backend servers that lost connections without a crash.

Load pattern: connections to several servers are reset one after the other, while other
connections to the same servers go on. A server that crashes ends all of them.
"""

from collections import OrderedDict
from math import inf

# Time after a lost connection from which an event of another one was not sent before,
# seconds.
MIN_DELAY_S = 0.5
# Time between two such events, seconds. A host that stood still reads at once what came
# in the meantime.
MIN_EVENT_INTERVAL_S = 0.25
MAX_SERVERS = 1024


class LostServer:
    """Lost connections to one start of a backend server.

    ``fingerprints`` are those of the own requests that were lost.
    """

    __slots__ = ("crashed_at", "fingerprints")

    def __init__(self):
        self.crashed_at = -inf
        self.fingerprints = []


class SurvivorTable:
    """Backend servers that may have crashed, and those that have not.

    The keys are hashes of the name and the start of a backend server.
    """

    def __init__(self):
        self.lost = OrderedDict()
        self.survived_at = OrderedDict()
        self.last_crashed_at = -inf

    def record_crash(self, server, crashed_at, fingerprint=None):
        """Record a lost connection.

        :param crashed_at: monotonic time, seconds.
        :param fingerprint: that of the own request that was lost, or None.
        """
        lost = self.lost.setdefault(server, LostServer())
        self.lost.move_to_end(server)
        if len(self.lost) > MAX_SERVERS:
            self.lost.popitem(last=False)
        lost.crashed_at = max(lost.crashed_at, crashed_at)
        if fingerprint is not None:
            lost.fingerprints.append(fingerprint)
        self.last_crashed_at = max(self.last_crashed_at, crashed_at)

    def may_prove(self, placement):
        """Return whether an event of an attempt may prove that a server survived.

        Only a connection that is older than the lost one belongs to the same process.
        """
        connected_at = placement.connected_at
        return connected_at is not None and connected_at < self.last_crashed_at

    def is_proof(self, server, placement, now):
        """Return whether an event of an attempt proves that its server survived.

        :param server: backend server of the attempt.
        """
        lost = self.lost.get(server)
        if lost is None or placement.connected_at >= lost.crashed_at:
            return False
        if placement.placed_at > lost.crashed_at:
            return True
        if now - lost.crashed_at < MIN_DELAY_S:
            return False
        if placement.survived_at is None:
            placement.survived_at = now
        return now - placement.survived_at >= MIN_EVENT_INTERVAL_S

    def record_survivor(self, server, survived_at):
        """Record that a backend server has survived until a time.

        :returns: fingerprints of the own requests that were lost without a crash.
        """
        self.survived_at[server] = max(survived_at, self.survived_at.get(server, -inf))
        self.survived_at.move_to_end(server)
        if len(self.survived_at) > MAX_SERVERS:
            self.survived_at.popitem(last=False)
        lost = self.lost.get(server)
        if lost is None or lost.crashed_at > survived_at:
            return []
        return self.lost.pop(server).fingerprints

    def has_survived(self, server, crashed_at):
        """Return whether a backend server has survived what looked like a crash."""
        return crashed_at < self.survived_at.get(server, -inf)
