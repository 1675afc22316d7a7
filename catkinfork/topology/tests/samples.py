"""Builders for sample entries and configurations."""

from catkinfork.topology import (
    READY,
    SAFE,
    BackendEntry,
    CallerLimits,
    Configuration,
    Route,
    Service,
    TrafficShare,
    Workspace,
)


def build_entry(name="b1", **options):
    """Return an entry of a backend server."""
    values = {
        "service": "read",
        "address": "127.0.0.1:9000",
        "data_centre": "gasabo",
        "n_slots": 6,
        "state": READY,
        "cold_s": 0.0,
        "sequence": 1,
        "started_ms": 1000,
    } | options
    return BackendEntry(name, **values)


def build_route(name="r", host="site.example", prefix="/r/", targets=(("read", 1.0),)):
    """Return a route."""
    shares = tuple(TrafficShare(*target) for target in targets)
    return Route(name, host, prefix, SAFE, shares, 1.0, 0.1)


def build_configuration(version=1, routes=(build_route(),), keys=("k1",)):
    """Return a configuration."""
    return Configuration(
        version,
        tuple(routes),
        {"read": Service("read")},
        CallerLimits(),
        (Workspace("a", tuple(keys)),),
    )


def list_names(state, service="read"):
    """Return the names of the backend servers of a service that are ready."""
    return sorted(one.name for one in state.registry.list_ready(service))
