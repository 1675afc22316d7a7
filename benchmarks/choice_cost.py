"""Processor time of one choice among the engines.

``python -m benchmarks.choice_cost`` prints a table: the time of a choice with the
lowest cost and with the spread choice, by the number of engines, and the offers that
each prices. The loads are drawn at random.
"""

import random
import time
from collections import Counter

from catkinfork.balancing._candidates import CandidateList
from catkinfork.balancing._models import QueueRank
from catkinfork.balancing._selection import LOWEST_COST
from catkinfork.balancing._spread import SPREAD_CHOICE
from catkinfork.balancing.tests.support import build_balancer, build_job

N_CHOICES = 5_000
N_ENGINES = (4, 28, 60)
N_PARTS = 150
# Pending tokens and prompt tokens of a busy engine of Mahlzeit.
MAX_TOKENS = 15_000
N_SHARED_TOKENS = 5_382
N_OWN_TOKENS = 6_610
# Cost placed unseen for each engine, as in :mod:`benchmarks.load_evenness`.
UNSEEN_COST = 1_500.0
FIRST = QueueRank(0, False)


class CountingList(CandidateList):
    """Candidates that count the offers priced."""

    counter = Counter()

    def price(self, job, entry):
        """Count and return the offer."""
        self.counter["priced"] += 1
        return super().price(job, entry)


def build_loaded_balancer(n_engines, rng):
    """Return a balancer whose engines have random loads and cached parts."""
    balancer = build_balancer(n_backends=n_engines)
    pool = balancer.pools["s"]
    for number in range(n_engines):
        load = pool.find(f"b{number}").load
        load.n_pending_tokens = rng.randrange(MAX_TOKENS)
        load.n_in_flight = rng.randrange(1, 30)
        for part in rng.sample(range(N_PARTS), N_PARTS // 10):
            job = build_job(parts=[(part, N_SHARED_TOKENS)])
            load.prefixes.record_use(job.parts)
    pool.untold.mean_placed_cost = UNSEEN_COST * n_engines / 100
    pool.demand.peer_requests.add(100, 0.0)
    return balancer


def measure_choice(balancer, selection, list_type, rng):
    """Return the processor time of a choice, microseconds."""
    pool = balancer.pools["s"]
    candidates = balancer.list_candidates(pool, 0.0)
    candidates = list_type(balancer.registry, pool, candidates.rates, 0.0, selection)
    n_prompt = N_SHARED_TOKENS + N_OWN_TOKENS
    jobs = []
    for number in range(N_CHOICES):
        parts = [(rng.randrange(N_PARTS), N_SHARED_TOKENS), (-number, N_OWN_TOKENS)]
        jobs.append(build_job(n_prompt=n_prompt, parts=parts))
    started_at = time.process_time()
    for job in jobs:
        candidates.unseen_cost = None
        candidates.choose(job, FIRST)
    return 1e6 * (time.process_time() - started_at) / N_CHOICES


def main():
    """Print the table."""
    print("| engines | choice | time, us | offers priced |")
    print("|---|---|---|---|")
    for n_engines in N_ENGINES:
        balancer = build_loaded_balancer(n_engines, random.Random(1))
        for name, selection in (("lowest", LOWEST_COST), ("spread", SPREAD_CHOICE)):
            CountingList.counter.clear()
            measure_choice(balancer, selection, CountingList, random.Random(2))
            n_priced = CountingList.counter["priced"] / N_CHOICES
            time_us = measure_choice(
                balancer, selection, CandidateList, random.Random(2)
            )
            print(f"| {n_engines} | {name} | {time_us:.1f} | {n_priced:.1f} |")


if __name__ == "__main__":
    main()
