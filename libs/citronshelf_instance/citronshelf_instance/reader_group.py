"""Choice of the instances that read the store for their region."""

import zlib

from citronshelf_instance import membership

# Instances of a large region that watch the store. A small region has fewer,
# so that it makes no more calls than if each instance watched the store.
READERS = 6
MIN_READERS = 2
INSTANCES_PER_READER = 6
# An instance whose list of servers was last confirmed this long ago asks the
# store. The limits of the readers grow with their rank, so that one of them
# confirms the list for the region, and one more for each that gets no
# response. A change must be in force within 2.5 s; the rest is for calls.
FOLLOWER_AGE_LIMIT_S = 1.6
READER_AGE_LIMIT_S = 1.2
READER_AGE_STEP_S = 0.07
# Interval at which one instance of a region that follows its readers reads the
# store itself, so that readers that miss a change without noticing are found
# soon. A large region of any size makes as many of these calls.
REGION_POLL_INTERVAL_S = 1.25
# A smaller region makes fewer: each follower polls as rarely as if the region
# had this many instances.
MIN_POLLING_INSTANCES = 16
# While changes come in quick succession, the first reader of a region reads
# the store when its list is this old, or as old as the second time if another
# instance sent it the newest version and is likely to send the next one too.
SERIES_INTERVAL_S = 0.4
STANDBY_INTERVAL_S = 0.8
# The others do so until nothing has changed for this time, or until their list
# is too old.
PAUSE_AFTER_CHANGE_S = 1.2
# Time by which they may have learned of the last change later.
PAUSE_MARGIN_S = 0.4
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

    def region_size(self) -> int:
        """Return the number of instances of the region, with this one."""
        return len(self.members.in_region()) + 1

    def reader_count(self) -> int:
        """Return how many instances of the region read the store for it."""
        share = MIN_READERS + self.region_size() // INSTANCES_PER_READER
        return min(READERS, share)

    def is_reader(self) -> bool:
        """Return whether this instance watches the store for its region.

        The readers are the instances with the smallest hashes of their names.
        """
        return self.rank() < self.reader_count()

    def is_confirming(self) -> bool:
        """Return whether this instance confirms the list for its region."""
        return self.rank() == 0

    def pause_s(self, *, unchanged_s: float, has_read: bool) -> float:
        """Return how much longer this reader leaves the store alone.

        Parameters
        ----------
        unchanged_s : float
            Seconds since anything changed.
        has_read : bool
            Whether this instance itself read the configuration in force.
            Otherwise another one follows the changes for it.
        """
        remaining_s = self.remaining_s()
        if unchanged_s >= PAUSE_AFTER_CHANGE_S or remaining_s == 0:
            return 0.0
        if not self.is_confirming():
            return min(remaining_s, PAUSE_AFTER_CHANGE_S - unchanged_s)
        interval_s = SERIES_INTERVAL_S if has_read else STANDBY_INTERVAL_S
        return max(0.0, interval_s - self.list_age_s())

    def is_alone(self, unchanged_s: float) -> bool:
        """Return whether the other readers left a change to this instance.

        Parameters
        ----------
        unchanged_s : float
            Seconds between the change before and the response with this one.
        """
        return unchanged_s < PAUSE_AFTER_CHANGE_S + PAUSE_MARGIN_S

    def rank(self) -> int:
        """Return how many instances of the region precede this one."""
        own = rank_key(self.members.own.instance)
        return sum(
            rank_key(peer.member.instance) < own
            for peer in self.members.in_region()
        )

    def others(self) -> list[membership.KnownMember]:
        """Return the other readers of the region."""
        ranked = sorted(
            self.members.in_region(),
            key=lambda peer: rank_key(peer.member.instance),
        )
        return ranked[: self.reader_count()]

    def age_limit_s(self) -> float:
        """Return the age of the list from which this instance asks the store.

        It bounds the age of what an instance knows in regions of every size.
        """
        rank = self.rank()
        if rank < self.reader_count():
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
        return REGION_POLL_INTERVAL_S * max(
            self.region_size(), MIN_POLLING_INSTANCES
        )

    def is_covered(self) -> bool:
        """Return whether readers confirm the list for this instance."""
        return not self.is_reader() and self.remaining_s() > 0


def rank_key(instance: str) -> tuple[int, str]:
    """Return the sort key by which readers are chosen."""
    return zlib.crc32(instance.encode()), instance
