"""The command story."""

from collections.abc import Iterable
import datetime
import json
import sys
from typing import Any
from typing import NamedTuple

from citronshelf_client import formatting
from citronshelf_common import program

# How long before a request the lines of its servers are shown; servers fail
# for ten seconds in the mean (`citronshelf_instance.evidence`).
CONTEXT_BEFORE_S = 10.0
SERVER_EVENTS = frozenset(
    {
        'server-suspected',
        'server-trusted',
        'server-unreachable',
        'server-registered',
        'server-draining',
        'server-removed',
    }
)
# Fields that every line has or that the columns show.
COMMON_FIELDS = frozenset(
    {
        'time',
        'level',
        'name',
        'message',
        'event',
        'event_name',
        'request_id',
    }
)
TIME_FORMAT = '%Y-%m-%d %H:%M:%S,%f'


class LogLine(NamedTuple):
    """One decoded line of a log.

    Attributes
    ----------
    at_s : float
        Time of day at the process that wrote it, in seconds.
    origin : str
        Text before the JSON object, for example the name of a machine.
    fields : dict
    """

    at_s: float
    origin: str
    fields: dict[str, Any]


def story(request_id: str, raw_lines: Iterable[str]) -> int:
    """Print what the logs tell about one request.

    Parameters
    ----------
    request_id : str
    raw_lines : iterable of str
        Lines of the logs of any number of instances, in any order. Text
        before the JSON object of a line is kept.

    Returns
    -------
    int
        Exit status: 1 when no line names the request.
    """
    request_lines, server_lines, unreadable = select_lines(
        request_id, raw_lines
    )
    if unreadable:
        print(
            f'passed over {unreadable} lines that are not log lines',
            file=sys.stderr,
        )
    if not request_lines:
        shown = formatting.make_printable(request_id)
        print(f'no line of request {shown}', file=sys.stderr)
        return int(program.ExitStatus.DIFFERS)
    servers = {line.fields.get('server') for line in request_lines} - {None}
    first_s = min(line.at_s for line in request_lines)
    last_s = max(line.at_s for line in request_lines)
    related = [
        line
        for line in server_lines
        if line.fields.get('server') in servers
        and first_s - CONTEXT_BEFORE_S <= line.at_s <= last_s
    ]
    lines = sorted(request_lines + related, key=lambda line: line.at_s)
    rows = [make_row(group, first_s) for group in group_lines(lines)]
    print('\n'.join(formatting.format_rows(rows)))
    return int(program.ExitStatus.DONE)


def select_lines(request_id: str, raw_lines: Iterable[str]):
    """Return the request's lines, those of servers, and a count of others."""
    request_lines, server_lines, unreadable = [], [], 0
    for text in raw_lines:
        if not text.strip():
            continue
        line = decode_line(text)
        if line is None:
            unreadable += 1
        elif line.fields.get('request_id') == request_id:
            request_lines.append(line)
        elif line.fields.get('event_name') in SERVER_EVENTS:
            server_lines.append(line)
    return request_lines, server_lines, unreadable


def decode_line(text: str) -> LogLine | None:
    """Return a line of a log, None when it is none."""
    origin, brace, rest = text.partition('{')
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.strptime(fields['time'], TIME_FORMAT)
    except (ValueError, KeyError, TypeError):
        return None
    at = at.replace(tzinfo=datetime.UTC)
    return LogLine(at.timestamp(), origin.strip(), fields)


def group_lines(lines: Iterable[LogLine]) -> list[list[LogLine]]:
    """Put the same news of a server from many instances together."""
    groups: list[list[LogLine]] = []
    for line in lines:
        if (
            groups
            and server_event_key(line) == server_event_key(groups[-1][0]) != ()
        ):
            groups[-1].append(line)
        else:
            groups.append([line])
    return groups


def server_event_key(line: LogLine) -> tuple[str, ...]:
    """Return which news of which server a line tells, empty for others."""
    name = line.fields.get('event_name')
    if name not in SERVER_EVENTS:
        return ()
    return name, line.fields.get('server')


def make_row(group: list[LogLine], first_s: float) -> tuple[str, ...]:
    """Return the columns of the first of some lines with the same news."""
    line = group[0]
    details = {
        name: value
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS
    }
    suffix = f' (and {len(group) - 1} more)' if len(group) > 1 else ''
    return (
        f'{line.at_s - first_s:+.3f} s',
        line.origin,
        str(line.fields.get('event_name')),
        formatting.format_fields(details) + suffix,
    )
