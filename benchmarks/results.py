"""Records of the jobs of a run, and the figures computed from them."""

from collections import Counter

from benchmarks.shapes import ENGINE_POOL

SAMPLE_S = 0.5


def compute_quantile(values, fraction):
    """Return a quantile of some values, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class Results:
    """Records of a run under one policy.

    :param jobs: list of :class:`Job`.
    :param shares: mapping from workspace to its share.
    """

    def __init__(self, jobs, shares):
        self.jobs = jobs
        self.shares = shares
        self.started_at = {}
        self.n_starts = {}
        self.answered_at = {}
        self.refusals = {}
        self.start_locations = {}
        self.units = dict.fromkeys(shares, 0)
        self.samples = []
        self.n_waiting = {}
        self.n_running = 0
        self.n_places = 0
        self.updated_at = 0.0
        self.measured_from = 0.0
        self.busy_place_s = 0.0
        self.available_place_s = 0.0

    def accumulate_utilisation(self, now):
        """Add the use of the engines since the last update to the sums.

        Only time in which requests wait counts.
        """
        begin = max(self.updated_at, self.measured_from)
        if now > begin and any(self.n_waiting.values()):
            self.busy_place_s += (now - begin) * min(self.n_running, self.n_places)
            self.available_place_s += (now - begin) * self.n_places
        self.updated_at = now

    def update_counts(self, job, now, n_waiting=0, n_running=0):
        """Update the numbers of waiting and running requests of the engines."""
        if job.pool != ENGINE_POOL:
            return
        self.accumulate_utilisation(now)
        n_before = self.n_waiting.get(job.workspace, 0)
        self.n_waiting[job.workspace] = n_before + n_waiting
        self.n_running += n_running

    def record_arrival(self, job):
        """Record that a job has arrived and waits."""
        self.update_counts(job, job.arrives_at, n_waiting=1)

    def record_start(self, request_id, backend_server, now):
        """Record that a backend server starts a job, and return the job."""
        job = self.jobs[int(request_id)]
        is_first = job.number not in self.started_at
        self.update_counts(job, now, n_waiting=-is_first, n_running=1)
        self.started_at.setdefault(job.number, now)
        self.start_locations.setdefault(job.number, []).append(
            (now, backend_server.data_centre)
        )
        self.n_starts[job.number] = self.n_starts.get(job.number, 0) + 1
        return job

    def record_units(self, job, units):
        """Record delivered service units of an engine."""
        if job.pool == ENGINE_POOL:
            self.units[job.workspace] += units

    def record_end(self, job, backend_server, now):
        """Record that a backend server has stopped running a job."""
        self.update_counts(job, now, n_running=-1)

    def record_answer(self, request_id, now):
        """Record that the caller has received the complete response."""
        self.answered_at[int(request_id)] = now

    def record_refusal(self, request_id, refusal, now):
        """Record that a request was refused or its response aborted."""
        number = int(request_id)
        self.refusals[number] = refusal
        if number not in self.started_at:
            self.update_counts(self.jobs[number], now, n_waiting=-1)

    def record_sample(self):
        """Record delivered service and waiting requests by workspace."""
        self.samples.append((dict(self.units), dict(self.n_waiting)))

    def compute_gap(self, names, bound):
        """Return largest gap, 99th percentile and fraction of time with a backlog.

        A gap is the difference in weighted service since the first sample, in units of
        the bound.
        """
        first = self.samples[0][0]
        gaps = []
        n_backlogged = 0
        for units, n_waiting in self.samples:
            served = [(units[n] - first[n]) / self.shares[n] for n in names]
            gaps.append((max(served) - min(served)) / bound)
            n_backlogged += all(n_waiting.get(name, 0) > 0 for name in names)
        return max(gaps), compute_quantile(gaps, 0.99), n_backlogged / len(gaps)

    def compute_utilisation(self):
        """Return the fraction of the engines' places busy while requests waited."""
        return (
            self.busy_place_s / self.available_place_s
            if self.available_place_s
            else 1.0
        )

    def compute_phase_figures(self, begin, end, pool):
        """Return the figures of the jobs that arrived in a phase."""
        jobs = [
            job
            for job in self.jobs
            if begin <= job.arrives_at < end and job.pool == pool
        ]
        waits = [
            self.started_at[job.number] - job.arrives_at
            for job in jobs
            if job.number in self.started_at
        ]
        n_answered = sum(job.number in self.answered_at for job in jobs)
        refused = [job.number for job in jobs if job.number in self.refusals]
        n_broken = sum(number in self.started_at for number in refused)
        codes = Counter(self.refusals[number].code for number in refused)
        return {
            "requests": len(jobs),
            "answered": n_answered,
            "lost_share": round(1 - n_answered / len(jobs), 4) if jobs else 0.0,
            "broken": n_broken,
            "refusals": dict(codes),
            "wait_p95_s": round(compute_quantile(waits, 0.95), 4),
        }

    def count_late_starts(self, data_centre, begin, end):
        """Count starts in a data centre between two times."""
        return sum(
            begin <= started_at < end and location == data_centre
            for starts in self.start_locations.values()
            for started_at, location in starts
        )

    def count_duplicate_executions(self):
        """Count jobs that are not idempotent and yet ran more than once."""
        return sum(
            n_starts > 1 and not self.jobs[number].is_idempotent
            for number, n_starts in self.n_starts.items()
        )

    def count_false_not_run(self):
        """Count refusals with the outcome ``not_run`` whose job has started."""
        return sum(
            refusal.outcome == "not_run" and number in self.n_starts
            for number, refusal in self.refusals.items()
        )
