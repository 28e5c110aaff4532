"""Messages between entry daemons about keyed requests.

The body follows each message as a separate frame, so that the codec neither
copies it nor limits its size.
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
    """A request with an idempotency key, sent to the issuer of the key.

    Attributes
    ----------
    sender : Incarnation
    number : int
        Unique within the incarnation of the sender; the response repeats it.
    owner : Incarnation
        The incarnation that issued the key; only it may run the request.
    key : str
    request_id, method, target, host, account : str
    headers : tuple of (str, str)
        As sent by the caller.
    deadline_ms : int
        Time left.
    body_bytes, body_crc32 : int
        Size and checksum of the body frame.
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
    body_crc32: int


class ForwardedResponse(NamedTuple):
    """The outcome of a forwarded request.

    Attributes
    ----------
    sender : Incarnation
    to : Incarnation
        Sender of the request.
    number : int
        Number of the request.
    outcome : str
        ``answered``, ``not-run``, ``unknown`` or ``conflict``.
    reason : str
    status : int
    headers : tuple of (str, str)
    body_bytes, body_crc32 : int
        Size and checksum of the body frame.
    """

    sender: identity.Incarnation
    to: identity.Incarnation
    number: int
    outcome: str
    reason: str
    status: int
    headers: headers.HeaderList
    body_bytes: int
    body_crc32: int


class ForwardRefusal(NamedTuple):
    """The process is not the owner of the key or cannot handle the request."""

    sender: identity.Incarnation
    to: identity.Incarnation
    number: int
    reason: str


CODEC = wire.Codec(
    messages=(ForwardedRequest, ForwardedResponse, ForwardRefusal)
)


class Conflict(NamedTuple):
    """The key was used for a different request."""

    reason: str = 'key was used for another request'


KeyedOutcome = outcomes.Outcome | Conflict


def checksum(body: bytes) -> int:
    """Return the CRC-32 of a body."""
    return zlib.crc32(body)


def is_intact(message: ForwardedRequest | ForwardedResponse, body: bytes):
    """Return whether the body frame matches its size and checksum."""
    return (
        len(body) == message.body_bytes
        and checksum(body) == message.body_crc32
    )


def make_response(
    outcome: KeyedOutcome,
    sender: identity.Incarnation,
    request: ForwardedRequest,
) -> tuple[ForwardedResponse, bytes]:
    """Return the response message for an outcome, and its body frame."""
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
    response = ForwardedResponse(
        sender=sender,
        to=request.sender,
        number=request.number,
        outcome=kind,
        reason=reason,
        status=status,
        headers=fields,
        body_bytes=len(body),
        body_crc32=checksum(body),
    )
    return response, body


def outcome_from_message(
    response: ForwardedResponse, body: bytes
) -> KeyedOutcome:
    """Return the outcome that a response message contains."""
    match response.outcome:
        case 'answered':
            return outcomes.Response(
                status=response.status, headers=response.headers, body=body
            )
        case 'not-run':
            return outcomes.NotRun(reason=response.reason)
        case 'conflict':
            return Conflict(response.reason)
    return outcomes.Unknown(reason=response.reason)
