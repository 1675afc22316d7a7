"""All checks of a decoded configuration."""

from catkinfork.validation._differences import check_version, list_differences
from catkinfork.validation._limits import (
    check_attempts,
    check_caller_limits,
    check_cold_rates,
    check_retry_budget,
    check_route_times,
    check_zero_limits,
)
from catkinfork.validation._routes import (
    check_any_route,
    check_keys,
    check_names,
    check_patterns,
    check_repeated_prefixes,
    check_targets,
    check_unused_services,
    check_weights,
)

CHECKS = (
    check_any_route,
    check_names,
    check_repeated_prefixes,
    check_patterns,
    check_targets,
    check_weights,
    check_unused_services,
    check_keys,
    check_route_times,
    check_attempts,
    check_caller_limits,
    check_zero_limits,
    check_cold_rates,
)


def check_configuration(configuration, paths, settings=None, in_force=None):
    """Return the findings about a decoded configuration.

    :param configuration: :class:`Configuration`.
    :param paths: :class:`BasePaths` of its document.
    :param settings: ``ForwarderSettings`` of the fleet, or None if they are unknown.
    :param in_force: :class:`ConfigurationView`, or None if it is unknown.
    """
    findings = [finding for check in CHECKS for finding in check(configuration, paths)]
    if settings is not None:
        findings += check_retry_budget(configuration, paths, settings)
    if in_force is not None:
        findings += check_version(configuration, paths, in_force)
        findings += list_differences(configuration, paths, in_force)
    return findings
