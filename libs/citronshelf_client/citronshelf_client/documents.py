"""The commands ``check`` and ``diff``, which read document files."""

from pathlib import Path
import sys

from expression import Error
from expression import Result

from citronshelf_common import program
from citronshelf_document import comparing
from citronshelf_document import model
from citronshelf_document import parsing


def read_document(path: str) -> Result:
    """Read and check a document file.

    Returns
    -------
    Result
        ``Ok`` with a ``Document``, or ``Error`` with a tuple of
        ``DocumentFault``.
    """
    try:
        with Path(path).open('rb') as stream:
            data = stream.read(parsing.MAX_DOCUMENT_BYTES + 1)
    except (OSError, ValueError) as error:
        fault = parsing.DocumentFault(
            path, 0, '', f'cannot read file: {error}'
        )
        return Error((fault,))
    return parsing.parse_document(data, path)


def report_faults(faults: tuple[parsing.DocumentFault, ...]) -> int:
    """Print every fault to standard error and return the exit status."""
    for fault in faults:
        print(fault.render(), file=sys.stderr)
    return int(program.ExitStatus.BAD_DOCUMENT)


def check(path: str) -> int:
    """Print a document's summary or all its faults; return the exit status."""
    checked = read_document(path)
    if checked.is_error():
        return report_faults(checked.error)
    print(f'{path}: good: {summarise(checked.ok)}')
    return int(program.ExitStatus.DONE)


def summarise(document: model.Document) -> str:
    """Return how many entries the sections of a document have."""
    return (
        f'pools {len(document.pools)}, services {len(document.services)}, '
        f'classes {len(document.classes)}, routes {len(document.routes)}, '
        f'named accounts {len(document.accounts.named)}'
    )


def diff(old_path: str, new_path: str) -> int:
    """Print the semantic changes between two documents.

    Returns the exit status, ``DIFFERS`` if there are any changes. Spelling,
    order, comments and written-out defaults do not count.
    """
    checked = [read_document(path) for path in (old_path, new_path)]
    faults = [result.error for result in checked if result.is_error()]
    if faults:
        return report_faults(
            tuple(fault for file_faults in faults for fault in file_faults)
        )
    old, new = (result.ok for result in checked)
    changes = comparing.compare(old, new)
    for change in changes:
        print(f'{change.key}: {change.sentence}')
    if changes:
        return int(program.ExitStatus.DIFFERS)
    print('no differences in meaning')
    return int(program.ExitStatus.DONE)
