"""Choice of the backend server for one request."""

import itertools
import logging
import random
import time
from typing import NamedTuple

from citronshelf_common import fleet
from expression import Error
from expression import Ok
from expression import Result

from citronshelf_traffic import distance
from citronshelf_traffic import events
from citronshelf_traffic import pool_servers
from citronshelf_traffic import region_link
from citronshelf_traffic import selection
from citronshelf_traffic import server_state
from citronshelf_traffic import subsetting
from citronshelf_traffic import work as work_module

LOG = logging.getLogger(__name__)


class PlacementNotRunning(Exception):
    """A placement was begun twice, or ended without being begun."""


class Placement(NamedTuple):
    """One server chosen for one request.

    Attributes
    ----------
    number : int
        Unique in this process.
    work : Work
    server : fleet.BackendServer
    crossing : region_link.Crossing or None
        Bytes reserved when the request leaves the region.
    """

    number: int
    work: work_module.Work
    server: fleet.BackendServer
    crossing: region_link.Crossing | None


class NoServer(NamedTuple):
    """Why no server can take a request; nothing was sent.

    Attributes
    ----------
    reason : str
        'no-servers', 'not-usable', 'tried-all', 'connections' or
        'cross-region'.
    retry_after_s : float
    """

    reason: str
    retry_after_s: float


class ServerChooser:
    """Chooses servers for the requests of one instance.

    Parameters
    ----------
    instance : str
        Name of the instance; decides its subsets.
    place : fleet.Location
        Where the instance is.
    store_region : str
    link : region_link.RegionLink
    rng : random.Random, optional
    clock : callable
        Returns seconds.
    policy : object, optional
        One of the classes of ``selection``.
    """

    def __init__(
        self,
        *,
        instance: str,
        place: fleet.Location,
        store_region: str,
        link: region_link.RegionLink,
        rng: random.Random | None = None,
        clock=time.monotonic,
        policy=None,
    ):
        self.instance = instance
        self.place = place
        self.distances = distance.Distances(
            place=place, store_region=store_region
        )
        self.link = link
        self.rng = rng or random.Random()
        self.clock = clock
        self.policy = policy or selection.LowestCost()
        self.numbers = itertools.count(1)
        self.view = fleet.FleetView(0, (), 1)
        self.pools = {}
        self.states = {}
        self.by_pool = {}
        self.pool_servers = {}
        self.groups = {}
        self.running = {}

    def set_pools(self, pools) -> None:
        """Take the pools of a document, by name."""
        self.pools = dict(pools)
        self.pool_servers = {}

    def set_view(self, view: fleet.FleetView) -> None:
        """Take the servers and their standings.

        Servers that are no longer in the view are forgotten; what still runs
        there ends as usual.
        """
        if view == self.view:
            return
        self.view = view
        self.by_pool = {}
        kept = {}
        for server_view in view.servers:
            state = self.state_of(server_view)
            kept[state.server_id] = state
            members = self.by_pool.setdefault(server_view.server.pool, [])
            members.append(state)
        self.states = kept
        self.pool_servers = {}
        self.link.set_entry_instances(view.entry_instances)
        events.log_event(
            LOG,
            events.VIEW_TAKEN,
            revision=view.revision,
            servers=len(view.servers),
            entry_instances=view.entry_instances,
        )

    def state_of(self, view: fleet.ServerView) -> server_state.ServerState:
        """Return the state of a server, a new one for a new address."""
        server = view.server
        state = self.states.get(server.server_id)
        if state is not None and state.view.server == server:
            state.view = view
            return state
        pool = self.pools.get(server.pool)
        return server_state.ServerState(
            view=view,
            slots=pool.slots_per_server if pool else 1,
            rank=subsetting.rendezvous_rank(self.instance, server.server_id),
            long_rank=subsetting.rendezvous_rank('long', server.server_id),
        )

    def servers_of(self, name: str) -> pool_servers.PoolServers | None:
        """Return the usable servers of a pool, None for an unknown pool."""
        servers = self.pool_servers.get(name)
        if servers is None and name in self.pools and name in self.by_pool:
            servers = pool_servers.PoolServers(
                states=self.by_pool[name],
                pool=self.pools[name],
                entry_instances=self.view.entry_instances,
                groups=self.groups_of(name),
            )
            self.pool_servers[name] = servers
        return servers

    def groups_of(self, name: str) -> tuple:
        """Return the loads of a pool's groups, which outlive a view."""
        groups = self.groups.get(name)
        if groups is None:
            groups = self.groups[name] = (
                server_state.GroupLoad(),
                server_state.GroupLoad(),
            )
        return groups

    def group_of(self, state) -> server_state.GroupLoad:
        """Return the mean load of the servers that a server is like."""
        name = state.view.server.pool
        servers = self.servers_of(name)
        if servers is None:
            return self.groups_of(name)[0]
        return servers.group_of(state)

    def choose(self, work, tried=frozenset()) -> Result:
        """Choose a server.

        Parameters
        ----------
        work : Work
        tried : collection of str
            Identities of servers that this request must not use again.

        Returns
        -------
        Result
            ``Ok`` with a ``Placement`` or ``Error`` with a ``NoServer``.
        """
        now = self.clock()
        servers = self.servers_of(work.pool)
        if servers is None:
            return self.refuse(work, 'no-servers', tried)
        states = self.eligible(servers, work, tried, now)
        if not states:
            return self.refuse(work, self.reason(servers, work, tried), tried)
        candidates = [self.weigh(servers, s, work, now) for s in states]
        if not work.long and len(tried) < pool_servers.CONFINED_CHOICES:
            candidates = servers.beside_long(candidates, now)
        here = [c for c in candidates if self.is_here(c)]
        there = [c for c in candidates if not self.is_here(c)]
        picked = self.policy.pick(here, self.rng) if here else None
        crossing = None
        if there and self.may_leave(picked, work):
            far = self.policy.pick(there, self.rng)
            if picked is None or far.cost_ms < picked.cost_ms:
                crossing = self.link.reserve(work).default_value(None)
                picked = picked if crossing is None else far
        if picked is None:
            return self.refuse(work, 'cross-region', tried)
        return Ok(self.place_work(work, picked, crossing, tried))

    def place_work(self, work, picked, crossing, tried) -> Placement:
        """Make and log the placement of a request."""
        state = picked.state
        placement = Placement(
            next(self.numbers), work, state.view.server, crossing
        )
        events.log_event(
            LOG,
            events.SERVER_CHOSEN,
            request_id=work.request_id,
            placement=placement.number,
            server=state.server_id,
            standing=str(state.view.standing),
            policy=self.policy.name,
            load=round(picked.load, 2),
            cost_ms=round(picked.cost_ms, 2),
            hop_ms=picked.hop_ms,
            crosses=crossing is not None,
            tried=len(tried),
        )
        return placement

    def refuse(self, work, reason: str, tried) -> Result:
        """Log and return why there is no server."""
        events.log_event(
            LOG,
            events.NO_SERVER,
            request_id=work.request_id,
            pool=work.pool,
            reason=reason,
            tried=len(tried),
        )
        return Error(NoServer(reason, server_state.FIRST_BACK_OFF_S))

    def reason(self, servers: pool_servers.PoolServers, work, tried) -> str:
        """Return why no usable server is eligible."""
        fit = [s for s in servers.usable if pool_servers.suits(s, work)]
        if not fit:
            return 'not-usable'
        if all(s.server_id in tried for s in fit):
            return 'tried-all'
        if any(s.own >= servers.size.connections for s in fit):
            return 'connections'
        return 'not-usable'

    def eligible(self, servers, work, tried, now) -> list:
        """Return the servers of this instance's subset for a request."""
        states = servers.free(work, tried, now)
        kept = [
            state
            for state in states
            if state.view.weight >= 1 or self.rng.random() < state.view.weight
        ]
        return servers.subset(kept or states, self.place.region)

    def is_here(self, candidate) -> bool:
        """Tell whether a candidate is in this instance's region."""
        return self.distances.is_here(candidate.state.view.server.location)

    def weigh(self, servers, state, work, now) -> selection.Candidate:
        """Return a candidate with its estimated load and cost."""
        load = state.load(now, servers.group_of(state))
        prefer = self.pools[work.pool].prefer
        hop_ms = self.distances.hop_ms(state.view.server.location, prefer)
        wait_ms = work.expected_ms * load / state.slots
        return selection.Candidate(state, hop_ms, load, hop_ms + wait_ms)

    def may_leave(self, picked, work) -> bool:
        """Tell whether a server of another region may be considered.

        Parameters
        ----------
        picked : Candidate or None
            Best server of this instance's region.
        """
        policy = self.link.terms.policy
        if policy == 'never':
            return False
        if picked is None or policy == 'always':
            return True
        prefer = self.pools[work.pool].prefer
        away_from_store = self.distances.is_away_from_store()
        if prefer == 'store-region' and away_from_store:
            return True
        return picked.load >= picked.state.slots

    def begin(self, placement: Placement) -> None:
        """Count a dispatch as running."""
        if placement.number in self.running:
            raise PlacementNotRunning(f'{placement.number} runs already')
        state = self.states.get(placement.server.server_id)
        self.running[placement.number] = state
        if state is not None:
            state.begin(is_long=placement.work.long)

    def end(
        self,
        placement: Placement,
        load: fleet.LoadReport | None = None,
        *,
        ending: work_module.Ending = work_module.Ending.ANSWERED,
        answer_bytes: int = 0,
    ) -> None:
        """Count a dispatch as ended and learn from its answer.

        Parameters
        ----------
        placement : Placement
        load : fleet.LoadReport, optional
            In-band load of the answer.
        ending : Ending
        answer_bytes : int
            Bytes of the answer's body.
        """
        if placement.number not in self.running:
            raise PlacementNotRunning(f'{placement.number} does not run')
        state = self.running.pop(placement.number)
        if placement.crossing is not None:
            self.link.settle(placement.crossing, answer_bytes)
        if ending == work_module.Ending.ANSWERED:
            request_class = placement.work.request_class
            self.link.record_answer(request_class, answer_bytes)
        if state is not None:
            state.end(is_long=placement.work.long)
            self.learn(state, placement, load, ending)

    def learn(self, state, placement, load, ending) -> None:
        """Take what one ending says about a server."""
        now = self.clock()
        if load is not None:
            state.record_load(load, now, self.group_of(state))
        request_id = placement.work.request_id
        fields = {'request_id': request_id, 'server': state.server_id}
        match ending:
            case work_module.Ending.REFUSED:
                hold_s = state.back_off(now)
                events.log_event(
                    LOG, events.SERVER_BACKED_OFF, hold_s=hold_s, **fields
                )
            case work_module.Ending.SHED:
                state.record_shed(now, self.group_of(state))
                events.log_event(LOG, events.SERVER_SHED, **fields)
            case work_module.Ending.DRAINING:
                state.mark_draining(now)
                events.log_event(LOG, events.SERVER_DRAINING, **fields)
            case work_module.Ending.ANSWERED:
                state.clear_back_off()
