"""Instances of the fleet that are known to be alive."""

import logging
import random

from citronshelf_common import events as log_events
from citronshelf_instance import events
from citronshelf_instance import peer_messages

LOG = logging.getLogger(__name__)

# An instance that nobody heard for this long is dropped. Each is heard
# directly or through others every few seconds.
EXPIRY_S = 20.0


class KnownMember:
    """One other instance.

    Attributes
    ----------
    member : Member
    heard_s : float
        Time when it was last heard, by this or another instance.
    direct : bool
        This instance heard it itself, so that it knows this one.
    """

    def __init__(self, *, member: peer_messages.Member, heard_s: float):
        self.member = member
        self.heard_s = heard_s
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
        self.largest = 1

    def hear(self, member: peer_messages.Member) -> bool:
        """Take a message of an instance; tells whether it is new."""
        is_new = self.learn(member._replace(age_s=0.0))
        known = self.known.get(member.instance)
        if known is not None:
            known.direct = True
        return is_new

    def learn(self, member: peer_messages.Member) -> bool:
        """Take what is said about an instance; tells whether it is new."""
        if member.instance == self.own.instance or member.age_s > EXPIRY_S:
            return False
        heard_s = self.clock() - member.age_s
        known = self.known.get(member.instance)
        if known is None:
            self.known[member.instance] = KnownMember(
                member=member, heard_s=heard_s
            )
            self.largest = max(self.largest, self.count())
            self.log(events.PEER_FOUND, member)
            return True
        if heard_s <= known.heard_s:
            return False
        if member.nonce != known.member.nonce:
            # A new life does not know this instance yet.
            known.direct = False
        known.member = member
        known.heard_s = heard_s
        return False

    def forget(self, instance: str) -> None:
        """Drop an instance that left."""
        known = self.known.pop(instance, None)
        if known is not None:
            self.log(events.PEER_LOST, known.member)

    def expire(self) -> list[peer_messages.Member]:
        """Drop instances that were not heard; returns them."""
        oldest = self.clock() - EXPIRY_S
        silent = [k.member for k in self.known.values() if k.heard_s < oldest]
        for member in silent:
            self.forget(member.instance)
        return silent

    def log(self, event: log_events.Event, member) -> None:
        """Log a change of the membership."""
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

    def largest_count(self) -> int:
        """Return the most instances that were known at one time.

        Instances that restart take a part of the shared budgets again.
        """
        return self.largest

    def of_region(self) -> list[KnownMember]:
        """Return the other instances of this region."""
        region = self.own.place.region
        return [
            known
            for known in self.known.values()
            if known.member.place.region == region
        ]

    def elsewhere(self) -> list[KnownMember]:
        """Return the instances of other regions."""
        region = self.own.place.region
        return [
            known
            for known in self.known.values()
            if known.member.place.region != region
        ]

    def sample(self, most: int) -> tuple[peer_messages.Member, ...]:
        """Return some members with the time since they were heard."""
        now = self.clock()
        known = list(self.known.values())
        if len(known) > most:
            known = self.rng.sample(known, most)
        return tuple(
            one.member._replace(age_s=max(0.0, now - one.heard_s))
            for one in known
        )
