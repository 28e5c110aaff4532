"""Selects a backend server for each request."""

import itertools
import logging
import random
import time
from typing import NamedTuple

from citronshelf_common import fleet
from expression import Error
from expression import Ok
from expression import Result

from citronshelf_traffic import events
from citronshelf_traffic import network_latency
from citronshelf_traffic import pool_servers
from citronshelf_traffic import region_link
from citronshelf_traffic import selection
from citronshelf_traffic import server_state
from citronshelf_traffic import subsetting
from citronshelf_traffic import work as work_module

LOG = logging.getLogger(__name__)


class PlacementStateError(Exception):
    """A placement was begun twice, or ended while not running."""


class Placement(NamedTuple):
    """One server chosen for one request.

    Attributes
    ----------
    number : int
        Unique in this process.
    work : Work
    server : fleet.BackendServer
    reservation : region_link.LinkReservation or None
        Bytes reserved on the link between regions; None when the server is
        in this instance's region.
    """

    number: int
    work: work_module.Work
    server: fleet.BackendServer
    reservation: region_link.LinkReservation | None


class NoServer(NamedTuple):
    """No server is available for a request, so it is not sent.

    Attributes
    ----------
    reason : str
        'no-servers', 'not-usable', 'tried-all', 'connections' or
        'cross-region'.
    retry_after_s : float
        Always ``INITIAL_BACKOFF_S``, the first backoff of a server.
    """

    reason: str
    retry_after_s: float


class ServerChooser:
    """Chooses servers for the requests of one instance.

    Parameters
    ----------
    instance : str
        Name of the instance; determines its subset of each pool.
    location : fleet.Location
        Location of the instance.
    store_region : str
        Region of the data store.
    link : region_link.RegionLink
    rng : random.Random, optional
    clock : callable
        Returns monotonic time in seconds.
    policy : object, optional
        Instance of a class of ``selection``; defaults to ``LowestCost``.
    """

    def __init__(
        self,
        *,
        instance: str,
        location: fleet.Location,
        store_region: str,
        link: region_link.RegionLink,
        rng: random.Random | None = None,
        clock=time.monotonic,
        policy=None,
    ):
        self.instance = instance
        self.location = location
        self.network_latencies = network_latency.NetworkLatencies(
            location=location, store_region=store_region
        )
        self.link = link
        self.rng = rng or random.Random()
        self.clock = clock
        self.policy = policy or selection.LowestCost()
        self.placement_numbers = itertools.count(1)
        self.view = fleet.FleetView(0, (), 1)
        self.pools = {}
        self.states = {}
        self.states_by_pool = {}
        self.pool_servers = {}
        self.group_loads = {}
        self.running = {}

    def set_pools(self, pools) -> None:
        """Set the pools of the document, by name."""
        self.pools = dict(pools)
        self.pool_servers = {}

    def set_view(self, view: fleet.FleetView) -> None:
        """Set the servers and their standings.

        The state of servers that are no longer in the view is discarded;
        requests that still run on them end as usual.
        """
        if view == self.view:
            return
        self.view = view
        self.states_by_pool = {}
        kept = {}
        for server_view in view.servers:
            state = self.get_or_create_state(server_view)
            kept[state.server_id] = state
            members = self.states_by_pool.setdefault(
                server_view.server.pool, []
            )
            members.append(state)
        self.states = kept
        self.pool_servers = {}
        self.link.set_entry_instances(view.entry_instances)
        events.log_event(
            LOG,
            events.VIEW_APPLIED,
            revision=view.revision,
            servers=len(view.servers),
            entry_instances=view.entry_instances,
        )

    def get_or_create_state(
        self, view: fleet.ServerView
    ) -> server_state.ServerLoadState:
        """Return the state of a server.

        A server that is new, or whose pool, address or location changed, gets
        a new state.
        """
        server = view.server
        state = self.states.get(server.server_id)
        if state is not None and state.view.server == server:
            state.view = view
            return state
        pool = self.pools.get(server.pool)
        return server_state.ServerLoadState(
            view=view,
            slots=pool.slots_per_server if pool else 1,
            rank=subsetting.rendezvous_rank(self.instance, server.server_id),
            long_rank=subsetting.rendezvous_rank('long', server.server_id),
        )

    def get_pool_servers(self, name: str) -> pool_servers.PoolServers | None:
        """Return the usable servers of a pool.

        Returns None when the pool is not in the document or has no servers
        in the view.
        """
        servers = self.pool_servers.get(name)
        if (
            servers is None
            and name in self.pools
            and name in self.states_by_pool
        ):
            servers = pool_servers.PoolServers(
                states=self.states_by_pool[name],
                pool=self.pools[name],
                entry_instances=self.view.entry_instances,
                group_loads=self.get_group_loads(name),
            )
            self.pool_servers[name] = servers
        return servers

    def get_group_loads(self, name: str) -> tuple:
        """Return the group loads of a pool, which are kept across views."""
        group_loads = self.group_loads.get(name)
        if group_loads is None:
            group_loads = self.group_loads[name] = (
                server_state.GroupLoad(),
                server_state.GroupLoad(),
            )
        return group_loads

    def group_load_of(self, state) -> server_state.GroupLoad:
        """Return the load of the group of servers that a server is in.

        If its pool is no longer in the document or the view, this is the load
        of the servers for short work.
        """
        name = state.view.server.pool
        servers = self.get_pool_servers(name)
        if servers is None:
            return self.get_group_loads(name)[0]
        return servers.group_load_of(state)

    def choose(self, work, tried=frozenset()) -> Result:
        """Choose a server for a request.

        A server in another region is chosen only if the cross-region policy
        permits it, the local server that the selection policy picks, if any,
        has a higher cost, and the link grants the reservation.

        Parameters
        ----------
        work : Work
        tried : collection of str
            Identifiers of servers that this request must not use again.

        Returns
        -------
        Result
            ``Ok`` with a ``Placement`` or ``Error`` with a ``NoServer``.
        """
        now = self.clock()
        servers = self.get_pool_servers(work.pool)
        if servers is None:
            return self.refuse(work, 'no-servers', tried)
        states = self.eligible(servers, work, tried, now)
        if not states:
            return self.refuse(
                work, self.unavailable_reason(servers, work, tried), tried
            )
        candidates = [
            self.make_candidate(servers, s, work, now) for s in states
        ]
        if not work.long and len(tried) < pool_servers.ISOLATED_CHOICES:
            candidates = servers.avoid_long_work(candidates, now)
        local = [c for c in candidates if self.is_local(c)]
        remote = [c for c in candidates if not self.is_local(c)]
        picked = self.policy.pick(local, self.rng) if local else None
        reservation = None
        if remote and self.may_leave_region(picked, work):
            best_remote = self.policy.pick(remote, self.rng)
            if picked is None or best_remote.cost_ms < picked.cost_ms:
                reservation = self.link.reserve(work).default_value(None)
                picked = picked if reservation is None else best_remote
        if picked is None:
            return self.refuse(work, 'cross-region', tried)
        return Ok(self.make_placement(work, picked, reservation, tried))

    def make_placement(self, work, picked, reservation, tried) -> Placement:
        """Create and log the placement of a request."""
        state = picked.state
        placement = Placement(
            next(self.placement_numbers), work, state.view.server, reservation
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
            crosses=reservation is not None,
            tried=len(tried),
        )
        return placement

    def refuse(self, work, reason: str, tried) -> Result:
        """Log and return the reason why no server is available."""
        events.log_event(
            LOG,
            events.NO_SERVER,
            request_id=work.request_id,
            pool=work.pool,
            reason=reason,
            tried=len(tried),
        )
        return Error(NoServer(reason, server_state.INITIAL_BACKOFF_S))

    def unavailable_reason(
        self, servers: pool_servers.PoolServers, work, tried
    ) -> str:
        """Return the reason why no server of the pool is eligible."""
        fit = [
            s for s in servers.usable if pool_servers.standing_permits(s, work)
        ]
        if not fit:
            return 'not-usable'
        if all(s.server_id in tried for s in fit):
            return 'tried-all'
        if any(s.outstanding >= servers.size.connections for s in fit):
            return 'connections'
        return 'not-usable'

    def eligible(self, servers, work, tried, now) -> list:
        """Return the servers of this instance's subset for a request.

        A server with a weight below 1 is included with that probability. If
        that leaves no server, the weights are ignored.
        """
        states = servers.available(work, tried, now)
        kept = [
            state
            for state in states
            if state.view.weight >= 1 or self.rng.random() < state.view.weight
        ]
        return servers.subset(kept or states, self.location.region)

    def is_local(self, candidate) -> bool:
        """Return whether a candidate is in this instance's region."""
        return self.network_latencies.is_same_region(
            candidate.state.view.server.location
        )

    def make_candidate(self, servers, state, work, now) -> selection.Candidate:
        """Estimate the load and cost of a server for a request."""
        load = state.load(now, servers.group_load_of(state))
        prefer = self.pools[work.pool].prefer
        hop_ms = self.network_latencies.hop_ms(
            state.view.server.location, prefer
        )
        wait_ms = work.expected_ms * load / state.slots
        return selection.Candidate(state, hop_ms, load, hop_ms + wait_ms)

    def may_leave_region(self, picked, work) -> bool:
        """Return whether a server of another region may be considered.

        Under the policy 'spare', this is the case if no local server is
        available, if the best one has no idle slot, or if the pool prefers
        the data store's region and the instance is in another one.

        Parameters
        ----------
        picked : Candidate or None
            Best candidate in this instance's region.
        """
        policy = self.link.cross_region.policy
        if policy == 'never':
            return False
        if picked is None or policy == 'always':
            return True
        prefer = self.pools[work.pool].prefer
        outside_store_region = self.network_latencies.is_outside_store_region()
        if prefer == 'store-region' and outside_store_region:
            return True
        return picked.load >= picked.state.slots

    def begin(self, placement: Placement) -> None:
        """Count a dispatch as running.

        Raises
        ------
        PlacementStateError
            If the placement is already running.
        """
        if placement.number in self.running:
            raise PlacementStateError(
                f'placement {placement.number} is already running'
            )
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
        response_bytes: int = 0,
    ) -> None:
        """Count a dispatch as ended and update estimates from its result.

        Parameters
        ----------
        placement : Placement
        load : fleet.LoadReport, optional
            Load reported in the response.
        ending : Ending
        response_bytes : int
            Size of the response body.

        Raises
        ------
        PlacementStateError
            If the placement is not running.
        """
        if placement.number not in self.running:
            raise PlacementStateError(
                f'placement {placement.number} is not running'
            )
        state = self.running.pop(placement.number)
        if placement.reservation is not None:
            self.link.settle(placement.reservation, response_bytes)
        if ending == work_module.Ending.ANSWERED:
            request_class = placement.work.request_class
            self.link.record_response_size(request_class, response_bytes)
        if state is not None:
            state.end(is_long=placement.work.long)
            self.record_ending(state, placement, load, ending)

    def record_ending(self, state, placement, load, ending) -> None:
        """Update the state of a server after one dispatch."""
        now = self.clock()
        if load is not None:
            state.record_load(load, now, self.group_load_of(state))
        request_id = placement.work.request_id
        fields = {'request_id': request_id, 'server': state.server_id}
        match ending:
            case work_module.Ending.REFUSED:
                hold_s = state.record_refused(now)
                events.log_event(
                    LOG, events.SERVER_BACKED_OFF, hold_s=hold_s, **fields
                )
            case work_module.Ending.SHED:
                state.record_shed(now, self.group_load_of(state))
                events.log_event(LOG, events.SERVER_SHED, **fields)
            case work_module.Ending.DRAINING:
                state.mark_draining(now)
                events.log_event(LOG, events.SERVER_DRAINING, **fields)
            case work_module.Ending.ANSWERED:
                state.clear_backoff()
