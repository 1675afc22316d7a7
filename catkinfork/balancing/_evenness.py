"""How even the load of the backend servers of a service is, as a forwarder sees it."""

from collections import Counter

from catkinfork.balancing._events import LOAD_SPREAD
from catkinfork.observability import log_event

# Time between two samples, seconds. A sample visits every backend server once.
SAMPLE_INTERVAL_S = 0.1
# Time between two events of one service, seconds.
REPORT_INTERVAL_S = 5.0


class EvennessMonitor:
    """Samples the load of the backend servers while requests are placed.

    It changes no decision. ``n_drawn`` counts the placements since the start that were
    drawn among several equal offers, and ``imbalance`` is the largest load as a
    multiple of the mean in the latest report.
    """

    def __init__(self):
        self.n_drawn = 0
        self.imbalance = 0.0
        self.next_sample_at = 0.0
        self.report_at = None
        self.clear()

    def clear(self):
        """Begin a new report."""
        self.n_samples = 0
        self.n_idle = 0
        self.maximum = 0.0
        self.mean = 0.0
        self.unseen_cost = 0.0
        self.n_drawn_before = self.n_drawn
        self.busiest = Counter()
        self.placed = Counter()
        self.prompt_tokens = Counter()
        self.missing_tokens = Counter()

    def record_placement(self, placement, is_drawn):
        """Count an attempt.

        :param is_drawn: whether it was drawn among several equal offers.
        """
        name = placement.backend.name
        self.n_drawn += is_drawn
        self.placed[name] += 1
        self.prompt_tokens[name] += placement.job.n_prompt_tokens
        self.missing_tokens[name] += placement.n_missing_tokens

    def observe(self, pool, unseen_cost, now):
        """Take a sample if it is due, and return an event if that is due.

        :param pool: :class:`ServicePool`.
        :param unseen_cost: cost that peers are expected to have placed unseen.
        """
        if now < self.next_sample_at:
            return None
        self.next_sample_at = now + SAMPLE_INTERVAL_S
        loads = {
            name: pool.model.compute_load(state.load)
            for name, state in pool.states.items()
        }
        if not loads:
            return None
        busiest = max(loads, key=loads.get)
        self.n_samples += 1
        self.n_idle += sum(not load for load in loads.values())
        self.maximum += loads[busiest]
        self.mean += sum(loads.values()) / len(loads)
        self.unseen_cost += unseen_cost
        if loads[busiest]:
            self.busiest[busiest] += 1
        if self.report_at is None:
            self.report_at = now + REPORT_INTERVAL_S
        if now < self.report_at:
            return None
        event = self.build_event(pool)
        self.report_at = now + REPORT_INTERVAL_S
        self.clear()
        return event

    def build_event(self, pool):
        """Return the event with the samples since the last one.

        :param pool: :class:`ServicePool`.
        """
        self.imbalance = self.maximum / self.mean if self.mean else 0.0
        name, n_busiest = (self.busiest.most_common(1) or [("", 0)])[0]
        n_prompt_tokens = self.prompt_tokens[name]
        n_cached_tokens = n_prompt_tokens - self.missing_tokens[name]
        n_placed = sum(self.placed.values())
        return log_event(
            LOAD_SPREAD,
            service=pool.service.name,
            imbalance=round(self.imbalance, 2),
            mean_load=round(self.mean / self.n_samples, 1),
            n_idle=round(self.n_idle / self.n_samples, 1),
            n_servers=len(pool.states),
            busiest=name,
            busiest_share=round(n_busiest / self.n_samples, 2),
            placed_share=round(self.placed[name] / max(1, n_placed), 3),
            cached_share=round(n_cached_tokens / max(1, n_prompt_tokens), 2),
            n_placed=n_placed,
            n_drawn=self.n_drawn - self.n_drawn_before,
            unseen_cost=round(self.unseen_cost / self.n_samples, 1),
        )
