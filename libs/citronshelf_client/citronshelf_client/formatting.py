"""Formats values as text for a terminal."""

from collections.abc import Iterable
from collections.abc import Sequence


def make_printable(value) -> str:
    """Return a value on one line, with ``?`` for non-printable characters.

    Responses come from the network and must not be able to send escape
    sequences to the operator's terminal. None is shown as ``-``.
    """
    text = '-' if value is None else str(value)
    return ''.join(c if c.isprintable() else '?' for c in text)


def format_rows(rows: Iterable[Sequence[str]]) -> list[str]:
    """Return rows as lines with aligned columns and no trailing spaces."""
    cells = [[make_printable(value) for value in row] for row in rows]
    if not cells:
        return []
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return [
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    ]


def format_fields(entry) -> str:
    """Return a JSON object as ``name=value`` pairs, other values as text."""
    if not isinstance(entry, dict):
        return make_printable(entry)
    pairs = (f'{name}={value}' for name, value in entry.items())
    return make_printable(' '.join(pairs))
