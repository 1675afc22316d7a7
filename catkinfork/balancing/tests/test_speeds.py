"""Speeds of engines: which attempts count, and the use in placement."""

from math import inf

import pytest

from catkinfork.balancing import ABANDONED, SERVED, BalancerSettings
from catkinfork.balancing._models import (
    IN_FLIGHT_COST_TOKENS,
    MAX_PENDING_TOKENS,
    MISSING_TOKEN_WEIGHT,
    QueueRank,
)
from catkinfork.balancing._speed_meter import MAX_LAG_S, HostLag
from catkinfork.balancing._speeds import (
    STEP_TOKENS,
    SpeedFigures,
)
from catkinfork.balancing.tests.support import (
    add_backend,
    build_balancer,
    build_job,
    serve,
    submit,
)
from catkinfork.balancing.tests.test_speed_estimates import WINDOW_S, observe

FIRST = QueueRank(0, False)


def build_measuring_balancer(n_backends=2, **options):
    """Return a balancer that estimates speeds, with engines at different addresses."""
    balancer = build_balancer(n_backends=0, speed_window_s=WINDOW_S, **options)
    for number in range(n_backends):
        add_server(balancer, number)
    return balancer


def add_server(balancer, number, address=None, started_ms=1000, at=0.0, sequence=1):
    """Add a backend server with an address of its own."""
    add_backend(balancer, f"b{number}", started_ms=started_ms, at=at)
    backend = balancer.registry.backends[f"b{number}"]
    backend.entry = backend.entry._replace(address=address or f"10.1.0.{number}:80")


def read_totals(balancer, name):
    """Return the totals of an engine that the balancer has counted."""
    return balancer.pools["s"].find(name).speed_record.totals


class TestMeasurement:
    """The attempts that count."""

    def test_time_and_work_of_an_attempt_are_counted(self):
        """Guards against work that leaves out what is ahead of a request."""
        balancer = build_measuring_balancer(1)
        load = balancer.pools["s"].find("b0").load
        load.n_peers_pending_tokens = 5000
        placement = submit(balancer, 1.0, n_prompt=2000)
        second = submit(balancer, 1.0, n_prompt=300)
        load.n_peers_pending_tokens = 3000
        balancer.record_event(placement, 1.25)
        n_ahead = (5000 + 3000 + 300) // 2
        first_total = SpeedFigures(1, 250_000, n_ahead + 2000 + STEP_TOKENS)
        assert read_totals(balancer, "b0") == first_total
        balancer.record_event(placement, 1.5)
        assert read_totals(balancer, "b0") == first_total
        balancer.record_event(second, 1.5)
        n_ahead = (7000 + 3000) // 2
        assert read_totals(balancer, "b0") == first_total.add(
            SpeedFigures(1, 500_000, n_ahead + 300 + STEP_TOKENS)
        )
        assert list(balancer.changes.speeds) == [("s", "b0")]

    def test_nothing_is_counted_if_the_part_is_off(self):
        """Guards against a fleet that changes without the setting."""
        balancer = build_balancer(n_backends=1)
        placement = submit(balancer, 1.0)
        balancer.record_event(placement, 9.0)
        assert read_totals(balancer, "b0").n_attempts == 0
        assert not balancer.changes.speeds
        assert balancer.pools["s"].find("b0").speed == 1.0

    def test_plain_servers_are_not_measured(self):
        """Guards against speeds of servers whose work is unknown."""
        balancer = build_measuring_balancer(1, engine=False)
        serve(balancer, submit(balancer, 1.0), 2.0)
        assert read_totals(balancer, "b0").n_attempts == 0

    def test_withdrawn_attempts_are_not_counted(self):
        """Guards against attempts without a first event that count as served."""
        balancer = build_measuring_balancer(1)
        placement = submit(balancer, 1.0)
        balancer.record_abandoned_event(placement, 1.5)
        balancer.handle_attempt_end(placement, ABANDONED, 2.0)
        assert read_totals(balancer, "b0").n_attempts == 0

    @pytest.mark.parametrize("kind", ["cold", "throttled", "limited"])
    @pytest.mark.parametrize("at_placement", [True, False])
    def test_attempts_at_a_held_back_engine_are_not_counted(self, kind, at_placement):
        """Guards against an engine that looks slow as it warms up or holds back."""
        balancer = build_measuring_balancer(1, cold_rate=10.0)
        backend = balancer.registry.backends["b0"]
        if at_placement:
            placement = submit(balancer, 1.0)
            placement.speed_record = None
        placement = submit(balancer, 1.0)
        if kind == "cold":
            backend.cold_until = 2.0
        elif kind == "throttled":
            backend.throttled_until = 1.2
        else:
            balancer.record_rate_limit(backend, 5.0, 1.0)
        if at_placement:
            pool = balancer.pools["s"]
            placement.speed_record = None
            balancer.speed_meter.begin(pool, placement, pool.find("b0"), 1.1)
            assert placement.speed_record is None
        balancer.record_event(placement, 1.5)
        assert read_totals(balancer, "b0").n_attempts == 0

    def test_attempts_of_a_lagging_host_are_not_counted(self):
        """Guards against engines that look slow as this host is behind."""
        balancer = build_measuring_balancer(1)
        lag = balancer.speed_meter.host_lag
        early = submit(balancer, 1.0)
        lag.record(2 * MAX_LAG_S, 1.2)
        late = submit(balancer, 1.3)
        balancer.record_event(early, 1.4)
        assert read_totals(balancer, "b0").n_attempts == 0
        balancer.record_event(late, 1.5)
        assert read_totals(balancer, "b0").n_attempts == 1

    def test_lag_is_seen_before_the_sweep_that_measures_it(self):
        """Guards against responses that are read right after a pause of the host."""
        lag = HostLag()
        assert not lag.has_lagged_since(0.0, 50.0)
        lag.due_at = 1.0
        assert not lag.has_lagged_since(0.9, 1.0 + MAX_LAG_S / 2)
        assert lag.has_lagged_since(0.9, 1.0 + 2 * MAX_LAG_S)
        lag.due_at = inf
        lag.record(MAX_LAG_S / 2, 1.1)
        assert not lag.has_lagged_since(1.0, 1.2)


class TestReplacedServers:
    """A server that starts again, or whose address goes to another one."""

    def test_restarted_engine_is_unknown(self):
        """Guards against a new engine that is taken for a slow one with its name."""
        balancer = build_measuring_balancer(2)
        state = balancer.pools["s"].find("b0")
        placement = submit(balancer, 1.0)
        name = placement.backend.name
        state = balancer.pools["s"].find(name)
        state.speed = 0.5
        entry = placement.backend.entry._replace(started_ms=5000)
        balancer.registry.apply_entry(entry, 2.0, "test")
        balancer.update_speeds(2.0)
        assert state.speed == 1.0
        balancer.record_event(placement, 2.1)
        assert state.speed_record.totals.n_attempts == 0
        assert state.speed_record.sums.n_attempts == 0

    def test_engine_whose_address_was_taken_over_is_unknown(self):
        """Guards against the speed of a server that is not at its address any more."""
        balancer = build_measuring_balancer(2)
        balancer.update_speeds(1.0)
        state = balancer.pools["s"].find("b0")
        placement = submit(balancer, 1.0)
        state.speed = 0.5
        add_server(balancer, 2, address="10.1.0.0:80", started_ms=9000, at=2.0)
        balancer.update_speeds(2.0)
        assert state.speed == 1.0
        if placement.backend.name == "b0":
            balancer.record_event(placement, 2.1)
        assert state.speed_record.totals.n_attempts == 0
        assert balancer.pools["s"].find("b2").speed == 1.0

    def test_engine_that_moves_is_unknown(self):
        """Guards against a name that passes its speed to another machine."""
        balancer = build_measuring_balancer(1)
        balancer.update_speeds(1.0)
        state = balancer.pools["s"].find("b0")
        state.speed = 0.5
        entry = balancer.registry.backends["b0"].entry
        moved = entry._replace(address="10.9.0.1:80", sequence=entry.sequence + 1)
        balancer.registry.apply_entry(moved, 2.0, "test")
        submit(balancer, 2.0)
        assert state.speed == 1.0


class TestUse:
    """Speeds in the choice of an engine."""

    def test_slow_engine_gets_less_work_but_not_none(self):
        """Guards against a slow engine that gets as much as the others, or nothing."""
        balancer = build_measuring_balancer(2)
        balancer.update_speeds(0.0)
        pool = balancer.pools["s"]
        balancer.speed_meter.update = lambda pool, now: None
        pool.find("b0").speed = 0.5
        placements = [submit(balancer, 1.0, n_prompt=500) for _ in range(30)]
        n_slow = sum(one.backend.name == "b0" for one in placements)
        assert n_slow == pytest.approx(10, abs=1)

    def test_limit_of_pending_tokens_follows_the_speed(self):
        """Guards against a queue at a slow engine that takes twice the time."""
        balancer = build_measuring_balancer(1)
        pool = balancer.pools["s"]
        model = pool.model
        state = pool.find("b0")
        backend = balancer.registry.backends["b0"]
        state.load.n_peers_pending_tokens = MAX_PENDING_TOKENS // 2
        job = build_job(n_prompt=1000)
        arguments = (job, backend, state.load, 1000, FIRST)
        assert model.compute_room(*arguments, 1.0) == 7.5
        assert model.compute_room(*arguments, 0.5) == 0.0
        assert model.compute_room(*arguments, 2.0) == 22.5

    def test_costs_are_those_of_speed_one_without_speeds(self):
        """Guards against placements that change although the part is off."""
        balancer = build_measuring_balancer(1)
        pool = balancer.pools["s"]
        state = pool.find("b0")
        state.load.n_peers_pending_tokens = 1234
        state.load.n_peers_in_flight = 3
        backend = balancer.registry.backends["b0"]
        model = pool.model
        n_in_flight_cost = 3 * IN_FLIGHT_COST_TOKENS
        cost = model.estimate_base_cost(backend, state.load)
        assert cost == 1234 + n_in_flight_cost
        assert model.compute_missing_token_weight(1.0) == MISSING_TOKEN_WEIGHT
        cost = model.estimate_base_cost(backend, state.load, 0.5)
        assert cost == 2 * 1234 + n_in_flight_cost
        slow_weight = model.compute_missing_token_weight(0.5)
        assert slow_weight == MISSING_TOKEN_WEIGHT + 1.0

    def test_changed_window_forgets_the_speeds(self):
        """Guards against speeds that stay in force after the part is switched off.

        Peers would take totals that begin anew for figures that cannot be right.
        """
        balancer = build_measuring_balancer(1)
        pool = balancer.pools["s"]
        balancer.record_event(submit(balancer, 1.0), 1.2)
        pool.find("b0").speed = 0.5
        balancer.apply_settings(BalancerSettings("gasabo", speed_window_s=0.0))
        assert pool.find("b0").speed == 1.0
        assert not pool.has_speeds
        assert read_totals(balancer, "b0").n_attempts == 1
        balancer.apply_settings(BalancerSettings("gasabo", speed_window_s=4.0))
        balancer.update_speeds(2.0)
        assert pool.find("b0").speed_record.sums.n_attempts == 0
        assert read_totals(balancer, "b0").n_attempts == 1

    def test_change_is_logged_with_its_figures(self):
        """Guards against a slow engine that operators cannot find."""
        balancer = build_measuring_balancer(8)
        events = []
        balancer.speed_meter.write_log = events.append
        pool = balancer.pools["s"]
        balancer.update_speeds(0.0)
        slow = dict.fromkeys(pool.states, 1.0) | {"b0": 0.46}
        observe(pool.speeds, pool.states, slow, 0.0, 8.0, rate=9.0)
        pool.find("b0").speed_report = pool.find("b1").speed_report
        balancer.update_speeds(8.2)
        assert [one.event.number for one in events] == [909]
        values = dict(zip(events[0].event.fields, events[0].values, strict=True))
        assert values["backend_server"] == "b0"
        assert values["is_slow"] is True
        assert values["us_per_token"] == pytest.approx(10 / 0.46, rel=0.01)


def test_served_attempts_end_as_before():
    """Guards against an attempt whose end counts as a second first event."""
    balancer = build_measuring_balancer(1)
    placement = submit(balancer, 1.0)
    balancer.record_event(placement, 1.2)
    balancer.handle_attempt_end(placement, SERVED, 1.4)
    assert read_totals(balancer, "b0").n_attempts == 1
