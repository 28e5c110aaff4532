"""Exchange of observations of servers between the instances of a region."""

import asyncio
from collections.abc import Callable
import random

from citronshelf_common import fleet
from citronshelf_instance import evidence
from citronshelf_instance import membership
from citronshelf_instance import peer_messages
from citronshelf_instance import published
from citronshelf_instance import registrations
from citronshelf_instance import zone_relays

# Passes on to at most this many instances of the zone, so that the cost of a
# relay does not grow with the fleet.
MAX_ZONE_PEERS = 64
# In zones with more instances, observations go to a relay of the zone, which
# merges them. Sent to each other by all, they were most of the messages of a
# fleet of 124 instances: 63 of 73 that an instance received in a second.
MAX_DIRECT_PEERS = 16
# Observations that change the estimates by at least this much, and those of
# requests that a server refused, are sent almost at once, in one message with
# those of the next URGENT_DELAY_S. Others wait for up to EVIDENCE_DELAY_S:
# they only affect how much weight a later failure has.
URGENT_FAILING_SHIFT = 0.1
URGENT_SLOWNESS_SHIFT = 0.6
URGENT_DELAY_S = 0.002
EVIDENCE_DELAY_S = 1.0
# A relay passes on in one message what it received within this time.
RELAY_DELAY_S = 0.02
MAX_PENDING_OBSERVATIONS = 200


Observations = tuple[evidence.Observation, ...]


class Batch:
    """Observations that wait for the next message.

    Parameters
    ----------
    send : callable
        Called with a tuple of ``Observation``, and with a tuple of the
        instances that sent them.
    clock : callable
        Monotonic seconds.
    """

    def __init__(
        self,
        *,
        send: Callable[[Observations, tuple[str, ...]], None],
        clock,
    ):
        self.send = send
        self.clock = clock
        self.pending: list[evidence.PendingObservation] = []
        self.timer: asyncio.TimerHandle | None = None

    def add(
        self,
        observation: evidence.Observation,
        delay_s: float,
        origin: str = '',
    ) -> None:
        """Add an observation that is sent within ``delay_s`` seconds.

        Parameters
        ----------
        observation : Observation
        delay_s : float
        origin : str
            Name of the instance that sent it; empty for this one.
        """
        self.pending.append(
            evidence.PendingObservation(observation, self.clock(), origin)
        )
        is_full = len(self.pending) >= MAX_PENDING_OBSERVATIONS
        self.schedule(0.0 if is_full else delay_s)

    def schedule(self, delay_s: float) -> None:
        """Schedule a message after at most ``delay_s`` seconds."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        if self.timer is not None:
            if self.timer.when() <= due_s:
                return
            self.timer.cancel()
        self.timer = loop.call_at(due_s, self.flush)

    def flush(self) -> None:
        """Send what waits; what does not fit is sent in another message."""
        self.timer = None
        now = self.clock()
        batch = self.pending[: peer_messages.MAX_OBSERVATIONS]
        del self.pending[: len(batch)]
        self.send(
            tuple(pending.to_send(now) for pending in batch),
            tuple(pending.origin for pending in batch),
        )
        if self.pending:
            self.schedule(0.0)

    def close(self) -> None:
        """Cancel the scheduled message."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class EvidenceExchange:
    """Sends observations to the region and records those of others.

    An observation goes to the instances of the own zone, in a large zone
    through one of its relays, and to one relay of each other zone of the
    region, which passes it on to its zone.

    Parameters
    ----------
    own : Member
    state : PublishedState
    zones : ZoneRelays
    send : callable
        Sends a message to an address; returns False if it was dropped.
    broadcast : callable
        Sends a message to several addresses.
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        *,
        own: peer_messages.Member,
        state: published.PublishedState,
        zones: zone_relays.ZoneRelays,
        send: Callable[[fleet.Address, object], bool],
        broadcast: Callable[[list[fleet.Address], object], None],
        clock,
        rng: random.Random,
    ):
        self.own = own
        self.state = state
        self.zones = zones
        self.send = send
        self.broadcast = broadcast
        self.rng = rng
        self.own_batch = Batch(send=self.send_to_region, clock=clock)
        self.relayed_batch = Batch(send=self.pass_on, clock=clock)

    def record(self, observation: evidence.Observation) -> None:
        """Record an observation of this instance and queue it for peers.

        Ignores observations of servers that are no longer registered.
        """
        shift = self.state.directory.record(observation, self.own.instance)
        if shift is None:
            return
        urgent = is_urgent(observation, shift)
        self.own_batch.add(
            observation, URGENT_DELAY_S if urgent else EVIDENCE_DELAY_S
        )

    def send_to_region(
        self, observations: Observations, origins: tuple[str, ...]
    ) -> None:
        """Send observations of this instance to the region."""
        for_zone = peer_messages.EvidenceForZone(
            self.own, self.state.change_revision, observations
        )
        self.send_to_relays(for_zone)
        if not self.is_zone_large():
            self.send_to_own_zone(self.make_evidence(observations))
        elif self.zones.is_relay():
            for observation in observations:
                self.relayed_batch.add(observation, RELAY_DELAY_S)
        elif not self.send_to_any(self.zones.own_relays(), for_zone):
            self.send_to_own_zone(self.make_evidence(observations))

    def is_zone_large(self) -> bool:
        """Return whether the own zone exchanges evidence through relays."""
        return len(self.zones.own_zone()) > MAX_DIRECT_PEERS

    def make_evidence(
        self, observations: Observations
    ) -> peer_messages.Evidence:
        """Return the message with observations for the own zone."""
        return peer_messages.Evidence(
            self.own, self.state.change_revision, observations
        )

    def pass_on(
        self, observations: Observations, origins: tuple[str, ...]
    ) -> None:
        """Send relayed observations to the own zone.

        An instance does not get back its own, which it has recorded.
        """
        peers = self.sample_own_zone()
        senders = set(origins)
        self.broadcast(
            [
                peer.member.address
                for peer in peers
                if peer.member.instance not in senders
            ],
            self.make_evidence(observations),
        )
        for peer in peers:
            name = peer.member.instance
            if name in senders:
                others = tuple(
                    observation
                    for observation, origin in zip(
                        observations, origins, strict=True
                    )
                    if origin != name
                )
                if others:
                    self.send(peer.member.address, self.make_evidence(others))

    def send_to_own_zone(self, message) -> None:
        """Send to the instances of the own zone."""
        self.broadcast(
            [peer.member.address for peer in self.sample_own_zone()], message
        )

    def sample_own_zone(self) -> list[membership.KnownMember]:
        """Return the other instances of the own zone.

        In a zone with more than ``MAX_ZONE_PEERS``, random ones.
        """
        peers = self.zones.own_zone()
        if len(peers) > MAX_ZONE_PEERS:
            return self.rng.sample(peers, MAX_ZONE_PEERS)
        return peers

    def send_to_relays(self, message) -> None:
        """Send to one relay of each other zone that is connected."""
        for relays in self.zones.other_zones().values():
            self.send_to_any(relays, message)

    def send_to_any(
        self, relays: list[membership.KnownMember], message
    ) -> bool:
        """Send to a random relay, or to another if it is not connected."""
        shuffled = self.rng.sample(relays, len(relays))
        return any(
            self.send(peer.member.address, message) for peer in shuffled
        )

    def receive(self, message: peer_messages.Evidence) -> None:
        """Record the observations of another instance."""
        for observation in message.observations:
            self.state.directory.record(observation, message.sender.instance)

    def relay(self, message: peer_messages.EvidenceForZone) -> None:
        """Record the observations of an instance and pass them on."""
        origin = message.sender.instance
        for observation in message.observations:
            self.state.directory.record(observation, origin)
            self.relayed_batch.add(observation, RELAY_DELAY_S, origin)

    def report_leaving(self, server: registrations.RegisteredServer) -> None:
        """Tell the region that a server announced that it is leaving."""
        registration = server.registration
        fields = (self.own, registration.server_id, registration.started_ms)
        self.send_to_own_zone(peer_messages.ServerLeaving(*fields))
        self.send_to_relays(peer_messages.ServerLeavingForZone(*fields))

    def relay_leaving(
        self, message: peer_messages.ServerLeavingForZone
    ) -> None:
        """Record a leaving server and tell the own zone of it."""
        self.receive_leaving(message)
        self.send_to_own_zone(
            peer_messages.ServerLeaving(
                self.own, message.server_id, message.started_ms
            )
        )

    def receive_leaving(
        self,
        message: (
            peer_messages.ServerLeaving | peer_messages.ServerLeavingForZone
        ),
    ) -> None:
        """Record a leaving server unless it has been started again."""
        directory = self.state.directory
        server = directory.servers.get(message.server_id)
        if (
            server is not None
            and server.registration.started_ms == message.started_ms
        ):
            directory.record_leaving(server, '', message.sender.instance)

    def close(self) -> None:
        """Cancel scheduled messages, so that nothing more is sent."""
        self.own_batch.close()
        self.relayed_batch.close()


def is_urgent(
    observation: evidence.Observation, shift: evidence.Shift
) -> bool:
    """Return whether peers get an observation after ``URGENT_DELAY_S``."""
    return (
        observation.signal is evidence.HealthSignal.SHED
        or shift.failure_probability >= URGENT_FAILING_SHIFT
        or shift.slowness >= URGENT_SLOWNESS_SHIFT
    )
