"""Servers of one pool that this instance may use."""

from citronshelf_common import fleet

from citronshelf_traffic import subsetting

CHOOSABLE = (fleet.Standing.ADMITTED, fleet.Standing.PROBATION)
# Mean load per slot of the servers for short work between which it uses more
# and more of the servers that long work uses.
CALM_LOAD = 1.1
PRESSED_LOAD = 1.4
# Choices after which short work may go to any server: shed answers show that
# the others are full.
CONFINED_CHOICES = 2


def suits(state, work) -> bool:
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
    groups : tuple of GroupLoad
        Mean loads of the servers for short work and of the long share.
    """

    def __init__(self, *, states, pool, entry_instances, groups):
        usable = [s for s in states if s.view.standing in CHOOSABLE]
        usable.sort(key=lambda state: state.rank)
        self.usable = usable
        self.groups = groups
        self.size = subsetting.subset_size(
            servers=len(usable),
            entry_instances=entry_instances,
            connections_per_server=pool.connections_per_server,
        )
        self.long_ids = subsetting.long_share(usable, pool.long_work_percent)

    def group_of(self, state):
        """Return the mean load of the servers that a server is like."""
        return self.groups[state.server_id in self.long_ids]

    def free(self, work, tried, now: float) -> list:
        """Return the servers that may take a request now.

        Long work leaves its share of the servers only when nothing there may
        take it.
        """
        states = [
            state
            for state in self.usable
            if state.server_id not in tried
            and suits(state, work)
            and state.own < self.size.connections
            and state.may_be_chosen(now)
        ]
        if not work.long:
            return states
        confined = [s for s in states if s.server_id in self.long_ids]
        return confined or states

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
        here = [s for s in states if s.view.server.location.region == region]
        there = [s for s in states if s.view.server.location.region != region]
        return [
            *(subsetting.take_share(here, share) if here else ()),
            *(subsetting.take_share(there, share) if there else ()),
        ]

    def beside_long(self, candidates: list, now: float) -> list:
        """Leave out servers where short work would wait behind long work.

        A server of the long share is used by short work when it seems idle,
        and the less idle it has to be, the fuller the other servers are.
        """
        others = [
            c for c in candidates if c.state.server_id not in self.long_ids
        ]
        if not others or len(others) == len(candidates):
            return candidates
        mean = self.groups[0].mean(now) / others[0].state.slots
        pressure = (mean - CALM_LOAD) / (PRESSED_LOAD - CALM_LOAD)
        lent = 0.5 + 0.5 * min(1.0, max(0.0, pressure))
        return [
            c
            for c in candidates
            if c.state.server_id not in self.long_ids
            or c.load + 1 <= c.state.slots * lent
        ]
