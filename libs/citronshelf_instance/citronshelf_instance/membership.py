"""Tracks which instances are considered alive."""

from collections.abc import Iterable
import logging
import math
import random

from citronshelf_common import events as log_events
from citronshelf_instance import events
from citronshelf_instance import peer_messages

LOG = logging.getLogger(__name__)

# A member is dropped when no instance is known to have received a message from
# it for this long. Direct messages and the heartbeats of other members update
# the time of its last message every few seconds.
MEMBER_EXPIRY_S = 20.0
# Instances that have not yet heard of a departure may pass on an incarnation
# that has left for this long.
DEPARTURE_MEMORY_S = 60.0
# Members that another instance heard this recently are requested from it if
# this instance does not know them; others may have ended.
REQUESTED_AGE_S = 10.0


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
    key : int
        Identifies its incarnation in ``MemberAges``.
    """

    def __init__(
        self, *, member: peer_messages.Member, last_received_s: float
    ):
        self.set_member(member)
        self.last_received_s = last_received_s
        self.direct = False

    def set_member(self, member: peer_messages.Member) -> None:
        """Replace the description, for example by a new incarnation."""
        self.member = member
        self.key = peer_messages.member_key(member)


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
        # Times of departure by the keys of incarnations.
        self.departed_s: dict[int, float] = {}

    def record_message(self, member: peer_messages.Member) -> bool:
        """Record a direct message; return whether its sender is new."""
        is_new = self.record_member(member._replace(age_s=0.0))
        known = self.known.get(member.instance)
        if known is not None:
            known.direct = True
        return is_new

    def record_member(self, member: peer_messages.Member) -> bool:
        """Record a member as reported by itself or others.

        Ignores this instance, expired members, incarnations that have left and
        reports that are not newer than the known one. Returns whether the
        member is new.
        """
        if (
            member.instance == self.own.instance
            or member.age_s > MEMBER_EXPIRY_S
            or peer_messages.member_key(member) in self.departed_s
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
        known.set_member(member)
        known.last_received_s = last_received_s
        return False

    def record_ages(self, tenths: dict[int, int]) -> tuple[int, ...]:
        """Record when another instance last heard members.

        Parameters
        ----------
        tenths : dict of int to int
            As in ``MemberAges``.

        Returns
        -------
        tuple of int
            Keys of live members that this instance does not know.
        """
        now = self.clock()
        unknown = {
            key for key, age in tenths.items() if age <= 10 * REQUESTED_AGE_S
        }
        unknown.discard(peer_messages.member_key(self.own))
        unknown.difference_update(self.departed_s)
        for known in self.known.values():
            age = tenths.get(known.key)
            if age is not None:
                unknown.discard(known.key)
                known.last_received_s = max(
                    known.last_received_s, now - age / 10
                )
        return tuple(unknown)

    def ages(self, members: Iterable[KnownMember]) -> dict[int, int]:
        """Return the ages of members for ``MemberAges``."""
        return self.age_tenths(
            (known.key, known.last_received_s) for known in members
        )

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

    def record_departures(
        self, tenths: dict[int, int]
    ) -> list[peer_messages.Member]:
        """Remove members that announced their end, and ignore them from now.

        Parameters
        ----------
        tenths : dict of int to int
            As in ``MemberAges``.

        Returns
        -------
        list of Member
            Those that were known.
        """
        now = self.clock()
        for key, age in tenths.items():
            self.departed_s.setdefault(key, now - age / 10)
        departed = [
            known.member
            for known in self.known.values()
            if known.key in tenths
        ]
        for member in departed:
            self.remove(member.instance)
        return departed

    def departures(self) -> dict[int, int]:
        """Return recent departures for ``MemberAges``."""
        return self.age_tenths(self.departed_s.items())

    def age_tenths(
        self, times_s: Iterable[tuple[int, float]]
    ) -> dict[int, int]:
        """Return ages in tenths of a second from pairs of key and time.

        Rounded up: an age must not shrink with each instance that passes it
        on.
        """
        now = self.clock()
        return {
            key: max(0, math.ceil(10 * (now - time_s)))
            for key, time_s in times_s
        }

    def expire(self) -> list[peer_messages.Member]:
        """Remove and return members without a message in the expiry time."""
        now = self.clock()
        self.departed_s = {
            key: departed_s
            for key, departed_s in self.departed_s.items()
            if now - departed_s < DEPARTURE_MEMORY_S
        }
        expired = [
            peer.member
            for peer in self.known.values()
            if now - peer.last_received_s > MEMBER_EXPIRY_S
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
        known = list(self.known.values())
        if len(known) > limit:
            known = self.rng.sample(known, limit)
        return self.describe(known)

    def find(self, keys: tuple[int, ...]) -> tuple[peer_messages.Member, ...]:
        """Return the known members with these keys, with their ages."""
        wanted = set(keys)
        return self.describe(
            [known for known in self.known.values() if known.key in wanted]
        )

    def describe(
        self, members: list[KnownMember]
    ) -> tuple[peer_messages.Member, ...]:
        """Return members as sent to other instances, with current ages."""
        now = self.clock()
        return tuple(
            peer.member._replace(age_s=max(0.0, now - peer.last_received_s))
            for peer in members
        )
