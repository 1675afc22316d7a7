"""Baseline policies: uncoordinated routers, and an ideal central queue.

They run the same jobs as the fleet. Network delays are zero, which favours the
baselines.
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count

from benchmarks.results import SAMPLE_S
from benchmarks.shapes import ENGINE_POOL, N_ENGINE_PLACES, N_ROUTERS
from benchmarks.workload import DEADLINE_S

RANDOM = "random"
LEAST_LOADED = "least_loaded"
PERFECT = "perfect"


class Server:
    """A backend server with a first-come, first-served queue."""

    def __init__(self, backend_server):
        self.backend_server = backend_server
        self.queue = deque()
        self.n_running = 0
        self.is_in_service = True

    @property
    def n_free(self):
        """Number of free places, 0 while out of service."""
        return N_ENGINE_PLACES - self.n_running if self.is_in_service else 0


class Baseline:
    """Runs the engines' jobs under one policy.

    :param policy: ``random``, ``least_loaded`` or ``perfect``.
    :param backend_servers: backend servers of the document.
    :param results: :class:`Results`.
    :param rng: random generator.
    """

    def __init__(self, policy, backend_servers, results, rng):
        self.policy = policy
        self.results = results
        self.rng = rng
        self.servers = [
            Server(item) for item in backend_servers if item.pool == ENGINE_POOL
        ]
        self.n_open = [[0] * len(self.servers) for _ in range(N_ROUTERS)]
        self.queues = {}
        self.weighted_service = dict.fromkeys(results.shares, 0.0)
        self.event_queue = []
        self.event_numbers = count()
        self.now = 0.0

    def schedule_at(self, due_at, function, *args):
        """Schedule a call at a time."""
        heappush(self.event_queue, (due_at, next(self.event_numbers), function, args))

    def run(self, end):
        """Process all events of the engines' jobs up to the end."""
        for job in self.results.jobs:
            if job.pool == ENGINE_POOL:
                self.schedule_at(job.arrives_at, self.handle_arrival, job)
        while self.event_queue and self.event_queue[0][0] <= end:
            self.now, _, function, args = heappop(self.event_queue)
            function(*args)

    def handle_arrival(self, job):
        """Queue a job and start what fits."""
        self.results.record_arrival(job)
        if self.policy == PERFECT:
            self.enqueue_perfect(job)
            self.start_perfect()
            return
        index = self.choose_server(job.router)
        self.n_open[job.router][index] += 1
        self.servers[index].queue.append(job)
        self.start_queued(index)

    def choose_server(self, router):
        """Choose a server by the local state of one router."""
        usable = [i for i, item in enumerate(self.servers) if item.is_in_service]
        if self.policy == RANDOM:
            return self.rng.choice(usable)
        n_open = self.n_open[router]
        fewest = min(n_open[index] for index in usable)
        return self.rng.choice([i for i in usable if n_open[i] == fewest])

    def start_queued(self, index):
        """Start queued jobs of a server while it has free places."""
        server = self.servers[index]
        while server.n_free > 0 and server.queue:
            job = server.queue.popleft()
            if self.now - job.arrives_at >= DEADLINE_S:
                self.n_open[job.router][index] -= 1
                self.record_expired(job)
            else:
                self.start_job(job, index)

    def record_expired(self, job):
        """Record that a queued job was dropped after its deadline."""
        self.results.update_counts(job, self.now, n_waiting=-1)

    def enqueue_perfect(self, job):
        """Queue a job; a workspace gains no credit while it is idle."""
        queue = self.queues.setdefault(job.workspace, deque())
        if not queue:
            others = [
                self.weighted_service[name]
                for name, item in self.queues.items()
                if item
            ]
            floor = min(others, default=max(self.weighted_service.values()))
            own = self.weighted_service[job.workspace]
            self.weighted_service[job.workspace] = max(own, floor)
        queue.append(job)

    def start_perfect(self):
        """Start jobs in fair order while places are free, by their actual costs."""
        while True:
            waiting = [name for name, queue in self.queues.items() if queue]
            free = [i for i, server in enumerate(self.servers) if server.n_free > 0]
            if not waiting or not free:
                return
            name = min(waiting, key=lambda item: (self.weighted_service[item], item))
            job = self.queues[name].popleft()
            if self.now - job.arrives_at >= DEADLINE_S:
                self.record_expired(job)
                continue
            self.weighted_service[name] += job.cost / self.results.shares[name]
            self.start_job(job, max(free, key=lambda i: self.servers[i].n_free))

    def start_job(self, job, index):
        """Start a job on a server."""
        server = self.servers[index]
        server.n_running += 1
        self.results.record_start(str(job.number), server.backend_server, self.now)
        self.deliver_service(job, index, 0, 0.0)

    def deliver_service(self, job, index, n_units, age_s):
        """Deliver service in steps until the job ends."""
        total = min(job.cost, round(job.cost * age_s / job.duration_s))
        self.results.record_units(job, total - n_units)
        if age_s < job.duration_s:
            step_s = min(SAMPLE_S, job.duration_s - age_s)
            due_at = self.now + step_s
            self.schedule_at(
                due_at, self.deliver_service, job, index, total, age_s + step_s
            )
            return
        server = self.servers[index]
        server.n_running -= 1
        self.results.record_end(job, server.backend_server, self.now)
        self.results.record_answer(str(job.number), self.now)
        if self.policy == PERFECT:
            self.start_perfect()
        else:
            self.n_open[job.router][index] -= 1
            self.start_queued(index)

    def set_out_of_service(self, data_centre):
        """Take a data centre out of service; an empty name returns all to service.

        Without a central queue, routers move the requests queued there to other
        servers.
        """
        n_places = 0
        for index, server in enumerate(self.servers):
            server.is_in_service = server.backend_server.data_centre != data_centre
            n_places += N_ENGINE_PLACES * server.is_in_service
            if self.policy != PERFECT:
                self.move_queue(index)
        self.results.accumulate_utilisation(self.now)
        self.results.n_places = n_places
        if self.policy == PERFECT:
            self.start_perfect()

    def move_queue(self, index):
        """Move the queue of a server that is out of service to other servers."""
        server = self.servers[index]
        if server.is_in_service:
            return
        jobs, server.queue = server.queue, deque()
        for job in jobs:
            self.n_open[job.router][index] -= 1
            other = self.choose_server(job.router)
            self.n_open[job.router][other] += 1
            self.servers[other].queue.append(job)
            self.start_queued(other)
