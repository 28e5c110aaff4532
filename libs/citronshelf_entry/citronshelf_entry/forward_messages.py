"""Messages between entry daemons about keyed requests.

Each is sent with the body as a second frame, so that bodies are neither
copied nor bounded by the codec.
"""

from typing import NamedTuple
import zlib

from citronshelf_common import identity
from citronshelf_common import outcomes
from citronshelf_common import wire
from citronshelf_entry import headers

ANSWERED = 'answered'
NOT_RUN = 'not-run'
UNKNOWN = 'unknown'
CONFLICT = 'conflict'


class ForwardedRequest(NamedTuple):
    """A request with a key, to the instance that issued the key.

    Attributes
    ----------
    sender : Incarnation
    number : int
        Unique in the life of the sender; the answer repeats it.
    owner : Incarnation
        The life that may run it.
    key : str
    request_id, method, target, host, account : str
    headers : tuple of (str, str)
        As the caller sent them.
    deadline_ms : int
        Time left.
    body_bytes, body_check : int
    """

    sender: identity.Incarnation
    number: int
    owner: identity.Incarnation
    key: str
    request_id: str
    method: str
    target: str
    host: str
    account: str
    headers: headers.HeaderList
    deadline_ms: int
    body_bytes: int
    body_check: int


class ForwardedAnswer(NamedTuple):
    """The outcome of a forwarded request.

    Attributes
    ----------
    sender : Incarnation
    to : Incarnation
    number : int
    outcome : str
        ``answered``, ``not-run``, ``unknown`` or ``conflict``.
    reason : str
    status : int
    headers : tuple of (str, str)
    body_bytes, body_check : int
    """

    sender: identity.Incarnation
    to: identity.Incarnation
    number: int
    outcome: str
    reason: str
    status: int
    headers: headers.HeaderList
    body_bytes: int
    body_check: int


class ForwardRefusal(NamedTuple):
    """The process at this address is not the owner or cannot take more."""

    sender: identity.Incarnation
    to: identity.Incarnation
    number: int
    reason: str


CODEC = wire.Codec(
    messages=(ForwardedRequest, ForwardedAnswer, ForwardRefusal)
)


class Conflict(NamedTuple):
    """The key was used for another request."""

    reason: str = 'key was used for another request'


KeyedOutcome = outcomes.Outcome | Conflict


def check_of(body: bytes) -> int:
    """Return the checksum of a body."""
    return zlib.crc32(body)


def is_whole(message: ForwardedRequest | ForwardedAnswer, body: bytes):
    """Tell whether the body frame is the one that was sent."""
    return (
        len(body) == message.body_bytes
        and check_of(body) == message.body_check
    )


def answer_of(
    outcome: KeyedOutcome,
    sender: identity.Incarnation,
    request: ForwardedRequest,
) -> tuple[ForwardedAnswer, bytes]:
    """Return the message for an outcome, with its body."""
    kind, reason, status, fields, body = UNKNOWN, '', 0, (), b''
    match outcome:
        case outcomes.Response():
            kind, status = ANSWERED, outcome.status
            fields, body = outcome.headers, outcome.body
        case outcomes.NotRun():
            kind, reason = NOT_RUN, outcome.reason
        case Conflict():
            kind, reason = CONFLICT, outcome.reason
        case _:
            reason = outcome.reason
    answer = ForwardedAnswer(
        sender=sender,
        to=request.sender,
        number=request.number,
        outcome=kind,
        reason=reason,
        status=status,
        headers=fields,
        body_bytes=len(body),
        body_check=check_of(body),
    )
    return answer, body


def outcome_of(answer: ForwardedAnswer, body: bytes) -> KeyedOutcome:
    """Return the outcome that an answer states."""
    match answer.outcome:
        case 'answered':
            return outcomes.Response(
                status=answer.status, headers=answer.headers, body=body
            )
        case 'not-run':
            return outcomes.NotRun(reason=answer.reason)
        case 'conflict':
            return Conflict(answer.reason)
    return outcomes.Unknown(reason=answer.reason)
