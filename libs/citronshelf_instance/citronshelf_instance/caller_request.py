"""Parsing of the heads of callers' requests."""

import os
import re
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_instance import routing

REQUEST_ID_BYTES = 8
# A server rejects a request that expects another server with this status.
MISDIRECTED_STATUS = 421
MAX_DEADLINE_MS = 3_600_000
DEFAULT_DEADLINE_S = 30.0
# Ids of heads that were not validated are logged only if they match this.
REQUEST_ID_PATTERN = re.compile(r'[\x21-\x7e]{1,128}')
ABSOLUTE_FORM = re.compile(
    r'http://(?P<host>[^/?#@]+)(?P<rest>[/?][^#]*|)', re.IGNORECASE
)
DEADLINE_PATTERN = re.compile(r'[0-9]{1,12}')


class HeaderNames(NamedTuple):
    """Names of the headers that instances and servers set or read.

    Attributes
    ----------
    request_id : str
        Identifies one attempt of a caller; servers repeat it.
    deadline : str
        Milliseconds that the sender waits for the response.
    expected_server : str
        Identity of the only server that may run the request.
    not_run : str
        Set by a server as proof that it did not run the request.
    signature : str
        Set by a server on all of its responses.
    leaving : str
        Set to 1 by a server that wants no new work.
    account : str
        Name of the client account of a request, sent to servers.
    key : str
        Key with which a caller shows its client account.
    """

    request_id: str = 'X-Request-Id'
    deadline: str = 'X-Deadline-Ms'
    expected_server: str = 'X-Expected-Server'
    not_run: str = 'X-Not-Run'
    signature: str = 'X-Signature'
    leaving: str = 'X-Leaving'
    account: str = 'X-Account'
    key: str = 'X-Account-Key'


class RequestHead(NamedTuple):
    """Validated head of a request.

    Attributes
    ----------
    method : str
    target : str
        Path and query.
    host : str
    headers : tuple of (str, str)
        As received, including hop-by-hop headers.
    framing : Framing
        Length 0 without a body.
    request_id : str
        Taken from the caller or generated.
    deadline_s : float or None
        Seconds that the caller waits for the response; None if it sent no
        valid deadline.
    keep_alive : bool
        The connection may be used for another request.
    expects_continue : bool
        The caller waits for an interim response before it sends the body.
    """

    method: str
    target: str
    host: str
    headers: headers.HeaderList
    framing: headers.Framing
    request_id: str
    deadline_s: float | None
    keep_alive: bool
    expects_continue: bool

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]

    @property
    def timeout_s(self) -> float:
        """Return the seconds that the caller waits for the response."""
        if self.deadline_s is None:
            return DEFAULT_DEADLINE_S
        return self.deadline_s


class CallerRequest(NamedTuple):
    """A complete request; ``arrived_s`` is the monotonic time of its head."""

    head: RequestHead
    body: bytes
    arrived_s: float


def parse_head(data: bytes, names: HeaderNames) -> Result:
    """Parse and validate the head of a request of any size.

    Parameters
    ----------
    data : bytes
        Up to and including the empty line.
    names : HeaderNames

    Returns
    -------
    Result
        ``Ok`` with a ``RequestHead`` or ``Error`` with a ``RequestRefusal``.
    """
    fault = request_head.find_syntax_fault(data)
    if fault is not None:
        return Error(fault)
    start, *lines = data.decode('latin-1').split('\r\n')[:-2]
    method, target, version = start.split(' ')
    if method in request_head.REFUSED_METHODS:
        text = f'method {method} is not supported'
        return Error(request_head.RequestRefusal(501, text))
    pairs = tuple(parse_header_line(line) for line in lines)
    framing = headers.framing_of(pairs)
    if framing.is_error():
        return Error(request_head.RequestRefusal(400, framing.error))
    hosts = headers.values_of(pairs, 'host')
    if len(hosts) != 1:
        text = 'exactly one Host header is needed'
        return Error(request_head.RequestRefusal(400, text))
    path = path_of_target(target, hosts[0])
    if path is None:
        return Error(request_head.RequestRefusal(400, 'target is not a path'))
    return Ok(
        RequestHead(
            method=method,
            target=path,
            host=hosts[0],
            headers=pairs,
            framing=body_framing(framing.ok),
            request_id=request_id_of(pairs, names),
            deadline_s=deadline_of(pairs, names),
            keep_alive=is_persistent(pairs, version),
            expects_continue=has_expect_continue(pairs),
        )
    )


def count_header_bytes(data: bytes) -> int:
    """Return the size of the header lines in a head, with their line ends.

    The request line and the empty line at the end do not count.
    """
    return len(data.partition(b'\r\n')[2].removesuffix(b'\r\n'))


def parse_header_line(line: str) -> tuple[str, str]:
    """Return the name and the value, without blanks around the value."""
    name, _, value = line.partition(':')
    return name, value.strip(' \t')


def path_of_target(target: str, host: str) -> str | None:
    """Return path and query of a target in origin form or absolute form.

    Returns None for other forms and for an absolute form of another host. As
    in the selection of a route, ports do not distinguish hosts.
    """
    if target.startswith('/'):
        return target
    absolute = ABSOLUTE_FORM.fullmatch(target)
    if absolute is None:
        return None
    named_host = routing.normalise_host(absolute['host'])
    if named_host != routing.normalise_host(host):
        return None
    rest = absolute['rest']
    return rest if rest.startswith('/') else f'/{rest}'


def body_framing(framing: headers.Framing) -> headers.Framing:
    """Return the framing, with length 0 if no body is declared."""
    if framing.length is None and not framing.chunked:
        return headers.Framing(0, False)
    return framing


def request_id_of(pairs: headers.HeaderList, names: HeaderNames) -> str:
    """Return the caller's request id, or a new random one."""
    known = headers.first_of(pairs, names.request_id.lower())
    return known or os.urandom(REQUEST_ID_BYTES).hex()


def find_request_id(data: bytes, names: HeaderNames) -> str:
    """Return the request id in a head that need not be valid.

    Returns an empty string if it is missing or malformed.
    """
    lines = data.decode('latin-1').split('\r\n')[1:]
    pairs = tuple(parse_header_line(line) for line in lines)
    known = headers.first_of(pairs, names.request_id.lower())
    return known if REQUEST_ID_PATTERN.fullmatch(known) else ''


def deadline_of(pairs: headers.HeaderList, names: HeaderNames) -> float | None:
    """Return the caller's deadline in seconds, at most ``MAX_DEADLINE_MS``.

    Returns None if it is missing or malformed.
    """
    text = headers.first_of(pairs, names.deadline.lower())
    if not DEADLINE_PATTERN.fullmatch(text):
        return None
    return min(int(text), MAX_DEADLINE_MS) / 1000


def is_persistent(pairs: headers.HeaderList, version: str) -> bool:
    """Return whether the connection stays open after the request."""
    options = headers.named_by_connection(pairs)
    if version == 'HTTP/1.0':
        return 'keep-alive' in options
    return 'close' not in options


def has_expect_continue(pairs: headers.HeaderList) -> bool:
    """Return whether the caller waits for ``100 Continue``."""
    return headers.first_of(pairs, 'expect').lower() == '100-continue'
