"""Responses to callers and their encoding."""

import json
import random
from typing import NamedTuple

from tornado import httputil

from citronshelf_common import outcomes
from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_instance import caller_request
from citronshelf_instance import configuration

# Delay after which a caller may retry a refused request: long enough for
# another server to become free, short compared to a target time of half a
# second.
RETRY_AFTER_S = 0.15
RETURN_SPREAD = 0.2
RETRY_AFTER_STATUSES = frozenset({429, 503})
REPLACED_HEADERS = frozenset({'content-length'})
TIMEOUT_REASON = 'timeout'
# A body up to this size is copied behind the head, so that one packet can hold
# both; a larger one is not copied.
MAX_COPIED_BYTES = 64 * 1024


class CallerResponse(NamedTuple):
    """One response to a caller.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
        Without framing and connection headers.
    body : bytes
    closes_connection : bool
        The connection cannot be used afterwards.
    """

    status: int
    headers: headers.HeaderList
    body: bytes
    closes_connection: bool = False


def from_outcome(
    outcome: outcomes.Outcome,
    head: caller_request.RequestHead,
    names: caller_request.HeaderNames,
) -> CallerResponse:
    """Return the response for the outcome of a request.

    Responses that are not from a server repeat the request id.
    """
    match outcome:
        case outcomes.Response():
            pairs = headers.end_to_end(outcome.headers, REPLACED_HEADERS)
            return CallerResponse(outcome.status, pairs, outcome.body)
        case outcomes.NotRun():
            response = error_response(
                503, 'not-run', outcome.reason, outcome.retry_after_s
            )
        case _:
            status = 504 if outcome.reason == TIMEOUT_REASON else 502
            response = error_response(status, 'unknown', outcome.reason)
    echo = (names.request_id, head.request_id)
    return response._replace(headers=(echo, *response.headers))


def from_refusal(
    refusal: request_head.RequestRefusal, *, closes_connection: bool
) -> CallerResponse:
    """Return the response to a request that is refused before routing."""
    response = error_response(
        refusal.status, 'not-run', refusal.reason, refusal.retry_after_s
    )
    return response._replace(closes_connection=closes_connection)


def error_response(
    status: int,
    outcome: str,
    reason: str,
    retry_after_s: float | None = None,
) -> CallerResponse:
    """Return a response of this instance with a JSON body.

    A response with status 429 or 503 has a ``Retry-After`` header: at least
    ``RETRY_AFTER_S``, and a random time more than ``retry_after_s``, so that
    callers do not all return at once.
    """
    body = json.dumps({'outcome': outcome, 'reason': reason}).encode() + b'\n'
    pairs = (('Content-Type', 'application/json'),)
    if status in RETRY_AFTER_STATUSES:
        wait_s = RETRY_AFTER_S
        if retry_after_s is not None:
            spread_s = random.uniform(0, RETURN_SPREAD * retry_after_s)
            wait_s = max(wait_s, retry_after_s + spread_s)
        pairs = (*pairs, ('Retry-After', str(round(wait_s, 3))))
    return CallerResponse(status, pairs, body)


def render(
    response: CallerResponse,
    *,
    method: str,
    closes_connection: bool,
    limits: configuration.CallerLimits,
) -> list[bytes]:
    """Encode a response in parts to be written in turn.

    Parameters
    ----------
    response : CallerResponse
    method : str
        Method of the request; a response to HEAD has no body.
    closes_connection : bool
        The connection is closed after this response.
    limits : CallerLimits
        Their idle timeout is sent to the caller.
    """
    reason = httputil.responses.get(response.status, 'Unknown')
    lines = [f'HTTP/1.1 {response.status} {reason}']
    lines += [f'{name}: {value}' for name, value in response.headers]
    if response.status not in exchange.BODILESS_STATUSES:
        lines.append(f'Content-Length: {len(response.body)}')
    if closes_connection:
        lines.append('Connection: close')
    elif limits.idle_timeout_s >= 1:
        lines.append(f'Keep-Alive: timeout={int(limits.idle_timeout_s)}')
    head = '\r\n'.join((*lines, '', '')).encode('latin-1')
    if method == 'HEAD':
        return [head]
    if len(response.body) > MAX_COPIED_BYTES:
        return [head, response.body]
    return [head + response.body]
