"""Validates TOML text against a ``TypedDict`` and locates errors."""

import functools
import re
import tomllib
import types
import typing
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result
import msgspec


class TomlFault(NamedTuple):
    """An error in a TOML text.

    Attributes
    ----------
    source : str
        File name or other origin of the text.
    line : int
        Line number, counted from 1; 0 when the line is not known.
    key : str
        Dotted key; empty when the fault is not at a key, such as a syntax
        error.
    message : str
        What is wrong, or what was expected at that key.
    """

    source: str
    line: int
    key: str
    message: str

    def render(self) -> str:
        """Return ``source:line: key: message`` on one line."""
        key = f'{self.key}: ' if self.key else ''
        return f'{self.source}:{self.line}: {key}{self.message}'


# These two patterns run in linear time on any line: whitespace inside a key is
# left to split_key, so each pattern can match it in only one way.
TABLE_HEADER = re.compile(r'^\s*\[\[?(?P<key>[^\[\]]+)\]\]?\s*(#.*)?$')
ASSIGNMENT = re.compile(r'^\s*(?P<key>[^\s=#,\[\]{}][^=]*)=')
SYNTAX_LINE = re.compile(r'\(at line (?P<line>\d+), column \d+\)')
MSGSPEC_PATH = re.compile(r' - at `\$(?P<path>.*)`$')


def split_key(dotted: str) -> tuple[str, ...]:
    """Split a dotted TOML key into its parts and remove their quotes."""
    parts = re.findall(r'"[^"]*"|\'[^\']*\'|[^.\s]+', dotted)
    return tuple(part.strip('"\'') for part in parts)


def key_lines(text: str) -> dict[tuple[str, ...], int]:
    """Map each key of a TOML text to the line where it first appears.

    Keys inside inline tables and multi-line arrays are not included; their
    faults are reported at the line of the nearest parent that is. A line of a
    multi-line string that looks like a key counts as one.
    """
    lines: dict[tuple[str, ...], int] = {}
    table: tuple[str, ...] = ()
    # TOML lines end only with LF or CR LF; str.splitlines also splits at
    # other characters.
    for number, line in enumerate(text.split('\n'), start=1):
        header = TABLE_HEADER.match(line)
        if header:
            table = split_key(header['key'])
            lines.setdefault(table, number)
            continue
        assignment = ASSIGNMENT.match(line)
        if assignment:
            key = (*table, *split_key(assignment['key']))
            lines.setdefault(key, number)
    return lines


def line_of(lines: dict[tuple[str, ...], int], key: tuple[str, ...]) -> int:
    """Return the line of a key or of its nearest parent in ``lines``.

    Returns 0 when neither the key nor a parent is in ``lines``.
    """
    while key:
        if key in lines:
            return lines[key]
        key = key[:-1]
    return 0


def load_table(text: str, source: str, shape: type) -> Result:
    """Parse a TOML text and validate it against a ``TypedDict``.

    Parameters
    ----------
    text : str
    source : str
        File name or other origin, reported in faults.
    shape : type
        ``TypedDict`` whose fields may carry ``msgspec.Meta`` constraints.

    Returns
    -------
    Result
        ``Ok`` with a dictionary of type ``shape``, or ``Error`` with the
        first ``TomlFault``.
    """
    try:
        tree = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        return Error(syntax_fault(str(error), source, text))
    except ValueError as error:
        # int raises ValueError for more than 4300 digits, and tomllib does not
        # turn it into a TOMLDecodeError.
        return Error(TomlFault(source, 0, '', f'not valid TOML: {error}'))
    except RecursionError:
        return Error(TomlFault(source, 0, '', 'values are nested too deeply'))
    unknown = find_unknown_key(tree, shape)
    if unknown is not None:
        lines = key_lines(text)
        key, allowed = unknown
        message = f'unknown key; expected one of {", ".join(allowed)}'
        return Error(
            TomlFault(source, line_of(lines, key), '.'.join(key), message)
        )
    try:
        return Ok(msgspec.convert(tree, shape))
    except msgspec.ValidationError as error:
        lines = key_lines(text)
        return Error(shape_fault(str(error), source, lines, tree, shape))


def syntax_fault(message: str, source: str, text: str) -> TomlFault:
    """Return the fault for a TOML syntax error.

    Errors without a line number, as at the end of the text, are reported at
    the last line.
    """
    match = SYNTAX_LINE.search(message)
    line = int(match['line']) if match else text.count('\n') + 1
    return TomlFault(source, line, '', f'not valid TOML: {message}')


def shape_fault(message, source, lines, tree, shape) -> TomlFault:
    """Return the fault for a ``msgspec`` validation error."""
    match = MSGSPEC_PATH.search(message)
    path = match['path'] if match else ''
    fault_message = MSGSPEC_PATH.sub('', message)
    key = tuple(part for part in re.split(r'\.|\[\.\.\.\]', path) if part)
    if '[...]' in path:
        key = find_invalid_key(tree, shape) or key
    line = line_of(lines, key)
    return TomlFault(source, line, '.'.join(key), lower_first(fault_message))


def lower_first(text: str) -> str:
    """Return the text with its first character in lower case."""
    return text[:1].lower() + text[1:]


def find_unknown_key(tree, shape, prefix=()):
    """Find the first key that the shape does not define.

    Returns
    -------
    tuple or None
        Path of the key and the keys allowed in its table; None when every
        key is known.
    """
    fields, value_shape = table_types(shape)
    if not isinstance(tree, dict) or (fields is None and value_shape is None):
        return None
    if fields is not None:
        for key in tree:
            if key not in fields:
                return (*prefix, key), tuple(fields)
    for key, value in tree.items():
        if isinstance(value, dict):
            branch_shape = value_shape if fields is None else fields[key]
            found = find_unknown_key(value, branch_shape, (*prefix, key))
            if found is not None:
                return found
    return None


@functools.cache
def table_types(shape):
    """Return the fields of a ``TypedDict`` and the value type of a ``dict``.

    One of the two is None, or both for any other type. Cached, because a
    document has thousands of tables of the same shape and resolving type
    hints costs more than parsing the text.
    """
    shape = unwrap(shape)
    if typing.is_typeddict(shape):
        return typing.get_type_hints(shape, include_extras=True), None
    return None, mapping_value_type(shape)


def find_invalid_key(tree, shape, prefix=()):
    """Return the deepest key path of the first branch that is not valid.

    msgspec leaves the keys of mappings out of its messages, so each branch
    is validated separately.
    """
    fields, value_shape = table_types(shape)
    if not isinstance(tree, dict) or (fields is None and value_shape is None):
        return prefix
    for key, value in tree.items():
        branch_shape = value_shape if fields is None else fields[key]
        if not is_valid(value, branch_shape):
            return find_invalid_key(value, branch_shape, (*prefix, key))
    return prefix


def is_valid(value, shape) -> bool:
    """Return whether msgspec can convert a value to a shape."""
    try:
        msgspec.convert(value, strip_requirement(shape))
    except msgspec.ValidationError:
        return False
    return True


def strip_requirement(shape):
    """Remove ``Required`` and ``NotRequired`` from a type."""
    while typing.get_origin(shape) in (typing.Required, typing.NotRequired):
        shape = typing.get_args(shape)[0]
    return shape


def unwrap(shape):
    """Remove ``Required``, ``NotRequired``, ``Annotated`` and ``None``.

    A union of several types other than ``None`` is returned unchanged.
    """
    shape = strip_requirement(shape)
    if typing.get_origin(shape) is typing.Annotated:
        return unwrap(typing.get_args(shape)[0])
    if typing.get_origin(shape) in (typing.Union, types.UnionType):
        variants = [a for a in typing.get_args(shape) if a is not type(None)]
        return unwrap(variants[0]) if len(variants) == 1 else shape
    return shape


def mapping_value_type(shape):
    """Return the value type of a ``dict`` type; None for other types."""
    if typing.get_origin(shape) is dict:
        return typing.get_args(shape)[1]
    return None
