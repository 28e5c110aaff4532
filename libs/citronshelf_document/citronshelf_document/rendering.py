"""Renders documents as TOML."""

from collections.abc import Iterator

from citronshelf_document import model
from citronshelf_document import shapes


def render_document(document: model.Document) -> str:
    """Return a document as TOML text that parses to an equal document.

    Parameters
    ----------
    document : Document

    Returns
    -------
    str
    """
    return '\n'.join(render_lines(document)) + '\n'


def render_lines(document: model.Document) -> Iterator[str]:
    """Yield the lines of a document; defaults are written explicitly."""
    yield f'format = {shapes.FORMAT_VERSION}'
    yield from render_section('pools', document.pools)
    yield from render_section('services', document.services)
    yield from render_section('classes', document.classes)
    yield from render_section('routes', document.routes)
    accounts = document.accounts
    yield '[accounts]'
    yield f'default_requests_per_second = {accounts.default[0]!r}'
    yield f'default_burst = {accounts.default.burst}'
    yield from render_section('accounts.named', accounts.named)
    yield '[cross_region]'
    yield from render_entry(document.cross_region)
    for section in ('pools', 'services', 'classes', 'routes'):
        if not getattr(document, section):
            yield f'[{section}]'


def render_section(section: str, entries) -> Iterator[str]:
    """Yield the lines of all tables of a section."""
    for name, entry in entries.items():
        yield f'[{section}."{name}"]'
        if isinstance(entry, model.Route):
            yield from render_route(entry)
        else:
            yield from render_entry(entry)


def render_entry(entry) -> Iterator[str]:
    """Yield the lines of one table; ``key`` is omitted when ``none``."""
    for field, value in zip(entry._fields, entry, strict=True):
        if field == 'key' and value == 'none':
            continue
        yield f'{field} = {render_value(value)}'


def render_route(route: model.Route) -> Iterator[str]:
    """Yield the lines of one route."""
    methods = ', '.join(f'"{method}"' for method in route.methods)
    yield f'methods = [{methods}]'
    yield f'{"prefix" if route.is_prefix else "path"} = "{route.path}"'
    if route.host:
        yield f'host = "{route.host}"'
    yield f'service = "{route.service}"'
    yield f'class = "{route.request_class}"'


def render_value(value) -> str:
    """Return a value as TOML.

    Nothing is escaped, because validation refuses names, paths and hosts with
    quotes, backslashes or control characters.
    """
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return f'"{value}"'
    return repr(value)
