"""What happened to the jobs of a run, and the figures that follow from it."""

from collections import Counter

from benchmarks.shapes import ENGINE_POOL

SAMPLE_S = 0.5


def find_quantile(values, part):
    """Return a quantile of some values, 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


class Results:
    """Record of a run under one policy.

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
        self.places = {}
        self.units = dict.fromkeys(shares, 0)
        self.samples = []
        self.n_waiting = {}
        self.n_running = 0
        self.n_places = 0
        self.noted_at = 0.0
        self.measured_from = 0.0
        self.busy_s = 0.0
        self.place_s = 0.0

    def integrate(self, now):
        """Add up the use of the engines since the last change, while work waits."""
        begin = max(self.noted_at, self.measured_from)
        if now > begin and any(self.n_waiting.values()):
            self.busy_s += (now - begin) * min(self.n_running, self.n_places)
            self.place_s += (now - begin) * self.n_places
        self.noted_at = now

    def change(self, job, now, n_waiting=0, n_running=0):
        """Count waiting and running requests of the engines."""
        if job.pool != ENGINE_POOL:
            return
        self.integrate(now)
        before = self.n_waiting.get(job.workspace, 0)
        self.n_waiting[job.workspace] = before + n_waiting
        self.n_running += n_running

    def note_arrival(self, job):
        """Note that a job waits."""
        self.change(job, job.arrives_at, n_waiting=1)

    def note_start(self, request_id, entry, now):
        """Note that a backend server runs a job, and return the job."""
        job = self.jobs[int(request_id)]
        is_first = job.number not in self.started_at
        self.change(job, now, n_waiting=-is_first, n_running=1)
        self.started_at.setdefault(job.number, now)
        self.places.setdefault(job.number, []).append((now, entry.data_centre))
        self.n_starts[job.number] = self.n_starts.get(job.number, 0) + 1
        return job

    def note_units(self, job, units):
        """Count service that was delivered."""
        if job.pool == ENGINE_POOL:
            self.units[job.workspace] += units

    def note_end(self, job, entry, now):
        """Note that a backend server has stopped running a job."""
        self.change(job, now, n_running=-1)

    def note_answer(self, request_id, now):
        """Note that the caller has the whole response."""
        self.answered_at[int(request_id)] = now

    def note_refusal(self, request_id, refusal, now):
        """Note that the caller was refused or its response broken off."""
        number = int(request_id)
        self.refusals[number] = refusal
        if number not in self.started_at:
            self.change(self.jobs[number], now, n_waiting=-1)

    def sample(self):
        """Keep the delivered service and who waits."""
        self.samples.append((dict(self.units), dict(self.n_waiting)))

    def measure_gap(self, names, bound):
        """Return largest gap, its 99th percentile and the part of time with a backlog.

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
        return max(gaps), find_quantile(gaps, 0.99), n_backlogged / len(gaps)

    def measure_utilisation(self):
        """Return the part of the engines' places that were busy while work waited."""
        return self.busy_s / self.place_s if self.place_s else 1.0

    def measure_phase(self, begin, end, pool):
        """Return the service of the jobs that arrived in a phase."""
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
            "wait_p95_s": round(find_quantile(waits, 0.95), 4),
        }

    def count_late_starts(self, data_centre, begin, end):
        """Count starts in a data centre between two moments."""
        return sum(
            begin <= moment < end and place == data_centre
            for starts in self.places.values()
            for moment, place in starts
        )

    def count_doubled(self):
        """Count jobs that must not run twice but did."""
        return sum(
            n_starts > 1 and not self.jobs[number].is_idempotent
            for number, n_starts in self.n_starts.items()
        )

    def count_false_not_run(self):
        """Count refusals that say ``not_run`` of a job that has started."""
        return sum(
            refusal.outcome == "not_run" and number in self.n_starts
            for number, refusal in self.refusals.items()
        )
