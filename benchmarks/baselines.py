"""Baselines on the same jobs: routers alone, and a queue that knows everything.

Delays are zero here, in favour of the baselines.
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
    """A backend server with a first-come queue."""

    def __init__(self, entry):
        self.entry = entry
        self.queue = deque()
        self.n_running = 0
        self.is_in_service = True

    @property
    def n_free(self):
        """Places that take a request now."""
        return N_ENGINE_PLACES - self.n_running if self.is_in_service else 0


class Baseline:
    """Runs the engines' jobs under one policy.

    :param policy: ``random``, ``least_loaded`` or ``perfect``.
    :param entries: backend servers of the document.
    :param results: :class:`Results`.
    :param rng: random generator.
    """

    def __init__(self, policy, entries, results, rng):
        self.policy = policy
        self.results = results
        self.rng = rng
        self.servers = [Server(item) for item in entries if item.pool == ENGINE_POOL]
        self.n_open = [[0] * len(self.servers) for _ in range(N_ROUTERS)]
        self.queues = {}
        self.charged = dict.fromkeys(results.shares, 0.0)
        self.heap = []
        self.order = count()
        self.now = 0.0

    def at(self, moment, function, *args):
        """Call a function at a moment."""
        heappush(self.heap, (moment, next(self.order), function, args))

    def run(self, end):
        """Run all jobs that arrive before the end."""
        for job in self.results.jobs:
            if job.pool == ENGINE_POOL:
                self.at(job.arrives_at, self.arrive, job)
        while self.heap and self.heap[0][0] <= end:
            self.now, _, function, args = heappop(self.heap)
            function(*args)

    def arrive(self, job):
        """Queue a job, or start it."""
        self.results.note_arrival(job)
        if self.policy == PERFECT:
            self.queue_perfect(job)
            self.fill_perfect()
            return
        index = self.choose(job.router)
        self.n_open[job.router][index] += 1
        self.servers[index].queue.append(job)
        self.fill(index)

    def choose(self, router):
        """Choose a server by what one router knows."""
        usable = [i for i, item in enumerate(self.servers) if item.is_in_service]
        if self.policy == RANDOM:
            return self.rng.choice(usable)
        n_open = self.n_open[router]
        fewest = min(n_open[index] for index in usable)
        return self.rng.choice([i for i in usable if n_open[i] == fewest])

    def fill(self, index):
        """Start what fits, first come first served."""
        server = self.servers[index]
        while server.n_free > 0 and server.queue:
            job = server.queue.popleft()
            if self.now - job.arrives_at >= DEADLINE_S:
                self.n_open[job.router][index] -= 1
                self.give_up(job)
            else:
                self.start(job, index)

    def give_up(self, job):
        """Drop a job whose deadline has passed."""
        self.results.change(job, self.now, n_waiting=-1)

    def queue_perfect(self, job):
        """Queue a job; a workspace that returns from idle has no credit."""
        queue = self.queues.setdefault(job.workspace, deque())
        if not queue:
            others = [self.charged[name] for name, item in self.queues.items() if item]
            floor = min(others, default=max(self.charged.values()))
            own = self.charged[job.workspace]
            self.charged[job.workspace] = max(own, floor)
        queue.append(job)

    def fill_perfect(self):
        """Start jobs in fair order while places are free; costs are known."""
        while True:
            waiting = [name for name, queue in self.queues.items() if queue]
            free = [i for i, server in enumerate(self.servers) if server.n_free > 0]
            if not waiting or not free:
                return
            name = min(waiting, key=lambda item: (self.charged[item], item))
            job = self.queues[name].popleft()
            if self.now - job.arrives_at >= DEADLINE_S:
                self.give_up(job)
                continue
            self.charged[name] += job.cost / self.results.shares[name]
            self.start(job, max(free, key=lambda i: self.servers[i].n_free))

    def start(self, job, index):
        """Run a job."""
        server = self.servers[index]
        server.n_running += 1
        self.results.note_start(str(job.number), server.entry, self.now)
        self.deliver(job, index, 0, 0.0)

    def deliver(self, job, index, n_units, age_s):
        """Deliver service in steps until the job ends."""
        total = min(job.cost, round(job.cost * age_s / job.duration_s))
        self.results.note_units(job, total - n_units)
        if age_s < job.duration_s:
            step_s = min(SAMPLE_S, job.duration_s - age_s)
            moment = self.now + step_s
            self.at(moment, self.deliver, job, index, total, age_s + step_s)
            return
        server = self.servers[index]
        server.n_running -= 1
        self.results.note_end(job, server.entry, self.now)
        self.results.note_answer(str(job.number), self.now)
        if self.policy == PERFECT:
            self.fill_perfect()
        else:
            self.n_open[job.router][index] -= 1
            self.fill(index)

    def set_out(self, data_centre):
        """Take a data centre out of service, or return it for an empty name.

        Routers alone send the requests that are queued there to other servers.
        """
        n_places = 0
        for index, server in enumerate(self.servers):
            server.is_in_service = server.entry.data_centre != data_centre
            n_places += N_ENGINE_PLACES * server.is_in_service
            if self.policy != PERFECT:
                self.drain(index)
        self.results.integrate(self.now)
        self.results.n_places = n_places
        if self.policy == PERFECT:
            self.fill_perfect()

    def drain(self, index):
        """Move the queue of a server that is out of service to the others."""
        server = self.servers[index]
        if server.is_in_service:
            return
        jobs, server.queue = server.queue, deque()
        for job in jobs:
            self.n_open[job.router][index] -= 1
            other = self.choose(job.router)
            self.n_open[job.router][other] += 1
            self.servers[other].queue.append(job)
            self.fill(other)
