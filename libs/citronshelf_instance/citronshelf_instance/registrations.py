"""Directory of the registered backend servers, by service."""

import logging
import random
from typing import NamedTuple

from citronshelf_common import events as log_events
from citronshelf_instance import configuration
from citronshelf_instance import coverage
from citronshelf_instance import events
from citronshelf_instance import evidence

LOG = logging.getLogger(__name__)
# The platform guarantees that entries that expired during an outage of the
# store return within this time after it; their servers stay in use until then.
LAPSED_GRACE_S = 2.0
# An entry lapses after three missed heartbeats, 1.5 s apart. While the list is
# confirmed more often than this, a missing entry means that its server left.
MIN_LAPSE_AGE_S = 2.5
# After a failed connection, this instance avoids the server for a time that
# doubles with each further failure.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# A shed request, which a server refused without running it, shows that the
# server's queue is full. Emptying the queue takes several times this long.
SHED_BACKOFF_S = 0.3
# Instances return to a server that asked for time after up to this much more,
# as a share of the time, so that they do not all return at once.
RETURN_SPREAD = 0.2
MIN_RETURN_SPREAD_S = 0.2
# Servers that are leaving are replaced by others; their registrations are
# known after about this time.
REPLACEMENT_S = 1.0
# Announcements of servers without an entry are kept this long, in case that
# the entry returns, and for at most this many servers.
DEPARTED_KEPT_S = 600.0
MAX_DEPARTED = 1024
# Failure probability from which a server is logged as suspected.
SUSPECTED_PROBABILITY = 0.5


class ServerKey(NamedTuple):
    """One incarnation of a server at one address."""

    server_id: str
    started_ms: int
    address: tuple


class Announcement(NamedTuple):
    """What a server without an entry had asked for.

    Attributes
    ----------
    leaving : bool
    retry_at_s : float
        Monotonic time before which it wants no request.
    removed_s : float
        Monotonic time at which its entry was removed.
    """

    leaving: bool
    retry_at_s: float
    removed_s: float


class RegisteredServer:
    """State of one registered server at this instance.

    Attributes
    ----------
    registration : Registration
    estimate : HealthEstimate
    running : int
        Requests of this instance that are in progress there.
    body_bytes : int
        Size of their bodies.
    warm_up_end_s : float
        Monotonic time at which its warm-up ends.
    backoff_until_s : float
        Monotonic time before which this instance uses it only if no other
        server is left.
    backoff_s : float
        Duration of the next backoff that ``record_unreachable`` starts.
    lapsed_until_s : float or None
        Monotonic time at which the server is removed because its entry is
        missing; None while the entry exists.
    suspected : bool
        It was last logged as suspected of failing.
    last_used_s : float
        Monotonic time of the newest observed request that this or another
        instance sent to it; at first, the time at which this instance learned
        of the server.
    leaving : bool
        The server announced in a response, to this or another instance, that
        it wants no new work.
    retry_at_s : float
        Monotonic time before which it wants no request of this instance.
    sent_invalid_time : bool
        It was logged that it asked for a time that is no number of seconds.
    """

    def __init__(self, *, registration, now: float):
        self.registration: configuration.Registration = registration
        self.estimate = evidence.HealthEstimate(now=now)
        self.running = 0
        self.body_bytes = 0
        self.warm_up_end_s = now + registration.warm_up_s
        self.backoff_until_s = 0.0
        self.backoff_s = INITIAL_BACKOFF_S
        self.lapsed_until_s: float | None = None
        self.suspected = False
        self.last_used_s = now
        self.leaving = False
        self.retry_at_s = 0.0
        self.sent_invalid_time = False

    def is_leaving(self, now: float) -> bool:
        """Return whether it drains, announced its leaving, or is gone."""
        is_gone = (
            self.lapsed_until_s is not None and now >= self.lapsed_until_s
        )
        return self.registration.draining or self.leaving or is_gone

    def accepts_work(self, now: float) -> bool:
        """Return whether this instance may send it a request."""
        return not self.is_leaving(now) and now >= self.retry_at_s

    @property
    def server_id(self) -> str:
        """Return the identity of the server."""
        return self.registration.server_id

    def key(self) -> ServerKey:
        """Return the key of this incarnation of the server."""
        registration = self.registration
        return ServerKey(
            registration.server_id,
            registration.started_ms,
            registration.address,
        )

    def record_unreachable(self, now: float) -> float:
        """Start a backoff and return its duration in seconds.

        Called after a failed connection, and after a response which shows
        that another server has the address. The next duration doubles, up to
        ``MAX_BACKOFF_S``.
        """
        backoff_s = self.backoff_s
        self.backoff_until_s = now + backoff_s
        self.backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        return backoff_s

    def record_shed(self, now: float) -> None:
        """Start a backoff of ``SHED_BACKOFF_S`` after a shed request.

        A backoff that ends later is kept.
        """
        self.backoff_until_s = max(self.backoff_until_s, now + SHED_BACKOFF_S)

    def record_reachable(self) -> None:
        """Reset the duration of the next backoff after a good response."""
        self.backoff_s = INITIAL_BACKOFF_S


class Directory:
    """Registered servers with the health estimates of this instance.

    Parameters
    ----------
    clock : callable
        Monotonic seconds.

    Attributes
    ----------
    confirmed_s : float or None
        Time at which the store last showed, to this instance or to a reader
        that reported it, that the list was the newest; None if it never did.
    connected_s : float
        Time up to which a call to the store was waiting as it should.
    departed : dict
        Announcements of removed servers, oldest first.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.revision = 0
        self.revised_s = 0.0
        self.confirmed_s: float | None = None
        self.connected_s = float('-inf')
        self.departed: dict[ServerKey, Announcement] = {}
        self.servers: dict[str, RegisteredServer] = {}
        self.by_service: dict[str, list[RegisteredServer]] = {}
        self.store_recovered_s = float('-inf')
        self.dispatches: dict[str, coverage.RecentDispatches] = {}

    def record_store_recovery(self, ago_s: float = 0.0) -> None:
        """Start the grace period for entries that lapsed in an outage.

        Parameters
        ----------
        ago_s : float
            Seconds since the end of the outage.
        """
        self.store_recovered_s = max(
            self.store_recovered_s, self.clock() - ago_s
        )

    def may_have_lapsed(self) -> bool:
        """Return whether entries may have lapsed since the last confirmation.

        A store that was away for this instance alone has confirmed the list
        to others, which reported it. One whose connection has just failed was
        not away before.
        """
        age_s = self.age_s()
        if age_s is None:
            return True
        away_s = self.clock() - self.connected_s
        return min(age_s, away_s) >= MIN_LAPSE_AGE_S

    def record_connected(self) -> None:
        """Record that a call to the store was waiting until now.

        The call failed before its wait was over, which shows no outage before
        that: the store may have restarted, or the connection was lost.
        """
        self.connected_s = self.clock()

    def recovered_ago_s(self) -> float | None:
        """Return the seconds since the end of an outage of the store.

        None if the grace period for lapsed entries is over.
        """
        ago_s = self.clock() - self.store_recovered_s
        return ago_s if ago_s < LAPSED_GRACE_S else None

    def confirm(self, ago_s: float) -> None:
        """Record that the list was the newest ``ago_s`` seconds ago."""
        confirmed_s = self.clock() - ago_s
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    def age_s(self) -> float | None:
        """Return the seconds since the list was known to be the newest.

        Returns None if it never was.
        """
        if self.confirmed_s is None:
            return None
        return self.clock() - self.confirmed_s

    def replace(self, snapshot: configuration.Snapshot) -> None:
        """Replace all entries with those of a snapshot.

        Servers that are missing from it may stay for the grace period; see
        ``remove``. So do the lapsed entries of the snapshot.
        """
        if snapshot.recovered_ago_s is not None:
            self.record_store_recovery(snapshot.recovered_ago_s)
        listed = {entry.server_id: entry for entry in snapshot.registrations}
        for registration in snapshot.lapsed:
            # A known entry is at least as new: it may be draining.
            if registration.server_id not in self.servers:
                self.add_or_update(registration)
        for server_id in [s for s in self.servers if s not in listed]:
            self.remove(server_id)
        for registration in listed.values():
            self.add_or_update(registration)
        self.finish_update(snapshot.revision)

    def apply(self, changes: configuration.Changes) -> None:
        """Apply added, changed and removed entries."""
        for server_id, registration in changes.registrations.items():
            if registration is None:
                self.remove(server_id)
            else:
                self.add_or_update(registration)
        self.finish_update(changes.revision)

    def finish_update(self, revision: int) -> None:
        """Record the revision and rebuild the index by service."""
        self.revision = revision
        self.revised_s = self.clock()
        self.index()

    def index(self) -> None:
        """Rebuild the lists of servers by service."""
        self.by_service = {}
        for state in self.servers.values():
            members = self.by_service.setdefault(
                state.registration.service, []
            )
            members.append(state)

    def add_or_update(self, registration: configuration.Registration) -> None:
        """Add or update one entry.

        A new start time or address makes it a new server without any
        observations.
        """
        now = self.clock()
        known = self.servers.get(registration.server_id)
        new_state = RegisteredServer(registration=registration, now=now)
        if known is None or known.key() != new_state.key():
            if known is not None:
                self.remember(known)
            self.restore(new_state)
            self.servers[registration.server_id] = new_state
            self.log(events.SERVER_REGISTERED, new_state)
            return
        if known.registration.draining != registration.draining:
            self.log(events.SERVER_DRAINING, new_state)
        known.registration = registration
        known.lapsed_until_s = None

    def remove(self, server_id: str) -> None:
        """Remove a server, or mark it as lapsed if its entry may return.

        An entry may have lapsed in an outage of the store. During the grace
        period after an outage, only draining servers are removed at once;
        ``drop_lapsed`` removes the others when it ends.
        """
        state = self.servers.get(server_id)
        if state is None:
            return
        now = self.clock()
        until = self.store_recovered_s + LAPSED_GRACE_S
        if now < until and not state.registration.draining:
            state.lapsed_until_s = state.lapsed_until_s or until
            return
        self.delete(state)

    def delete(self, state: RegisteredServer) -> None:
        """Delete a server; keep what it asked for in case it returns."""
        del self.servers[state.server_id]
        self.remember(state)
        self.log(events.SERVER_REMOVED, state)

    def remember(self, state: RegisteredServer) -> None:
        """Keep the announcements of a server whose entry is gone."""
        now = self.clock()
        if not state.leaving and state.retry_at_s <= now:
            return
        self.departed.pop(state.key(), None)
        self.departed[state.key()] = Announcement(
            state.leaving, state.retry_at_s, now
        )
        while len(self.departed) > MAX_DEPARTED:
            del self.departed[next(iter(self.departed))]

    def restore(self, state: RegisteredServer) -> None:
        """Apply the announcements of this incarnation of a server, if any."""
        kept = self.departed.pop(state.key(), None)
        if kept is None:
            return
        if self.clock() - kept.removed_s < DEPARTED_KEPT_S:
            state.leaving = kept.leaving
            state.retry_at_s = kept.retry_at_s

    def drop_lapsed(self) -> None:
        """Remove servers whose entries did not return in the grace period."""
        now = self.clock()
        gone = [
            state
            for state in self.servers.values()
            if state.lapsed_until_s is not None and now >= state.lapsed_until_s
        ]
        for state in gone:
            self.delete(state)
        if gone:
            self.index()

    def log(self, event: log_events.Event, state: RegisteredServer) -> None:
        """Log a change of one registration."""
        registration = state.registration
        log_events.log_event(
            LOG,
            event,
            server=registration.server_id,
            service=registration.service,
            address=registration.address.authority(),
            draining=registration.draining,
            directory_revision=self.revision,
        )

    def usable(self, service: str) -> list[RegisteredServer]:
        """Return the servers of a service that may get new work."""
        now = self.clock()
        return [
            state
            for state in self.by_service.get(service, ())
            if state.accepts_work(now)
        ]

    def retry_after_s(self, service: str) -> float | None:
        """Return when a service whose servers accept no work may do so.

        In seconds; None if a server accepts work or none is registered.
        """
        servers = self.by_service.get(service, ())
        now = self.clock()
        if not servers or any(state.accepts_work(now) for state in servers):
            return None
        ends_s = [s.retry_at_s for s in servers if not s.is_leaving(now)]
        return min(ends_s) - now if ends_s else REPLACEMENT_S

    def record_leaving(
        self, state: RegisteredServer, request_id: str, source: str = ''
    ) -> bool:
        """Record that a server announced that it leaves.

        Returns False if that was known, or if its registration is no longer
        that of this incarnation.

        Parameters
        ----------
        state : RegisteredServer
        request_id : str
            Request whose response announced it; empty if a peer did.
        source : str
            Name of the peer that announced it.
        """
        if state.leaving or self.servers.get(state.server_id) is not state:
            return False
        state.leaving = True
        log_events.log_event(
            LOG,
            events.SERVER_LEAVING,
            server=state.server_id,
            request_id=request_id,
            source=source,
        )
        return True

    def record_retry_later(
        self,
        state: RegisteredServer,
        seconds: float,
        rng: random.Random,
        request_id: str,
    ) -> None:
        """Record that a server wants no request for some time.

        A time that ends later is kept.
        """
        spread_s = max(MIN_RETURN_SPREAD_S, RETURN_SPREAD * seconds)
        wait_s = seconds + rng.uniform(0, spread_s) if seconds > 0 else 0.0
        state.retry_at_s = max(state.retry_at_s, self.clock() + wait_s)
        log_events.log_event(
            LOG,
            events.SERVER_ASKED_FOR_TIME,
            server=state.server_id,
            request_id=request_id,
            seconds=round(seconds, 3),
            held_s=round(wait_s, 3),
        )

    def record_invalid_time(
        self, state: RegisteredServer, text: str, request_id: str
    ) -> None:
        """Log a time that is no number of seconds, once for each server."""
        if state.sent_invalid_time:
            return
        state.sent_invalid_time = True
        log_events.log_event(
            LOG,
            events.RETRY_TIME_INVALID,
            server=state.server_id,
            request_id=request_id,
            value=text[:40],
        )

    def count_leaving(self) -> int:
        """Return how many servers announced in a response that they leave."""
        return sum(state.leaving for state in self.servers.values())

    def count_waiting(self) -> int:
        """Return how many servers want no request of this instance now."""
        now = self.clock()
        return sum(now < state.retry_at_s for state in self.servers.values())

    def record(
        self, observation: evidence.Observation, source: str
    ) -> evidence.Shift | None:
        """Record an observation of this or another instance.

        Returns how much the estimates changed, or None for an unknown server.

        Parameters
        ----------
        observation : Observation
        source : str
            Name of the instance that made the observation, or of the relay
            that passed it on.
        """
        state = self.servers.get(observation.server_id)
        if state is None:
            return None
        now = self.clock()
        shift = state.estimate.record(observation, now)
        state.last_used_s = max(state.last_used_s, now - observation.elapsed_s)
        service = state.registration.service
        if observation.signal is not evidence.HealthSignal.STALLED:
            self.recent_dispatches(service).record(now)
        if observation.signal is evidence.HealthSignal.SHED:
            state.record_shed(now)
        suspected = state.estimate.failure_probability >= SUSPECTED_PROBABILITY
        if suspected != state.suspected:
            state.suspected = suspected
            self.log_suspicion(state, observation, source)
        return shift

    def recent_dispatches(self, service: str) -> coverage.RecentDispatches:
        """Return the recent dispatches of the region to a service."""
        return self.dispatches.setdefault(service, coverage.RecentDispatches())

    def log_suspicion(self, state, observation, source: str) -> None:
        """Log that a server became or is no longer suspected of failing."""
        event = events.SUSPICION_CLEARED
        if state.suspected:
            event = events.SERVER_SUSPECTED
        log_events.log_event(
            LOG,
            event,
            server=state.server_id,
            failing=round(state.estimate.failure_probability, 3),
            slowness=round(state.estimate.slowness, 2),
            sign=observation.signal.name.lower(),
            source=source,
        )

    def listed(self) -> tuple[configuration.Registration, ...]:
        """Return all entries that have not lapsed."""
        return tuple(
            state.registration
            for state in self.servers.values()
            if state.lapsed_until_s is None
        )

    def lapsed(self) -> tuple[configuration.Registration, ...]:
        """Return the lapsed entries that may still return."""
        return tuple(
            state.registration
            for state in self.servers.values()
            if state.lapsed_until_s is not None
        )
