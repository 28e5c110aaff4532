"""Standings of all backend servers, from the evidence of all instances."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import logging

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_document import model
from citronshelf_health import decisions
from citronshelf_health import events
from citronshelf_health import evidence
from citronshelf_health import policy as policies
from citronshelf_health import pool_board

logger = logging.getLogger(__name__)


class HealthBoard:
    """Decides the standing of each backend server.

    Parameters
    ----------
    own_zone : str
        Availability zone of this instance.
    clock : callable
        Returns monotonic time, in s.
    policy : HealthPolicy
    """

    def __init__(
        self,
        *,
        own_zone: str,
        clock: Callable[[], float],
        policy: policies.HealthPolicy,
    ):
        self.own_zone = own_zone
        self.clock = clock
        self.policy = policy
        self.pools: dict[str, model.Pool] = {}
        self.probed: frozenset[str] = frozenset()
        self.long_classes: frozenset[str] = frozenset()
        self.boards: dict[str, pool_board.PoolBoard] = {}
        self.pool_by_server: dict[str, str] = {}
        self.tallies: dict[str, dict[str, evidence.Tally]] = {}
        self.last_time = clock()

    def set_pools(
        self,
        pools: Mapping[str, model.Pool],
        *,
        probed: Collection[str] = (),
    ) -> None:
        """Apply the pools of the document in force.

        Parameters
        ----------
        pools : mapping of str to Pool
        probed : collection of str
            Names of pools without idempotent work, whose ejected servers are
            readmitted after successful health probes.
        """
        now = self.advance_clock(self.clock())
        self.pools = dict(pools)
        self.probed = frozenset(probed)
        for name, board in self.boards.items():
            is_probed = name in self.probed
            board.set_pool(now, self.pools.get(name), is_probed=is_probed)

    def set_classes(self, classes: Mapping[str, model.RequestClass]) -> None:
        """Apply the request classes of the document in force."""
        self.long_classes = frozenset(
            name
            for name, request_class in classes.items()
            if request_class.long
        )

    def set_servers(
        self,
        servers: Iterable[fleet.BackendServer],
        leaving: Collection[str],
    ) -> None:
        """Apply the list of servers and the ids of those that are leaving.

        The floors of all pools hold as soon as this returns. The next step
        returns the changes.
        """
        now = self.advance_clock(self.clock())
        by_pool: dict[str, dict[str, fleet.BackendServer]] = {}
        self.pool_by_server = {}
        for server in servers:
            by_pool.setdefault(server.pool, {})[server.server_id] = server
            self.pool_by_server[server.server_id] = server.pool
        for name in by_pool.keys() - self.boards.keys():
            self.boards[name] = self.new_board(now, name)
        for name, board in self.boards.items():
            board.set_servers(now, by_pool.get(name, {}), leaving)

    def new_board(self, now: float, name: str) -> pool_board.PoolBoard:
        """Return a board for a pool that is listed for the first time."""
        board = pool_board.PoolBoard(
            name=name, own_zone=self.own_zone, policy=self.policy
        )
        is_probed = name in self.probed
        board.set_pool(now, self.pools.get(name), is_probed=is_probed)
        return board

    def record(
        self,
        source_zone: str,
        source: str,
        counts: Iterable[fleet.OutcomeCounts],
    ) -> None:
        """Add the outcomes since the previous call for the same source.

        Parameters
        ----------
        source_zone : str
            Zone of the instances that observed the outcomes.
        source : str
            Instance that observed them, or aggregator that summed them.
        counts : iterable of OutcomeCounts
            Increments; each request is counted in exactly one field. A
            caller's bad request (4xx) is `good` or not counted. A request is
            `unreachable` if no byte of a response arrived, and `slow` if the
            response was complete, but slow according to a
            `SlowResponseClassifier`. Counts of unknown, leaving and ejected
            servers are ignored, as are those of avoided servers from this
            instance's zone. Negative counts are rejected and logged.
        """
        for server_counts in counts:
            if evidence.is_malformed(server_counts):
                common_events.log_event(
                    logger,
                    events.EVIDENCE_REJECTED,
                    server=server_counts.server_id,
                    source=source,
                    source_zone=source_zone,
                    counts=list(server_counts[2:]),
                )
                continue
            pool = self.pool_by_server.get(server_counts.server_id)
            if pool is None:
                continue
            board = self.boards[pool]
            if not board.accepts_evidence(
                server_counts.server_id, source_zone
            ):
                continue
            tallies = self.tallies.setdefault(pool, {})
            tally = tallies.get(server_counts.server_id)
            if tally is None:
                tally = tallies[server_counts.server_id] = evidence.Tally()
            is_long = server_counts.request_class in self.long_classes
            tally.add(source_zone, source, server_counts, is_long)

    def record_probe(self, server_id: str, is_good: bool) -> None:
        """Record the result of a health probe sent by this instance.

        It has an effect only for an ejected server of a pool without
        idempotent work.
        """
        pool = self.pool_by_server.get(server_id)
        if pool is not None:
            self.boards[pool].record_probe(server_id, is_good)

    def step(self, now: float) -> tuple[decisions.StandingChange, ...]:
        """Update all standings from the recorded evidence and elapsed time.

        Parameters
        ----------
        now : float
            Time of the clock, in s; a value before the previous one counts
            as the previous one.

        Returns
        -------
        tuple of StandingChange
            All changes since the previous step, in order within each pool.
        """
        now = self.advance_clock(now)
        tallies = self.tallies
        self.tallies = {}
        changes = []
        for name, board in self.boards.items():
            changes += board.step(now, tallies.get(name, {}))
        return tuple(changes)

    def standings(self) -> tuple[fleet.ServerView, ...]:
        """Return the standing and weight of every listed server."""
        views: list[fleet.ServerView] = []
        for board in self.boards.values():
            views.extend(board.members.views())
        return tuple(views)

    def advance_clock(self, now: float) -> float:
        """Advance the clock, never backwards; return the new time, in s."""
        self.last_time = max(self.last_time, now)
        return self.last_time
