"""Answers to callers and their bytes."""

import json
from typing import NamedTuple

from tornado import httputil

from citronshelf_common import outcomes
from citronshelf_entry import exchange
from citronshelf_entry import headers
from citronshelf_entry import request_head
from citronshelf_instance import caller_request
from citronshelf_instance import configuration

# When a refused request may come back: long enough for another server to
# become free, short against a target of half a second.
RETRY_AFTER_S = 0.15
OWN_HEADERS = frozenset({'content-length'})
TIMEOUT = 'timeout'


class Answer(NamedTuple):
    """One answer to a caller.

    Attributes
    ----------
    status : int
    headers : tuple of (str, str)
        Without framing and connection headers.
    body : bytes
    closes : bool
        The connection cannot be used afterwards.
    """

    status: int
    headers: headers.HeaderList
    body: bytes
    closes: bool = False


def of_outcome(
    outcome: outcomes.Outcome,
    head: caller_request.Head,
    names: caller_request.HeaderNames,
) -> Answer:
    """Return the answer that tells a caller the outcome of its request."""
    match outcome:
        case outcomes.Response():
            pairs = headers.end_to_end(outcome.headers, OWN_HEADERS)
            return Answer(outcome.status, pairs, outcome.body)
        case outcomes.NotRun():
            answer = own(503, 'not-run', outcome.reason)
        case _:
            status = 504 if outcome.reason == TIMEOUT else 502
            answer = own(status, 'unknown', outcome.reason)
    echo = (names.request_id, head.request_id)
    return answer._replace(headers=(echo, *answer.headers))


def of_refusal(refusal: request_head.Refusal, *, closes: bool) -> Answer:
    """Return the answer to a request that is refused unrouted."""
    answer = own(refusal.status, 'not-run', refusal.reason)
    return answer._replace(closes=closes)


def own(status: int, outcome: str, reason: str) -> Answer:
    """Return an answer of this instance."""
    body = json.dumps({'outcome': outcome, 'reason': reason}).encode() + b'\n'
    pairs = (('Content-Type', 'application/json'),)
    if status == 503:
        pairs = (*pairs, ('Retry-After', str(RETRY_AFTER_S)))
    return Answer(status, pairs, body)


def render(
    answer: Answer,
    *,
    method: str,
    closes: bool,
    limits: configuration.CallerLimits,
) -> bytes:
    """Return the bytes of an answer.

    Parameters
    ----------
    answer : Answer
    method : str
        Method of the request.
    closes : bool
        The connection ends after this answer.
    limits : CallerLimits
        State how long the connection stays open when idle.
    """
    reason = httputil.responses.get(answer.status, 'Unknown')
    lines = [f'HTTP/1.1 {answer.status} {reason}']
    lines += [f'{name}: {value}' for name, value in answer.headers]
    if answer.status not in exchange.BODILESS_STATUSES:
        lines.append(f'Content-Length: {len(answer.body)}')
    if closes:
        lines.append('Connection: close')
    elif limits.idle_timeout_s >= 1:
        lines.append(f'Keep-Alive: timeout={int(limits.idle_timeout_s)}')
    head = '\r\n'.join((*lines, '', '')).encode('latin-1')
    return head if method == 'HEAD' else head + answer.body
