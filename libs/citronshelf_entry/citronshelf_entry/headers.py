"""Helpers for end-to-end headers and message framing."""

from collections.abc import Iterable
import re
from typing import NamedTuple

from expression import Error
from expression import Ok
from expression import Result

HeaderList = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Headers that this instance sets or evaluates itself: those received from
# callers or servers are not passed on.
OWN_REQUEST_HEADERS = frozenset(
    {
        'content-length',
        'expect',
        'idempotency-key',
        'x-deadline-ms',
        'x-request-id',
    }
)
OWN_RESPONSE_HEADERS = frozenset(
    {
        'citronshelf-next-key',
        'citronshelf-outcome',
        'citronshelf-request-id',
        'content-length',
        'x-draining',
        'x-load',
        'x-not-run',
    }
)
DECIMAL_NUMBER = re.compile(r'[0-9]{1,18}')


class Framing(NamedTuple):
    """How the end of a body is determined.

    Attributes
    ----------
    length : int or None
        Declared length in bytes; None if chunked or not declared.
    chunked : bool
    """

    length: int | None
    chunked: bool


def values_of(headers: HeaderList, name: str) -> list[str]:
    """Return all values of a header; ``name`` is in lower case."""
    return [value for key, value in headers if key.lower() == name]


def first_of(headers: HeaderList, name: str, default: str = '') -> str:
    """Return the first value of a header; ``name`` is in lower case."""
    for key, value in headers:
        if key.lower() == name:
            return value
    return default


def named_by_connection(headers: HeaderList) -> set[str]:
    """Return the names listed in Connection headers, in lower case."""
    names = set()
    for value in values_of(headers, 'connection'):
        names.update(part.strip().lower() for part in value.split(','))
    return names


def end_to_end(headers: HeaderList, own: Iterable[str]) -> HeaderList:
    """Return the headers that are passed on.

    Parameters
    ----------
    headers : tuple of (str, str)
    own : iterable of str
        Names, in lower case, of headers that this instance sets or
        evaluates itself.
    """
    dropped = HOP_BY_HOP | named_by_connection(headers) | frozenset(own)
    return tuple(pair for pair in headers if pair[0].lower() not in dropped)


def framing_of(headers: HeaderList) -> Result:
    """Return ``Ok`` with the ``Framing`` of a message, or ``Error``.

    A message that declares its length more than once is rejected, because
    two recipients may use different declarations. So is a transfer coding
    other than chunked.
    """
    codings = [
        v.strip().lower() for v in values_of(headers, 'transfer-encoding')
    ]
    lengths = values_of(headers, 'content-length')
    if codings and lengths:
        return Error('both Content-Length and Transfer-Encoding')
    if codings:
        if codings != ['chunked']:
            return Error('Transfer-Encoding other than chunked')
        return Ok(Framing(None, True))
    if not lengths:
        return Ok(Framing(None, False))
    if len(lengths) > 1:
        return Error('more than one Content-Length')
    if not DECIMAL_NUMBER.fullmatch(lengths[0]):
        return Error('Content-Length is not a plain number')
    return Ok(Framing(int(lengths[0]), False))
