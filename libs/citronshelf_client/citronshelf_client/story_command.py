"""The command story."""

from collections.abc import Iterable
import datetime
import json
import sys
from typing import Any
from typing import NamedTuple

from citronshelf_client import showing
from citronshelf_common import program

# How long before a request the lines of its servers are shown; servers fail
# for ten seconds in the mean (`citronshelf_instance.evidence`).
BEFORE_S = 10.0
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


class Line(NamedTuple):
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


def story(request_id: str, texts: Iterable[str]) -> int:
    """Print what the logs tell about one request.

    Parameters
    ----------
    request_id : str
    texts : iterable of str
        Lines of the logs of any number of instances, in any order. Text
        before the JSON object of a line is kept.

    Returns
    -------
    int
        Exit status: 1 when no line names the request.
    """
    own, others, unreadable = collect(request_id, texts)
    if unreadable:
        print(
            f'passed over {unreadable} lines that are not log lines',
            file=sys.stderr,
        )
    if not own:
        shown = showing.printable(request_id)
        print(f'no line of request {shown}', file=sys.stderr)
        return int(program.ExitStatus.DIFFERS)
    servers = {one.fields.get('server') for one in own} - {None}
    first_s = min(one.at_s for one in own)
    last_s = max(one.at_s for one in own)
    related = [
        one
        for one in others
        if one.fields.get('server') in servers
        and first_s - BEFORE_S <= one.at_s <= last_s
    ]
    lines = sorted(own + related, key=lambda one: one.at_s)
    rows = [row_of(same, first_s) for same in merge(lines)]
    print('\n'.join(showing.format_rows(rows)))
    return int(program.ExitStatus.DONE)


def collect(request_id: str, texts: Iterable[str]):
    """Return the request's lines, those of servers, and a count of others."""
    own, others, unreadable = [], [], 0
    for text in texts:
        if not text.strip():
            continue
        line = decode(text)
        if line is None:
            unreadable += 1
        elif line.fields.get('request_id') == request_id:
            own.append(line)
        elif line.fields.get('event_name') in SERVER_EVENTS:
            others.append(line)
    return own, others, unreadable


def decode(text: str) -> Line | None:
    """Return a line of a log, None when it is none."""
    origin, brace, rest = text.partition('{')
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.strptime(fields['time'], TIME_FORMAT)
    except (ValueError, KeyError, TypeError):
        return None
    at = at.replace(tzinfo=datetime.UTC)
    return Line(at.timestamp(), origin.strip(), fields)


def merge(lines: Iterable[Line]) -> list[list[Line]]:
    """Put the same news of a server from many instances together."""
    merged: list[list[Line]] = []
    for line in lines:
        if merged and news_of(line) == news_of(merged[-1][0]) != ():
            merged[-1].append(line)
        else:
            merged.append([line])
    return merged


def news_of(line: Line) -> tuple[str, ...]:
    """Return which news of which server a line tells, empty for others."""
    name = line.fields.get('event_name')
    if name not in SERVER_EVENTS:
        return ()
    return name, line.fields.get('server')


def row_of(same: list[Line], first_s: float) -> tuple[str, ...]:
    """Return the columns of the first of some lines with the same news."""
    line = same[0]
    details = {
        name: value
        for name, value in line.fields.items()
        if name not in COMMON_FIELDS
    }
    more = f' (and {len(same) - 1} more)' if len(same) > 1 else ''
    return (
        f'{line.at_s - first_s:+.3f} s',
        line.origin,
        str(line.fields.get('event_name')),
        showing.format_fields(details) + more,
    )
