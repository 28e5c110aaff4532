"""The command ``status``, which shows the revision on each instance."""

import asyncio
import json

from citronshelf_client import fleet_status
from citronshelf_client import formatting
from citronshelf_common import program


def status(address: str, *, as_json: bool) -> int:
    """Print the revision in force on each instance.

    Parameters
    ----------
    address : str
        Admin address of a control daemon, ``ip:port``.
    as_json : bool
        Print one JSON object instead of a table.

    Returns
    -------
    int
        Exit status.
    """
    result = asyncio.run(fleet_status.query_fleet(address))
    if result.is_error():
        reason = formatting.make_printable(
            f'{address}: cannot fetch status: {result.error}'
        )
        return program.fail(reason, program.ExitStatus.NOT_REACHABLE)
    report = result.ok
    lines = json_lines(report) if as_json else text_lines(report)
    print('\n'.join(lines))
    settled = report.is_settled()
    exits = program.ExitStatus
    return int(exits.DONE if settled else exits.DIFFERS)


def json_lines(report: fleet_status.FleetReport) -> list[str]:
    """Return the lines of the report as one JSON object."""
    table = {
        'newest_revision': report.newest_revision,
        'settled': report.is_settled(),
        'instances': [entry._asdict() for entry in report.instances],
    }
    return [json.dumps(table, indent=2)]


def text_lines(report: fleet_status.FleetReport) -> list[str]:
    """Return the lines of the report as a table and a summary."""
    rows = [('INSTANCE', 'ZONE', 'STATE', 'REVISION', 'NOTES')]
    for entry in report.instances:
        revision = '-' if entry.revision is None else entry.revision
        notes = '; '.join(entry.notes)
        rows.append((entry.instance, entry.zone, entry.state, revision, notes))
    return [*formatting.format_rows(rows), summarise(report)]


def summarise(report: fleet_status.FleetReport) -> str:
    """Return the newest revision and the number of instances by state."""
    states = [entry.state for entry in report.instances]
    counts = ', '.join(
        f'{state} {states.count(state)}'
        for state in fleet_status.State
        if state in states
    )
    return f'newest revision {report.newest_revision}: {counts}'
