"""Messages between instances."""

from typing import Annotated
from typing import NamedTuple
import zlib

import msgspec

from citronshelf_common import fleet
from citronshelf_common import wire
from citronshelf_instance import configuration
from citronshelf_instance import evidence
from citronshelf_instance import quota

MAX_MEMBERS = 512
MAX_OBSERVATIONS = 256
MAX_AGES = 8192
MAX_CONFIGURATION_BYTES = 1536 * 1024
MAX_CONFIGURATION_TARGETS = 8192

ShortText = Annotated[str, msgspec.Meta(max_length=128)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
RequestNumber = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
AgeS = Annotated[float, msgspec.Meta(ge=0)]
MonotonicS = Annotated[float, msgspec.Meta(ge=-1e12, le=1e12)]
# Checksum of the name and nonce of an instance.
MemberKey = Annotated[int, msgspec.Meta(ge=0, lt=2**32)]


class Member(NamedTuple):
    """An instance as described to its peers.

    Attributes
    ----------
    instance : str
    nonce : str
        Distinguishes the incarnations of its process.
    address : Address
        Address for messages of peers.
    location : Location
    age_s : float
        Seconds since the last message of the instance that the sender knows
        of; 0 for the sender itself.
    """

    instance: ShortText
    nonce: ShortText
    address: fleet.Address
    location: fleet.Location
    age_s: AgeS


Ages = Annotated[
    dict[MemberKey, Annotated[int, msgspec.Meta(ge=0)]],
    msgspec.Meta(max_length=MAX_AGES),
]
Members = Annotated[tuple[Member, ...], msgspec.Meta(max_length=MAX_MEMBERS)]


class Join(NamedTuple):
    """Introduces the sender and requests the known members."""

    sender: Member
    revision: Revision


class Heartbeat(NamedTuple):
    """Sent periodically to a few members and as the reply to ``Join``.

    Also announces a new publication, then without members.

    Attributes
    ----------
    sender : Member
    revision : int
        Revision of the newest published change that the sender knows.
    members : tuple of Member
        Sample of the members that it knows.
    """

    sender: Member
    revision: Revision
    members: Members


class MemberAges(NamedTuple):
    """Tells when members were last heard, without describing them.

    Keeps instances from dropping members that others still hear, and from
    keeping those that left. An entry has 7 bytes, a ``Member`` about 85.

    Attributes
    ----------
    sender : Member
    tenths : dict of int to int
        Tenths of a second since the last message of each member that the
        sender knows of, by ``member_key``.
    departed_tenths : dict of int to int
        Tenths of a second since the departure of members that left.
    """

    sender: Member
    tenths: Ages
    departed_tenths: Ages


class MembersRequest(NamedTuple):
    """Requests the descriptions of some members; the reply is a heartbeat.

    Attributes
    ----------
    sender : Member
    keys : tuple of int
        Keys of the members as in ``MemberAges``.
    """

    sender: Member
    keys: Annotated[
        tuple[MemberKey, ...], msgspec.Meta(max_length=MAX_MEMBERS)
    ]


class Evidence(NamedTuple):
    """Observations of servers.

    Attributes
    ----------
    sender : Member
    revision : int
        Revision of the newest published change that the sender knows.
    observations : tuple of Observation
    """

    sender: Member
    revision: Revision
    observations: Annotated[
        tuple[evidence.Observation, ...],
        msgspec.Meta(max_length=MAX_OBSERVATIONS),
    ]


class EvidenceForZone(NamedTuple):
    """``Evidence`` that the receiver passes on to its availability zone."""

    sender: Member
    revision: Revision
    observations: Annotated[
        tuple[evidence.Observation, ...],
        msgspec.Meta(max_length=MAX_OBSERVATIONS),
    ]


class FetchState(NamedTuple):
    """Requests the published state if it is newer than a revision."""

    sender: Member
    revision: Revision


class StateCopy(NamedTuple):
    """Published state of the sender, the reply to ``FetchState``.

    Attributes
    ----------
    sender : Member
    snapshot : Snapshot
    sent_s : float or None
        When it was sent, by the sender's monotonic clock.
    """

    sender: Member
    snapshot: configuration.Snapshot
    sent_s: MonotonicS | None = None


class ReaderReport(NamedTuple):
    """Reports what a reader of the store knows to its region.

    Sent after each response of the store.

    Attributes
    ----------
    sender : Member
    revision : int
        Revision of the newest published change that the sender knows.
    recovered_ago_s : float or None
        Seconds since the store was reachable again after an outage, while
        lapsed entries may still return; None otherwise.
    delta : RegistrationDelta
        Without registrations if nothing changed. An instance that lacks
        changes before it must read them from the store.
    confirmed_ago_s : float or None
        Seconds since the store showed that the state after ``delta`` was the
        newest; None if unknown.
    sent_s : float or None
        When it was sent, by the sender's monotonic clock.
    """

    sender: Member
    revision: Revision
    recovered_ago_s: AgeS | None
    delta: configuration.RegistrationDelta
    confirmed_ago_s: AgeS | None = None
    sent_s: MonotonicS | None = None


class ServerLeaving(NamedTuple):
    """Announces that a server told the sender that it is leaving.

    Attributes
    ----------
    sender : Member
    server_id : str
    started_ms : int
        Start time in its registration, which distinguishes incarnations.
    """

    sender: Member
    server_id: Annotated[str, msgspec.Meta(max_length=200)]
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class ServerLeavingForZone(NamedTuple):
    """``ServerLeaving`` that the receiver passes on to its zone."""

    sender: Member
    server_id: Annotated[str, msgspec.Meta(max_length=200)]
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]


class RetryCreditRequest(NamedTuple):
    """Asks for a credit of the retry budget of a service.

    Attributes
    ----------
    sender : Member
    service : str
    number : int
        Repeated in the reply.
    """

    sender: Member
    service: Annotated[str, msgspec.Meta(max_length=200)]
    number: RequestNumber


class RetryCreditReply(NamedTuple):
    """The reply to ``RetryCreditRequest``, which may bring a credit.

    Attributes
    ----------
    sender : Member
    number : int
        Of the request.
    valid_s : float or None
        Seconds for which the credit may be spent; None without a credit.
    """

    sender: Member
    number: RequestNumber
    valid_s: Annotated[float, msgspec.Meta(ge=0, le=3600)] | None


class QuotaReport(NamedTuple):
    """Reports the use of quotas to a coordinator, as ``quota.Report``.

    Instances send several of these messages a second, so the sender is not
    described.

    Attributes
    ----------
    sender_key : int
        ``member_key`` of the sender.
    session, number, seen, fleet : int
    active : tuple of int
    demands : tuple of Demand
    """

    sender_key: MemberKey
    session: RequestNumber
    number: RequestNumber
    seen: RequestNumber
    fleet: Annotated[int, msgspec.Meta(ge=1, le=2**20)]
    active: Annotated[
        tuple[quota.NameKey, ...], msgspec.Meta(max_length=quota.MAX_ACTIVE)
    ]
    demands: Annotated[
        tuple[quota.Demand, ...], msgspec.Meta(max_length=quota.MAX_DEMANDS)
    ]


class QuotaReply(NamedTuple):
    """The reply to ``QuotaReport``, as ``quota.Reply``.

    Attributes
    ----------
    coordinator : int
        ``quota.name_key`` of the sender.
    session, number : int
    is_known : bool
    grants : tuple of Grant
    """

    coordinator: quota.NameKey
    session: RequestNumber
    number: RequestNumber
    is_known: bool
    grants: Annotated[
        tuple[quota.Grant, ...], msgspec.Meta(max_length=quota.MAX_DEMANDS)
    ]


class Leave(NamedTuple):
    """Announces that the sender stops."""

    sender: Member


class ConfigurationNotice(NamedTuple):
    """Announces a configuration that the sender has read from the store.

    Its receivers get it soon, and ask another instance if they do not.
    """

    sender: Member
    revision: Revision


class ConfigurationRequest(NamedTuple):
    """Requests the configuration if it is newer than a revision."""

    sender: Member
    revision: Revision


class TransferHead(NamedTuple):
    """What comes with a configuration that is passed on.

    Attributes
    ----------
    revision : int
        Revision of the configuration.
    digest : bytes
        Checksum of the configuration.
    delta : RegistrationDelta or None
        Registrations that changed with the configuration; None if unknown.
    confirmed_ago_s : float or None
        Seconds since the store showed the sender that the state after
        ``delta`` was the newest; None if unknown.
    targets : tuple of int
        Keys of the members to which the receiver passes it on, directly or
        through others.
    for_region : bool
        The receiver passes it on to its whole region if it is new there.
    sent_s : float or None
        When it was sent, by the sender's monotonic clock.
    """

    revision: Revision
    digest: Annotated[bytes, msgspec.Meta(max_length=32)]
    delta: configuration.RegistrationDelta | None
    confirmed_ago_s: AgeS | None
    targets: Annotated[
        tuple[MemberKey, ...],
        msgspec.Meta(max_length=MAX_CONFIGURATION_TARGETS),
    ]
    for_region: bool = False
    sent_s: MonotonicS | None = None


ConfigurationData = Annotated[
    bytes, msgspec.Meta(max_length=MAX_CONFIGURATION_BYTES)
]


class ConfigurationCopy(NamedTuple):
    """Passes on a compressed configuration."""

    sender: Member
    head: TransferHead
    data: ConfigurationData


class ConfigurationDifference(NamedTuple):
    """Passes on a configuration as its difference from another.

    Attributes
    ----------
    sender : Member
    head : TransferHead
    data : bytes
    base : int
        Revision of the configuration from which it differs.
    """

    sender: Member
    head: TransferHead
    data: ConfigurationData
    base: Revision


CODEC = wire.Codec(
    messages=(
        Join,
        Heartbeat,
        Evidence,
        FetchState,
        StateCopy,
        Leave,
        ReaderReport,
        ServerLeaving,
        RetryCreditRequest,
        RetryCreditReply,
        MemberAges,
        MembersRequest,
        EvidenceForZone,
        ServerLeavingForZone,
        QuotaReport,
        QuotaReply,
        ConfigurationNotice,
        ConfigurationRequest,
        ConfigurationCopy,
        ConfigurationDifference,
    )
)


def member_key(member: Member) -> int:
    """Return the key of an incarnation of an instance in ``MemberAges``."""
    return zlib.crc32(f'{member.instance} {member.nonce}'.encode())
