"""Choice of the instances that read the store for their region."""

import zlib

from citronshelf_instance import membership

# Instances of a large region that watch the store.
READERS = 6
# In smaller regions every instance watches the store itself.
MIN_SHARING_INSTANCES = 24
# Readers report at least this often, and once more when something changes.
REPORT_INTERVAL_S = 1.0
# An instance that has received no report of any reader for this long watches
# the store itself. A change must be in force within 2.5 s.
COVER_S = 2.0


class ReaderGroup:
    """Tells whether this instance watches the store or follows a reader.

    All instances of a region choose the same readers if they know the same
    members. Differing choices only cause more or fewer calls to the store,
    since an instance that hears from no reader watches the store itself.

    Parameters
    ----------
    members : Membership
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, *, members: membership.Membership, clock):
        self.members = members
        self.clock = clock
        self.covered_until_s = float('-inf')

    def is_sharing(self) -> bool:
        """Return whether only some instances of the region read the store."""
        return len(self.members.in_region()) + 1 >= MIN_SHARING_INSTANCES

    def is_reader(self) -> bool:
        """Return whether this instance watches the store for others or itself.

        In a region that shares readers, these are the instances with the
        smallest hashes of their names.
        """
        if not self.is_sharing():
            return True
        own = rank_key(self.members.own.instance)
        before = sum(
            rank_key(peer.member.instance) < own
            for peer in self.members.in_region()
        )
        return before < READERS

    def record_report(self) -> None:
        """Record the report of a reader of the region."""
        self.covered_until_s = self.clock() + COVER_S

    def is_covered(self) -> bool:
        """Return whether a reader reports changes to this instance."""
        return self.clock() < self.covered_until_s and not self.is_reader()

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
