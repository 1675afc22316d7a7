"""All probes by name."""

from benchmarks.capacity import (
    fleet,
    loopback,
    probes_agent,
    probes_dispatch,
    probes_router,
    probes_shared,
)

MODULES = (
    probes_router,
    probes_dispatch,
    probes_agent,
    fleet,
    probes_shared,
    loopback,
)
PROBES = {probe.name: probe for module in MODULES for probe in module.PROBES}
