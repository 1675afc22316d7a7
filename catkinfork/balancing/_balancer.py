"""Admission and placement of the requests of one forwarder."""

from catkinfork.balancing._candidates import choose_candidate, list_usable
from catkinfork.balancing._changes import ChangeSet
from catkinfork.balancing._events import (
    BACKEND_LEFT_OUT,
    REQUEST_BLOCKED,
)
from catkinfork.balancing._jobs import (
    ABANDONED,
    BROKEN,
    EXPIRED,
    NO_BACKEND,
    NO_REPEAT,
    OVERLOADED,
    REJECTED,
    SERVED,
    SUSPECT,
    UNREACHABLE,
    Placement,
    Refusal,
)
from catkinfork.balancing._pool import ServicePool
from catkinfork.balancing._repeats import allows_repeat
from catkinfork.balancing._suspects import MAX_CRASHES, SuspectTable
from catkinfork.balancing._waits import estimate_wait, list_hopeless
from catkinfork.observability import log_event

# Waiting jobs that are considered for placement at one time.
MAX_CONSIDERED = 64
# Jobs that one forwarder holds for one service.
MAX_WAITING = 2000
# Part of the expected wait and duration for which a waiting job needs the time. It is
# under 1 as half of the requests are faster than expected.
EXPIRY_SHARE = 0.5
# Times to come back, seconds: bounds, and where no backend server is known.
MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0
NO_BACKEND_RETRY_AFTER_S = 0.5
SUSPECT_RETRY_AFTER_S = 30.0
# Spread of the times to come back, so that callers do not return together.
RETRY_SPREAD = 0.5


class Balancer:
    """Decides which request goes to which backend server, waits or is refused.

    :param registry: :class:`BackendRegistry`.
    :param peers: object that counts forwarders: ``n_fresh``, ``n_forwarders`` and
        ``news_age_s``, each called with the time.
    :param settings: :class:`BalancerSettings`.
    :param rng: ``random.Random``.
    :param write_log: callable that takes a :class:`LogEvent`.
    """

    def __init__(self, registry, peers, settings, rng, write_log):
        self.registry = registry
        self.peers = peers
        self.settings = settings
        self.rng = rng
        self.write_log = write_log
        self.pools = {}
        self.suspects = SuspectTable()
        self.changes = ChangeSet()
        self.tokens_per_s = 0.0
        self.workspaces = ()

    def configure(self, configuration):
        """Take a configuration.

        :param configuration: :class:`Configuration`.
        """
        self.tokens_per_s = configuration.limits.tokens_per_s
        self.workspaces = [workspace.name for workspace in configuration.workspaces]
        for name, service in configuration.services.items():
            if name in self.pools:
                self.pools[name].update(service, self.settings)
            else:
                self.pools[name] = ServicePool(service, self.settings)

    def take_settings(self, settings):
        """Take changed bounds of the repeats.

        :param settings: :class:`BalancerSettings`.
        """
        self.settings = settings
        for pool in self.pools.values():
            pool.repeats.settings = settings.repeats

    def submit(self, job, now):
        """Take a new request.

        :param job: :class:`Job`.
        :returns: :class:`Placement`, :class:`Refusal`, or None if the job waits.
        """
        pool = self.pools[job.service]
        pool.repeats.note_request(now)
        self.changes.services.add(job.service)
        pool.shares.note_asked(job.workspace, job.n_service_tokens, now)
        self.changes.workspaces.add((job.service, job.workspace))
        if self.suspects.is_blocked(job.fingerprint, now):
            return self.block(job)
        return self.admit(pool, job, now)

    def block(self, job):
        """Refuse a request that has crashed backend servers."""
        self.write_log(
            log_event(
                REQUEST_BLOCKED,
                request_id=job.request_id,
                workspace=job.workspace,
                fingerprint=f"{job.fingerprint:016x}",
                max_crashes=MAX_CRASHES,
            )
        )
        return Refusal(SUSPECT, SUSPECT_RETRY_AFTER_S)

    def submit_again(self, job, now):
        """Take a request whose attempt ended without a response.

        :returns: as :meth:`submit`.
        """
        pool = self.pools[job.service]
        if self.suspects.is_blocked(job.fingerprint, now):
            return self.block(job)
        if not self.has_repeat_left(pool, now):
            return Refusal(NO_REPEAT, self.spread(MIN_RETRY_AFTER_S * 5))
        return self.admit(pool, job, now)

    def has_repeat_left(self, pool, now):
        """Return whether the budget of a service allows one more repeat."""
        n_fresh = self.peers.n_fresh(now)
        return pool.repeats.allows(n_fresh, self.peers.n_forwarders(now), now)

    def admit(self, pool, job, now):
        """Place a job, let it wait, or refuse it."""
        usable = list_usable(self.registry, pool, job, now)
        if not usable:
            return Refusal(NO_BACKEND, self.spread(NO_BACKEND_RETRY_AFTER_S))
        if not pool.queue.n_jobs:
            turn = pool.queue.find_turn(job.workspace, now)
            placement = self.place(pool, job, usable, turn, now)
            if placement is not None:
                return placement
        refusal = self.check_wait(pool, job, now)
        if refusal is None:
            pool.queue.add(job)
        return refusal

    def check_wait(self, pool, job, now):
        """Return a refusal if a job cannot be served in time behind those waiting."""
        pool.shares.review(self.tokens_per_s, now)
        queue = pool.queue
        if queue.n_jobs >= MAX_WAITING:
            return Refusal(OVERLOADED, self.spread(1.0), f"n_waiting={queue.n_jobs}")
        wait = estimate_wait(pool, job.workspace, now)
        wait_s = wait.compute(queue.count_ahead(job, now))
        if pool.is_in_time(job, now + wait_s):
            return None
        detail = f"wait_s={wait_s:.3f} n_waiting={queue.n_jobs}"
        return Refusal(OVERLOADED, self.spread(wait_s), detail)

    def spread(self, seconds):
        """Return a time to come back, spread at random."""
        bounded = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))
        return bounded * (1.0 + RETRY_SPREAD * self.rng.random())

    def place(self, pool, job, usable, turn, now, reserved=None):
        """Place a job at the backend server with the least cost.

        A job waits for that backend server although another one has room, as long as
        this costs less than to read its prompt there.

        :param usable: backend servers that may run the job.
        :param turn: turn of the job.
        :param reserved: tokens that other waiting jobs will add, by backend server; a
            job that waits adds its own.
        :returns: :class:`Placement`, or None if the job waits.
        """
        n_before = pool.count_peers_before(turn)
        best = choose_candidate(pool, job, usable, reserved or {}, n_before, now)
        if best is None:
            return None
        if not best.has_room:
            if reserved is not None:
                name = best.backend.name
                reserved[name] = reserved.get(name, 0) + best.n_missing_tokens
            return None
        placement = Placement(job, best.backend, best.n_missing_tokens, now)
        placement.cost = best.cost
        placement.n_candidates = len(usable)
        placement.news_age_s = self.peers.news_age_s(now)
        self.open(pool, placement, now)
        return placement

    def open(self, pool, placement, now):
        """Account for a new attempt."""
        job = placement.job
        backend = placement.backend
        state = pool.find(backend.name)
        state.load.open(job, placement.n_missing_tokens)
        if backend.is_cold(now):
            n_forwarders = self.peers.n_forwarders(now)
            state.limiter.note_sent(pool.service.cold_rate, n_forwarders, now)
        if job.tried:
            job.n_repeats += 1
            pool.repeats.note_repeat(now)
            self.changes.services.add(job.service)
        else:
            pool.note_placed(job, now)
            pool.shares.note_received(job.workspace, job.n_service_tokens, now)
            self.changes.workspaces.add((job.service, job.workspace))
        job.tried.append(backend.name)
        self.changes.backends.add((job.service, backend.name))
        if job.parts:
            self.changes.parts.append((job.service, backend.name, job.parts))

    def pump(self, now):
        """Place waiting jobs and refuse those that cannot be served in time any more.

        :returns: list of pairs of :class:`Job` and its :class:`Placement` or
            :class:`Refusal`.
        """
        decisions = []
        for pool in self.pools.values():
            if pool.queue.n_jobs:
                pool.shares.review(self.tokens_per_s, now)
                decisions += self.drop_expired(pool, now)
                decisions += self.place_waiting(pool, now)
        return decisions

    def drop_expired(self, pool, now):
        """Refuse waiting jobs that cannot be served in time any more."""
        decisions = []
        for job in list_hopeless(pool, now, EXPIRY_SHARE):
            pool.queue.remove(job)
            waited_s = now - job.arrived_at
            refusal = Refusal(
                EXPIRED, self.spread(waited_s), f"waited_s={waited_s:.3f}"
            )
            decisions.append((job, refusal))
        return decisions

    def place_waiting(self, pool, now):
        """Place the waiting jobs that go first."""
        decisions = []
        reserved = {}
        pool.turn = None
        for turn, job in pool.queue.list_ranked(now)[:MAX_CONSIDERED]:
            usable = list_usable(self.registry, pool, job, now)
            placement = self.place(pool, job, usable, turn, now, reserved)
            if placement is None:
                if pool.turn is None:
                    pool.turn = turn
                continue
            pool.queue.remove(job)
            decisions.append((job, placement))
        return decisions

    def has_waiting(self):
        """Return whether any job waits."""
        return any(pool.queue.n_jobs for pool in self.pools.values())

    def withdraw(self, job):
        """Remove a waiting job whose caller has left."""
        self.pools[job.service].queue.remove(job)

    def note_begun(self, placement, now):
        """Note the first event of an attempt."""
        if placement.has_begun:
            return
        pool = self.pools[placement.job.service]
        pool.first_events.note(placement.job.route, now - placement.placed_at)
        pool.find(placement.backend.name).load.begin(placement)
        self.changes.backends.add((placement.job.service, placement.backend.name))

    def finish(self, placement, outcome, now):
        """Account for the end of an attempt.

        :param outcome: one of the outcomes of attempts.
        """
        if placement.has_ended:
            return
        placement.has_ended = True
        job = placement.job
        pool = self.pools[job.service]
        state = pool.find(placement.backend.name)
        state.load.close(placement)
        self.changes.backends.add((job.service, placement.backend.name))
        if outcome == ABANDONED:
            return
        self.learn(pool, placement, outcome, now)

    def learn(self, pool, placement, outcome, now):
        """Learn from the outcome of an attempt."""
        job = placement.job
        backend = placement.backend
        if outcome == SERVED:
            pool.durations.note(job.route, now - placement.placed_at)
            if self.suspects.clear(job.fingerprint):
                self.changes.suspects[job.fingerprint] = 0
        if outcome == BROKEN:
            n_crashes = self.suspects.note_crash(job.fingerprint, now)
            self.changes.suspects[job.fingerprint] = n_crashes
        if outcome not in (REJECTED, UNREACHABLE):
            job.n_runs += 1
        pool.health.note(outcome)
        state = pool.find(backend.name)
        if state.health.note(outcome, pool.health.failure_rate, now):
            self.write_log(
                log_event(
                    BACKEND_LEFT_OUT,
                    backend_server=backend.name,
                    service=job.service,
                    outcome=outcome,
                    failure_rate=state.health.failure_rate,
                    service_rate=pool.health.failure_rate,
                    pause_s=state.health.left_out_until - now,
                    request_id=job.request_id,
                )
            )

    def may_repeat(self, placement, outcome, now):
        """Return whether a job may go to another backend server after an attempt.

        :param outcome: how the attempt has ended.
        """
        job = placement.job
        return allows_repeat(job, outcome, job.n_runs, now)

    def can_repeat(self, placement, outcome, now):
        """Return whether a job would go to another backend server now.

        :param placement: attempt that has not ended.
        :param outcome: how it would end.
        """
        job = placement.job
        if not allows_repeat(job, outcome, job.n_runs + 1, now):
            return False
        pool = self.pools[job.service]
        if not self.has_repeat_left(pool, now):
            return False
        return bool(list_usable(self.registry, pool, job, now))
