"""Messages between instances."""

from typing import Annotated
from typing import NamedTuple

import msgspec

from citronshelf_common import fleet
from citronshelf_common import wire
from citronshelf_instance import configuration
from citronshelf_instance import evidence

MAX_MEMBERS = 512
MAX_OBSERVATIONS = 256

ShortText = Annotated[str, msgspec.Meta(max_length=128)]
Revision = Annotated[int, msgspec.Meta(ge=0, le=2**62)]
AgeS = Annotated[float, msgspec.Meta(ge=0)]


class Member(NamedTuple):
    """One instance.

    Attributes
    ----------
    instance : str
    nonce : str
        Tells apart the lives of its process.
    address : Address
    location : Location
    age_s : float
        Time since the sender last heard of it.
    """

    instance: ShortText
    nonce: ShortText
    address: fleet.Address
    location: fleet.Location
    age_s: AgeS


Members = Annotated[tuple[Member, ...], msgspec.Meta(max_length=MAX_MEMBERS)]


class Join(NamedTuple):
    """Introduces the sender and asks for the members that are known."""

    sender: Member
    revision: Revision


class Heartbeat(NamedTuple):
    """Sent regularly to a few members, and as the answer to ``Join``.

    Attributes
    ----------
    sender : Member
    revision : int
        Newest published change that the sender knows.
    members : tuple of Member
        Some of the members it knows.
    """

    sender: Member
    revision: Revision
    members: Members


class Evidence(NamedTuple):
    """Signs about servers, to the instances of the region.

    Attributes
    ----------
    sender : Member
    revision : int
    rows : tuple of Observation
    """

    sender: Member
    revision: Revision
    observations: Annotated[
        tuple[evidence.Observation, ...],
        msgspec.Meta(max_length=MAX_OBSERVATIONS),
    ]


class FetchState(NamedTuple):
    """Asks for what is published after a revision."""

    sender: Member
    revision: Revision


class StateCopy(NamedTuple):
    """What is published, from an instance that could read it."""

    sender: Member
    snapshot: configuration.Snapshot


class Leave(NamedTuple):
    """The sender ends."""

    sender: Member


CODEC = wire.Codec(
    messages=(Join, Heartbeat, Evidence, FetchState, StateCopy, Leave)
)
