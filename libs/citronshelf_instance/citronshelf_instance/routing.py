"""Selection of a route by host and longest path prefix."""

import random
from typing import NamedTuple

from citronshelf_instance import configuration

# Steps of this size (the golden ratio) cover the unit interval evenly, so that
# the shares of a traffic split are met closely after few requests.
GOLDEN_FRACTION = 0.6180339887498949


class RoutedService(NamedTuple):
    """Route and service selected for one request."""

    route: configuration.Route
    service: str


class RouteTable:
    """Routes of one configuration, indexed by host and prefix.

    Parameters
    ----------
    published : Configuration
    rng : random.Random
        Sets the starting point of each traffic split.
    """

    def __init__(
        self, *, published: configuration.Configuration, rng: random.Random
    ):
        self.revision = published.revision
        self.hosts: dict[str, dict[str, configuration.Route]] = {}
        self.phases: dict[tuple[str, str], float] = {}
        for route in published.routes:
            self.hosts.setdefault(route.host, {})[route.prefix] = route
            if len(route.weighted_services) > 1:
                self.phases[route.host, route.prefix] = rng.random()

    def match(self, host: str, path: str) -> configuration.Route | None:
        """Return the route with the longest matching prefix, or None.

        Parameters
        ----------
        host : str
            ``Host`` header, with or without port.
        path : str
            Path without the query.
        """
        prefixes = self.hosts.get(normalise_host(host))
        if prefixes is None:
            return None
        end = path.rfind('/') + 1
        while end > 0:
            route = prefixes.get(path[:end])
            if route is not None:
                return route
            end = path.rfind('/', 0, end - 1) + 1
        return None

    def assign(self, route: configuration.Route) -> RoutedService:
        """Choose a service of a route according to the weights."""
        if len(route.weighted_services) == 1:
            return RoutedService(route, route.weighted_services[0].service)
        key = (route.host, route.prefix)
        phase = (self.phases[key] + GOLDEN_FRACTION) % 1.0
        self.phases[key] = phase
        point = phase * sum(part.weight for part in route.weighted_services)
        for part in route.weighted_services:
            point -= part.weight
            if point < 0:
                return RoutedService(route, part.service)
        return RoutedService(route, route.weighted_services[-1].service)


def normalise_host(host: str) -> str:
    """Return a host in lower case without port and trailing dots."""
    name, colon, port = host.rpartition(':')
    # The port may be empty. An IPv6 address ends with a bracket.
    if colon and (not port or port.isdigit()):
        host = name
    return host.lower().rstrip('.')
