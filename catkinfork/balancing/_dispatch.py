"""One pass over the queued jobs of a service."""

from catkinfork.balancing._waits import list_infeasible

# Queued jobs of one service that a pass tries to place.
MAX_JOBS_PER_PASS = 64
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
    :class:`Refusal`.
    """

    def __init__(self, balancer, pool, now):
        self.balancer = balancer
        self.pool = pool
        self.now = now
        self.decisions = []

    def run(self):
        """Do the pass and return the decisions."""
        self.refuse_suspects()
        self.refuse_expired()
        self.place_waiting()
        return self.decisions

    def decide(self, job, decision):
        """Remove a job from the queue and record the decision on it."""
        self.pool.queue.remove(job)
        self.decisions.append((job, decision))

    def list_jobs(self):
        """Return all queued jobs."""
        return [
            job
            for _, jobs in self.pool.queue.list_by_workspace(self.now)
            for job in jobs
        ]

    def refuse_suspects(self):
        """Refuse jobs with a prompt part that has become known to crash."""
        crash_guard = self.balancer.crash_guard
        if not crash_guard.parts.has_refused(self.now):
            return
        for job in self.list_jobs():
            refusal = crash_guard.check(job, self.now)
            if refusal is not None:
                self.decide(job, refusal)

    def refuse_expired(self):
        """Refuse jobs that can no longer meet their deadline."""
        if self.now < self.pool.next_expiry_check_at:
            return
        self.pool.next_expiry_check_at = self.now + EXPIRY_CHECK_INTERVAL_S
        for job in list_infeasible(self.pool, self.now, EXPIRY_SHARE):
            waited_s = self.now - job.arrived_at
            self.decide(job, self.balancer.refusals.refuse_expired(waited_s))

    def place_waiting(self):
        """Place jobs in order of priority."""
        self.pool.priority = None
        candidates = self.balancer.list_candidates(self.pool, self.now)
        refusal = self.balancer.check_throttled(candidates)
        if refusal is not None:
            for job in self.list_jobs():
                self.decide(job, refusal)
            return
        self.refuse_without_version(candidates)
        n_left = MAX_JOBS_PER_PASS
        for priority, workspace in self.pool.queue.list_priorities(self.now):
            n_left -= self.place_workspace(workspace, priority, candidates, n_left)
            if not n_left:
                return

    def refuse_without_version(self, candidates):
        """Refuse streams that no backend server of their version can resume any more.

        Load pattern: the last server of a version leaves or crashes while streams that
        broke off wait to go on. Callers learn of it at once, not at their deadline.

        :param candidates: :class:`CandidateList`.
        """
        if not self.pool.queue.n_bound:
            return
        for job in self.list_jobs():
            if job.version is not None and not candidates.list_eligible(job):
                self.decide(job, self.balancer.refusals.refuse_without_backend())

    def place_workspace(self, workspace, priority, candidates, n_left):
        """Place jobs of one workspace.

        :param candidates: :class:`CandidateList`.
        :param n_left: number of jobs to try at most.
        :returns: number of jobs tried.
        """
        n_tried = 0
        for jobs in self.pool.queue.list_groups(workspace, self.now):
            n_tried += self.place_jobs(jobs[: n_left - n_tried], priority, candidates)
        return n_tried

    def place_jobs(self, jobs, priority, candidates):
        """Place some jobs of one workspace until several in a row find no room.

        :returns: number of jobs tried.
        """
        n_tried = 0
        n_without_room = 0
        for job in jobs:
            n_tried += 1
            placement = self.balancer.place(
                self.pool, job, candidates, priority, self.now
            )
            if placement is not None:
                n_without_room = 0
                self.decide(job, placement)
                continue
            if self.pool.priority is None:
                self.pool.priority = priority
            n_without_room += 1
            if n_without_room == MAX_JOBS_WITHOUT_ROOM:
                break
        return n_tried
