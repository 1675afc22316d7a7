"""Lookup of routes, API keys and services."""

from bisect import bisect
from itertools import accumulate

from catkinfork.topology._types import Service


class RouteTable:
    """Lookup tables of one configuration.

    :param configuration: :class:`Configuration`.
    """

    def __init__(self, configuration):
        self.configuration = configuration
        self.by_host = {}
        for route in configuration.routes:
            self.by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self.by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)
        self.workspaces = {
            key: workspace.name
            for workspace in configuration.workspaces
            for key in workspace.keys
        }

    @property
    def version(self):
        """Return the version of the configuration."""
        return self.configuration.version

    def find(self, host, path):
        """Return the route with the longest matching prefix, or None.

        :param host: value of the ``Host`` header.
        :param path: request path without its query.
        """
        for route in self.by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None

    def find_workspace(self, key):
        """Return the name of the workspace that owns an API key, or None."""
        return self.workspaces.get(key)

    def find_service(self, name):
        """Return a service; unlisted services get the default values."""
        return self.configuration.services.get(name) or Service(name)


def choose_target(route, draw):
    """Choose the target service of a request by weighted random selection.

    :param route: :class:`Route`.
    :param draw: random number in the interval [0, 1).
    """
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    bounds = list(accumulate(target.weight for target in targets))
    index = bisect(bounds, draw * bounds[-1])
    return targets[min(index, len(targets) - 1)].service
