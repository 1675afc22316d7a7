"""Replay of a load with hot prompt parts, with and without transfers."""

from heapq import heappop, heappush
from math import ceil
from random import Random

import pytest

from catkinfork.balancing import SERVED, Placement, PromptPart
from catkinfork.balancing._transfers import MAX_TRANSFERS_PER_SOURCE
from catkinfork.balancing.tests.support import build_job
from catkinfork.balancing.tests.transfer_world import (
    N_PROMPT,
    build_fleet,
    find_source,
    send,
)


class HotPartReplay:
    """Twelve engines with empty caches, and requests with one of ten shared parts.

    Load pattern: engines are replaced while parts are hot, and their load is near what
    they can process. An engine processes 50 tokens/ms, one request after the other.
    """

    def __init__(self, min_speedup, seed):
        self.rng = Random(seed)
        self.balancer = build_fleet(12, min_speedup)
        self.free_at = {f"e{number}": 0.0 for number in range(12)}
        self.running = []
        self.n_processed = 0
        self.waited_s = 0.0

    def start(self, placement, now):
        """Let an engine process a request."""
        send(self.balancer, placement, now)
        transfer = placement.transfer
        n_fetched = transfer.n_tokens if transfer else 0
        n_missing = placement.n_missing_tokens - ceil(0.4 / 3 * n_fetched)
        name = placement.backend.name
        began_at = max(now, self.free_at[name])
        done_at = began_at + n_missing / 50_000 + n_fetched / 1_000_000
        self.free_at[name] = done_at
        self.n_processed += n_missing - 2000
        self.waited_s += done_at - placement.job.arrived_at
        heappush(self.running, (done_at, id(placement), placement))

    def advance(self, until):
        """Deliver the first events that are due, and place what waits."""
        while self.running and self.running[0][0] <= until:
            now, _, placement = heappop(self.running)
            self.balancer.record_first_event(placement, now)
            self.balancer.handle_attempt_end(placement, SERVED, now)
            for _, decision in self.balancer.dispatch_queued(now):
                if isinstance(decision, Placement):
                    self.start(decision, now)
        self.balancer.transfers.check(until)

    def run(self):
        """Return the shared tokens that were processed again, and the mean wait."""
        now = 0.0
        for number in range(1500):
            now += self.rng.expovariate(280)
            self.advance(now)
            part = PromptPart(0x100 + self.rng.randrange(10), 5000)
            parts = (part, PromptPart(1000 + number, 2000))
            decision = self.balancer.submit(
                build_job(now, n_prompt=N_PROMPT, parts=parts), now
            )
            if isinstance(decision, Placement):
                self.start(decision, now)
            for one in range(12):
                n_running = find_source(self.balancer, one).n_running
                assert n_running <= MAX_TRANSFERS_PER_SOURCE
        return self.n_processed - 10 * 5000, self.waited_s / 1500


@pytest.mark.parametrize("seed", range(3))
def test_shared_parts_are_processed_again_less_than_half_as_often(seed):
    """Guards against transfers that save little of the repeated prefill."""
    n_without, wait_without_s = HotPartReplay(0.0, seed).run()
    n_with, wait_with_s = HotPartReplay(10.0, seed).run()
    assert n_with < n_without / 2
    assert wait_with_s < wait_without_s
