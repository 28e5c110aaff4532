"""Strict validation of the heads of callers' requests."""

import re
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from citronshelf_document import model
from citronshelf_entry import headers

MAX_HEAD_BYTES = 16 * 1024
MAX_HEADERS = 100
# The request line and the two empty strings after the last header.
LINES_BESIDE_HEADERS = 3
MAX_TARGET_BYTES = 8 * 1024
MAX_DEADLINE_MS = 3_600_000
MAX_KEY_BYTES = 512

START_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/1\.([01])"
)
HEADER_LINE = re.compile(
    rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*"
)
ACCOUNT = re.compile(model.ACCOUNT_PATTERN)
BODILESS_METHODS = frozenset({'GET', 'HEAD'})
REFUSED_METHODS = frozenset({'CONNECT', 'TRACE'})


class RequestRefusal(NamedTuple):
    """Error response to a request that is refused without being run.

    Attributes
    ----------
    status : int
    reason : str
    allow : str
        Value of the ``Allow`` header of a 405.
    retry_after_s : float or None
        Seconds after which the request may succeed; None if unknown.
    """

    status: int
    reason: str
    allow: str = ''
    retry_after_s: float | None = None


class RequestHead(NamedTuple):
    """Validated head of a request.

    Attributes
    ----------
    method : str
    target : str
        Path and query.
    host : str
    headers : tuple of (str, str)
    framing : Framing
        For a request without a body, neither chunked nor with a length above
        0.
    account : str
        Client account; empty if the caller names none.
    key : str
        Idempotency key; empty if there is none.
    deadline_ms : int or None
        Time that the caller allows, at most ``MAX_DEADLINE_MS``; None if the
        caller sets no limit.
    may_chunk : bool
        The caller uses HTTP/1.1, so the response may be chunked.
    """

    method: str
    target: str
    host: str
    headers: headers.HeaderList
    framing: headers.Framing
    account: str
    key: str
    deadline_ms: int | None
    may_chunk: bool

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition('?')[0]


def find_raw_fault(data: bytes) -> RequestRefusal | None:
    """Return the refusal for a malformed or too large head.

    None for a valid one.

    Parameters
    ----------
    data : bytes
        The head up to and including the empty line.
    """
    if len(data) > MAX_HEAD_BYTES:
        return RequestRefusal(431, f'head over {MAX_HEAD_BYTES} bytes')
    if len(split_lines(data)) - LINES_BESIDE_HEADERS > MAX_HEADERS:
        return RequestRefusal(431, f'more than {MAX_HEADERS} headers')
    return find_syntax_fault(data)


def find_syntax_fault(data: bytes) -> RequestRefusal | None:
    """Return the refusal for a malformed head of any size, or None.

    Bare line feeds, folded lines and control characters are refused: parsers
    that accept them disagree about where a message ends.

    Parameters
    ----------
    data : bytes
        The head up to and including the empty line.
    """
    lines = split_lines(data)
    if not data.endswith(b'\r\n\r\n'):
        return RequestRefusal(400, 'line feed without carriage return')
    start, fields = lines[0], lines[1:-2]
    if any(b'\n' in line or b'\r' in line for line in lines):
        return RequestRefusal(400, 'line feed without carriage return')
    if not START_LINE.fullmatch(start):
        return RequestRefusal(400, 'malformed request line')
    if not all(HEADER_LINE.fullmatch(line) for line in fields):
        return RequestRefusal(400, 'malformed header line')
    return None


def split_lines(data: bytes) -> list[bytes]:
    """Return the lines of a head; the last two of a complete one are empty."""
    return data.removeprefix(b'\r\n').split(b'\r\n')


def check_head(start_line, fields: headers.HeaderList) -> Result:
    """Validate the content of a head.

    Parameters
    ----------
    start_line : RequestStartLine
        Parsed by tornado from a head that passed ``find_raw_fault``.
    fields : tuple of (str, str)

    Returns
    -------
    Result
        ``Ok`` with a ``RequestHead`` or ``Error`` with a ``RequestRefusal``.
    """
    method, target = start_line.method, start_line.path
    if method in REFUSED_METHODS:
        return Error(RequestRefusal(501, f'method {method} is not supported'))
    if len(target) > MAX_TARGET_BYTES:
        return Error(
            RequestRefusal(414, f'target over {MAX_TARGET_BYTES} bytes')
        )
    if not target.startswith('/') or '#' in target:
        return Error(RequestRefusal(400, 'target is not a path'))
    hosts = headers.values_of(fields, 'host')
    may_chunk = start_line.version == 'HTTP/1.1'
    if len(hosts) > 1 or (may_chunk and not hosts):
        return Error(RequestRefusal(400, 'exactly one Host header is needed'))
    framing = headers.framing_of(fields)
    if framing.is_error():
        return Error(RequestRefusal(400, framing.error))
    if framing.ok.chunked and not may_chunk:
        return Error(RequestRefusal(400, 'Transfer-Encoding in HTTP/1.0'))
    body = framing.ok.chunked or bool(framing.ok.length)
    if body and method in BODILESS_METHODS:
        return Error(RequestRefusal(400, f'{method} with a body'))
    return check_own_headers(
        RequestHead(
            method=method,
            target=target,
            host=hosts[0] if hosts else '',
            headers=fields,
            framing=framing.ok,
            account='',
            key='',
            deadline_ms=None,
            may_chunk=may_chunk,
        )
    )


def check_own_headers(head: RequestHead) -> Result:
    """Parse the headers that are addressed to this instance.

    Returns ``Ok`` with the completed head or ``Error`` with a
    ``RequestRefusal``.
    """
    account = single_value(head, 'citronshelf-account')
    key = single_value(head, 'idempotency-key')
    deadline = single_value(head, 'x-deadline-ms')
    if account is None or key is None or deadline is None:
        return Error(
            RequestRefusal(
                400,
                'Citronshelf-Account, Idempotency-Key and X-Deadline-Ms may '
                'occur once',
            )
        )
    if account and not ACCOUNT.fullmatch(account):
        return Error(RequestRefusal(400, 'malformed Citronshelf-Account'))
    if len(key) > MAX_KEY_BYTES:
        return Error(RequestRefusal(400, 'malformed Idempotency-Key'))
    if deadline and not headers.DECIMAL_NUMBER.fullmatch(deadline):
        return Error(
            RequestRefusal(400, 'X-Deadline-Ms is not a plain number')
        )
    deadline_ms = min(int(deadline), MAX_DEADLINE_MS) if deadline else None
    return Ok(head._replace(account=account, key=key, deadline_ms=deadline_ms))


def single_value(head: RequestHead, name: str) -> str | None:
    """Return the value of a header, empty if absent.

    None if the header occurs more than once.
    """
    values = headers.values_of(head.headers, name)
    if len(values) > 1:
        return None
    return values[0] if values else ''
