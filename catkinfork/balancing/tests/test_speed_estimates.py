"""Estimates of the speeds of engines from times and work."""

import pytest

from catkinfork.balancing._pool import BackendState
from catkinfork.balancing._speeds import (
    MAX_SPEED,
    MIN_SPEED,
    REPORT_INTERVAL_S,
    UPDATE_INTERVAL_S,
    SpeedFigures,
    SpeedTable,
)
from catkinfork.topology import Engine, Service

WINDOW_S = 4.0
SERVICE = Service("s", engine=Engine(64, 500_000))


def build_table(n_backends=4):
    """Return a table and the states of some engines."""
    states = {f"b{number}": BackendState(SERVICE) for number in range(n_backends)}
    return SpeedTable(WINDOW_S), states


def observe(table, states, speeds, start, end, rate=5.0, n_tokens=4000):
    """Record attempts that take 10 us a token at speed 1, and update the speeds.

    :param rate: attempts per second at each engine.
    :returns: list of :class:`SpeedChange`.
    """
    changes = []
    n_steps = round((end - start) * rate)
    for step in range(n_steps):
        now = start + (step + 1) / rate
        for name, speed in speeds.items():
            figures = SpeedFigures(1, 10 * n_tokens / speed, n_tokens)
            table.record(states[name].speed_record, figures, now)
        changes += table.update(states, now)
    return changes


def list_speeds(states):
    """Return the speeds in force."""
    return [state.speed for state in states.values()]


class TestEstimate:
    """The speeds that follow from times and work."""

    def test_equal_engines_stay_at_one(self):
        """Guards against engines that are treated as unequal without a reason."""
        table, states = build_table()
        observe(table, states, dict.fromkeys(states, 1.0), 0.0, 10.0)
        assert list_speeds(states) == [1.0] * 4

    @pytest.mark.parametrize("ratio", [0.88, 1.13])
    def test_small_difference_counts_as_none(self, ratio):
        """Guards against costs that change for a difference of no importance."""
        table, states = build_table(20)
        observe(table, states, dict.fromkeys(states, 1.0) | {"b0": ratio}, 0.0, 20.0)
        assert set(list_speeds(states)) == {1.0}

    def test_slow_engine_is_found_within_the_window_and_recovers(self):
        """Guards against an engine that stays unknown, or slow, for over 4 s.

        Load pattern: an engine with five requests a second becomes slower by half,
        and recovers later.
        """
        table, states = build_table(8)
        equal = dict.fromkeys(states, 1.0)
        observe(table, states, equal, 0.0, 10.0)
        observe(table, states, equal | {"b0": 0.46}, 10.0, 14.0)
        assert states["b0"].speed < 0.75
        assert set(list_speeds(states)[1:]) == {1.0}
        observe(table, states, equal | {"b0": 0.46}, 14.0, 24.0)
        assert states["b0"].speed == pytest.approx(0.46, rel=0.2)
        observe(table, states, equal, 24.0, 28.0)
        assert states["b0"].speed == 1.0

    def test_speed_does_not_depend_on_the_load(self):
        """Guards against a loaded engine that looks slow, and an idle one fast.

        Load pattern: one engine has a queue of 20,000 tokens at each placement, another
        one gets a tenth of the requests.
        """
        table, states = build_table(4)
        for step in range(100):
            now = step / 10
            for name, n_tokens in zip(states, (21_000, 1000, 1000, 1000), strict=True):
                if name == "b3" and step % 10:
                    continue
                figures = SpeedFigures(1, 10 * n_tokens, n_tokens)
                table.record(states[name].speed_record, figures, now)
            table.update(states, now)
        assert list_speeds(states) == [1.0] * 4

    @pytest.mark.parametrize(("ratio", "bound"), [(0.01, MIN_SPEED), (50, MAX_SPEED)])
    def test_speed_is_bounded(self, ratio, bound):
        """Guards against an engine that gets no request at all, or all of them."""
        table, states = build_table(8)
        observe(table, states, dict.fromkeys(states, 1.0) | {"b0": ratio}, 0.0, 20.0)
        assert states["b0"].speed == bound

    def test_few_attempts_count_for_little(self):
        """Guards against two slow responses that make an engine slow."""
        table, states = build_table(8)
        equal = dict.fromkeys(states, 1.0)
        observe(table, states, equal, 0.0, 4.0)
        observe(table, states, {"b0": 0.3}, 4.0, 4.4)
        lone, alone = build_table(8)
        observe(lone, alone, equal | {"b0": 0.46}, 0.0, 20.0, rate=0.5)
        assert states["b0"].speed == 1.0
        assert alone["b0"].speed > 0.7

    def test_speed_decays_without_attempts(self):
        """Guards against an engine that stays slow for ever as it gets no request."""
        table, states = build_table(8)
        observe(table, states, dict.fromkeys(states, 1.0) | {"b0": 0.4}, 0.0, 10.0)
        assert states["b0"].speed < 0.5
        table.update(states, 10.0 + 4 * WINDOW_S)
        assert states["b0"].speed == 1.0
        table.update(states, 1e9)
        assert list_speeds(states) == [1.0] * 8

    def test_changes_are_reported_at_bounded_intervals(self):
        """Guards against a log line for each update of a speed that swings."""
        table, states = build_table(8)
        times = []
        for step in range(200):
            now = step * UPDATE_INTERVAL_S
            states["b0"].speed_record.sums = SpeedFigures(
                50, 1e6 if step % 2 else 1e5, 10_000
            )
            for name in list(states)[1:]:
                states[name].speed_record.sums = SpeedFigures(50, 1e5, 10_000)
            changes = table.update(states, now)
            times += [now for change in changes if change.name == "b0"]
        gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
        assert len(times) > 2
        assert min(gaps) >= REPORT_INTERVAL_S
