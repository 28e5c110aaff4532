"""Messages between the control daemons of different instances."""

from typing import Annotated
from typing import NamedTuple

import msgspec

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import wire

MAX_REVISION = 2**62
MAX_HEADS = 4
MAX_MARKS = 64
MAX_SMALL_BYTES = 64 * 1024
MAX_COPY_BYTES = 1024 * 1024 + 64 * 1024

Revision = Annotated[int, msgspec.Meta(ge=1, le=MAX_REVISION)]
Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_REVISION)]
ShortText = Annotated[str, msgspec.Meta(max_length=63)]
AgeMs = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
Rows = Annotated[bytes, msgspec.Meta(max_length=MAX_SMALL_BYTES)]
Body = Annotated[bytes, msgspec.Meta(max_length=MAX_COPY_BYTES)]
Kind = Annotated[int, msgspec.Meta(ge=0, le=1)]
Role = Annotated[int, msgspec.Meta(ge=0, le=2)]

DOCUMENT = 0
LISTING = 1

# What the receiver is to the sender of a heartbeat.
ROLE_NONE = 0
ROLE_AGGREGATOR = 1
ROLE_PARENT = 2


class Head(NamedTuple):
    """One revision that a peer holds.

    Attributes
    ----------
    revision : int
    digest : str
    accepted : bool
        False when the revision failed its check.
    """

    revision: Revision
    digest: ShortText
    accepted: bool


Heads = Annotated[tuple[Head, ...], msgspec.Meta(max_length=MAX_HEADS)]


class LeavingMark(NamedTuple):
    """A sign that a backend server leaves.

    Attributes
    ----------
    server_id : str
    origin : str
        Nonce of the incarnation that saw the sign.
    number : int
        Rises with each sign of that incarnation.
    age_ms : int
    """

    server_id: ShortText
    origin: ShortText
    number: Number
    age_ms: AgeMs


Marks = Annotated[tuple[LeavingMark, ...], msgspec.Meta(max_length=MAX_MARKS)]


class Hello(NamedTuple):
    """Introduces the sender; with ``ask``, wants a heartbeat at once.

    Attributes
    ----------
    sender : Incarnation
    number : int
        Rises with each hello or heartbeat to the same peer.
    place : Location
    peer : Address
    admin : Address
    ask : bool
    """

    sender: identity.Incarnation
    number: Number
    location: fleet.Location
    peer: fleet.Address
    admin: fleet.Address
    wants_heartbeat: bool


class Heartbeat(NamedTuple):
    """Sent every second over each link.

    Attributes
    ----------
    sender : Incarnation
    number : int
    heard_nonce : str
        Nonce of the receiver's incarnation that the sender heard last.
    heard_number : int
        Number of that message; 0 for none.
    role : int
        What the receiver is to the sender.
    documents : tuple of Head
    lists : tuple of Head
    platform_age_ms : int
        Time since the platform confirmed the values; -1 for never.
    leaving : tuple of LeavingMark
    """

    sender: identity.Incarnation
    number: Number
    received_nonce: ShortText
    received_number: Number
    role: Role
    documents: Heads
    lists: Heads
    platform_age_ms: Annotated[int, msgspec.Meta(ge=-1, le=2**53)]
    leaving: Marks


class HeadUpdate(NamedTuple):
    """Sent at once when a head or a leaving mark is new."""

    sender: identity.Incarnation
    documents: Heads
    lists: Heads
    leaving: Marks


class Fetch(NamedTuple):
    """Asks for one revision of the document or of the list."""

    sender: identity.Incarnation
    kind: Kind
    revision: Revision


class DocumentCopy(NamedTuple):
    """One revision of the document, compressed by zlib."""

    sender: identity.Incarnation
    revision: Revision
    digest: ShortText
    body: Body


class ListCopy(NamedTuple):
    """One revision of the list of instances, compressed by zlib."""

    sender: identity.Incarnation
    revision: Revision
    digest: ShortText
    body: Body


class EvidenceCounts(NamedTuple):
    """Cumulative outcome counts for the sender's aggregator.

    Attributes
    ----------
    sender : Incarnation
    parent : str
        Nonce of the aggregator's incarnation.
    stream : int
        Number of the stream; counts start at zero in each.
    rows : bytes
        Rows of ``evidence.pack_rows``.
    """

    sender: identity.Incarnation
    parent: ShortText
    stream: Number
    rows: Rows


class PooledEvidence(NamedTuple):
    """Cumulative sums of one zone.

    Attributes
    ----------
    sender : Incarnation
        Who passes the message on.
    origin : Incarnation
        Whose sums they are.
    zone : str
        Zone of the origin.
    sequence : int
        Rises with each message of the origin.
    age_ms : int
        Time since the origin began its sums.
    rows : bytes
        Rows of ``evidence.pack_rows``.
    """

    sender: identity.Incarnation
    origin: identity.Incarnation
    zone: ShortText
    sequence: Number
    age_ms: AgeMs
    rows: Rows


CODEC = wire.Codec(
    messages=(
        Hello,
        Heartbeat,
        HeadUpdate,
        Fetch,
        DocumentCopy,
        ListCopy,
        EvidenceCounts,
        PooledEvidence,
    )
)
