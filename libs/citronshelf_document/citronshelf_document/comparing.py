"""Describes the differences in content between two documents."""

from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from citronshelf_document import change_descriptions
from citronshelf_document import model


class DocumentChange(NamedTuple):
    """One difference in content between two documents.

    Attributes
    ----------
    key : str
        Dotted key of the changed entry or value.
    sentence : str
        Description for operators.
    """

    key: str
    sentence: str


def compare(
    old: model.Document, new: model.Document
) -> tuple[DocumentChange, ...]:
    """Return what changes when one document replaces another.

    Formatting, order, comments and explicitly written defaults make no
    difference.

    Parameters
    ----------
    old : Document
    new : Document

    Returns
    -------
    tuple of DocumentChange
        In the order of the document's sections, sorted by name in each.
    """
    return (
        *compare_section('pools', 'pool', old.pools, new.pools),
        *compare_section('services', 'service', old.services, new.services),
        *compare_section('classes', 'class', old.classes, new.classes),
        *compare_routes(old.routes, new.routes),
        *compare_accounts(old.accounts, new.accounts),
        *compare_entry(
            'cross_region',
            'cross_region',
            '',
            old.cross_region,
            new.cross_region,
        ),
    )


def compare_section(
    section: str, kind: str, old: Mapping, new: Mapping
) -> Iterator[DocumentChange]:
    """Yield the changes of pools, services or classes."""
    for name in sorted(old.keys() | new.keys()):
        key = f'{section}.{name}'
        if name not in new:
            yield DocumentChange(key, f'{kind} {name} is removed')
        elif name not in old:
            entry = describe_entry(new[name])
            yield DocumentChange(key, f'{kind} {name} is added: {entry}')
        else:
            yield from compare_entry(section, key, name, old[name], new[name])


def describe_entry(entry: NamedTuple) -> str:
    """Return the field names and values of an entry, comma-separated."""
    return ', '.join(
        f'{field} {format_value(value)}'
        for field, value in zip(entry._fields, entry, strict=True)
    )


def compare_entry(
    section: str, key: str, name: str, old, new
) -> Iterator[DocumentChange]:
    """Yield one change for each differing value of an entry."""
    if old == new:
        return
    for field, before, after in zip(old._fields, old, new, strict=True):
        if before != after:
            sentence = describe_change(section, field, name, before, after)
            yield DocumentChange(f'{key}.{field}', sentence)


def describe_change(section, field, name, before, after) -> str:
    """Return the sentence that describes one changed value."""
    kind = f'{section}.{field}'
    if kind == 'services.pool':
        return f'service {name} moves from pool {before} to pool {after}'
    if (kind, after) in change_descriptions.CHOICE_CHANGES:
        return change_descriptions.CHOICE_CHANGES[kind, after].format(
            name=name
        )
    change = change_descriptions.NUMBER_CHANGES[kind]
    subject = change.subject.format(name=name)
    verb, effect = (
        ('rises', change.effect_of_rise)
        if after > before
        else ('falls', change.effect_of_fall)
    )
    span = (
        f'from {format_value(before)}{change.unit} to '
        f'{format_value(after)}{change.unit}'
    )
    return f'{subject} {verb} {span}; {effect}'


def format_value(value) -> str:
    """Format a value; a whole float has no decimal point."""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    return str(value)


def compare_routes(old: Mapping, new: Mapping) -> Iterator[DocumentChange]:
    """Yield the changes of routes; a rename counts as one change."""
    renamed = find_renamed_routes(old, new)
    for name in sorted(old.keys() | new.keys()):
        key = f'routes.{name}'
        if name in renamed:
            sentence = (
                f'route {name} is renamed to {renamed[name]}; the same '
                'requests match it'
            )
            yield DocumentChange(key, sentence)
        elif name not in new:
            yield DocumentChange(
                key,
                f'route {name} is removed: {describe_route(old[name])} now '
                'matches another route or none',
            )
        elif name not in old and name not in renamed.values():
            yield DocumentChange(
                key, f'route {name} is added: {describe_target(new[name])}'
            )
        elif name in old:
            yield from compare_route(key, name, old[name], new[name])


def find_renamed_routes(old: Mapping, new: Mapping) -> dict[str, str]:
    """Map the old to the new name of routes that change only their name."""
    added = {new[name]: name for name in new.keys() - old.keys()}
    return {
        name: added[old[name]]
        for name in old.keys() - new.keys()
        if old[name] in added
    }


def compare_route(key, name, old, new) -> Iterator[DocumentChange]:
    """Yield the changes of a route with the same name in both documents."""
    if old[:4] != new[:4]:
        yield DocumentChange(
            key,
            f'route {name} matches {describe_route(new)} instead of '
            f'{describe_route(old)}',
        )
    if old.service != new.service:
        yield DocumentChange(
            f'{key}.service',
            f'requests of route {name} go to service {new.service} instead '
            f'of {old.service}',
        )
    if old.request_class != new.request_class:
        yield DocumentChange(
            f'{key}.class',
            f'requests of route {name} are treated as class '
            f'{new.request_class} instead of {old.request_class}',
        )


def describe_route(route: model.Route) -> str:
    """Return the methods, host and path that a route matches."""
    methods = ', '.join(route.methods)
    tail = '*' if route.is_prefix else ''
    return f'{methods} {route.host}{route.path}{tail}'


def describe_target(route: model.Route) -> str:
    """Return what a route matches, with its service and class."""
    return (
        f'{describe_route(route)} goes to service {route.service} as class '
        f'{route.request_class}'
    )


def compare_accounts(old, new) -> Iterator[DocumentChange]:
    """Yield the changes of the default and of named account limits."""
    yield from compare_entry(
        'limits',
        'accounts.default',
        'accounts without a limit of their own',
        old.default,
        new.default,
    )
    for account in sorted(old.named.keys() | new.named.keys()):
        key = f'accounts.named.{account}'
        name = f'account {account}'
        if account not in new.named:
            sentence = f'{name} loses its own limit; the default applies'
            yield DocumentChange(key, sentence)
        elif account not in old.named:
            entry = describe_entry(new.named[account])
            sentence = f'{name} gets a limit of its own: {entry}'
            yield DocumentChange(key, sentence)
        else:
            yield from compare_entry(
                'limits', key, name, old.named[account], new.named[account]
            )
