"""Long streams avoid backend servers that pause for longer than callers accept."""

from collections import Counter
from random import Random

import pytest

from catkinfork.balancing import (
    SERVED,
    BalancerSettings,
    Placement,
    RetryBudgetSettings,
)
from catkinfork.balancing._pauses import REPORT_INTERVAL_S
from catkinfork.balancing.tests.support import (
    add_backend,
    build_balancer,
    build_job,
    build_route,
    submit,
)
from catkinfork.topology import CallerLimits, Configuration, Engine, Service

TARGET_S = 0.3
ROUTE = build_route(max_event_gap_s=TARGET_S)
N_EVENT_TOKENS = 9
SETTINGS = BalancerSettings("gasabo", 4.0, RetryBudgetSettings(0.2, 10, 10.0))
N_SHORT_TOKENS = 2 * N_EVENT_TOKENS
N_LONG_TOKENS = 45 * N_EVENT_TOKENS


def build_fleet(n_backends=4, cost=8000.0, n_event_tokens=N_EVENT_TOKENS):
    """Return a balancer whose service has engines and a cost of long pauses."""
    balancer = build_balancer(n_backends)
    engine = Engine(64, 500_000, n_event_tokens=n_event_tokens)
    service = Service("s", max_connections=1000, engine=engine)
    balancer.apply_settings(SETTINGS._replace(long_pause_cost=cost))
    balancer.apply_configuration(
        Configuration(2, (), {"s": service}, CallerLimits(tokens_per_s=1e5), ())
    )
    return balancer


def stream(balancer, name, pauses_s, at):
    """Replay a stream at one backend server.

    :param pauses_s: pauses before its events after the first one, seconds.
    :returns: monotonic time of its end.
    """
    job = build_job(at, route=ROUTE)
    ready = {one.name: one for one in balancer.registry.list_ready("s")}
    placement = Placement(job, ready[name], 0, at)
    balancer.pools["s"].find(name).load.add_attempt(job, 0)
    balancer.record_event(placement, at)
    for pause_s in pauses_s:
        at += pause_s
        balancer.record_event(placement, at)
    balancer.handle_attempt_end(placement, SERVED, at)
    return at


def replay_slow_spells(balancer, slow_pauses_s, other_pauses_s):
    """Replay streams at all backend servers, of which b0 is the slow one.

    :returns: monotonic time of the end.
    """
    end_at = 1.0
    for name in ("b0", "b1", "b2", "b3"):
        pauses_s = slow_pauses_s if name == "b0" else other_pauses_s
        end_at = max(end_at, stream(balancer, name, pauses_s, 1.0))
    return end_at


def place(balancer, now, n_output, busy_tokens=3000, route=ROUTE):
    """Return the backend server of a stream while all but b0 have pending tokens."""
    for name in ("b1", "b2", "b3"):
        balancer.pools["s"].find(name).load.n_pending_tokens = busy_tokens
    placement = submit(balancer, now, route=route, n_prompt=500, n_output=n_output)
    return placement.backend.name


def test_long_streams_avoid_a_server_that_pauses_and_short_ones_go_there():
    """Guards against long streams that are late at a slow engine that looks idle."""
    balancer = build_fleet()
    now = replay_slow_spells(balancer, [0.2] * 20 + [0.47] * 4, [0.1] * 24)
    assert balancer.pools["s"].find("b0").pauses.compute_rate(now) > 0.05
    assert place(balancer, now, N_LONG_TOKENS) != "b0"
    assert place(balancer, now, N_SHORT_TOKENS) == "b0"


def test_the_log_says_when_a_server_begins_and_ceases_to_pause():
    """Guards against placements that an operator cannot explain."""
    balancer = build_fleet()
    events = []
    balancer.write_log = events.append
    now = replay_slow_spells(balancer, [0.2] * 20 + [0.47] * 4, [0.1] * 24)
    submit(balancer, now, route=ROUTE)
    submit(balancer, now + 60.0, route=ROUTE)
    changes = [one for one in events if one.event.name == "streams_pause"]
    fields = [dict(zip(one.event.fields, one.values, strict=True)) for one in changes]
    assert [one["is_pausing"] for one in fields] == [True, False]
    assert {one["backend_server"] for one in fields} == {"b0"}


def test_log_of_servers_that_pause_is_bounded():
    """Guards against a log line for each chance crossing of the threshold.

    Load pattern: all engines pause now and then, so that each of them exceeds the
    middle of its service by little for a moment.
    """
    rng = Random(1)
    balancer = build_fleet(12)
    events = []
    balancer.write_log = events.append
    pool = balancer.pools["s"]
    for number in range(600):
        now = 1.0 + 0.1 * number
        for state in pool.states.values():
            state.pauses.record(rng.random() < 0.03, now)
        balancer.list_candidates(pool, now)
    names = [one.values[0] for one in events if one.event.name == "streams_pause"]
    most = 60.0 / REPORT_INTERVAL_S + 1
    assert 0 < max(Counter(names).values()) <= most


def test_a_server_that_pauses_still_gets_long_streams_if_the_others_are_full():
    """Guards against a slow engine that idles while callers wait for the others."""
    balancer = build_fleet()
    now = replay_slow_spells(balancer, [0.2] * 20 + [0.47] * 4, [0.1] * 24)
    assert place(balancer, now, N_LONG_TOKENS, busy_tokens=14_000) == "b0"


def test_pauses_that_all_servers_have_are_no_reason():
    """Guards against servers that look slow because their host relays late."""
    balancer = build_fleet()
    now = replay_slow_spells(balancer, [0.47] * 24, [0.47] * 24)
    assert place(balancer, now, N_LONG_TOKENS) == "b0"
    states = balancer.pools["s"].states.values()
    assert [one.pauses.excess for one in states] == [0.0] * 4


def test_host_that_pauses_blames_no_server():
    """Guards against an engine that looks slow as it has sent few events here.

    Load pattern: the host of the forwarder stands still for 0.5 s. Each engine has one
    late event, which weighs most where there are few others.
    """
    balancer = build_fleet()
    lag = balancer.speed_meter.host_lag
    ready = {one.name: one for one in balancer.registry.list_ready("s")}
    placements = []
    for name, n_events in (("b0", 2), ("b1", 60), ("b2", 60), ("b3", 60)):
        job = build_job(1.0, route=ROUTE)
        placements.append(Placement(job, ready[name], 0, 1.0))
        for number in range(n_events):
            balancer.record_event(placements[-1], 3.0 - 0.03 * (n_events - number))
    lag.due_at = 3.02
    for placement in placements:
        balancer.record_event(placement, 3.5)
    lag.record(0.48, 3.5)
    lag.due_at = 3.52
    assert place(balancer, 3.51, N_LONG_TOKENS) == "b0"


@pytest.mark.parametrize(("cost", "n_event_tokens"), [(0.0, 9), (8000.0, 0)])
def test_nothing_changes_without_the_setting_or_the_size_of_events(
    cost, n_event_tokens
):
    """Guards against a part that acts where nobody has asked for it."""
    balancer = build_fleet(cost=cost, n_event_tokens=n_event_tokens)
    now = replay_slow_spells(balancer, [0.2] * 20 + [0.47] * 4, [0.1] * 24)
    assert place(balancer, now, N_LONG_TOKENS) == "b0"


def test_a_server_that_recovers_is_used_again():
    """Guards against a server that is avoided for good after one slow period."""
    balancer = build_fleet()
    now = replay_slow_spells(balancer, [0.47] * 20, [0.1] * 24)
    assert place(balancer, now, N_LONG_TOKENS) != "b0"
    for _ in range(12):
        now = stream(balancer, "b0", [0.1] * 20, now)
        for name in ("b1", "b2", "b3"):
            stream(balancer, name, [0.1] * 20, now)
    assert place(balancer, now, N_LONG_TOKENS) == "b0"


def test_a_server_that_starts_again_has_no_record():
    """Guards against the pauses of a former start that count for the new one."""
    balancer = build_fleet()
    now = replay_slow_spells(balancer, [0.47] * 20, [0.1] * 24)
    assert place(balancer, now, N_LONG_TOKENS) != "b0"
    add_backend(balancer, "b0", started_ms=1)
    balancer.pools["s"].find("b0").started_ms = 0
    assert place(balancer, now, N_LONG_TOKENS) == "b0"


def test_routes_without_a_target_record_nothing():
    """Guards against pauses that count although the operator has set no target."""
    balancer = build_fleet()
    placement = submit(balancer, 1.0, route=build_route(), n_prompt=0)
    balancer.record_event(placement, 1.0)
    balancer.record_event(placement, 5.0)
    state = balancer.pools["s"].find(placement.backend.name)
    assert state.pauses.compute_rate(5.0) == 0


def test_routes_without_a_target_for_pauses_use_a_server_that_pauses():
    """Guards against an idle engine that is avoided by streams that cannot be late."""
    balancer = build_fleet()
    now = replay_slow_spells(balancer, [0.2] * 20 + [0.47] * 4, [0.1] * 24)
    assert place(balancer, now, N_LONG_TOKENS) != "b0"
    assert place(balancer, now, N_LONG_TOKENS, route=build_route()) == "b0"


def test_a_change_of_the_setting_takes_effect():
    """Guards against a reload that leaves the old cost in force."""
    balancer = build_fleet()
    now = replay_slow_spells(balancer, [0.47] * 20, [0.1] * 24)
    balancer.apply_settings(SETTINGS)
    assert place(balancer, now, N_LONG_TOKENS) == "b0"
