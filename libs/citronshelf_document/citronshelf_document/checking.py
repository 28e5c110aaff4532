"""Semantic checks that the types of the document cannot express."""

from collections.abc import Iterator
import re

from citronshelf_common import settings
from citronshelf_document import model
from citronshelf_document import paths
from citronshelf_document import shapes

KeyPath = tuple[str, ...]
Finding = tuple[KeyPath, str]

NAME = re.compile(settings.NAME_PATTERN)
ACCOUNT = re.compile(model.ACCOUNT_PATTERN)
HOST = re.compile(r'[a-z0-9]([a-z0-9.-]{0,251}[a-z0-9])?')


def find_faults(table: shapes.DocumentTable) -> Iterator[Finding]:
    """Yield the key and the message of every semantic fault.

    The order depends only on the document, so that every instance reports
    the same faults.
    """
    yield from check_names(table)
    yield from check_pools(table)
    yield from check_services(table)
    yield from check_classes(table)
    yield from check_routes(table)
    yield from check_duplicates(table)


def check_names(table: shapes.DocumentTable) -> Iterator[Finding]:
    """Yield names that are not valid in logs and metrics."""
    for section in ('pools', 'services', 'classes', 'routes'):
        for name in table[section]:
            if not NAME.fullmatch(name):
                message = f'expected name of the form {settings.NAME_PATTERN}'
                yield (section, name), message
    for account in table['accounts'].get('named', {}):
        if not ACCOUNT.fullmatch(account):
            message = f'expected account of the form {ACCOUNT.pattern}'
            yield ('accounts', 'named', account), message


def check_pools(table: shapes.DocumentTable) -> Iterator[Finding]:
    """Yield pools with fewer connections per server than slots."""
    for name, pool in table['pools'].items():
        slots = pool['slots_per_server']
        if pool['connections_per_server'] < slots:
            key = ('pools', name, 'connections_per_server')
            yield key, f'expected at least slots_per_server ({slots})'


def check_services(table: shapes.DocumentTable) -> Iterator[Finding]:
    """Yield services whose pool is not defined."""
    for name, service in table['services'].items():
        if service['pool'] not in table['pools']:
            yield (
                ('services', name, 'pool'),
                expected_reference('pool', table['pools']),
            )


def check_classes(table: shapes.DocumentTable) -> Iterator[Finding]:
    """Yield classes whose values contradict each other."""
    for name, entry in table['classes'].items():
        if entry['deadline_ms'] < entry['expected_ms']:
            message = f'expected at least expected_ms ({entry["expected_ms"]})'
            yield ('classes', name, 'deadline_ms'), message
        if entry['idempotent'] and 'key' in entry:
            message = 'not allowed in an idempotent class'
            yield ('classes', name, 'key'), message


def check_routes(table: shapes.DocumentTable) -> Iterator[Finding]:
    """Yield all faults of routes except duplicates of another route."""
    for name, route in table['routes'].items():
        key = ('routes', name)
        if route['service'] not in table['services']:
            yield (
                (*key, 'service'),
                expected_reference('service', table['services']),
            )
        if route['class'] not in table['classes']:
            yield (
                (*key, 'class'),
                expected_reference('class', table['classes']),
            )
        if len(set(route['methods'])) < len(route['methods']):
            yield (*key, 'methods'), 'expected each method at most once'
        if 'host' in route and not HOST.fullmatch(route['host']):
            yield (*key, 'host'), 'expected host in lower case without port'
        yield from check_pattern(key, route)
        yield from check_long_work(key, route, table)


def check_pattern(key: KeyPath, route: shapes.RouteTable) -> Iterator[Finding]:
    """Yield faults of the path or prefix of one route."""
    if ('path' in route) == ('prefix' in route):
        yield key, 'expected exactly one of path and prefix'
        return
    field = 'path' if 'path' in route else 'prefix'
    fault = paths.find_pattern_fault(route[field])
    if fault is not None:
        yield (*key, field), f'not in normal form: {fault}'
    elif field == 'prefix' and not route[field].endswith('/'):
        yield (*key, field), 'expected prefix that ends with /'


def check_long_work(key: KeyPath, route, table) -> Iterator[Finding]:
    """Yield a route of a long class whose pool has no share for long work."""
    entry = table['classes'].get(route['class'], {})
    service = table['services'].get(route['service'], {})
    pool = table['pools'].get(service.get('pool'), {})
    if entry.get('long') and pool.get('long_work_percent') == 0:
        message = (
            f'expected class that is not long, because long_work_percent of '
            f'pool {service["pool"]} is 0'
        )
        yield (*key, 'class'), message


def check_duplicates(table: shapes.DocumentTable) -> Iterator[Finding]:
    """Yield routes with the same method and pattern as an earlier route."""
    seen: dict[tuple, str] = {}
    for name, route in table['routes'].items():
        pattern = (route.get('host', ''), route.get('path'))
        pattern += (route.get('prefix'),)
        earlier = sorted(
            {
                seen.setdefault((method, *pattern), name)
                for method in route['methods']
            }
            - {name}
        )
        if earlier:
            message = f'same method and pattern as route {", ".join(earlier)}'
            yield ('routes', name), message


def expected_reference(kind: str, names) -> str:
    """Return the message for a reference to an undefined name.

    At most ten of the defined names are listed.
    """
    shown = ', '.join(list(names)[:10]) or 'none is defined'
    more = ', ...' if len(names) > 10 else ''
    return f'expected {kind} defined in this document ({shown}{more})'
