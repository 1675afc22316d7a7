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
WINDOW_S = 0.1


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


class EvennessRecord:
    """Samples of the load of all engines, and of the requests that were served."""

    def __init__(self):
        self.sums = {}
        self.n_samples = 0
        self.deviations = []
        self.maxima = []
        self.means = []
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
        for one in engines:
            n_pending = one.count_pending_tokens(now)
            n_waiting = one.count_waiting(now)
            n_idle += n_waiting == 0
            n_queued += n_waiting > 1
            self.sums[one.name] = self.sums.get(one.name, 0.0) + n_pending
        self.n_all_samples += 1
        self.n_uneven += min(n_idle, n_queued) > 0
        self.wasted_shares.append(min(n_idle, n_queued) / len(engines))
        self.n_samples += 1
        if self.n_samples * SAMPLE_INTERVAL_S >= WINDOW_S - 1e-9:
            loads = [total / self.n_samples for total in self.sums.values()]
            self.deviations.append(pstdev(loads))
            self.maxima.append(max(loads))
            self.means.append(fmean(loads))
            self.sums = {}
            self.n_samples = 0

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
        mean = max(1.0, fmean(self.means))
        return {
            "deviation": fmean(self.deviations) / mean,
            "maximum": fmean(self.maxima) / mean,
            "uneven": self.n_uneven / self.n_all_samples,
            "wasted": fmean(self.wasted_shares),
            "mean_tokens": mean,
            "median_ms": 1000 * cuts[9],
            "p95_ms": 1000 * cuts[18],
            "on_time": self.n_on_time / n_jobs,
            "repeated": self.n_repeated_tokens / self.n_prompt_tokens,
            "n_jobs": n_jobs,
        }
