"""Admission control and placement of the requests of one forwarder."""

from functools import partial

from catkinfork.balancing._admission import AdmissionControl
from catkinfork.balancing._attempt_records import AttemptRecordsMixin
from catkinfork.balancing._candidates import CandidateList
from catkinfork.balancing._changes import ChangeSet
from catkinfork.balancing._crashes import CrashGuard
from catkinfork.balancing._dispatch import DispatchPass
from catkinfork.balancing._holds import HoldMonitor
from catkinfork.balancing._jobs import (
    ABANDONED,
    Placement,
    PromptPart,
    Refusal,
)
from catkinfork.balancing._models import QueueRank
from catkinfork.balancing._on_time_order import is_late_priority
from catkinfork.balancing._pauses import build_pause_event
from catkinfork.balancing._pool import ServicePool
from catkinfork.balancing._rates import SendRates
from catkinfork.balancing._refusals import RefusalBuilder
from catkinfork.balancing._resumption import OriginFinder
from catkinfork.balancing._retries import is_retryable
from catkinfork.balancing._speed_meter import SpeedMeter
from catkinfork.balancing._streams import StreamTable
from catkinfork.balancing._transfer_watch import TransferWatch
from catkinfork.topology import Service


class Balancer(AttemptRecordsMixin):
    """Places requests at backend servers, queues them or refuses them.

    :param registry: :class:`BackendRegistry`.
    :param peers: source of peer statistics with the methods ``count_fresh``,
        ``count_forwarders`` and ``compute_state_age_s``, each called with the monotonic
        time.
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
        self.changes = ChangeSet()
        self.refusals = RefusalBuilder(rng)
        self.admission = AdmissionControl(self.refusals)
        self.crash_guard = CrashGuard(self.changes, rng, write_log)
        self.streams = StreamTable()
        self.origins = OriginFinder(registry, self.streams)
        self.hold_monitor = HoldMonitor(self)
        self.transfers = TransferWatch(self)
        self.speed_meter = SpeedMeter(registry, self.changes, write_log)
        self.tokens_per_s = 0.0
        self.workspaces = ()
        self.stop_plan = None

    def apply_configuration(self, configuration):
        """Put a configuration in force.

        A service that it names only in a route gets the default values.

        :param configuration: :class:`Configuration`.
        """
        self.tokens_per_s = configuration.limits.tokens_per_s
        self.workspaces = [workspace.name for workspace in configuration.workspaces]
        for name, service in configuration.services.items():
            if name in self.pools:
                self.pools[name].update(service, self.settings)
            else:
                self.add_pool(name, service)
        for route in configuration.routes:
            for target in route.targets:
                if target.service not in self.pools:
                    self.add_pool(target.service, Service(target.service))

    def add_pool(self, name, service):
        """Add the state of a service, which a planned stop ends as well."""
        pool = self.pools[name] = ServicePool(service, self.settings)
        if self.stop_plan is not None:
            pool.ends_at = self.stop_plan.ends_at

    def record_cached_parts(self, backend, parts):
        """Record the prompt parts that an engine says it keeps.

        Load pattern: forwarders that have just started place all requests without
        regard to what the engines have read, so that these read it again.

        :param backend: :class:`Backend`.
        :param parts: tokens kept by id of the part.
        """
        pool = self.pools.get(backend.service)
        if pool is not None:
            kept = [PromptPart(*part) for part in parts.items()]
            pool.find(backend.name).load.prefixes.record_use(kept)

    def apply_settings(self, settings):
        """Put changed settings of queue, placement and retry budget in force.

        :param settings: :class:`BalancerSettings`.
        """
        self.settings = settings
        for pool in self.pools.values():
            pool.apply_settings(settings)

    def submit(self, job, now):
        """Place, queue or refuse a new request.

        :param job: :class:`Job`.
        :returns: :class:`Placement`, :class:`Refusal`, or None if the job is queued.
        """
        pool = self.pools[job.service]
        pool.retry_budget.record_request(now)
        pool.demand.record_request(now)
        self.changes.services.add(job.service)
        pool.shares.record_demand(job.workspace, job.n_service_tokens, now)
        self.changes.workspaces.add((job.service, job.workspace))
        refusal = self.crash_guard.check(job, now) or self.check_stop(pool, job, now)
        if refusal is not None:
            return refusal
        decision = self.admit(pool, job, now)
        if isinstance(decision, Refusal):
            self.crash_guard.record_not_placed(job, now)
        return decision

    def begin_stop(self, plan):
        """Send only requests that can end before a planned stop does.

        :param plan: :class:`StopPlan`.
        """
        self.stop_plan = plan
        for pool in self.pools.values():
            pool.ends_at = plan.ends_at

    def check_stop(self, pool, job, now):
        """Return a refusal if a job cannot end before a planned stop does.

        :param job: :class:`Job` that is at no backend server.
        """
        plan = self.stop_plan
        if plan is None or plan.allows_pending(job, pool.durations, now):
            return None
        return self.refusals.refuse_at_stop(plan.ends_at - now)

    def may_cut(self, job):
        """Return whether a planned stop may end a request that was sent late."""
        return self.stop_plan is not None and self.stop_plan.may_cut(job)

    def resubmit(self, job, now):
        """Place, queue or refuse a request whose attempt ended without a response.

        :returns: as :meth:`submit`.
        """
        pool = self.pools[job.service]
        refusal = self.crash_guard.check(job, now) or self.check_stop(pool, job, now)
        if refusal is not None:
            return refusal
        if job.has_arrived and not self.has_retry_budget(pool, now):
            return self.refusals.refuse_retry()
        return self.admit(pool, job, now)

    def place_anew(self, placement, now):
        """Place a job anew whose attempt was not sent.

        Its backend server has become unusable while a connection was being opened.

        :returns: as :meth:`submit`.
        """
        job = placement.job
        self.handle_attempt_end(placement, ABANDONED, now)
        job.tried_backends.remove(placement.backend.name)
        pool = self.pools[job.service]
        return (
            self.crash_guard.check(job, now)
            or self.check_stop(pool, job, now)
            or self.admit(pool, job, now)
        )

    def mark_leaving(self, backend):
        """Take out a backend server that says that it is leaving, and tell the peers.

        :returns: whether this is news.
        """
        started_ms = backend.entry.started_ms
        if not self.registry.mark_leaving(backend.name, started_ms, "response"):
            return False
        self.changes.leaving.add(backend.name)
        return True

    def record_rate_limit(self, backend, rate, now):
        """Keep to the request rate that a backend server names, and tell the peers.

        :param rate: requests per second, infinite if a response names none.
        """
        rate_limits = self.registry.rate_limits
        if rate_limits.record(backend.entry, rate, now, "response", now):
            self.changes.rate_limits[backend.name] = True

    def has_retry_budget(self, pool, now):
        """Return whether the retry budget of a service allows one more retry."""
        n_fresh = self.peers.count_fresh(now)
        return pool.retry_budget.allows(
            n_fresh,
            self.peers.count_forwarders(now),
            now,
            self.peers.compute_state_age_s(now),
        )

    def admit(self, pool, job, now):
        """Place, queue or refuse a job."""
        candidates = self.list_candidates(pool, now)
        refusal = self.admission.check_throttled(candidates)
        if refusal is not None:
            return refusal
        if not candidates.list_eligible(job):
            refusal = self.admission.check_without_candidate(job, candidates)
        else:
            if pool.queue.precedes_all(job, now):
                priority = pool.queue.compute_job_priority(job, now)
                placement = self.place(pool, job, candidates, priority, now)
                if placement is not None:
                    return placement
            pool.shares.update_level(self.tokens_per_s, now)
            refusal = self.admission.check_wait(pool, job, now)
        if refusal is None:
            pool.queue.add(job)
        return refusal

    def place(self, pool, job, candidates, priority, now):
        """Place a job at the backend server with the lowest cost.

        If that backend server is full, the job waits for it even if another one has
        room, since processing the uncached prompt there would cost more. Its tokens
        then count there for the jobs behind it. Late jobs behind it leave it the room
        that becomes free there, which a long prompt would otherwise never get.

        :param candidates: :class:`CandidateList`.
        :param priority: queue priority of the job; lower values go first.
        :returns: :class:`Placement`, or None if the job has to wait.
        """
        rank = self.compute_rank(pool, job, priority, now)
        best = candidates.choose(job, rank)
        if best is None:
            return None
        name = best.backend.name
        if is_late_priority(priority) and name in candidates.awaited:
            return None
        if not self.may_take(pool, job, best, candidates, rank):
            candidates.add_cost(best.backend, best.n_missing_tokens)
            candidates.awaited.add(name)
            return None
        candidates.add_cost(
            best.backend, best.n_missing_tokens, pool.model.request_cost
        )
        placement = Placement(job, best.backend, best.n_missing_tokens, now)
        placement.cost = best.cost
        placement.n_candidates = len(candidates.healthy)
        placement.peer_state_age_s = self.peers.compute_state_age_s(now)
        self.transfers.open(pool, placement, best.transfer)
        self.record_placement(pool, placement, candidates.rates, now)
        if self.settings.spread_choice:
            self.record_evenness(pool, placement, candidates)
        return placement

    def record_evenness(self, pool, placement, candidates):
        """Record how even the load is, and write an event from time to time.

        :param candidates: :class:`CandidateList` from which it was chosen.
        """
        monitor = pool.evenness
        monitor.record_placement(placement, candidates.is_drawn)
        unseen_cost = candidates.estimate_unseen_cost()
        event = monitor.observe(pool, unseen_cost, candidates.now)
        if event is not None:
            self.write_log(event)

    def compute_rank(self, pool, job, priority, now):
        """Return the :class:`QueueRank` of a job.

        :param priority: queue priority of the job; lower values go first.
        """
        n_peers_ahead = pool.count_peers_ahead(priority)
        is_starving = pool.queue.n_jobs > 0 and pool.shares.is_underserved(
            job.workspace, now
        )
        lead = pool.shares.compute_lead(job.workspace, now) if n_peers_ahead else 0.0
        return QueueRank(n_peers_ahead, is_starving, lead)

    def may_take(self, pool, job, candidate, candidates, rank):
        """Return whether a job may take the room at a backend server now.

        :param candidate: :class:`Candidate`.
        :param candidates: :class:`CandidateList` from which it was chosen.
        :param rank: :class:`QueueRank` of the job.
        """
        now = candidates.now
        state_age_s = self.peers.compute_state_age_s(now)
        if not self.settings.spread_choice:
            draw = pool.find(candidate.backend.name).room_draw
            return draw.may_take(
                candidate.room, rank.n_peers_ahead, state_age_s, self.rng, now
            )
        if candidate.room < 1:
            return False
        return pool.room_quota.may_take(
            partial(candidates.compute_total_room, job, rank),
            rank.n_peers_ahead,
            state_age_s,
            self.rng,
            now,
        )

    def record_placement(self, pool, placement, rates, now):
        """Add a new attempt to loads, rates, budgets and shares.

        :param rates: :class:`SendRates`.
        """
        job = placement.job
        backend = placement.backend
        state = pool.find(backend.name)
        self.speed_meter.begin(pool, placement, state, now)
        state.load.add_attempt(job, placement.n_missing_tokens)
        rates.record_request(backend, state)
        pool.untold.record_placed(placement.n_missing_tokens + pool.model.request_cost)
        if job.tried_backends:
            if job.has_arrived:
                job.n_retries += 1
                pool.retry_budget.record_retry(now)
                self.changes.services.add(job.service)
        elif not job.is_charged:
            job.is_charged = True
            pool.record_placement(job, now)
            pool.shares.record_service(job.workspace, job.n_service_tokens, now)
            self.changes.workspaces.add((job.service, job.workspace))
        self.crash_guard.record_placed(job, now)
        job.tried_backends.append(backend.name)
        self.changes.backends.add((job.service, backend.name))
        if job.parts:
            self.changes.parts.append((job.service, backend.name, job.parts))

    def list_candidates(self, pool, now):
        """Return a new :class:`CandidateList` of a service."""
        if pool.weighs_pauses:
            for name in pool.pauses.update(pool.states, now):
                pauses = pool.states[name].pauses
                self.write_log(build_pause_event(pool.service.name, name, pauses))
        self.transfers.update_rate(pool, now)
        self.speed_meter.update(pool, now)
        rates = SendRates(self.registry, pool, self.peers, self.rng, now)
        return CandidateList(self.registry, pool, rates, now, pool.selection)

    def dispatch_queued(self, now):
        """Place queued jobs and refuse those that can no longer meet their deadline.

        :returns: list of pairs of :class:`Job` and its :class:`Placement` or
            :class:`Refusal`.
        """
        decisions = []
        for pool in self.pools.values():
            if pool.queue.n_jobs:
                pool.shares.update_level(self.tokens_per_s, now)
                decisions += DispatchPass(self, pool, now).run()
                self.hold_monitor.observe(pool, now)
        return decisions

    def update_speeds(self, now):
        """Put the speeds of the engines in force, also while no request arrives."""
        for pool in self.pools.values():
            self.speed_meter.update(pool, now)

    def has_waiting(self):
        """Return whether any job is queued."""
        return any(pool.queue.n_jobs for pool in self.pools.values())

    def withdraw(self, job):
        """Remove a queued job whose caller has disconnected."""
        self.pools[job.service].queue.remove(job)

    def allows_retry(self, placement, outcome, now):
        """Return whether a job may be retried at another backend server.

        :param outcome: outcome of the attempt that has ended.
        """
        job = placement.job
        return is_retryable(job, outcome, job.n_runs, now)

    def can_retry(self, placement, outcome, now):
        """Return whether a job could be retried at another backend server now.

        :param placement: attempt that is still running.
        :param outcome: outcome with which it would end.
        """
        job = placement.job
        if not is_retryable(job, outcome, job.n_runs + 1, now):
            return False
        pool = self.pools[job.service]
        if not self.has_retry_budget(pool, now):
            return False
        return bool(self.list_candidates(pool, now).list_eligible(job))
