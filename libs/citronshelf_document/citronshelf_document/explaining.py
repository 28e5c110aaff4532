"""Explains why each route matches a request or does not."""

from typing import NamedTuple

from citronshelf_document import model
from citronshelf_document import paths
from citronshelf_document import routing


class RouteExplanation(NamedTuple):
    """Why one route was or was not chosen for a request.

    Attributes
    ----------
    route_name : str
    chosen : bool
    reason : str
        For operators.
    """

    route_name: str
    chosen: bool
    reason: str


def explain_routes(
    table: routing.RouteTable, method: str, host: str, path: str
) -> tuple[RouteExplanation, ...]:
    """Explain for every route of a document why it matches or does not.

    Unlike ``RouteTable.match`` this checks all routes, so it is meant for
    operators and not for the data path.

    Parameters
    ----------
    table : RouteTable
    method, host, path : str
        As for ``RouteTable.match``.

    Returns
    -------
    tuple of RouteExplanation
        The chosen route first, then the others in the document's order.
    """
    matched = table.match(method, host, path)
    chosen = matched.ok.route_name if matched.is_ok() else None
    path = paths.normalise(path)
    path_fault = paths.find_fault(path)
    explanations = []
    for name, route in table.document.routes.items():
        reason = find_mismatch(
            route, method, routing.normalise_host(host), path
        )
        if path_fault is not None:
            reason = f'path is not in normal form: {path_fault}'
        elif name == chosen:
            reason = f'{describe_pattern(route)} is the best match'
        elif reason is None:
            best = describe_pattern(table.document.routes[chosen])
            reason = f'route {chosen} is more specific: {best}'
        explanations.append(RouteExplanation(name, name == chosen, reason))
    return tuple(
        sorted(explanations, key=lambda explanation: not explanation.chosen)
    )


def find_mismatch(
    route: model.Route, method: str, host: str, path: str
) -> str | None:
    """Return why a route does not match a request, or None."""
    if route.host and route.host != host:
        return f'host is not {route.host}'
    if route.is_prefix and not path.startswith(route.path):
        return f'path does not begin with {route.path}'
    if not route.is_prefix and path != route.path:
        return f'path is not {route.path}'
    if method not in route.methods:
        return f'method is not {" or ".join(route.methods)}'
    return None


def describe_pattern(route: model.Route) -> str:
    """Return the path or prefix and the host that a route matches."""
    kind = 'prefix' if route.is_prefix else 'path'
    host = f' of host {route.host}' if route.host else ''
    return f'{kind} {route.path}{host}'
