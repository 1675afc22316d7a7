"""Retry budget of one service over all forwarders."""

from collections import deque

from catkinfork.balancing._health import FAILURE_OUTCOMES
from catkinfork.balancing._jobs import UNEXECUTED_OUTCOMES, UNSENT_OUTCOMES
from catkinfork.balancing._windows import SlidingWindowCounter

# Backend servers to which one request is sent, including those that reject it.
MAX_SENT_ATTEMPTS = 4
# Backend servers tried for one request, including those that cannot be reached.
MAX_TRIED_BACKENDS = 12

# Usable fraction of the budget; the rest covers retries that peers have sent but not
# yet reported.
BUDGET_UTILIZATION = 0.7

# Own retries whose times are remembered.
MAX_RECENT_RETRIES = 256


class RetryBudget:
    """Counts own and peer requests and retries within a sliding window.

    :param settings: :class:`RetryBudgetSettings`.
    """

    def __init__(self, settings):
        self.settings = settings
        self.own_requests = SlidingWindowCounter(settings.window_s)
        self.own_retries = SlidingWindowCounter(settings.window_s)
        self.peer_requests = SlidingWindowCounter(settings.window_s)
        self.peer_retries = SlidingWindowCounter(settings.window_s)
        self.n_requests = 0
        self.n_retries = 0
        self.recent_retries = deque(maxlen=MAX_RECENT_RETRIES)

    def record_request(self, now):
        """Record a new request."""
        self.n_requests += 1
        self.own_requests.add(1, now)

    def record_retry(self, now):
        """Record an attempt after the first one of a request."""
        self.n_retries += 1
        self.own_retries.add(1, now)
        self.recent_retries.append(now)

    def record_peer_requests(self, n_requests, n_retries, now):
        """Add the requests and retries of a peer since its previous frame."""
        self.peer_requests.add(n_requests, now)
        self.peer_retries.add(n_retries, now)

    def count_all(self, now):
        """Return the requests and retries of all forwarders within the window."""
        return (
            self.own_requests.sum(now) + self.peer_requests.sum(now),
            self.own_retries.sum(now) + self.peer_retries.sum(now),
        )

    def record_told(self, n_requests, n_retries, now):
        """Add what a peer has counted of all forwarders beyond what is counted here.

        A forwarder that starts only counts what its peers send from then on, and would
        allow as many retries again as the fleet has just sent.
        """
        n_known_requests, n_known_retries = self.count_all(now)
        self.record_peer_requests(
            max(0, n_requests - n_known_requests),
            max(0, n_retries - n_known_retries),
            now,
        )

    def allows(self, n_fresh, n_forwarders, now, state_age_s=0.0):
        """Return whether one more retry may be sent.

        Silent forwarders are assumed to use their whole share of the budget. Each fresh
        peer is assumed to have sent as many retries as this forwarder since its last
        frame: when a backend server crashes, all forwarders retry at the same moment.

        :param n_fresh: forwarders with fresh state, including this one.
        :param n_forwarders: all forwarders that may send retries.
        :param state_age_s: age of the oldest peer state that is counted, seconds.
        """
        settings = self.settings
        n_requests = self.own_requests.sum(now)
        n_retries = self.own_retries.sum(now)
        share = 1.0 / max(1, n_forwarders)
        own_limit = settings.ratio * n_requests + settings.n_extra_retries * share
        if n_fresh < n_forwarders:
            return n_retries + 1 <= BUDGET_UTILIZATION * own_limit
        n_requests += self.peer_requests.sum(now)
        n_retries += self.peer_retries.sum(now)
        n_retries += (n_forwarders - 1) * self.count_recent(now - state_age_s)
        limit = settings.ratio * n_requests + settings.n_extra_retries
        return n_retries + 1 <= BUDGET_UTILIZATION * limit

    def count_recent(self, since):
        """Return the own retries that were sent after a monotonic time."""
        n_recent = 0
        for sent_at in reversed(self.recent_retries):
            if sent_at <= since:
                break
            n_recent += 1
        return n_recent


def is_retryable(job, outcome, n_runs, now):
    """Return whether a request may be attempted again.

    :param outcome: outcome of the last attempt.
    :param n_runs: attempts that a backend server may have executed.
    """
    if outcome not in FAILURE_OUTCOMES or now >= job.deadline_at:
        return False
    if outcome in UNSENT_OUTCOMES:
        return len(job.tried_backends) < MAX_TRIED_BACKENDS
    if outcome in UNEXECUTED_OUTCOMES:
        return job.n_retries + 1 < MAX_SENT_ATTEMPTS
    return job.route.is_repeatable and n_runs < job.route.max_attempts
