"""Exchange of evidence, members and published state between instances."""

import asyncio
import logging
import random

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_instance import events
from citronshelf_instance import evidence
from citronshelf_instance import membership
from citronshelf_instance import peer_messages
from citronshelf_instance import published

LOG = logging.getLogger(__name__)

TICK_S = 0.5
HEARTBEAT_S = 2.0
HEARTBEAT_PEERS = 2
HEARTBEAT_MEMBERS = 6
# Messages to other regions are paid for by volume.
FAR_HEARTBEAT_S = 8.0
# Evidence goes to at most this many instances, so that its cost for one
# instance does not grow with the fleet.
MAX_EVIDENCE_PEERS = 64
# Instances that each instance tells about a new publication.
NEWS_PEERS = 3
FAR_NEWS_PEERS = 1
# Signs that move the belief by this much are told at once, with those that
# follow immediately. Others wait: they tell how much a single failure says.
URGENT_FAILING_SHIFT = 0.1
URGENT_SLOWNESS_SHIFT = 0.6
URGENT_DELAY_S = 0.02
EVIDENCE_DELAY_S = 1.0
MAX_PENDING_ROWS = 200
FETCH_EVERY_S = 0.5


class Peers:
    """Links to the other instances.

    Parameters
    ----------
    own : Member
    seeds : list of Address
        Some instances that may be known, stale or down.
    links : ZmqLinks
    state : PublishedState
    members : Membership
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        *,
        own: peer_messages.Member,
        seeds: list[fleet.Address],
        links,
        state: published.PublishedState,
        members: membership.Membership,
        clock,
        rng: random.Random,
    ):
        self.own = own
        self.set_seeds(seeds)
        self.links = links
        self.state = state
        self.members = members
        self.clock = clock
        self.rng = rng
        self.rows: list[evidence.Observation] = []
        self.flushing: asyncio.TimerHandle | None = None
        self.heartbeat_s = 0.0
        self.far_heartbeat_s = 0.0
        self.fetched_s = float('-inf')
        self.told_revision = lambda revision: None
        links.on_message = self.receive

    def set_seeds(self, seeds: list[fleet.Address]) -> None:
        """Take the addresses of instances that may be known."""
        self.seeds = [seed for seed in seeds if seed != self.own.address]

    async def run(self) -> None:
        """Keep the membership alive until cancelled."""
        while True:
            self.greet()
            for member in self.members.expire():
                self.links.disconnect(member.address)
            now = self.clock()
            if now >= self.heartbeat_s:
                self.heartbeat_s = now + HEARTBEAT_S
                self.send_heartbeats()
            await asyncio.sleep(TICK_S * self.rng.uniform(0.8, 1.2))

    def greet(self) -> None:
        """Introduce this instance where it may not be known."""
        message = peer_messages.Join(self.own, self.state.news_revision)
        if not self.members.known:
            for seed in self.seeds:
                self.send(seed, message)
        for known in self.members.of_region():
            if not known.direct:
                self.send(known.member.address, message)

    def send_heartbeats(self) -> None:
        """Tell a few instances about this one and some others."""
        near = self.members.of_region()
        chosen = self.rng.sample(near, min(HEARTBEAT_PEERS, len(near)))
        now = self.clock()
        far = self.members.elsewhere()
        if far and now >= self.far_heartbeat_s:
            self.far_heartbeat_s = now + FAR_HEARTBEAT_S
            chosen.append(self.rng.choice(far))
            self.greet_unknown_seed()
        message = self.heartbeat(HEARTBEAT_MEMBERS)
        for known in chosen:
            self.send(known.member.address, message)

    def greet_unknown_seed(self) -> None:
        """Introduce this instance to a seed that is not a member.

        Groups of instances that began with different seeds find each other.
        """
        known = {one.member.address for one in self.members.known.values()}
        unknown = [seed for seed in self.seeds if seed not in known]
        if unknown:
            message = peer_messages.Join(self.own, self.state.news_revision)
            self.send(self.rng.choice(unknown), message)

    def spread_news(self) -> None:
        """Tell a few instances at once that something new is published.

        An instance whose watch missed the change learns about it here.
        """
        near = self.members.of_region()
        far = self.members.elsewhere()
        chosen = self.rng.sample(near, min(NEWS_PEERS, len(near)))
        chosen += self.rng.sample(far, min(FAR_NEWS_PEERS, len(far)))
        message = self.heartbeat(0)
        for known in chosen:
            self.send(known.member.address, message)

    def heartbeat(self, members: int) -> peer_messages.Heartbeat:
        """Return a heartbeat that names some members."""
        return peer_messages.Heartbeat(
            self.own, self.state.news_revision, self.members.sample(members)
        )

    def send(self, address: fleet.Address, message) -> bool:
        """Send to the address of an instance."""
        self.links.connect(address)
        return self.links.send(address, peer_messages.CODEC.encode(message))

    def receive(self, route, data: bytes) -> None:
        """Take a message of another instance."""
        decoded = peer_messages.CODEC.decode(data)
        if decoded.is_error():
            log_events.log_event(
                LOG,
                events.PEER_MESSAGE_REFUSED,
                reason=decoded.error[:200],
            )
            return
        message = decoded.ok
        if message.sender.instance == self.own.instance:
            return
        if isinstance(message, peer_messages.Leave):
            self.members.forget(message.sender.instance)
            self.links.disconnect(message.sender.address)
            return
        self.members.hear(message.sender)
        self.take(message)

    def take(self, message) -> None:
        """Act on a message of a known instance."""
        match message:
            case peer_messages.Join():
                reply = self.heartbeat(peer_messages.MAX_MEMBERS)
                self.send(message.sender.address, reply)
                self.told_revision(message.revision)
            case peer_messages.Heartbeat():
                for member in message.members:
                    self.members.learn(member)
                self.told_revision(message.revision)
            case peer_messages.Evidence():
                for row in message.rows:
                    self.state.directory.record(row, message.sender.instance)
                self.told_revision(message.revision)
            case peer_messages.FetchState():
                self.answer_fetch(message)
            case peer_messages.StateCopy():
                self.take_copy(message)

    def answer_fetch(self, message: peer_messages.FetchState) -> None:
        """Give the published state to an instance that is behind."""
        if self.state.revision > message.revision and self.state.is_known():
            copy = peer_messages.StateCopy(self.own, self.state.snapshot())
            self.send(message.sender.address, copy)

    def take_copy(self, message: peer_messages.StateCopy) -> None:
        """Take the published state from another instance."""
        if message.snapshot.revision <= self.state.revision:
            return
        log_events.log_event(
            LOG,
            events.STATE_FROM_PEER,
            peer=message.sender.instance,
            revision=message.snapshot.revision,
            known_revision=self.state.revision,
        )
        self.state.replace(message.snapshot, source=message.sender.instance)

    def fetch(self) -> None:
        """Ask an instance of the region for the published state."""
        now = self.clock()
        near = self.members.of_region() or self.members.elsewhere()
        if not near or now - self.fetched_s < FETCH_EVERY_S:
            return
        self.fetched_s = now
        chosen = self.rng.choice(near)
        message = peer_messages.FetchState(self.own, self.state.revision)
        self.send(chosen.member.address, message)

    def observe(self, observation: evidence.Observation) -> None:
        """Record a sign of this instance and tell the others."""
        shift = self.state.directory.record(observation, self.own.instance)
        if shift is None:
            return
        self.rows.append(observation)
        if len(self.rows) >= MAX_PENDING_ROWS:
            self.flush_within(0.0)
            return
        urgent = is_urgent(observation, shift)
        self.flush_within(URGENT_DELAY_S if urgent else EVIDENCE_DELAY_S)

    def flush_within(self, delay_s: float) -> None:
        """Send the signs after a delay at the latest."""
        loop = asyncio.get_running_loop()
        due_s = loop.time() + delay_s
        if self.flushing is not None:
            if self.flushing.when() <= due_s:
                return
            self.flushing.cancel()
        self.flushing = loop.call_at(due_s, self.flush)

    def flush(self) -> None:
        """Send the signs of the last moment to the region."""
        self.flushing = None
        rows = tuple(self.rows[: peer_messages.MAX_ROWS])
        del self.rows[: len(rows)]
        near = self.members.of_region()
        if len(near) > MAX_EVIDENCE_PEERS:
            near = self.rng.sample(near, MAX_EVIDENCE_PEERS)
        message = peer_messages.Evidence(
            self.own, self.state.news_revision, rows
        )
        for known in near:
            self.send(known.member.address, message)
        if self.rows:
            self.flush_within(0.0)

    def close(self) -> None:
        """Send nothing more."""
        if self.flushing is not None:
            self.flushing.cancel()
            self.flushing = None

    def leave(self) -> None:
        """Tell the region that this instance ends."""
        message = peer_messages.Leave(self.own)
        for known in self.members.of_region():
            self.send(known.member.address, message)


def is_urgent(
    observation: evidence.Observation, shift: evidence.Shift
) -> bool:
    """Tell whether other instances need a sign at once."""
    return (
        observation.sign is evidence.Sign.SHED
        or shift.failing >= URGENT_FAILING_SHIFT
        or shift.slowness >= URGENT_SLOWNESS_SHIFT
    )
