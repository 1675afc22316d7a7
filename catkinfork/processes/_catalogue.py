"""The log events of all packages."""

from catkinfork import configuration, dispatch, execution, gateway, routing
from catkinfork.processes._events import EVENTS


def list_events():
    """Return the events of each package, by its name in the order of the numbers."""
    return {
        "processes": EVENTS,
        "routing": routing.EVENTS,
        "dispatch": dispatch.EVENTS,
        "execution": execution.EVENTS,
        "configuration": configuration.EVENTS,
        "gateway": gateway.EVENTS,
    }
