"""The command ``story``, which shows the log lines of one request."""

from collections.abc import Iterable
import datetime
import json
import sys
from typing import Any
from typing import NamedTuple

from citronshelf_client import formatting
from citronshelf_common import program

# Events of a request's servers are shown from this long before its first line;
# a failure of a server lasts ten seconds on average
# (`citronshelf_instance.evidence`).
CONTEXT_BEFORE_S = 10.0
ANNOUNCEMENT_EVENTS = frozenset(
    {'server-leaving', 'server-asked-for-time', 'retry-time-invalid'}
)
SERVER_EVENTS = ANNOUNCEMENT_EVENTS | frozenset(
    {
        'server-suspected',
        'server-trusted',
        'server-unreachable',
        'server-registered',
        'server-draining',
        'server-removed',
    }
)
# Fields that every line has or that have a column of their own.
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
    """A decoded log line.

    Attributes
    ----------
    at_s : float
        Wall-clock time at the process that wrote the line, in seconds; the
        timestamp is read as UTC.
    origin : str
        Text before the JSON object, for example a host name.
    fields : dict
        The JSON object.
    """

    at_s: float
    origin: str
    fields: dict[str, Any]


def story(request_id: str, raw_lines: Iterable[str]) -> int:
    """Print the log lines of one request and the events of its servers.

    Parameters
    ----------
    request_id : str
    raw_lines : iterable of str
        Lines of the logs of any number of instances, in any order. Text
        before the JSON object of a line is kept.

    Returns
    -------
    int
        Exit status; ``DIFFERS`` (1) when no line names the request.
    """
    request_lines, server_lines, unreadable = select_lines(
        request_id, raw_lines
    )
    if unreadable:
        print(
            f'skipped {unreadable} lines that are not log lines',
            file=sys.stderr,
        )
    if not request_lines:
        shown = formatting.make_printable(request_id)
        print(f'no log line names request {shown}', file=sys.stderr)
        return int(program.ExitStatus.DIFFERS)
    servers = find_servers(request_lines, server_lines)
    first_s = min(line.at_s for line in request_lines)
    last_s = max(line.at_s for line in request_lines)
    related = [
        line
        for line in server_lines
        if line.fields.get('server') in servers
        and first_s <= valid_until_s(line)
        and line.at_s <= last_s
    ]
    lines = sorted(request_lines + related, key=lambda line: line.at_s)
    rows = [make_row(group, first_s) for group in group_lines(lines)]
    print('\n'.join(formatting.format_rows(rows)))
    return int(program.ExitStatus.DONE)


def find_servers(
    request_lines: list[LogLine], server_lines: list[LogLine]
) -> set[str]:
    """Return the servers that a request was sent to.

    If no server could be chosen, also those of its service.
    """
    servers = {line.fields.get('server') for line in request_lines} - {None}
    services = {
        line.fields.get('service')
        for line in request_lines
        if line.fields.get('event_name') == 'no-server'
    } - {None}
    return servers | {
        line.fields.get('server')
        for line in server_lines
        if line.fields.get('service') in services
    }


def valid_until_s(line: LogLine) -> float:
    """Return the time up to which a server event may decide a request.

    A server that asked for time is left alone for ``held_s``, and one that
    leaves for good.
    """
    held_s = line.fields.get('held_s')
    match line.fields.get('event_name'):
        case 'server-leaving':
            return float('inf')
        case 'server-asked-for-time' if isinstance(held_s, int | float):
            return line.at_s + max(CONTEXT_BEFORE_S, held_s)
        case _:
            return line.at_s + CONTEXT_BEFORE_S


def select_lines(request_id: str, raw_lines: Iterable[str]):
    """Select the lines that may belong to one request.

    Returns
    -------
    request_lines : list of LogLine
        Lines that name the request.
    server_lines : list of LogLine
        Server events, of any server.
    unreadable : int
        Number of non-empty lines that are not log lines.
    """
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
    """Decode a log line; return None if the text is not one."""
    origin, brace, rest = text.partition('{')
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.strptime(fields['time'], TIME_FORMAT)
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    names = [
        fields.get(name, '') for name in ('event_name', 'server', 'service')
    ]
    if not all(isinstance(name, str) for name in names):
        return None
    at = at.replace(tzinfo=datetime.UTC)
    return LogLine(at.timestamp(), origin.strip(), fields)


def group_lines(lines: Iterable[LogLine]) -> list[list[LogLine]]:
    """Group consecutive lines that report the same event of one server.

    Many instances log the same event of a server at about the same time.
    """
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
    """Return the name and server of a server event, or () for other lines."""
    name = line.fields.get('event_name')
    if name not in SERVER_EVENTS:
        return ()
    return name, line.fields.get('server')


def make_row(group: list[LogLine], first_s: float) -> tuple[str, ...]:
    """Return the columns for a group, taken from its first line.

    Times are relative to ``first_s``, the time of the request's first line.
    """
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
