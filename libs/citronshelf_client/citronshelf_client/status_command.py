"""The command ``status``, which shows the revision on each instance."""

import asyncio
import json

from citronshelf_client import fleet_status
from citronshelf_client import formatting
from citronshelf_client import instance_gauges
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
        return fail_unreachable(address, result.error)
    report = result.ok
    lines = json_lines(report) if as_json else text_lines(report)
    print('\n'.join(lines))
    settled = report.is_settled()
    exits = program.ExitStatus
    return int(exits.DONE if settled else exits.DIFFERS)


def instance_status(address: str, *, as_json: bool) -> int:
    """Print what one ``citronshelf-instance`` knows.

    Parameters
    ----------
    address : str
        Its metrics address, ``ip:port``.
    as_json : bool
        Print one JSON object instead of a table.

    Returns
    -------
    int
        Exit status; ``DIFFERS`` (1) if it cannot route or is behind.
    """
    result = asyncio.run(instance_gauges.query_instance(address))
    if result.is_error():
        return fail_unreachable(address, result.error)
    found = result.ok
    if as_json:
        print(json.dumps(found.values, indent=2))
    else:
        rows = [
            (gauge.name, f'{found.values[gauge.name]:g}', gauge.meaning)
            for gauge in instance_gauges.GAUGES
            if gauge.name in found.values
        ]
        print('\n'.join(formatting.format_rows(rows)))
    exits = program.ExitStatus
    return int(exits.DONE if found.is_settled() else exits.DIFFERS)


def fail_unreachable(address: str, error: str) -> int:
    """Print why no status was fetched; return the exit status."""
    reason = formatting.make_printable(
        f'{address}: cannot fetch status: {error}'
    )
    return program.fail(reason, program.ExitStatus.NOT_REACHABLE)


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
