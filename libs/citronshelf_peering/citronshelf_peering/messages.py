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
FLEET_LIST = 1

# Role that the receiver of a heartbeat has for its sender.
ROLE_NONE = 0
ROLE_AGGREGATOR = 1
ROLE_PARENT = 2


class Head(NamedTuple):
    """Announces one revision of the sender's document or fleet list.

    Attributes
    ----------
    revision : int
    digest : str
        See ``shared_value.Publication``.
    accepted : bool
        False when the revision failed validation at the sender.
    """

    revision: Revision
    digest: ShortText
    accepted: bool


Heads = Annotated[tuple[Head, ...], msgspec.Meta(max_length=MAX_HEADS)]


class LeavingMark(NamedTuple):
    """Marks a backend server as leaving after a drain signal.

    Attributes
    ----------
    server_id : str
    origin : str
        Nonce of the incarnation that observed the signal.
    number : int
        Increases each time that this incarnation sets or renews a mark.
    age_ms : int
        Time since the signal was observed.
    """

    server_id: ShortText
    origin: ShortText
    number: Number
    age_ms: AgeMs


Marks = Annotated[tuple[LeavingMark, ...], msgspec.Meta(max_length=MAX_MARKS)]


class Hello(NamedTuple):
    """Announces the location and addresses of the sender.

    Attributes
    ----------
    sender : Incarnation
    number : int
        Increases with each hello or heartbeat to the same peer; 0 when sent
        to the address of a seed.
    location : Location
    peer : Address
    admin : Address
    wants_heartbeat : bool
        Whether the receiver should send a heartbeat immediately.
    """

    sender: identity.Incarnation
    number: Number
    location: fleet.Location
    peer: fleet.Address
    admin: fleet.Address
    wants_heartbeat: bool


class Heartbeat(NamedTuple):
    """Sent every second on each link, and on request.

    Attributes
    ----------
    sender : Incarnation
    number : int
        Shares its sequence with ``Hello.number``.
    received_nonce : str
        Nonce of the latest incarnation of the receiver that the sender
        received a message from; empty for none.
    received_number : int
        Highest message number received from that incarnation; 0 for none.
    role : int
        Role that the receiver has for the sender.
    documents : tuple of Head
    fleet_lists : tuple of Head
    platform_age_ms : int
        Time since the platform last responded to a read of the document or
        the fleet list by any instance, as far as the sender knows; -1 for
        never.
    leaving : tuple of LeavingMark
    """

    sender: identity.Incarnation
    number: Number
    received_nonce: ShortText
    received_number: Number
    role: Role
    documents: Heads
    fleet_lists: Heads
    platform_age_ms: Annotated[int, msgspec.Meta(ge=-1, le=2**53)]
    leaving: Marks


class HeadUpdate(NamedTuple):
    """Sent as soon as a head or a leaving mark has changed."""

    sender: identity.Incarnation
    documents: Heads
    fleet_lists: Heads
    leaving: Marks


class Fetch(NamedTuple):
    """Requests one revision of the document or of the fleet list.

    Attributes
    ----------
    sender : Incarnation
    kind : int
        ``DOCUMENT`` or ``FLEET_LIST``.
    revision : int
    """

    sender: identity.Incarnation
    kind: Kind
    revision: Revision


class DocumentCopy(NamedTuple):
    """One revision of the document, compressed with zlib."""

    sender: identity.Incarnation
    revision: Revision
    digest: ShortText
    body: Body


class ListCopy(NamedTuple):
    """One revision of the fleet list, compressed with zlib."""

    sender: identity.Incarnation
    revision: Revision
    digest: ShortText
    body: Body


class EvidenceCounts(NamedTuple):
    """Cumulative outcome counts for the sender's parent.

    Attributes
    ----------
    sender : Incarnation
    parent : str
        Nonce of the parent's incarnation.
    stream : int
        Number of the stream; counts start at zero in each stream.
    rows : bytes
        Result of ``evidence_rows.pack_rows``.
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
        Instance that sends or forwards the message.
    origin : Incarnation
        Zone parent that computed the sums.
    zone : str
        Zone of the origin.
    sequence : int
        Increases with each message of the origin.
    age_ms : int
        Time since the origin started its sums at zero.
    rows : bytes
        Result of ``evidence_rows.pack_rows``.
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
