"""Engines of the load measurements, and how even their load is."""

from statistics import fmean, pstdev, quantiles

from catkinfork.balancing._prefixes import PrefixCache

# Prompt tokens that an engine of Mahlzeit prefills per second, its memory in tokens and
# its slots.
PREFILL_RATE = 125_000.0
N_MEMORY_TOKENS = 689_345
N_SLOTS = 64
# Time of a decoding step, seconds.
STEP_S = 0.0033
SAMPLE_INTERVAL_S = 0.01
# Samples that make up a window of 100 ms.
N_SAMPLES_PER_WINDOW = 10


class SimulatedEngine:
    """An engine that prefills prompts one after the other.

    ``backlog`` has the times at which the prefill of its requests ends.
    """

    def __init__(self, name, data_centre):
        self.name = name
        self.data_centre = data_centre
        self.cache = PrefixCache(N_MEMORY_TOKENS)
        self.free_at = 0.0
        self.backlog = []
        self.n_in_flight = 0

    def start(self, job, now):
        """Queue a request and return the time of its first event.

        :returns: monotonic time, and the uncached tokens of the prompt.
        """
        n_cached_tokens = self.cache.count_cached_tokens(job.parts)
        n_missing_tokens = max(0, job.n_prompt_tokens - n_cached_tokens)
        self.cache.record_use(job.parts)
        self.free_at = max(self.free_at, now) + n_missing_tokens / PREFILL_RATE
        self.backlog.append(self.free_at)
        return self.free_at + STEP_S, n_missing_tokens

    def count_waiting(self, now):
        """Return the requests whose prefill has not ended."""
        self.backlog = [at for at in self.backlog if at > now]
        return len(self.backlog)

    def count_pending_tokens(self, now):
        """Return the prompt tokens that are still to prefill."""
        return max(0.0, self.free_at - now) * PREFILL_RATE


class LoadWindows:
    """Deviation, maximum and mean over all engines of their loads in each window."""

    def __init__(self):
        self.samples = []
        self.deviations = []
        self.maxima = []
        self.means = []

    def add(self, loads):
        """Add a sample with the load of each engine; some make up a window."""
        self.samples.append(loads)
        if len(self.samples) < N_SAMPLES_PER_WINDOW:
            return
        means = [fmean(one) for one in zip(*self.samples, strict=True)]
        self.deviations.append(pstdev(means))
        self.maxima.append(max(means))
        self.means.append(fmean(means))
        self.samples = []

    def compute_deviation(self):
        """Return the standard deviation as a multiple of the mean."""
        return fmean(self.deviations) / fmean(self.means)

    def compute_maximum(self):
        """Return the largest load as a multiple of the mean."""
        return fmean(self.maxima) / fmean(self.means)


class EvennessRecord:
    """Samples of the load of all engines, and of the requests that were served."""

    def __init__(self):
        self.pending = LoadWindows()
        self.in_flight = LoadWindows()
        self.n_uneven = 0
        self.n_all_samples = 0
        self.wasted_shares = []
        self.first_event_s = []
        self.n_on_time = 0
        self.n_refused = 0
        self.n_prompt_tokens = 0
        self.n_repeated_tokens = 0
        self.known_parts = set()

    def sample(self, engines, now):
        """Take a sample; a window of them is a mean for each engine."""
        n_idle = n_queued = 0
        n_pending_tokens = []
        for one in engines:
            n_pending = one.count_pending_tokens(now)
            n_waiting = one.count_waiting(now)
            n_idle += n_waiting == 0
            n_queued += n_waiting > 1
            n_pending_tokens.append(n_pending)
        self.n_all_samples += 1
        self.n_uneven += min(n_idle, n_queued) > 0
        self.wasted_shares.append(min(n_idle, n_queued) / len(engines))
        self.pending.add(n_pending_tokens)
        self.in_flight.add([one.n_in_flight for one in engines])

    def record_prefill(self, job, n_missing_tokens):
        """Count the tokens of known parts that an engine prefills again."""
        self.n_prompt_tokens += job.n_prompt_tokens
        for name, n_tokens in job.parts[:-1]:
            n_own = job.n_prompt_tokens - n_tokens
            if n_missing_tokens > n_own and name in self.known_parts:
                self.n_repeated_tokens += n_tokens
            self.known_parts.add(name)

    def record_first_event(self, job, now):
        """Record the time to first event of a request."""
        self.first_event_s.append(now - job.arrived_at)
        self.n_on_time += now <= job.latency_target_at

    def summarize(self):
        """Return the figures by name."""
        cuts = quantiles(self.first_event_s, n=20)
        n_jobs = len(self.first_event_s) + self.n_refused
        return {
            "deviation": self.pending.compute_deviation(),
            "maximum": self.pending.compute_maximum(),
            "flying_deviation": self.in_flight.compute_deviation(),
            "flying_maximum": self.in_flight.compute_maximum(),
            "uneven": self.n_uneven / self.n_all_samples,
            "wasted": fmean(self.wasted_shares),
            "mean_tokens": fmean(self.pending.means),
            "median_ms": 1000 * cuts[9],
            "p95_ms": 1000 * cuts[18],
            "on_time": self.n_on_time / n_jobs,
            "repeated": self.n_repeated_tokens / self.n_prompt_tokens,
            "n_jobs": n_jobs,
        }
