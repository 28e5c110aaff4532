"""The command ``explain``, which shows how a request is routed."""

import asyncio
from collections.abc import Iterator
from typing import Any

from expression import Result

from citronshelf_client import admin_client
from citronshelf_client import documents
from citronshelf_client import formatting
from citronshelf_common import program
from citronshelf_document import explaining
from citronshelf_document import routing


def explain(
    document_path: str,
    *,
    method: str,
    host: str,
    path: str,
    address: str | None,
) -> int:
    """Print which route a request takes and why the others are not chosen.

    Parameters
    ----------
    document_path : str
    method, host, path : str
        The request.
    address : str or None
        Admin address of an entry daemon to query for its candidate servers;
        None to explain by the document only.

    Returns
    -------
    int
        Exit status.
    """
    checked = documents.read_document(document_path)
    if checked.is_error():
        return documents.report_faults(checked.error)
    table = routing.RouteTable(document=checked.ok)
    matched = table.match(method, host, path)
    print('\n'.join(describe_match(matched)))
    explanations = explaining.explain_routes(table, method, host, path)
    rows = [(e.route_name, e.reason) for e in explanations if not e.chosen]
    for line in formatting.format_rows(rows):
        print(f'  not {line}')
    if address is None:
        return int(choice_status(matched))
    return explain_instance(address, method, host, path, matched)


def describe_match(matched: Result) -> list[str]:
    """Return the lines that describe the chosen route or its absence."""
    if matched.is_error():
        no_route = matched.error
        lines = [f'no route: {no_route.reason}']
        if no_route.allowed_methods:
            allowed = ', '.join(no_route.allowed_methods)
            lines.append(f'methods with a route: {allowed}')
        return lines
    match = matched.ok
    request_class = match.request_class
    kind = 'idempotent' if request_class.idempotent else 'non-idempotent'
    return [
        f'route {match.route_name}: service {match.service_name}, class '
        f'{match.class_name}, pool {match.pool_name}',
        f'class {match.class_name}: {kind}, key {request_class.key}, deadline '
        f'{request_class.deadline_ms} ms, worth {request_class.worth}',
    ]


def explain_instance(
    address: str, method: str, host: str, path: str, matched: Result
) -> int:
    """Print how an entry daemon would route the same request.

    Returns the exit status: ``DIFFERS`` if the daemon chooses another route
    than the document or if no route matches, ``NOT_REACHABLE`` if there is no
    valid response from the daemon.
    """
    result = asyncio.run(query_instance(address, method, host, path))
    if result.is_error():
        reason = formatting.make_printable(
            f'{address}: cannot fetch explanation: {result.error}'
        )
        return program.fail(reason, program.ExitStatus.NOT_REACHABLE)
    print(f'instance at {address}:')
    print('\n'.join(instance_lines(result.ok)))
    expected = matched.ok.route_name if matched.is_ok() else None
    if result.ok.get('route') != expected:
        print('  this instance does not choose the route of the document')
        return int(program.ExitStatus.DIFFERS)
    return int(choice_status(matched))


def choice_status(matched: Result) -> program.ExitStatus:
    """Return ``DONE`` if a route matched, else ``DIFFERS``."""
    exits = program.ExitStatus
    return exits.DONE if matched.is_ok() else exits.DIFFERS


def instance_lines(response: dict[str, Any]) -> Iterator[str]:
    """Yield an instance's response, one line for each value or list item."""
    for name, value in response.items():
        if not isinstance(value, list):
            shown = formatting.format_fields(value)
            yield f'  {formatting.make_printable(name)}: {shown}'
            continue
        yield f'  {formatting.make_printable(name)}:'
        for entry in value:
            yield f'    {formatting.format_fields(entry)}'


async def query_instance(
    address: str, method: str, host: str, path: str
) -> Result:
    """Query an entry daemon for how it would route a request."""
    client = admin_client.AdminClient()
    try:
        return await client.fetch_json(
            address,
            '/explain',
            dict[str, Any],
            query={'method': method, 'host': host, 'path': path},
            # 404 with a body means that no route of the instance matches.
            accepted_statuses=(200, 404),
        )
    finally:
        client.close()
