"""Matches requests to routes."""

from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from citronshelf_document import model
from citronshelf_document import paths


class RouteMatch(NamedTuple):
    """The route of a request, with the entries that it refers to.

    Attributes
    ----------
    route_name : str
    route : Route
    service_name : str
    service : Service
    class_name : str
    request_class : RequestClass
    pool_name : str
    pool : Pool
    """

    route_name: str
    route: model.Route
    service_name: str
    service: model.Service
    class_name: str
    request_class: model.RequestClass
    pool_name: str
    pool: model.Pool


class NoRoute(NamedTuple):
    """Why no route matches a request.

    Attributes
    ----------
    reason : str
    allowed_methods : tuple of str
        Methods that have a route for this host and path, in alphabetical
        order. Not empty when only the method is wrong, which means status 405
        instead of 404.
    """

    reason: str
    allowed_methods: tuple[str, ...] = ()


class MethodTable:
    """Routes of one method and one host, indexed by pattern.

    Attributes
    ----------
    exact : dict of str to str
        Route name by path.
    prefixes : dict of str to str
        Route name by prefix.
    max_depth : int
        Maximum number of ``/`` in a prefix.
    """

    def __init__(self):
        self.exact: dict[str, str] = {}
        self.prefixes: dict[str, str] = {}
        self.max_depth = 0

    def add(self, route: model.Route, name: str) -> None:
        """Index a route by its path or prefix."""
        if route.is_prefix:
            self.prefixes[route.path] = name
            self.max_depth = max(self.max_depth, route.path.count('/'))
        else:
            self.exact[route.path] = name


class RouteTable:
    """Finds the route of a request.

    An exact path takes precedence over any prefix, a longer prefix over a
    shorter one, and for the same pattern a route with a host over one
    without. The cost of a match is bounded by the number of segments of the
    longest prefix and does not grow with the number of routes.

    Parameters
    ----------
    document : Document
    """

    def __init__(self, *, document: model.Document):
        self.document = document
        self.tables: dict[tuple[str, str], MethodTable] = {}
        for name, route in document.routes.items():
            for method in route.methods:
                key = (method, route.host)
                table = self.tables.setdefault(key, MethodTable())
                table.add(route, name)
        self.methods = tuple(sorted({method for method, _ in self.tables}))

    def match(self, method: str, host: str, path: str) -> Result:
        """Find the route of a request.

        Parameters
        ----------
        method : str
            In upper case.
        host : str
            Value of the ``Host`` header, with or without port.
        path : str
            Path as received, still percent-encoded; a query is ignored.

        Returns
        -------
        Result
            ``Ok`` with ``RouteMatch`` or ``Error`` with ``NoRoute``.
        """
        path = paths.normalise(path)
        fault = paths.find_fault(path)
        if fault is not None:
            return Error(NoRoute(f'path is not in normal form: {fault}'))
        host = normalise_host(host)
        name = self.find_route_name(method, host, path)
        if name is None:
            return Error(self.explain_no_route(method, host, path))
        return Ok(self.build_match(name))

    def find_route_name(self, method: str, host: str, path: str) -> str | None:
        """Return the name of the route that takes precedence, or None."""
        keys = ((method, host), (method, '')) if host else ((method, ''),)
        tables = [self.tables[key] for key in keys if key in self.tables]
        for table in tables:
            if path in table.exact:
                return table.exact[path]
        max_depth = max((table.max_depth for table in tables), default=0)
        for prefix in path_prefixes(path, max_depth):
            for table in tables:
                if prefix in table.prefixes:
                    return table.prefixes[prefix]
        return None

    def explain_no_route(self, method: str, host: str, path: str) -> NoRoute:
        """Return why no route matches a request."""
        allowed = tuple(
            other
            for other in self.methods
            if self.find_route_name(other, host, path) is not None
        )
        if allowed:
            return NoRoute(f'no route for method {method}', allowed)
        return NoRoute('no route for this host and path')

    def build_match(self, name: str) -> RouteMatch:
        """Return a route with the entries that it refers to."""
        route = self.document.routes[name]
        service = self.document.services[route.service]
        return RouteMatch(
            route_name=name,
            route=route,
            service_name=route.service,
            service=service,
            class_name=route.request_class,
            request_class=self.document.classes[route.request_class],
            pool_name=service.pool,
            pool=self.document.pools[service.pool],
        )


def normalise_host(host: str) -> str:
    """Return a ``Host`` header in lower case without port and final dots.

    An IPv6 literal keeps its port; no route can have one as its host.
    """
    if host.startswith('['):
        return host.lower()
    return host.partition(':')[0].rstrip('.').lower()


def path_prefixes(path: str, max_depth: int) -> list[str]:
    """Return the prefixes of a path that end with ``/``, longest first.

    Parameters
    ----------
    path : str
    max_depth : int
        Maximum number of ``/`` in a returned prefix.
    """
    found = []
    end = path.find('/')
    while end >= 0 and len(found) < max_depth:
        found.append(path[: end + 1])
        end = path.find('/', end + 1)
    found.reverse()
    return found
