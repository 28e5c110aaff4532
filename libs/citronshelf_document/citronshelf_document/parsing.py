"""Parses and validates documents."""

from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from citronshelf_common import checked_toml
from citronshelf_document import checking
from citronshelf_document import shapes

# Limit of the platform's configuration service on a stored value.
MAX_DOCUMENT_BYTES = 1_000_000
MAX_LINE_CHARACTERS = 4096
# tomllib needs quadratic time in the number of parts of a dotted key: 1.1 s
# for 8,000 parts, which means over an hour for a line of 1 MB.
MAX_LINE_DOTS = 100


class DocumentFault(NamedTuple):
    """An error in a document.

    Attributes
    ----------
    source : str
        File name or other origin of the document.
    line : int
        Line number, counted from 1; 0 when the fault has no known line.
    key : str
        Dotted key; empty when the fault is not at a key.
    message : str
        What is wrong, or what was expected at that place.
    """

    source: str
    line: int
    key: str
    message: str

    def render(self) -> str:
        """Return ``source:line: key: message`` on one line."""
        key = f'{self.key}: ' if self.key else ''
        return f'{self.source}:{self.line}: {key}{self.message}'


def parse_document(
    data: bytes, source: str, *, max_bytes: int = MAX_DOCUMENT_BYTES
) -> Result:
    """Parse and validate a document.

    Acceptance depends only on the bytes and ``max_bytes``, so that all
    instances with the same limit agree on whether to accept or refuse a
    published document.

    Parameters
    ----------
    data : bytes
        Untrusted input of any length.
    source : str
        File name or other origin, reported in faults.
    max_bytes : int
        Larger documents are refused.

    Returns
    -------
    Result
        ``Ok`` with a ``Document`` or ``Error`` with a tuple of
        ``DocumentFault``: the first fault in size, encoding, syntax, types
        or ranges, or otherwise all semantic faults.
    """
    if len(data) > max_bytes:
        return fault_without_key(
            source, 0, f'expected at most {max_bytes} bytes'
        )
    try:
        text = data.decode('utf-8')
    except UnicodeDecodeError as error:
        line = data.count(b'\n', 0, error.start) + 1
        return fault_without_key(source, line, 'expected UTF-8 text')
    line_fault = find_line_fault(text)
    if line_fault is not None:
        return fault_without_key(source, *line_fault)
    loaded = checked_toml.load_table(text, source, shapes.DocumentTable)
    if loaded.is_error():
        return Error((DocumentFault(*loaded.error),))
    faults = find_semantic_faults(loaded.ok, text, source)
    if faults:
        return Error(faults)
    return Ok(shapes.build_document(loaded.ok))


def find_line_fault(text: str) -> tuple[int, str] | None:
    """Find the first line that would be too slow to parse.

    Returns its number and a message, or None when there is no such line.
    """
    for number, line in enumerate(text.split('\n'), start=1):
        if len(line) > MAX_LINE_CHARACTERS:
            return number, (
                f'expected at most {MAX_LINE_CHARACTERS} characters per line'
            )
        if line.count('.') > MAX_LINE_DOTS:
            return number, f'expected at most {MAX_LINE_DOTS} dots per line'
    return None


def fault_without_key(source: str, line: int, message: str) -> Result:
    """Return an ``Error`` with one fault that does not belong to a key."""
    return Error((DocumentFault(source, line, '', message),))


def find_semantic_faults(table, text, source) -> tuple[DocumentFault, ...]:
    """Return all semantic faults, each located at the line of its key."""
    findings = list(checking.find_faults(table))
    if not findings:
        return ()
    lines = checked_toml.key_lines(text)
    return tuple(
        DocumentFault(
            source, checked_toml.line_of(lines, key), '.'.join(key), message
        )
        for key, message in findings
    )
