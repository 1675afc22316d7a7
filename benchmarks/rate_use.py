"""Part of a named rate limit that forwarders use while work waits.

``python -m benchmarks.rate_use [SEED]`` prints a table: even demand, and 60 % of it at
one forwarder, with shares by demand and with even ones, in the same run.
"""

import random
import sys
from collections import deque

from catkinfork.balancing._allowance import (
    RATE_UTILIZATION,
    DemandShare,
    RateAllowance,
    compute_share_interval_s,
)

SIZES = (4, 22, 68, 200)
RATE = 20.0
# Requests per second at all forwarders, as a multiple of the rate.
LOAD = 2.0
SKEW = 0.6
STEP_S = 0.01
# Time until the limit counts, and the one for which its use is measured, seconds.
SETTLE_S = 8.0
SPAN_S = 40.0
# Frames per second from one forwarder to all peers together, which sets their interval.
FRAMES_PER_S = 400.0
# Requests that a forwarder holds before it refuses more.
MAX_WAITING = 50
WINDOW_S = 4.0


class SimulatedForwarder:
    """A forwarder with a queue for one backend server."""

    def __init__(self, is_even):
        self.is_even = is_even
        self.demand = DemandShare()
        self.allowance = RateAllowance()
        self.n_waiting = 0
        self.n_untold = 0

    def submit(self, now):
        """Queue or refuse a request."""
        self.demand.record_request(now)
        self.n_untold += 1
        self.n_waiting = min(MAX_WAITING, self.n_waiting + 1)

    def send(self, n_forwarders, rng, now):
        """Send a queued request if the allowance permits; return whether it does."""
        if not self.n_waiting:
            return False
        share = 1.0 / n_forwarders
        if not self.is_even:
            share = self.demand.compute(None, n_forwarders, n_forwarders, now)
        interval_s = compute_share_interval_s(RATE, share)
        if not self.allowance.allows(interval_s, rng, now):
            return False
        self.allowance.record_request(interval_s)
        self.n_waiting -= 1
        return True


def tell(forwarders, now):
    """Let each forwarder learn of the requests that reached the others."""
    n_all = sum(one.n_untold for one in forwarders)
    for one in forwarders:
        one.demand.record_peer_requests(n_all - one.n_untold, now)
    for one in forwarders:
        one.n_untold = 0


def measure_use(n_forwarders, is_skewed, is_even, seed):
    """Return the part of the rate that is used, and the most requests in a window.

    :param is_skewed: whether most of the demand is at one forwarder.
    :param is_even: whether all forwarders have the same share.
    """
    rng = random.Random(seed)
    forwarders = [SimulatedForwarder(is_even) for _ in range(n_forwarders)]
    weights = [1.0] * n_forwarders
    if is_skewed:
        weights = [(1 - SKEW) / (n_forwarders - 1)] * n_forwarders
        weights[0] = SKEW
    interval_s = max(STEP_S, n_forwarders / FRAMES_PER_S)
    told_at = 0.0
    n_sent = n_most = 0
    recent = deque()
    for step in range(int((SETTLE_S + SPAN_S) / STEP_S)):
        now = step * STEP_S
        if rng.random() < LOAD * RATE * STEP_S:
            rng.choices(forwarders, weights)[0].submit(now)
        if now >= told_at + interval_s:
            told_at = now
            tell(forwarders, now)
        for one in forwarders:
            if one.send(n_forwarders, rng, now) and now >= SETTLE_S:
                n_sent += 1
                recent.append(now)
        while recent and recent[0] < now - WINDOW_S:
            recent.popleft()
        n_most = max(n_most, len(recent))
    return n_sent / (SPAN_S * RATE), n_most / (WINDOW_S * RATE)


def main():
    """Print the table."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(f"seed {seed}, limit {RATE}/s, {RATE_UTILIZATION} of it divided")
    print("| forwarders | demand | shares | part used | most in 4 s, of the limit |")
    print("|---|---|---|---|---|")
    for n_forwarders in SIZES:
        for is_skewed in (False, True):
            for is_even in (False, True):
                used, most = measure_use(n_forwarders, is_skewed, is_even, seed)
                demand = "60 % at one" if is_skewed else "even"
                shares = "even" if is_even else "by demand"
                figures = f"{used:.2f} | {most:.2f}"
                print(f"| {n_forwarders} | {demand} | {shares} | {figures} |")


if __name__ == "__main__":
    main()
