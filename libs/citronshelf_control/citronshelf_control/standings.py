"""Standings of the backend servers, sent to the entry daemon."""

from typing import Any

from citronshelf_common import fleet
from citronshelf_health import board
from citronshelf_health import policy

STEP_INTERVAL_S = 0.25


class Standings:
    """Updates the health board and returns the standings of its servers.

    Parameters
    ----------
    own_zone : str
        Availability zone of this instance.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, *, own_zone: str, clock):
        self.clock = clock
        self.board = board.HealthBoard(
            own_zone=own_zone, clock=clock, policy=policy.HealthPolicy()
        )
        self.document: Any = None
        self.fleet_list: Any = None
        self.leaving: frozenset[str] = frozenset()
        self.probed_pools: frozenset[str] = frozenset()

    def set_document(self, document) -> None:
        """Apply the pools and request classes of a document."""
        if document is None or document is self.document:
            return
        self.document = document
        self.probed_pools = pools_without_idempotent_work(document)
        self.board.set_classes(document.classes)
        self.board.set_pools(document.pools, probed=self.probed_pools)

    def set_servers(self, fleet_list, marked_leaving: frozenset[str]) -> bool:
        """Apply the fleet list and leaving marks.

        Parameters
        ----------
        fleet_list : FleetList or None
            None before the first list; in this case nothing changes.
        marked_leaving : frozenset of str
            Ids of the servers that are marked as leaving.

        Returns
        -------
        bool
            Whether the fleet list or the leaving servers changed.
        """
        if fleet_list is None:
            return False
        leaving = fleet_list.leaving | marked_leaving
        if fleet_list is self.fleet_list and leaving == self.leaving:
            return False
        self.fleet_list = fleet_list
        self.leaving = leaving
        self.board.set_servers(fleet_list.servers, leaving)
        return True

    def record(self, zone: str, source: str, counts) -> None:
        """Record increments of the pooled evidence."""
        self.board.record(zone, source, counts)

    def record_probe(self, server_id: str, is_good: bool) -> None:
        """Record the result of a health probe by this instance."""
        self.board.record_probe(server_id, is_good)

    def step(self) -> bool:
        """Evaluate the evidence; return whether a standing changed."""
        return bool(self.board.step(self.clock()))

    def views(self) -> tuple[fleet.ServerView, ...]:
        """Return standing and weight of each listed server."""
        return self.board.standings()

    def ejected_without_traffic(self) -> frozenset[str]:
        """Return ids of ejected servers that only probes can readmit."""
        return frozenset(
            view.server.server_id
            for view in self.views()
            if view.standing is fleet.Standing.EJECTED
            and view.server.pool in self.probed_pools
        )


def pools_without_idempotent_work(document) -> frozenset[str]:
    """Return the pools to which no route sends idempotent requests."""
    with_idempotent_work = {
        document.services[route.service].pool
        for route in document.routes.values()
        if document.classes[route.request_class].idempotent
    }
    return frozenset(document.pools.keys() - with_idempotent_work)
