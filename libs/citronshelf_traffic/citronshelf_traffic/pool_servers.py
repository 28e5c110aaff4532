"""Selects the servers of a pool that this instance may use."""

from citronshelf_common import fleet

from citronshelf_traffic import subsetting

USABLE_STANDINGS = (fleet.Standing.ADMITTED, fleet.Standing.PROBATION)
# Mean load per slot of the servers for short work between which short work
# uses an increasing part of the servers for long work.
SPILL_START_LOAD = 1.1
SPILL_FULL_LOAD = 1.4
# Choices after which short work may go to any server: shed responses show
# that the servers for short work are full.
ISOLATED_CHOICES = 2


def standing_permits(state, work) -> bool:
    """Return whether the standing of a server permits a request."""
    if state.view.standing == fleet.Standing.PROBATION:
        return work.idempotent
    return state.view.standing == fleet.Standing.ADMITTED


class PoolServers:
    """Usable servers of one pool in one fleet view, in rendezvous order.

    Parameters
    ----------
    states : list of ServerLoadState
        All servers of the pool in the view.
    pool : model.Pool
    entry_instances : int
    group_loads : tuple of GroupLoad
        Mean load of the servers for short work, then of those for long work.
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
        """Return the load of the group of servers that a server is in."""
        return self.group_loads[state.server_id in self.long_server_ids]

    def available(self, work, tried, now: float) -> list:
        """Return the servers that a request may be sent to now.

        Long work uses servers outside its share only when no server of the
        share is available.
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
        """Return this instance's share of the local and of the remote servers.

        Parameters
        ----------
        states : list of ServerLoadState
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
        """Remove servers on which short work would wait behind long work.

        Short work may use a server for long work only if the load, including
        this request, stays within a fraction of its slots. The fraction rises
        from 0.5 to 1.0 while the mean load per slot of the other servers rises
        from ``SPILL_START_LOAD`` to ``SPILL_FULL_LOAD``. If there are no other
        servers among the candidates, none is removed.
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
