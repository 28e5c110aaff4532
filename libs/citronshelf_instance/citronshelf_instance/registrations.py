"""Backend servers that are registered, by service."""

import logging
from typing import NamedTuple

from citronshelf_common import events as log_events
from citronshelf_instance import configuration
from citronshelf_instance import coverage
from citronshelf_instance import events
from citronshelf_instance import evidence

LOG = logging.getLogger(__name__)
# Entries that expired while the store was away return within this time after
# it answers again (the platform's promise); their servers stay in use.
LAPSED_GRACE_S = 2.0
# After a failed connection the server is left out by this instance, for a
# time that doubles with each further failure.
FIRST_BLOCK_S = 0.25
MAX_BLOCK_S = 2.0
# A shed request says that the server's queue is full; it takes several times
# as long to empty.
SHED_BLOCK_S = 0.3
# Belief in a failing server from which the log calls it suspected.
SUSPECTED = 0.5


class ServerKey(NamedTuple):
    """One life of one server at one address."""

    server_id: str
    started_ms: int
    address: tuple


class ServerState:
    """One registered server as this instance sees it.

    Attributes
    ----------
    registration : Registration
    evidence : ServerEvidence
    running : int
        Requests of this instance that it holds.
    warm_at : float
        When it ceases to be slow after its start.
    blocked_until : float
        This instance leaves it out before that.
    lapsed_until : float or None
        Its entry is missing; it is forgotten then.
    suspected : bool
        The log says that it is believed to fail.
    used_s : float
        When the newest request was sent to it whose outcome was heard, of
        this or another instance.
    """

    def __init__(self, *, registration, now: float):
        self.registration: configuration.Registration = registration
        self.evidence = evidence.ServerEvidence(now=now)
        self.running = 0
        self.warm_at_s = now + registration.warmup_s
        self.blocked_until_s = 0.0
        self.block_s = FIRST_BLOCK_S
        self.lapsed_until_s: float | None = None
        self.suspected = False
        self.last_used_s = now

    @property
    def server_id(self) -> str:
        """Return the identity of the server."""
        return self.registration.server_id

    def key(self) -> ServerKey:
        """Return what tells this life of the server from others."""
        one = self.registration
        return ServerKey(one.server_id, one.started_ms, one.address)

    def record_unreachable(self, now: float) -> float:
        """Leave the server out for a while; returns the seconds."""
        block_s = self.block_s
        self.blocked_until_s = now + block_s
        self.block_s = min(2 * block_s, MAX_BLOCK_S)
        return block_s

    def record_shed(self, now: float) -> None:
        """Leave a full server out for a moment."""
        self.blocked_until_s = max(self.blocked_until_s, now + SHED_BLOCK_S)

    def record_reachable(self) -> None:
        """Forget earlier failures of the connection."""
        self.block_s = FIRST_BLOCK_S


class Directory:
    """Registered servers.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.revision = 0
        self.revised_s = 0.0
        self.servers: dict[str, ServerState] = {}
        self.by_service: dict[str, list[ServerState]] = {}
        self.store_recovered_s = float('-inf')
        self.dispatches: dict[str, coverage.RecentDispatches] = {}

    def record_store_recovery(self) -> None:
        """Expect entries that lapsed during an outage to come back."""
        self.store_recovered_s = self.clock()

    def replace(self, snapshot: configuration.Snapshot) -> None:
        """Take all entries as of one revision."""
        listed = {one.server_id: one for one in snapshot.registrations}
        for server_id in [s for s in self.servers if s not in listed]:
            self.remove(server_id)
        for registration in listed.values():
            self.put(registration)
        self.finish_update(snapshot.revision)

    def apply(self, changes: configuration.Changes) -> None:
        """Take the entries that changed."""
        for server_id, registration in changes.registrations.items():
            if registration is None:
                self.remove(server_id)
            else:
                self.put(registration)
        self.finish_update(changes.revision)

    def finish_update(self, revision: int) -> None:
        """Note the revision and index the servers by service."""
        self.revision = revision
        self.revised_s = self.clock()
        self.index()

    def index(self) -> None:
        """Rebuild the lists of the services."""
        self.by_service = {}
        for state in self.servers.values():
            members = self.by_service.setdefault(
                state.registration.service, []
            )
            members.append(state)

    def put(self, registration: configuration.Registration) -> None:
        """Take one entry."""
        now = self.clock()
        known = self.servers.get(registration.server_id)
        new_state = ServerState(registration=registration, now=now)
        if known is None or known.key() != new_state.key():
            self.servers[registration.server_id] = new_state
            self.log(events.SERVER_REGISTERED, new_state)
            return
        if known.registration.draining != registration.draining:
            self.log(events.SERVER_DRAINING, new_state)
        known.registration = registration
        known.lapsed_until_s = None

    def remove(self, server_id: str) -> None:
        """Forget a server, at once unless its entry may have lapsed."""
        state = self.servers.get(server_id)
        if state is None:
            return
        now = self.clock()
        until = self.store_recovered_s + LAPSED_GRACE_S
        if now < until and not state.registration.draining:
            state.lapsed_until_s = state.lapsed_until_s or until
            return
        del self.servers[server_id]
        self.log(events.SERVER_REMOVED, state)

    def drop_lapsed(self) -> None:
        """Forget servers whose missing entries did not come back."""
        now = self.clock()
        gone = [
            state
            for state in self.servers.values()
            if state.lapsed_until_s is not None and now >= state.lapsed_until_s
        ]
        for state in gone:
            del self.servers[state.server_id]
            self.log(events.SERVER_REMOVED, state)
        if gone:
            self.index()

    def log(self, event: log_events.Event, state: ServerState) -> None:
        """Log a change of one server."""
        one = state.registration
        log_events.log_event(
            LOG,
            event,
            server=one.server_id,
            service=one.service,
            address=one.address.authority(),
            draining=one.draining,
            directory_revision=self.revision,
        )

    def usable(self, service: str) -> list[ServerState]:
        """Return the servers of a service that may get new work."""
        return [
            state
            for state in self.by_service.get(service, ())
            if not state.registration.draining
        ]

    def record(
        self, observation: evidence.Observation, source: str
    ) -> evidence.Shift | None:
        """Take evidence of this or another instance.

        Returns how far the belief moved, None for a server that is not known.

        Parameters
        ----------
        observation : Observation
        source : str
            Name of the instance that saw the sign.
        """
        state = self.servers.get(observation.server_id)
        if state is None:
            return None
        now = self.clock()
        shift = state.evidence.record(observation, now)
        state.last_used_s = max(state.last_used_s, now - observation.elapsed_s)
        service = state.registration.service
        if observation.sign is not evidence.Sign.STALLED:
            self.recent_dispatches(service).record(now)
        if observation.sign is evidence.Sign.SHED:
            state.record_shed(now)
        suspected = state.evidence.failing >= SUSPECTED
        if suspected != state.suspected:
            state.suspected = suspected
            self.log_suspicion(state, observation, source)
        return shift

    def recent_dispatches(self, service: str) -> coverage.RecentDispatches:
        """Return the recent dispatches to a service."""
        return self.dispatches.setdefault(service, coverage.RecentDispatches())

    def log_suspicion(self, state, observation, source: str) -> None:
        """Log that a server became suspected or trusted."""
        event = events.SERVER_TRUSTED
        if state.suspected:
            event = events.SERVER_SUSPECTED
        log_events.log_event(
            LOG,
            event,
            server=state.server_id,
            failing=round(state.evidence.failing, 3),
            slowness=round(state.evidence.slowness, 2),
            sign=observation.sign.name.lower(),
            source=source,
        )

    def snapshot(self) -> tuple[configuration.Registration, ...]:
        """Return every entry, for an instance that cannot read them."""
        return tuple(
            state.registration
            for state in self.servers.values()
            if state.lapsed_until_s is None
        )
