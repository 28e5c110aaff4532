"""Tracks which instances are considered alive."""

import logging
import random

from citronshelf_common import events as log_events
from citronshelf_instance import events
from citronshelf_instance import peer_messages

LOG = logging.getLogger(__name__)

# A member is dropped when no instance is known to have received a message from
# it for this long. Direct messages and the heartbeats of other members update
# the time of its last message every few seconds.
MEMBER_EXPIRY_S = 20.0


class KnownMember:
    """Another instance and the time of the last message from it.

    Attributes
    ----------
    member : Member
    last_received_s : float
        Monotonic time at which this or another instance last received a
        message from it.
    direct : bool
        This instance received a message from it directly, so it knows this
        instance.
    """

    def __init__(
        self, *, member: peer_messages.Member, last_received_s: float
    ):
        self.member = member
        self.last_received_s = last_received_s
        self.direct = False


class Membership:
    """Other instances by name.

    Parameters
    ----------
    own : Member
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(self, *, own: peer_messages.Member, clock, rng):
        self.own = own
        self.clock = clock
        self.rng: random.Random = rng
        self.known: dict[str, KnownMember] = {}

    def record_message(self, member: peer_messages.Member) -> bool:
        """Record a direct message; return whether its sender is new."""
        is_new = self.record_member(member._replace(age_s=0.0))
        known = self.known.get(member.instance)
        if known is not None:
            known.direct = True
        return is_new

    def record_member(self, member: peer_messages.Member) -> bool:
        """Record a member as reported by itself or others.

        Ignores this instance, expired members and reports that are not newer
        than the known one. Returns whether the member is new.
        """
        if (
            member.instance == self.own.instance
            or member.age_s > MEMBER_EXPIRY_S
        ):
            return False
        last_received_s = self.clock() - member.age_s
        known = self.known.get(member.instance)
        if known is None:
            self.known[member.instance] = KnownMember(
                member=member, last_received_s=last_received_s
            )
            self.log(events.PEER_FOUND, member)
            return True
        if last_received_s <= known.last_received_s:
            return False
        if member.nonce != known.member.nonce:
            # A new incarnation does not know this instance yet.
            known.direct = False
        known.member = member
        known.last_received_s = last_received_s
        return False

    def known_member(self, instance: str) -> peer_messages.Member | None:
        """Return a member by its name, or None if it is unknown."""
        known = self.known.get(instance)
        return known.member if known is not None else None

    def is_direct(self, member: peer_messages.Member) -> bool:
        """Return whether a message of this incarnation came from itself."""
        known = self.known.get(member.instance)
        return (
            known is not None
            and known.direct
            and known.member.nonce == member.nonce
        )

    def remove(self, instance: str) -> None:
        """Remove an instance that left or expired."""
        known = self.known.pop(instance, None)
        if known is not None:
            self.log(events.PEER_LOST, known.member)

    def expire(self) -> list[peer_messages.Member]:
        """Remove and return members without a message in the expiry time.

        The expiry time is ``MEMBER_EXPIRY_S``.
        """
        oldest = self.clock() - MEMBER_EXPIRY_S
        expired = [
            peer.member
            for peer in self.known.values()
            if peer.last_received_s < oldest
        ]
        for member in expired:
            self.remove(member.instance)
        return expired

    def log(self, event: log_events.Event, member) -> None:
        """Log that a member was added or removed."""
        log_events.log_event(
            LOG,
            event,
            peer=member.instance,
            address=member.address.authority(),
            members=len(self.known) + 1,
        )

    def count(self) -> int:
        """Return the number of instances, this one included."""
        return len(self.known) + 1

    def in_region(self) -> list[KnownMember]:
        """Return the other instances of this region."""
        region = self.own.location.region
        return [
            known
            for known in self.known.values()
            if known.member.location.region == region
        ]

    def in_other_regions(self) -> list[KnownMember]:
        """Return the instances of other regions."""
        region = self.own.location.region
        return [
            known
            for known in self.known.values()
            if known.member.location.region != region
        ]

    def sample(self, limit: int) -> tuple[peer_messages.Member, ...]:
        """Return up to ``limit`` random members with their current ages."""
        now = self.clock()
        known = list(self.known.values())
        if len(known) > limit:
            known = self.rng.sample(known, limit)
        return tuple(
            peer.member._replace(age_s=max(0.0, now - peer.last_received_s))
            for peer in known
        )
