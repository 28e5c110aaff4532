"""Standings of the backend servers, for the view of the entry daemon."""

from typing import Any

from citronshelf_common import fleet
from citronshelf_health import board
from citronshelf_health import policy

STEP_INTERVAL_S = 0.25


class Standings:
    """Feeds the health board and returns the view.

    Parameters
    ----------
    own_zone : str
    clock : callable
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
        """Put the pools and classes of a document in force."""
        if document is None or document is self.document:
            return
        self.document = document
        self.probed_pools = pools_without_idempotent_work(document)
        self.board.set_classes(document.classes)
        self.board.set_pools(document.pools, probed=self.probed_pools)

    def set_servers(self, fleet_list, marked_leaving: frozenset[str]) -> bool:
        """Take the list and the leaving marks; tell whether they changed."""
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
        """Take increments of pooled evidence."""
        self.board.record(zone, source, counts)

    def record_probe(self, server_id: str, is_good: bool) -> None:
        """Take the result of an own health probe."""
        self.board.record_probe(server_id, is_good)

    def step(self) -> bool:
        """Decide on the evidence so far; tell whether a standing changed."""
        return bool(self.board.step(self.clock()))

    def views(self) -> tuple[fleet.ServerView, ...]:
        """Return standing and weight of each server."""
        return self.board.standings()

    def ejected_without_traffic(self) -> frozenset[str]:
        """Return ejected servers that can only return by a probe."""
        return frozenset(
            view.server.server_id
            for view in self.views()
            if view.standing is fleet.Standing.EJECTED
            and view.server.pool in self.probed_pools
        )


def pools_without_idempotent_work(document) -> frozenset[str]:
    """Return the pools that no route sends idempotent work to."""
    with_idempotent_work = {
        document.services[route.service].pool
        for route in document.routes.values()
        if document.classes[route.request_class].idempotent
    }
    return frozenset(document.pools.keys() - with_idempotent_work)
