"""Fair shares of the workspaces over all forwarders."""

from math import inf
from typing import NamedTuple

from catkinfork.balancing._windows import DecayingSum

REVIEW_INTERVAL_S = 0.2
# Least part of a workspace's demand that is taken to arrive at one forwarder.
MIN_SHARE_HERE = 0.01


class Due(NamedTuple):
    """What a workspace gets of its even share.

    :param n_tokens: service tokens that it has not received and gets first.
    :param s_per_token: seconds for each service token beyond them.
    """

    n_tokens: float
    s_per_token: float


class WorkspaceUse:
    """What one workspace has asked for and received lately, in service tokens."""

    __slots__ = ("asked", "asked_here", "n_asked", "n_received", "received")

    def __init__(self, window_s):
        self.asked = DecayingSum(window_s)
        self.asked_here = DecayingSum(window_s)
        self.received = DecayingSum(window_s)
        self.n_asked = 0
        self.n_received = 0


class FairShares:
    """Max-min shares: who asks for less than an even share gets all of it.

    :param window_s: time over which service is compared.
    """

    def __init__(self, window_s):
        self.window_s = window_s
        self.uses = {}
        self.level = inf
        self.next_review_at = 0.0

    def find(self, workspace):
        """Return the use of a workspace."""
        use = self.uses.get(workspace)
        if use is None:
            use = self.uses[workspace] = WorkspaceUse(self.window_s)
        return use

    def note_asked(self, workspace, n_tokens, now):
        """Note the demand of a request of this forwarder."""
        use = self.find(workspace)
        use.n_asked += n_tokens
        use.asked.add(n_tokens, now)
        use.asked_here.add(n_tokens, now)

    def note_received(self, workspace, n_tokens, now):
        """Note the service that a request of this forwarder is placed for."""
        use = self.find(workspace)
        use.n_received += n_tokens
        use.received.add(n_tokens, now)

    def note_peer(self, workspace, n_asked, n_received, now):
        """Note what a peer has told of since its last message."""
        use = self.find(workspace)
        use.asked.add(n_asked, now)
        use.received.add(n_received, now)

    def read_received(self, workspace, now):
        """Return the recent service of a workspace in tokens."""
        return self.find(workspace).received.read(now)

    def review(self, tokens_per_s, now):
        """Recompute the even share from demand and throughput.

        :param tokens_per_s: throughput of the service if no prompt part is kept. What
            all workspaces have received counts instead where it is more.
        """
        if now < self.next_review_at:
            return
        self.next_review_at = now + REVIEW_INTERVAL_S
        demands = sorted(use.asked.read(now) for use in self.uses.values())
        n_received = sum(use.received.read(now) for use in self.uses.values())
        capacity = max(tokens_per_s * self.window_s, n_received)
        # Nothing is known before the first service where no throughput is published.
        self.level = compute_level(demands, capacity) if capacity > 0 else inf

    def find_due(self, workspace, now):
        """Return what a workspace is due at this forwarder: :class:`Due`.

        What is due is split by the demand that arrives at each forwarder.
        """
        if self.level == inf:
            return Due(0.0, inf)
        use = self.find(workspace)
        asked = use.asked.read(now)
        share_here = use.asked_here.read(now) / asked if asked > 0 else 1.0
        share_here = min(1.0, max(MIN_SHARE_HERE, share_here))
        n_tokens = max(0.0, self.level - use.received.read(now))
        return Due(n_tokens * share_here, self.window_s / self.level / share_here)


def compute_level(demands, capacity):
    """Return the max-min level: the sum of what lies below it equals the capacity.

    :param demands: demands in ascending order.
    :param capacity: what there is to share, in the same unit.
    :returns: the level, infinite if the demands fit.
    """
    left = capacity
    n_left = len(demands)
    for demand in demands:
        if demand * n_left >= left:
            return left / n_left
        left -= demand
        n_left -= 1
    return inf
