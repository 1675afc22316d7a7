"""Checks for limits that contradict each other, or that stop all requests."""

from catkinfork.topology import STREAMING
from catkinfork.validation._findings import WARNING, Finding, quote


def check_route_times(configuration, paths):
    """Return a finding for each route with a target that exceeds its timeout."""
    findings = []
    for index, route in enumerate(configuration.routes):
        targets = (
            ("latency target", "latency_target_s", route.latency_target_s),
            ("longest pause between events", "max_event_gap_s", route.max_event_gap_s),
        )
        for noun, field, target_s in targets:
            if target_s > route.timeout_s:
                text = f"{noun} of route {quote(route.name)}, {target_s:g} s, is above "
                text += f"its timeout, {route.timeout_s:g} s"
                path = paths.locate("routes", index, field)
                findings.append(Finding(WARNING, path, text))
        if route.timeout_s == 0:
            text = (
                f"timeout of route {quote(route.name)} is 0: no request can be served"
            )
            path = paths.locate("routes", index, "timeout_s")
            findings.append(Finding(WARNING, path, text))
    return findings


def check_attempts(configuration, paths):
    """Return a finding for each route with an odd number of attempts."""
    findings = []
    for index, route in enumerate(configuration.routes):
        path = paths.locate("routes", index, "max_attempts")
        if route.max_attempts == 0:
            text = f"route {quote(route.name)} allows 0 attempts, which counts as 1"
            findings.append(Finding(WARNING, path, text))
        if route.is_resumable and route.max_attempts <= 1:
            text = (
                f"route {quote(route.name)} is resumable, but allows one attempt only"
            )
            findings.append(Finding(WARNING, path, text))
        if route.is_resumable and route.kind != STREAMING:
            path = paths.locate("routes", index, "is_resumable")
            text = f"route {quote(route.name)} is resumable, but not {STREAMING}"
            findings.append(Finding(WARNING, path, text))
    return findings


def check_retry_budget(configuration, paths, settings):
    """Return a finding for each route with attempts that the settings do not allow.

    :param settings: ``ForwarderSettings``.
    """
    balancing = settings.balancing
    if balancing.repeat_ratio > 0 or balancing.n_repeat_slack > 0:
        return []
    return [
        Finding(
            WARNING,
            paths.locate("routes", index, "max_attempts"),
            f"route {quote(route.name)} allows {route.max_attempts} attempts, but the "
            "settings have no retry budget: repeat_ratio and n_repeat_slack are 0",
        )
        for index, route in enumerate(configuration.routes)
        if route.max_attempts > 1
    ]


def check_caller_limits(configuration, paths):
    """Return a finding for each contradiction between the limits of callers."""
    limits = configuration.limits
    findings = []
    if limits.max_header_bytes > limits.max_body_bytes:
        text = f"header limit, {limits.max_header_bytes} bytes, is above the body limit"
        text += f", {limits.max_body_bytes} bytes"
        path = paths.locate("limits", field="max_header_bytes")
        findings.append(Finding(WARNING, path, text))
    if limits.idle_timeout_s < limits.header_timeout_s:
        text = f"idle timeout, {limits.idle_timeout_s:g} s, is below the header timeout"
        text += f", {limits.header_timeout_s:g} s"
        path = paths.locate("limits", field="idle_timeout_s")
        findings.append(Finding(WARNING, path, text))
    return findings


def check_zero_limits(configuration, paths):
    """Return a finding for each limit of callers that rejects requests for being 0."""
    fields = ("max_header_bytes", "max_body_bytes", "header_timeout_s")
    return [
        Finding(
            WARNING,
            paths.locate("limits", field=field),
            "the limit is below 1 byte" if "bytes" in field else "the timeout is 0",
        )
        for field in fields
        if getattr(configuration.limits, field) == 0
    ]


def check_cold_rates(configuration, paths):
    """Return a finding for each service with a cold rate but no cold time."""
    return [
        Finding(
            WARNING,
            paths.locate("services", name, "cold_rate"),
            f"service {quote(name)} has a cold rate, {service.cold_rate:g} requests/s, "
            "but no cold time",
        )
        for name, service in configuration.services.items()
        if service.cold_rate > 0 and service.cold_s == 0
    ]
