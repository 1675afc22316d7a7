"""Budget of repeats of one service over all forwarders."""

from catkinfork.balancing._health import FAILURES
from catkinfork.balancing._jobs import REJECTED, UNREACHABLE
from catkinfork.balancing._windows import WindowCounter

# Backend servers to which one request is sent, those that reject it included.
MAX_SENDS = 4

# Share of the budget that is used; the rest covers repeats that peers have sent and not
# yet told of.
USED_SHARE = 0.7


class RepeatBudget:
    """Counts requests and repeats within the window, own ones and those of peers.

    :param settings: :class:`RepeatSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.own_requests = WindowCounter(settings.window_s)
        self.own_repeats = WindowCounter(settings.window_s)
        self.peer_requests = WindowCounter(settings.window_s)
        self.peer_repeats = WindowCounter(settings.window_s)
        self.n_requests = 0
        self.n_repeats = 0

    def note_request(self, now):
        """Count a request of a caller."""
        self.n_requests += 1
        self.own_requests.add(1, now)

    def note_repeat(self, now):
        """Count an attempt after the first of a request."""
        self.n_repeats += 1
        self.own_repeats.add(1, now)

    def note_peer(self, n_requests, n_repeats, now):
        """Count what a peer has told of since its last message."""
        self.peer_requests.add(n_requests, now)
        self.peer_repeats.add(n_repeats, now)

    def allows(self, n_fresh, n_forwarders, now):
        """Return whether one more repeat may be sent.

        Forwarders that are silent are taken to use their whole share.

        :param n_fresh: forwarders heard lately, this one included.
        :param n_forwarders: all forwarders that may send repeats.
        """
        settings = self.settings
        n_requests = self.own_requests.sum(now)
        n_repeats = self.own_repeats.sum(now)
        share = 1.0 / max(1, n_forwarders)
        own_limit = settings.ratio * n_requests + settings.n_slack * share
        if n_fresh < n_forwarders:
            return n_repeats + 1 <= USED_SHARE * own_limit
        n_requests += self.peer_requests.sum(now)
        n_repeats += self.peer_repeats.sum(now)
        limit = settings.ratio * n_requests + settings.n_slack
        return n_repeats + 1 <= USED_SHARE * limit


def allows_repeat(job, outcome, n_runs, now):
    """Return whether the kind of a request allows another attempt.

    :param outcome: how the last attempt has ended.
    :param n_runs: attempts that may have run.
    """
    if outcome not in FAILURES or now >= job.deadline_at:
        return False
    if outcome in (REJECTED, UNREACHABLE):
        # The backend server says, or never got the request: it has not run.
        return job.n_repeats + 1 < MAX_SENDS
    return job.route.is_repeatable and n_runs < job.route.max_attempts
