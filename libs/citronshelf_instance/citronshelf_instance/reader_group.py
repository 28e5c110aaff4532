"""Choice of the instances that read the store for their region."""

import zlib

from citronshelf_instance import membership

# Instances of a large region that watch the store.
READERS = 6
# In smaller regions every instance watches the store itself.
MIN_SHARING_INSTANCES = 24
# An instance whose list of servers was last confirmed this long ago asks the
# store. The limits of the readers grow with their rank, so that one of them
# confirms the list for the region, and one more for each that gets no
# response. A change must be in force within 2.5 s; the rest is for calls.
FOLLOWER_AGE_LIMIT_S = 1.6
READER_AGE_LIMIT_S = 1.0
READER_AGE_STEP_S = 0.08
# Interval at which one instance of a region that follows its readers reads the
# store itself, so that readers that miss a change without noticing are found
# soon. A region of any size makes as many of these calls.
REGION_POLL_INTERVAL_S = 1.25
# A shorter time than this counts as none: no timer could wait for it.
MIN_REMAINING_S = 0.001


class ReaderGroup:
    """Tells whether this instance watches the store or follows a reader.

    All instances of a region choose the same readers if they know the same
    members. Differing choices only cause more or fewer calls to the store,
    since an instance that hears from no reader watches the store itself.

    Parameters
    ----------
    members : Membership
    list_age_s : callable
        Returns the seconds since the store last showed, to this instance or
        to a reader that reported it, that the known state was the newest;
        None if it never did.
    """

    def __init__(self, *, members: membership.Membership, list_age_s):
        self.members = members
        self.list_age_s = list_age_s

    def is_sharing(self) -> bool:
        """Return whether only some instances of the region read the store."""
        return len(self.members.in_region()) + 1 >= MIN_SHARING_INSTANCES

    def is_reader(self) -> bool:
        """Return whether this instance watches the store for others or itself.

        In a region that shares readers, these are the instances with the
        smallest hashes of their names.
        """
        return not self.is_sharing() or self.rank() < READERS

    def is_confirming(self) -> bool:
        """Return whether this instance confirms the list for its region."""
        return self.is_sharing() and self.rank() == 0

    def rank(self) -> int:
        """Return how many instances of the region precede this one."""
        own = rank_key(self.members.own.instance)
        return sum(
            rank_key(peer.member.instance) < own
            for peer in self.members.in_region()
        )

    def others(self) -> list[membership.KnownMember]:
        """Return the other readers of a region that shares readers."""
        if not self.is_sharing():
            return []
        ranked = sorted(
            self.members.in_region(),
            key=lambda peer: rank_key(peer.member.instance),
        )
        return ranked[:READERS]

    def age_limit_s(self) -> float:
        """Return the age of the list from which this instance asks the store.

        Infinite in regions that do not share readers, where each instance
        learns of missed changes from the others.
        """
        if not self.is_sharing():
            return float('inf')
        rank = self.rank()
        if rank < READERS:
            return READER_AGE_LIMIT_S + rank * READER_AGE_STEP_S
        return FOLLOWER_AGE_LIMIT_S

    def remaining_s(self) -> float:
        """Return the seconds until the list is too old; 0 if it is."""
        age_s = self.list_age_s()
        if age_s is None:
            return 0.0
        remaining_s = self.age_limit_s() - age_s
        return remaining_s if remaining_s >= MIN_REMAINING_S else 0.0

    def poll_interval_s(self) -> float:
        """Return how often this instance reads the store as a follower."""
        return REGION_POLL_INTERVAL_S * (len(self.members.in_region()) + 1)

    def is_covered(self) -> bool:
        """Return whether readers confirm the list for this instance."""
        return not self.is_reader() and self.remaining_s() > 0

    def count_watching(self) -> int:
        """Return about how many instances of all regions watch the store."""
        if not self.is_sharing():
            return self.members.count()
        regions = {
            peer.member.location.region for peer in self.members.known.values()
        }
        return READERS * max(1, len(regions))


def rank_key(instance: str) -> tuple[int, str]:
    """Return the sort key by which readers are chosen."""
    return zlib.crc32(instance.encode()), instance
