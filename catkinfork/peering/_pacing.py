"""When a forwarder sends frames to its peers."""

from abc import ABC, abstractmethod

from catkinfork.peering._peers import FRESHNESS_TIMEOUT_S

# Limit of datagrams from one forwarder to all peers together.
MAX_FRAMES_PER_S = 400.0
MIN_INTERVAL_S = 0.01
# Interval at which a frame is sent even if nothing has changed.
HEARTBEAT_INTERVAL_S = 0.1
# Frames that a forwarder may save up while it has little to tell.
MAX_SAVED_FRAMES = 2.0
# Intervals in which a frame is saved up. :class:`TimedPacing` sends less than one frame
# in each interval, as the process looks for frames every 5 ms: 14.2 a second and not
# 14.8 among 28 forwarders.
SAVING_INTERVALS = 1.15
# Intervals between two frames after which a peer counts as silent. With more than 200
# forwarders an interval is longer than :data:`FRESHNESS_TIMEOUT_S`, and the loads of
# peers would be dropped between any two frames.
MAX_SILENT_INTERVALS = 2.5


def compute_interval_s(n_peers):
    """Return the time between two frames on average at least, seconds."""
    return max(MIN_INTERVAL_S, n_peers / MAX_FRAMES_PER_S)


class BasePacing(ABC):
    """Times at which one forwarder sends frames."""

    @abstractmethod
    def is_due(self, n_peers, has_news, urgency, now):
        """Return whether a frame is to be sent now.

        :param n_peers: number of peers to which it would be sent.
        :param has_news: whether anything has changed.
        :param urgency: changes of load as a multiple of those in a usual frame.
        """

    @abstractmethod
    def record_frame(self, n_peers, now):
        """Record that a frame is sent."""

    def compute_freshness_timeout_s(self, n_peers):
        """Return the silence after which the load of a peer no longer counts."""
        return FRESHNESS_TIMEOUT_S


class TimedPacing(BasePacing):
    """Sends a frame when an interval has passed, if there is news."""

    def __init__(self):
        self.next_frame_at = 0.0
        self.next_heartbeat_at = 0.0

    def is_due(self, n_peers, has_news, urgency, now):
        if has_news and now >= self.next_frame_at:
            return True
        return now >= self.next_heartbeat_at

    def record_frame(self, n_peers, now):
        interval_s = compute_interval_s(n_peers)
        self.next_frame_at = now + interval_s
        self.next_heartbeat_at = now + max(HEARTBEAT_INTERVAL_S, interval_s)


class UrgentPacing(BasePacing):
    """Sends as many frames as :class:`TimedPacing`, those with large changes at once.

    Load pattern: one long prompt keeps an engine busy for longer than the interval
    between two frames, so that others are placed there before it is known.

    A frame is saved up in each interval. The more are saved, the smaller the changes
    that are worth one.
    """

    def __init__(self):
        self.n_saved = 1.0
        self.updated_at = None
        self.next_heartbeat_at = 0.0

    def is_due(self, n_peers, has_news, urgency, now):
        if self.updated_at is None:
            self.updated_at = now
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        n_new = elapsed_s / (SAVING_INTERVALS * compute_interval_s(n_peers))
        self.n_saved = min(MAX_SAVED_FRAMES, self.n_saved + n_new)
        if self.n_saved < 1.0:
            return False
        # A clock that jumps back would otherwise hold heartbeats back.
        latest_at = now + max(HEARTBEAT_INTERVAL_S, compute_interval_s(n_peers))
        self.next_heartbeat_at = min(self.next_heartbeat_at, latest_at)
        if now >= self.next_heartbeat_at:
            return True
        if self.n_saved >= 2.0 and has_news:
            return True
        return urgency * self.n_saved >= 1.0

    def record_frame(self, n_peers, now):
        self.n_saved -= 1.0
        interval_s = max(HEARTBEAT_INTERVAL_S, compute_interval_s(n_peers))
        self.next_heartbeat_at = now + interval_s

    def compute_freshness_timeout_s(self, n_peers):
        interval_s = compute_interval_s(n_peers)
        return max(FRESHNESS_TIMEOUT_S, MAX_SILENT_INTERVALS * interval_s)
