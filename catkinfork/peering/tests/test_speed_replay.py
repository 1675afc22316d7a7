"""Speeds of engines in fleets with slow engines, pauses and uneven load."""

import random
import statistics
from collections import Counter

import pytest

from catkinfork.peering.tests.engine_fleet import EngineFleet

# Speeds of the engines of a deployment, relative to the nominal one.
MIXED = {f"e{number}": 1.2 if number % 4 else 0.55 for number in range(8)}
SLOW = ["e0", "e4"]
# Rates per second at eight engines: little load, much load, and nearly too much.
RATES = [160, 220, 260]


def measure_errors(fleet, start, end):
    """Run a fleet and return the mean errors of the speeds of its slow engines.

    Their speeds are compared with those of the other engines: which speed counts as 1
    depends on how the work is divided.
    """
    samples = []
    while fleet.now < end:
        fleet.run(fleet.now + 0.25)
        if fleet.now > start:
            samples += [one.speeds for one in fleet.forwarders]
    means = {name: statistics.mean(one[name] for one in samples) for name in MIXED}
    fast = statistics.mean(means[name] for name in MIXED if name not in SLOW)
    ratio = min(MIXED.values()) / max(MIXED.values())
    return [means[name] / fast / ratio - 1 for name in SLOW]


def measure_times(fleet, start):
    """Return the mean times to the first event at slow engines, and at the others."""
    events = [event for event in fleet.first_events if event.at > start]
    slow = [event.duration_s for event in events if event.engine in SLOW]
    fast = [event.duration_s for event in events if event.engine not in SLOW]
    return statistics.mean(slow), statistics.mean(fast)


class TestReplay:
    """Fleets with slow engines, pauses and uneven load, without a network.

    Load pattern: one in four engines runs at 0.46 of the speed of the others, and each
    engine is 2.5 times slower for 0.15 of the time.
    """

    @pytest.mark.parametrize("pauses", [False, True])
    @pytest.mark.parametrize("rate", RATES)
    def test_estimates_converge_within_six_seconds(self, rate, pauses):
        """Guards against speeds that are wrong by a fifth."""
        errors = []
        for seed in range(3):
            fleet = EngineFleet(MIXED, rate=rate, pauses=pauses, seed=seed)
            errors += measure_errors(fleet, 6.0, 9.0)
        assert statistics.mean(map(abs, errors)) < 0.2

    @pytest.mark.parametrize("rate", RATES)
    def test_equal_engines_stay_at_one(self, rate):
        """Guards against a fleet that distinguishes engines without a difference.

        Bursts of long prompts come in unevenly, most of all in the first second.
        """
        n_others = n_samples = 0
        for seed in range(3):
            equal = dict.fromkeys(MIXED, 1.0)
            fleet = EngineFleet(equal, rate=rate, pauses=False, seed=seed)
            while fleet.now < 8.0:
                fleet.run(fleet.now + 0.25)
                for forwarder in fleet.forwarders:
                    n_samples += len(forwarder.speeds)
                    n_others += sum(one != 1.0 for one in forwarder.speeds.values())
        assert n_others <= 0.001 * n_samples

    @pytest.mark.parametrize("rate", RATES)
    def test_load_follows_the_speeds(self, rate):
        """Guards against long queues at slow engines while the others are idle.

        The time to the first event is that in which an engine drains what is ahead.
        """
        ratios = {}
        for window_s in (0.0, 4.0):
            times = []
            for seed in range(3):
                fleet = EngineFleet(
                    MIXED, rate=rate, speed_window_s=window_s, seed=seed
                )
                fleet.run(10.0)
                times.append(measure_times(fleet, 4.0))
            slow, fast = map(statistics.mean, zip(*times, strict=True))
            ratios[window_s] = slow / fast
        assert ratios[0.0] > 1.8
        assert 0.6 < ratios[4.0] < 1.6

    def test_slow_engines_get_less_but_not_nothing(self):
        """Guards against engines that are given up for being slow."""
        fleet = EngineFleet(MIXED, rate=RATES[0])
        fleet.run(8.0)
        counts = Counter(event.engine for event in fleet.first_events if event.at > 4)
        mean = statistics.mean(counts[name] for name in MIXED)
        for name in SLOW:
            assert 0.1 * mean < counts[name] < 0.8 * mean

    def test_lossy_links_do_not_keep_speeds_from_converging(self):
        """Guards against speeds that depend on each single datagram."""
        errors = []
        for seed in range(3):
            fleet = EngineFleet(MIXED, rate=RATES[1], seed=seed)
            rng = random.Random(seed)
            fleet.is_lost = lambda rng=rng: rng.random() < 0.3
            errors += measure_errors(fleet, 6.0, 9.0)
        assert statistics.mean(map(abs, errors)) < 0.2

    def test_engine_that_slows_down_and_recovers(self):
        """Guards against a change that is not noticed within 4 s."""
        equal = dict.fromkeys(MIXED, 1.0)
        fleet = EngineFleet(equal, rate=RATES[0], pauses=False)
        fleet.run(6.0)
        fleet.engines["e1"].speed = 0.46
        fleet.run(10.0)
        slow = [one.speeds["e1"] for one in fleet.forwarders]
        fleet.engines["e1"].speed = 1.0
        fleet.run(14.0)
        again = [one.speeds["e1"] for one in fleet.forwarders]
        assert max(slow) < 0.75
        assert again == [1.0] * len(again)
