"""A sample configuration and paths for tests."""

from catkinfork.topology import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    TrafficShare,
    Workspace,
)
from catkinfork.validation import BasePaths


class PlainPaths(BasePaths):
    """Paths that name the fields of a configuration as they are."""

    def locate(self, section, key=None, field="", item=None):
        parts = (section, key, field, item)
        return "/".join(str(part) for part in parts if part not in (None, ""))


PATHS = PlainPaths()


def make_route(name="read", **changes):
    """Return a route, with changed fields."""
    route = Route(
        name=name,
        host="site.example",
        prefix=f"/{name}/",
        kind="safe",
        targets=(TrafficShare("ledger", 1.0),),
        timeout_s=3.0,
        latency_target_s=0.3,
        max_attempts=2,
    )
    return route._replace(**changes)


def make_configuration(*routes, **changes):
    """Return a configuration without findings, with changed fields."""
    configuration = Configuration(
        version=7,
        routes=routes or (make_route(),),
        services={"ledger": Service("ledger")},
        limits=CallerLimits(),
        workspaces=(Workspace("a", ("key-1", "key-2")), Workspace("b", ("key-3",))),
    )
    return configuration._replace(**changes)


def list_lines(findings):
    """Return the path and the text of findings, as one line each."""
    return [f"{finding.path}: {finding.text}" for finding in findings]
