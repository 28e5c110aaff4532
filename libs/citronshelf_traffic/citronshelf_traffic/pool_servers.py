"""Servers of one pool that this instance may use."""

from citronshelf_common import fleet

from citronshelf_traffic import subsetting

USABLE_STANDINGS = (fleet.Standing.ADMITTED, fleet.Standing.PROBATION)
# Mean load per slot of the servers for short work between which it uses more
# and more of the servers that long work uses.
SPILL_START_LOAD = 1.1
SPILL_FULL_LOAD = 1.4
# Choices after which short work may go to any server: shed answers show that
# the others are full.
ISOLATED_CHOICES = 2


def standing_permits(state, work) -> bool:
    """Tell whether the standing of a server permits a request."""
    if state.view.standing == fleet.Standing.PROBATION:
        return work.idempotent
    return state.view.standing == fleet.Standing.ADMITTED


class PoolServers:
    """Usable servers of one pool under one view, in rendezvous order.

    Parameters
    ----------
    states : list of ServerState
        All servers of the pool in the view.
    pool : model.Pool
    entry_instances : int
    group_loads : tuple of GroupLoad
        Mean loads of the servers for short work and of the long share.
    """

    def __init__(self, *, states, pool, entry_instances, group_loads):
        usable = [s for s in states if s.view.standing in USABLE_STANDINGS]
        usable.sort(key=lambda state: state.rank)
        self.usable = usable
        self.group_loads = group_loads
        self.size = subsetting.subset_size(
            servers=len(usable),
            entry_instances=entry_instances,
            connections_per_server=pool.connections_per_server,
        )
        self.long_server_ids = subsetting.select_long_servers(
            usable, pool.long_work_percent
        )

    def group_load_of(self, state):
        """Return the mean load of the servers that a server is like."""
        return self.group_loads[state.server_id in self.long_server_ids]

    def available(self, work, tried, now: float) -> list:
        """Return the servers that may take a request now.

        Long work leaves its share of the servers only when nothing there may
        take it.
        """
        states = [
            state
            for state in self.usable
            if state.server_id not in tried
            and standing_permits(state, work)
            and state.outstanding < self.size.connections
            and state.is_available(now)
        ]
        if not work.long:
            return states
        long_servers = [
            s for s in states if s.server_id in self.long_server_ids
        ]
        return long_servers or states

    def subset(self, states: list, region: str) -> list:
        """Return this instance's share of each region's servers.

        Parameters
        ----------
        states : list of ServerState
            In rendezvous order.
        region : str
            Region of the instance.
        """
        share = self.size.share
        if share >= 1:
            return states
        local = [s for s in states if s.view.server.location.region == region]
        remote = [s for s in states if s.view.server.location.region != region]
        return [
            *(subsetting.lowest_ranked(local, share) if local else ()),
            *(subsetting.lowest_ranked(remote, share) if remote else ()),
        ]

    def avoid_long_work(self, candidates: list, now: float) -> list:
        """Leave out servers where short work would wait behind long work.

        A server of the long share is used by short work when it seems idle,
        and the less idle it has to be, the fuller the other servers are.
        """
        others = [
            c
            for c in candidates
            if c.state.server_id not in self.long_server_ids
        ]
        if not others or len(others) == len(candidates):
            return candidates
        mean = self.group_loads[0].mean(now) / others[0].state.slots
        pressure = (mean - SPILL_START_LOAD) / (
            SPILL_FULL_LOAD - SPILL_START_LOAD
        )
        slot_share = 0.5 + 0.5 * min(1.0, max(0.0, pressure))
        return [
            c
            for c in candidates
            if c.state.server_id not in self.long_server_ids
            or c.load + 1 <= c.state.slots * slot_share
        ]
