"""State of one service in the balancer."""

from catkinfork.balancing._cold import StartLimiter
from catkinfork.balancing._durations import RouteDurations
from catkinfork.balancing._health import BackendHealth, ServiceHealth
from catkinfork.balancing._loads import BackendLoad
from catkinfork.balancing._models import build_load_model
from catkinfork.balancing._queue import WaitingQueue
from catkinfork.balancing._repeats import RepeatBudget
from catkinfork.balancing._shares import FairShares
from catkinfork.balancing._windows import DecayingSum

# Time over which the rate at which jobs are placed is measured.
PLACED_WINDOW_S = 1.0


class BackendState:
    """What the balancer knows of one backend server."""

    __slots__ = ("health", "limiter", "load")

    def __init__(self, service):
        engine = service.engine
        self.load = BackendLoad(engine.n_memory_tokens if engine else 0)
        self.health = BackendHealth()
        self.limiter = StartLimiter()


class ServicePool:
    """Loads, queue, shares and budgets of one service.

    :param service: :class:`Service`.
    :param settings: :class:`BalancerSettings`.

    ``generation`` changes whenever ``states`` gains or loses a backend server.
    """

    def __init__(self, service, settings):
        self.service = service
        self.model = build_load_model(service, settings.data_centre)
        self.states = {}
        self.generation = 0
        self.shares = FairShares(settings.share_window_s)
        self.queue = WaitingQueue(self.shares)
        self.repeats = RepeatBudget(settings.repeats)
        self.health = ServiceHealth()
        self.placed = DecayingSum(PLACED_WINDOW_S)
        self.first_events = RouteDurations()
        self.durations = RouteDurations()
        self.turn = None
        self.peer_turns = {}

    def update(self, service, settings):
        """Take a changed service; loads and queue stay."""
        self.service = service
        self.model = build_load_model(service, settings.data_centre)

    def find(self, backend_name):
        """Return the state of a backend server."""
        state = self.states.get(backend_name)
        if state is None:
            state = self.states[backend_name] = BackendState(self.service)
            self.generation += 1
        return state

    def keep_only(self, backend_names):
        """Forget backend servers that are gone and have nothing in flight here."""
        for name in self.states.keys() - backend_names:
            if not self.states[name].load.n_in_flight:
                del self.states[name]
                self.generation += 1

    def note_placed(self, job, now):
        """Note that a job has gone to a backend server, waiting or not."""
        self.placed.add(max(1, job.n_service_tokens), now)

    def read_placing_time(self, now):
        """Return the seconds for each service token that is placed here.

        It follows the recent rate of placements and is 0 while nothing is known.
        """
        rate = self.placed.read(now) / PLACED_WINDOW_S
        return 1.0 / rate if rate > 0 else 0.0

    def set_peer_turn(self, peer, turn):
        """Set the turn of the first job that waits at a peer, or None if none does."""
        if turn is None:
            self.peer_turns.pop(peer, None)
        else:
            self.peer_turns[peer] = turn

    def count_peers_before(self, turn):
        """Return the peers at which a job waits that goes before this turn."""
        return sum(other < turn for other in self.peer_turns.values())

    def is_in_time(self, job, placed_at, share=1.0):
        """Return whether a job that is placed at a time can be served in time.

        :param share: part of the usual durations that is allowed for.
        """
        first_at = placed_at + share * self.first_events.expect(job.route)
        end_at = placed_at + share * self.durations.expect(job.route)
        return first_at <= job.next_event_by and end_at <= job.deadline_at
