"""Catalogue of the log events of all packages."""

from catkinfork import (
    balancing,
    configuration,
    dispatch,
    execution,
    forwarding,
    gateway,
    peering,
    routing,
    topology,
)
from catkinfork.processes._events import EVENTS


def list_events():
    """Return the events of each package by package name, in order of their numbers."""
    return {
        "processes": EVENTS,
        "routing": routing.EVENTS,
        "dispatch": dispatch.EVENTS,
        "execution": execution.EVENTS,
        "configuration": configuration.EVENTS,
        "gateway": gateway.EVENTS,
        "topology": topology.EVENTS,
        "balancing": balancing.EVENTS,
        "forwarding": forwarding.EVENTS,
        "peering": peering.EVENTS,
    }
