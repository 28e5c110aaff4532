"""Listed servers of one pool, with their capacity."""

from collections.abc import Iterator
from typing import NamedTuple

from citronshelf_common import fleet
from citronshelf_document import model
from citronshelf_health import floor
from citronshelf_health import policy as policies
from citronshelf_health import tracking


class Departed(NamedTuple):
    """A server no longer listed, remembered because of its hold time."""

    tracked: tracking.TrackedServer
    removed_at: float


class PoolMembers:
    """Servers of one pool, as listed by the platform.

    Attributes
    ----------
    pool : Pool
    tracked : dict of str to TrackedServer
        Listed servers, including leaving ones.
    departed : dict of str to Departed
    restricted : set of str
        Ids of servers that do not receive their full share of the load.
    """

    def __init__(self, *, policy: policies.HealthPolicy):
        self.policy = policy
        self.pool: model.Pool = floor.UNKNOWN_POOL
        self.tracked: dict[str, tracking.TrackedServer] = {}
        self.departed: dict[str, Departed] = {}
        self.restricted: set[str] = set()

    def insert(
        self, now: float, server: fleet.BackendServer, *, is_first_list: bool
    ) -> tuple[tracking.TrackedServer, fleet.Standing]:
        """Add a listed server; a new one starts its warm-up.

        The servers of the first list are not new: it is this process that
        has just started. An unchanged server that is listed again within its
        hold time stays ejected; after that, or if it was not ejected, it warms
        up. One that has changed counts as new.

        Returns
        -------
        TrackedServer
        Standing
            Standing when it was last listed; ADMITTED for a new server.
        """
        returning = self.departed.pop(server.server_id, None)
        if returning is not None and returning.tracked.server == server:
            tracked = returning.tracked
            before = tracked.standing
            if not tracked.is_ejected() or tracked.hold_until <= now:
                tracked.start_warm_up(now, self.policy)
        else:
            tracked = tracking.TrackedServer(server=server, now=now)
            before = tracked.standing
            if not is_first_list:
                tracked.start_warm_up(now, self.policy)
        self.tracked[server.server_id] = tracked
        return tracked, before

    def remove(self, now: float, server_id: str) -> tracking.TrackedServer:
        """Move a server that is no longer listed to the departed ones."""
        tracked = self.tracked.pop(server_id)
        self.departed[server_id] = Departed(tracked, now)
        self.restricted.discard(server_id)
        return tracked

    def forget_departed(self, now: float) -> None:
        """Drop departed servers after their retention time."""
        oldest = now - self.policy.departed_retention_s
        for server_id, departed in list(self.departed.items()):
            if departed.removed_at < oldest:
                del self.departed[server_id]

    def update_restricted(self, tracked: tracking.TrackedServer) -> None:
        """Add a server to `restricted` or remove it, by its current state."""
        if tracked.is_unrestricted():
            self.restricted.discard(tracked.server.server_id)
        else:
            self.restricted.add(tracked.server.server_id)

    def warming_up_ids(self) -> set[str]:
        """Return the ids of servers that are warming up."""
        return {
            server_id
            for server_id in self.restricted
            if self.tracked[server_id].warm_up_since is not None
        }

    def replacements(
        self, tracked: tracking.TrackedServer, severity: tracking.Severity
    ) -> list[tracking.TrackedServer] | None:
        """Return the servers to admit so that another one may be ejected.

        The set of ejected servers then depends on their severity and, for
        equal severity, on their ids, but not on the order in which they were
        suspected. Instances that suspect the same servers eject the same
        ones.

        Returns
        -------
        list of TrackedServer or None
            Servers that are warming up first, then ejected ones with a less
            severe fault, the least severe first, and no more than needed;
            None if they do not suffice.
        """
        slots = self.pool.slots_per_server
        floor_slots = self.floor()
        remaining_slots = self.capacity() - slots * tracked.weight
        chosen = []
        for other in self.servers_in_return_order():
            if not floor.is_below(remaining_slots, floor_slots):
                break
            if other is tracked or other.is_ramping():
                continue
            rank = (other.severity, other.tie_breaker)
            if other.is_ejected() and rank >= (severity, tracked.tie_breaker):
                continue
            chosen.append(other)
            remaining_slots += slots * (1.0 - other.weight)
        return None if floor.is_below(remaining_slots, floor_slots) else chosen

    def servers_in_return_order(self) -> list[tracking.TrackedServer]:
        """Return the servers that could receive more load.

        They are sorted by `return_order`; leaving servers are not included.
        """
        found = [
            tracked
            for tracked in map(self.tracked.__getitem__, self.restricted)
            if not tracked.is_leaving()
        ]
        return sorted(found, key=return_order)

    def floor(self) -> int:
        """Return the floor in slots."""
        return floor.floor_slots(self.pool, len(self.tracked))

    def capacity(self) -> float:
        """Return the capacity in slots, each server counted by its weight."""
        weights = (tracked.weight for tracked in self.tracked.values())
        return floor.capacity_slots(self.pool, weights)

    def views(self) -> Iterator[fleet.ServerView]:
        """Yield the standing and weight of every listed server."""
        for tracked in self.tracked.values():
            yield fleet.ServerView(
                tracked.server, tracked.standing, tracked.weight
            )


def return_order(tracked: tracking.TrackedServer) -> tuple:
    """Return the sort key: warming up, then ramping, then ejected servers.

    The highest weight comes first among ramping servers, the least severe
    fault first among ejected ones.
    """
    if tracked.warm_up_since is not None:
        return (0, 0.0, tracked.tie_breaker)
    if tracked.is_ramping():
        return (1, -tracked.weight, tracked.tie_breaker)
    return (2, tracked.severity, tracked.tie_breaker)
