"""Limits that contradict each other; each is reported, and only these."""

import pytest

from catkinfork.settings import BalancingSection, ForwarderSettings
from catkinfork.topology import CallerLimits, Service
from catkinfork.validation._limits import (
    check_attempts,
    check_caller_limits,
    check_cold_rates,
    check_retry_budget,
    check_route_times,
    check_zero_limits,
)
from catkinfork.validation.tests.samples import (
    PATHS,
    list_lines,
    make_configuration,
    make_route,
)


def make_settings(**balancing):
    """Return settings of a forwarder; the check reads only one section."""
    section = BalancingSection(**balancing)
    return ForwarderSettings(None, None, None, section, None)


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"timeout_s": 0.2}, "routes/0/latency_target_s"),
        ({"max_event_gap_s": 3.5}, "routes/0/max_event_gap_s"),
        ({"timeout_s": 0.0, "latency_target_s": 0.0}, "routes/0/timeout_s"),
    ],
)
def test_target_above_the_timeout_is_reported(changes, path):
    """Guards against a route that ends requests before they can be late."""
    configuration = make_configuration(make_route(**changes))
    (finding,) = check_route_times(configuration, PATHS)
    assert finding.path == path


def test_target_equal_to_the_timeout_is_not_reported():
    """Guards against a finding about limits that agree."""
    route = make_route(timeout_s=0.3, max_event_gap_s=0.3)
    assert check_route_times(make_configuration(route), PATHS) == []


@pytest.mark.parametrize(
    ("changes", "paths"),
    [
        ({"max_attempts": 0}, ["routes/0/max_attempts"]),
        ({"max_attempts": 1}, []),
        (
            {"kind": "streaming", "is_resumable": True, "max_attempts": 1},
            ["routes/0/max_attempts"],
        ),
        ({"kind": "streaming", "is_resumable": True}, []),
        ({"is_resumable": True}, ["routes/0/is_resumable"]),
    ],
)
def test_attempts_that_contradict_the_route_are_reported(changes, paths):
    """Guards against a resumable route whose streams are never resumed."""
    findings = check_attempts(make_configuration(make_route(**changes)), PATHS)
    assert [finding.path for finding in findings] == paths


@pytest.mark.parametrize(
    ("balancing", "n_findings"),
    [
        ({"repeat_ratio": 0.0, "n_repeat_slack": 0.0}, 1),
        ({"repeat_ratio": 0.1, "n_repeat_slack": 0.0}, 0),
        ({"repeat_ratio": 0.0, "n_repeat_slack": 1.0}, 0),
    ],
)
def test_attempts_without_a_retry_budget_are_reported(balancing, n_findings):
    """Guards against retries that the operator counts on and no forwarder sends."""
    once = make_route("once", max_attempts=1)
    configuration = make_configuration(make_route(), once)
    settings = make_settings(**balancing)
    findings = check_retry_budget(configuration, PATHS, settings)
    assert [one.path for one in findings] == ["routes/0/max_attempts"] * n_findings


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"max_header_bytes": 2_000_000}, "limits/max_header_bytes"),
        ({"idle_timeout_s": 2.9}, "limits/idle_timeout_s"),
    ],
)
def test_contradicting_limits_of_callers_are_reported(changes, path):
    """Guards against a limit that another one makes useless."""
    limits = CallerLimits()._replace(**changes)
    (finding,) = check_caller_limits(make_configuration(limits=limits), PATHS)
    assert finding.path == path


def test_equal_limits_of_callers_are_not_reported():
    """Guards against a finding about limits that agree."""
    limits = CallerLimits(100, 100, 3.0, 3.0)
    assert check_caller_limits(make_configuration(limits=limits), PATHS) == []


def test_zero_limits_are_reported():
    """Guards against a limit that rejects every request, also a rounded one."""
    limits = CallerLimits(0, 0, 0.0, 0.0)
    findings = check_zero_limits(make_configuration(limits=limits), PATHS)
    assert list_lines(findings) == [
        "limits/max_header_bytes: the limit is below 1 byte",
        "limits/max_body_bytes: the limit is below 1 byte",
        "limits/header_timeout_s: the timeout is 0",
    ]


@pytest.mark.parametrize(
    ("cold_s", "cold_rate", "n_findings"), [(0, 3, 1), (0, 0, 0), (2, 0, 0), (2, 3, 0)]
)
def test_cold_rate_without_a_cold_time_is_reported(cold_s, cold_rate, n_findings):
    """Guards against cold backend servers that get requests at any rate."""
    service = Service("ledger", cold_s=cold_s, cold_rate=cold_rate)
    configuration = make_configuration(services={"ledger": service})
    findings = check_cold_rates(configuration, PATHS)
    assert [one.path for one in findings] == ["services/ledger/cold_rate"] * n_findings
