"""Balancer state of one service."""

from math import inf

from catkinfork.balancing._allowance import DemandShare, RateAllowance
from catkinfork.balancing._contention import RoomDraw
from catkinfork.balancing._durations import RouteDurations
from catkinfork.balancing._health import BackendHealth, ServiceHealth
from catkinfork.balancing._loads import BackendLoad
from catkinfork.balancing._models import build_load_model
from catkinfork.balancing._prefixes import PrefixCache
from catkinfork.balancing._queue import WaitingQueue
from catkinfork.balancing._retries import RetryBudget
from catkinfork.balancing._shares import FairShares
from catkinfork.balancing._slow_start import SlowStartLimiter
from catkinfork.balancing._speeds import (
    NO_FIGURES,
    ServerStart,
    SpeedRecord,
    SpeedReport,
    SpeedTable,
)
from catkinfork.balancing._windows import DecayingSum

# Time constant of the placement rate.
PLACEMENT_RATE_WINDOW_S = 1.0


class BackendState:
    """Load, health, speed, draws and rates of one backend server.

    ``speed`` is relative to the other backend servers of the service, 1 if nothing else
    is known.
    """

    __slots__ = (
        "allowance",
        "health",
        "limiter",
        "load",
        "room_draw",
        "speed",
        "speed_record",
        "speed_report",
        "started_ms",
    )

    def __init__(self, service):
        engine = service.engine
        self.load = BackendLoad(engine.n_memory_tokens if engine else 0)
        self.health = BackendHealth()
        self.limiter = SlowStartLimiter()
        self.allowance = RateAllowance()
        self.started_ms = None
        self.room_draw = RoomDraw()
        self.speed = 1.0
        self.speed_record = SpeedRecord(ServerStart())
        self.speed_report = SpeedReport()

    def follow_entry(self, entry):
        """Forget health, speed and cached parts if the backend server started again.

        Requests in flight are kept until their attempts have ended.

        :param entry: :class:`BackendEntry`.
        """
        start = ServerStart(entry.started_ms, entry.address)
        if self.speed_record.start != start:
            self.forget_speed(start)
        started_ms = entry.started_ms
        if self.started_ms is not None and started_ms > self.started_ms:
            self.health = BackendHealth()
            self.load.prefixes = PrefixCache(self.load.prefixes.n_memory_tokens)
        self.started_ms = started_ms

    def forget_speed(self, start):
        """Forget the speed; attempts in flight no longer count.

        :param start: :class:`ServerStart` that is measured from now on.
        """
        self.speed = 1.0
        self.speed_record = SpeedRecord(start)


class ServicePool:
    """Loads, queue, fair shares and retry budget of one service.

    :param service: :class:`Service`.
    :param settings: :class:`BalancerSettings`.

    ``generation`` changes whenever a backend server is added to or removed from
    ``states``. ``priority`` is that of the first queued job that could not be placed,
    or None. ``ends_at`` is the monotonic time at which a planned stop ends requests.
    """

    def __init__(self, service, settings):
        self.service = service
        self.ends_at = inf
        self.model = build_load_model(service, settings.data_centre)
        self.speeds = SpeedTable(settings.speed_window_s)
        self.states = {}
        self.generation = 0
        self.shares = FairShares(settings.share_window_s)
        self.queue = WaitingQueue(self.shares)
        self.retry_budget = RetryBudget(settings.retry_budget)
        self.demand = DemandShare()
        self.health = ServiceHealth()
        self.placed_tokens = DecayingSum(PLACEMENT_RATE_WINDOW_S)
        self.first_event_durations = RouteDurations()
        self.durations = RouteDurations()
        self.priority = None
        self.peer_priorities = {}
        self.next_expiry_check_at = -inf

    def update(self, service, settings):
        """Replace the service definition; loads and queue are kept."""
        self.service = service
        self.model = build_load_model(service, settings.data_centre)

    @property
    def has_speeds(self):
        """Return whether the speeds of the backend servers are estimated."""
        return self.speeds.window_s > 0 and self.service.engine is not None

    def set_speed_window(self, window_s):
        """Put a changed window in force, and forget all speeds.

        The totals that peers compare with earlier ones go on.

        :param window_s: seconds, 0 for none.
        """
        if window_s == self.speeds.window_s:
            return
        self.speeds = SpeedTable(window_s)
        for state in self.states.values():
            state.speed = 1.0
            state.speed_record.sums = NO_FIGURES

    def find(self, backend_name):
        """Return the state of a backend server, created if it is new."""
        state = self.states.get(backend_name)
        if state is None:
            state = self.states[backend_name] = BackendState(self.service)
            self.generation += 1
        return state

    def remove_other_backends(self, backend_names):
        """Remove the other backend servers unless they have requests in flight here."""
        for name in self.states.keys() - backend_names:
            if not self.states[name].load.n_in_flight:
                del self.states[name]
                self.generation += 1

    def record_placement(self, job, now):
        """Add a placed job to the placement rate, whether it was queued or not."""
        self.placed_tokens.add(max(1, job.n_service_tokens), now)

    def compute_s_per_token(self, now):
        """Return the seconds per service token at the recent placement rate.

        The value is 0 if nothing has been placed recently.
        """
        rate = self.placed_tokens.read(now) / PLACEMENT_RATE_WINDOW_S
        return 1.0 / rate if rate > 0 else 0.0

    def set_peer_priority(self, peer, priority):
        """Set the priority of the first queued job of a peer, None if there is none."""
        if priority is None:
            self.peer_priorities.pop(peer, None)
        else:
            self.peer_priorities[peer] = priority

    def count_peers_ahead(self, priority):
        """Return the number of peers with a queued job of higher priority.

        Lower values mean higher priority.
        """
        return sum(other < priority for other in self.peer_priorities.values())

    def can_meet_deadline(self, job, placed_at, share=1.0):
        """Return whether a job placed at a given time can meet its deadlines.

        A stream that broke off has only its next event to meet: how much of it is left
        is not known. In a planned stop, a job has to end before the stop does.

        :param share: fraction of the estimated durations to allow for.
        """
        first_at = placed_at + share * self.first_event_durations.estimate_duration(
            job.route
        )
        end_at = placed_at + share * self.durations.estimate_duration(job.route)
        if job.version is not None:
            end_at = first_at
        ends_at = min(self.ends_at, job.deadline_at)
        return first_at <= job.next_event_deadline_at and end_at <= ends_at
