"""One pass over the queued jobs of a service."""

from catkinfork.balancing._waits import list_infeasible

# Queued jobs of one service that a pass tries to place.
MAX_JOBS_PER_PASS = 64
# Late jobs that a pass tries at least, whatever number of on-time ones found no room.
# Other backend servers may have room for them.
MIN_LATE_JOBS_PER_PASS = 16
# Jobs of one workspace without room in a row, after which a pass goes on to the next
# workspace. Load pattern: hundreds of jobs of a flooding workspace wait while all
# engines are full, and each search would find the same.
MAX_JOBS_WITHOUT_ROOM = 8
# Time between two checks whether queued jobs can still meet their deadlines, seconds.
EXPIRY_CHECK_INTERVAL_S = 0.05
# Fraction of the estimated wait and duration that must fit before the deadline of a
# queued job. It is below 1 because half of the requests are faster than estimated.
EXPIRY_SHARE = 0.5


class DispatchPass:
    """Places the queued jobs of a service, and refuses those that cannot be served.

    :param balancer: :class:`Balancer`.
    :param pool: :class:`ServicePool`.
    :param now: monotonic time, seconds.

    ``decisions`` has pairs of :class:`Job` and its :class:`Placement` or
    :class:`Refusal`. ``n_without_room`` counts the streams that found no room by
    version, and ``full_versions`` has those that are skipped for the rest of the pass.
    """

    def __init__(self, balancer, pool, now):
        self.balancer = balancer
        self.pool = pool
        self.now = now
        self.decisions = []
        self.n_without_room = {}
        self.full_versions = set()

    def run(self):
        """Do the pass and return the decisions."""
        self.refuse_suspects()
        self.refuse_stopped()
        self.refuse_expired()
        self.place_waiting()
        event = self.pool.queue.order.build_event(self.pool, self.now)
        if event is not None:
            self.balancer.write_log(event)
        return self.decisions

    def decide(self, job, decision):
        """Remove a job from the queue and record the decision on it."""
        self.pool.queue.remove(job)
        self.decisions.append((job, decision))

    def refuse_suspects(self):
        """Refuse jobs with a prompt part that has become known to crash."""
        crash_guard = self.balancer.crash_guard
        if not crash_guard.parts.has_refused(self.now):
            return
        for job in self.pool.queue.list_all(self.now):
            refusal = crash_guard.check(job, self.now)
            if refusal is not None:
                self.decide(job, refusal)

    def refuse_stopped(self):
        """Refuse jobs that a planned stop would cut once they were placed.

        Load pattern: streams that wait for a full engine as their host is stopped.
        Other hosts can still serve them.
        """
        if self.balancer.stop_plan is None:
            return
        for job in self.pool.queue.list_all(self.now):
            refusal = self.balancer.check_stop(self.pool, job, self.now)
            if refusal is not None:
                self.decide(job, refusal)

    def refuse_expired(self):
        """Refuse jobs that can no longer meet their deadline."""
        if self.now < self.pool.next_expiry_check_at:
            return
        self.pool.next_expiry_check_at = self.now + EXPIRY_CHECK_INTERVAL_S
        order = self.pool.queue.order
        for job, wait_s in list_infeasible(self.pool, self.now, EXPIRY_SHARE):
            waited_s = self.now - job.arrived_at
            window = order.plan_return(self.pool, job, wait_s, self.now)
            refusal = self.balancer.refusals.refuse_expired(waited_s, window)
            self.decide(job, refusal)

    def place_waiting(self):
        """Place jobs in order of priority."""
        self.pool.priority = None
        candidates = self.balancer.list_candidates(self.pool, self.now)
        refusal = self.balancer.admission.check_throttled(candidates)
        if refusal is not None:
            for job in self.pool.queue.list_all(self.now):
                self.decide(job, refusal)
            return
        self.refuse_without_version(candidates)
        queue = self.pool.queue
        turns = queue.order.list_turns(queue, self.now)
        n_left = self.place_turns(turns, candidates, MAX_JOBS_PER_PASS)
        turns = queue.order.list_late_turns(queue, self.now)
        self.place_turns(turns, candidates, max(n_left, MIN_LATE_JOBS_PER_PASS))

    def refuse_without_version(self, candidates):
        """Refuse streams that no backend server of their version can resume any more.

        Load pattern: the last server of a version leaves or crashes while streams that
        broke off wait to go on. Callers learn of it at once, not at their deadline.

        :param candidates: :class:`CandidateList`.
        """
        if not self.pool.queue.n_bound:
            return
        for workspace in list(self.pool.queue.by_workspace):
            for version, jobs in self.pool.queue.list_groups(workspace, self.now):
                if version is not None:
                    self.refuse_unservable(version, jobs, candidates)

    def refuse_unservable(self, version, jobs, candidates):
        """Refuse those streams of one version that no backend server can resume.

        :param candidates: :class:`CandidateList`.
        """
        if candidates.compute_pause_s(version) is not None:
            return
        is_served = version in candidates.versions
        for job in jobs:
            if is_served and not job.tried_backends:
                continue
            if not candidates.list_eligible(job):
                self.decide(job, self.balancer.refusals.refuse_without_backend())

    def place_turns(self, turns, candidates, n_left):
        """Place jobs turn by turn.

        :param turns: iterable of :class:`Turn`.
        :param candidates: :class:`CandidateList`.
        :param n_left: number of jobs to try at most.
        :returns: number of jobs that may still be tried.
        """
        for turn in turns:
            n_left -= self.place_turn(turn, candidates, n_left)
            if not n_left:
                break
        return n_left

    def place_turn(self, turn, candidates, n_left):
        """Place jobs of one workspace until several in a row find no room.

        :param turn: :class:`Turn`.
        :param candidates: :class:`CandidateList`.
        :param n_left: number of jobs to try at most.
        :returns: number of jobs tried.
        """
        version = turn.version
        if version in self.full_versions:
            return 0
        # Room at other versions does not help a stream that goes on at one of several.
        is_any_room_of_use = version is None or candidates.versions == {version}
        n_tried = 0
        n_without_room = 0
        for job in turn.jobs[:n_left]:
            n_tried += 1
            placement = self.balancer.place(
                self.pool, job, candidates, turn.priority, self.now
            )
            if placement is not None:
                n_without_room = 0
                self.decide(job, placement)
                self.pool.queue.order.record_placement(turn, job, self.now)
                continue
            if is_any_room_of_use:
                self.report_priority(turn.priority)
            n_without_room += 1
            if version is not None:
                self.record_no_room(version)
            if n_without_room == MAX_JOBS_WITHOUT_ROOM:
                break
        return n_tried

    def report_priority(self, priority):
        """Set the priority that peers learn of, the highest of jobs without room."""
        if self.pool.priority is None or priority < self.pool.priority:
            self.pool.priority = priority

    def record_no_room(self, version):
        """Record that a stream found no room, and skip its version after several.

        Load pattern: many workspaces have streams that wait for a full version, and
        others have jobs for which another one has room.
        """
        self.n_without_room[version] = self.n_without_room.get(version, 0) + 1
        if self.n_without_room[version] >= MAX_JOBS_WITHOUT_ROOM:
            self.full_versions.add(version)
