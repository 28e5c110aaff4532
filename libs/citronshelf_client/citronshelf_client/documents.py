"""The commands that read document files: check and diff."""

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
        ``Ok`` with a ``Document`` or ``Error`` with a tuple of
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
    """Print every fault and return the exit status."""
    for fault in faults:
        print(fault.render(), file=sys.stderr)
    return int(program.ExitStatus.BAD_DOCUMENT)


def check(path: str) -> int:
    """Check a document and print what it holds or every fault."""
    checked = read_document(path)
    if checked.is_error():
        return report_faults(checked.error)
    print(f'{path}: good: {summarise(checked.ok)}')
    return int(program.ExitStatus.DONE)


def summarise(document: model.Document) -> str:
    """Return the sizes of a document."""
    return (
        f'pools {len(document.pools)}, services {len(document.services)}, '
        f'classes {len(document.classes)}, routes {len(document.routes)}, '
        f'named accounts {len(document.accounts.named)}'
    )


def diff(old_path: str, new_path: str) -> int:
    """Print what changes in intent from one document to another."""
    checked = [read_document(path) for path in (old_path, new_path)]
    faults = [result.error for result in checked if result.is_error()]
    if faults:
        return report_faults(tuple(fault for each in faults for fault in each))
    old, new = (result.ok for result in checked)
    changes = comparing.compare(old, new)
    for change in changes:
        print(f'{change.key}: {change.sentence}')
    if changes:
        return int(program.ExitStatus.DIFFERS)
    print('no change of intent')
    return int(program.ExitStatus.DONE)
