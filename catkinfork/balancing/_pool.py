"""Balancer state of one service."""

from math import inf

from catkinfork.balancing._allowance import DemandShare, RateAllowance
from catkinfork.balancing._contention import RoomDraw, RoomQuota
from catkinfork.balancing._durations import RouteDurations
from catkinfork.balancing._evenness import EvennessMonitor
from catkinfork.balancing._health import BackendHealth, ServiceHealth
from catkinfork.balancing._loads import BackendLoad
from catkinfork.balancing._models import build_load_model
from catkinfork.balancing._on_time_order import build_queue_order
from catkinfork.balancing._pauses import PauseRate, PauseReport, ServicePauses
from catkinfork.balancing._prefixes import PrefixCache
from catkinfork.balancing._queue import WaitingQueue
from catkinfork.balancing._retries import RetryBudget
from catkinfork.balancing._selection import LOWEST_COST
from catkinfork.balancing._shares import FairShares
from catkinfork.balancing._slow_start import SlowStartLimiter
from catkinfork.balancing._speeds import (
    NO_FIGURES,
    ServerStart,
    SpeedRecord,
    SpeedReport,
    SpeedTable,
)
from catkinfork.balancing._spread import SPREAD_CHOICE
from catkinfork.balancing._transfers import ServiceTransfers, TransferSource
from catkinfork.balancing._untold import UntoldLoad
from catkinfork.balancing._windows import DecayingSum

# Time constant of the placement rate.
PLACEMENT_RATE_WINDOW_S = 1.0


class BackendState:
    """Load, health, speed, pauses, draws, rates and transfers of one backend server.

    ``speed`` is relative to the other backend servers of the service, 1 if nothing else
    is known.
    """

    __slots__ = (
        "allowance",
        "health",
        "limiter",
        "load",
        "pause_report",
        "pauses",
        "room_draw",
        "source",
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
        self.pauses = PauseRate()
        self.pause_report = PauseReport()
        self.source = TransferSource()
        self.speed = 1.0
        self.speed_record = SpeedRecord(ServerStart())
        self.speed_report = SpeedReport()

    def follow_entry(self, entry):
        """Forget health, speed and cached parts if the backend server started again.

        As a source of transfers, any other start is unknown too. Requests in flight are
        kept until their attempts have ended.

        :param entry: :class:`BackendEntry`.
        """
        start = ServerStart(entry.started_ms, entry.address)
        if self.speed_record.start != start:
            self.forget_speed(start)
        started_ms = entry.started_ms
        if self.started_ms is not None and started_ms > self.started_ms:
            self.health = BackendHealth()
            self.pauses = PauseRate()
            self.load.prefixes = PrefixCache(self.load.prefixes.n_memory_tokens)
        if self.started_ms is not None and started_ms != self.started_ms:
            self.source = TransferSource()
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
        self.transfers = ServiceTransfers(service, settings)
        self.speeds = SpeedTable(settings.speed_window_s)
        self.states = {}
        self.generation = 0
        self.shares = FairShares(settings.share_window_s)
        self.retry_budget = RetryBudget(settings.retry_budget)
        self.demand = DemandShare()
        self.pauses = ServicePauses()
        self.pause_cost = settings.long_pause_cost
        self.health = ServiceHealth()
        self.placed_tokens = DecayingSum(PLACEMENT_RATE_WINDOW_S)
        self.untold = UntoldLoad()
        self.selection = build_selection(settings)
        self.room_quota = RoomQuota()
        self.evenness = EvennessMonitor()
        self.first_event_durations = RouteDurations()
        self.durations = RouteDurations()
        self.is_on_time_first = settings.on_time_first
        self.queue = WaitingQueue(self.shares, build_queue_order(settings, self))
        self.priority = None
        self.peer_priorities = {}
        self.next_expiry_check_at = -inf

    def update(self, service, settings):
        """Replace the service definition; loads and queue are kept."""
        self.service = service
        self.model = build_load_model(service, settings.data_centre)
        self.pause_cost = settings.long_pause_cost
        self.transfers.update(service, settings)

    @property
    def weighs_pauses(self):
        """Return whether settings and configuration allow to compare pauses."""
        return self.pause_cost > 0 and self.model.has_event_size

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

    def apply_settings(self, settings):
        """Put changed settings of queue, placement and retry budget in force.

        :param settings: :class:`BalancerSettings`.
        """
        self.retry_budget.settings = settings.retry_budget
        self.pause_cost = settings.long_pause_cost
        self.transfers.update(self.service, settings)
        self.set_speed_window(settings.speed_window_s)
        self.selection = build_selection(settings)
        if settings.on_time_first != self.is_on_time_first:
            self.is_on_time_first = settings.on_time_first
            self.queue.set_order(build_queue_order(settings, self))

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

    def estimate_unseen_cost(self, peers, now):
        """Return the cost that all peers are expected to have placed unseen.

        For each request of this forwarder, peers hold back as much as it does itself.
        Each is expected to get as many requests until they have told of theirs.

        :param peers: source of peer statistics, see :class:`Balancer`.
        """
        n_own = max(1.0, self.demand.own_requests.sum(now))
        ratio = self.demand.peer_requests.sum(now) / n_own
        if not self.demand.is_settled(now):
            ratio = max(ratio, peers.count_fresh(now) - 1.0)
        return ratio * self.untold.sample()

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

        :param share: fraction of the estimated durations to allow for.
        """
        return self.compute_excess_s(job, placed_at, share) <= 0

    def compute_excess_s(self, job, placed_at, share=1.0):
        """Return by how much a job placed at a given time is overdue, seconds.

        It is negative if the job meets its deadlines.

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
        return max(first_at - job.next_event_deadline_at, end_at - ends_at)


def build_selection(settings):
    """Return the selection among the backend servers that may run a job.

    :param settings: :class:`BalancerSettings`.
    """
    return SPREAD_CHOICE if settings.spread_choice else LOWEST_COST
