"""Exchange of members, published state and retry credits with peers."""

import asyncio
import collections
from collections.abc import Hashable
from collections.abc import Iterable
import logging
import random
from typing import NamedTuple

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import configuration_exchange
from citronshelf_instance import events
from citronshelf_instance import evidence_exchange
from citronshelf_instance import membership
from citronshelf_instance import peer_messages
from citronshelf_instance import published
from citronshelf_instance import reader_group
from citronshelf_instance import transit_times
from citronshelf_instance import zone_relays

LOG = logging.getLogger(__name__)

MEMBERSHIP_INTERVAL_S = 0.5
HEARTBEAT_INTERVAL_S = 2.0
# Numbers of instances of its own zone and of the other zones of its region to
# which an instance sends heartbeats. Each member of a region is then heard of
# everywhere within half of the time after which it expires.
ZONE_HEARTBEAT_PEERS = 3
RELAY_HEARTBEAT_PEERS = 1
HEARTBEAT_MEMBERS = 6
# Instances that are asked after the seeds, once, for all the members that they
# know. A list has 25 KB in a fleet of 300 instances.
LIST_PEERS = 2
# Longer than within the region: traffic between regions is billed by volume.
REMOTE_HEARTBEAT_INTERVAL_S = 8.0
# Numbers of neighbours and of instances of other regions to which an instance
# announces a new publication.
ANNOUNCEMENT_PEERS = 3
REMOTE_ANNOUNCEMENT_PEERS = 1
# Neighbours that are asked for a retry credit at once. The contacts in other
# regions are asked after them.
CREDIT_PEERS = 16
FETCH_INTERVAL_S = 0.5
# Interval between the first requests for the state after a start; it doubles
# up to FETCH_INTERVAL_S with each request.
INITIAL_FETCH_INTERVAL_S = 0.1
# Instances that are tried for one request, in case that their connections are
# not established.
MAX_FETCH_ATTEMPTS = 4
# Instances remembered because they announced a newer change.
MAX_INFORMED_PEERS = 8
# An instance sends copies of its state at this interval, after a pause of
# MAX_COPY_CREDIT_S several at once. Those that get none ask another instance.
COPY_INTERVAL_S = 0.05
MAX_COPY_CREDIT_S = 1.0
# Interval between attempts to send the first ``Join`` while no connection to a
# seed is established.
JOIN_RETRY_INTERVAL_S = 0.1
# A connection is closed this long after its instance was last a contact, so
# that a short change of the known members closes none.
FORMER_CONTACT_S = 10.0


# Sent until the process ends: requests that arrive after the announcement of
# the end need tokens too, and these messages make nobody a member.
QUOTA_MESSAGES = (peer_messages.QuotaReport, peer_messages.QuotaReply)


class InformedPeer(NamedTuple):
    """Route to an instance that announced a newer change."""

    revision: int
    route: Hashable


class Peers:
    """Sends and receives messages of other instances.

    Parameters
    ----------
    own : Member
    seeds : list of Address
        Addresses of some instances for the first contact. They may already
        be members, be outdated or be down.
    links : ZmqLinks
    state : PublishedState
    members : Membership
    readers : ReaderGroup
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
        readers: reader_group.ReaderGroup,
        clock,
        rng: random.Random,
    ):
        self.own = own
        self.set_seeds(seeds)
        self.links = links
        self.state = state
        self.members = members
        self.readers = readers
        self.clock = clock
        self.rng = rng
        self.zones = zone_relays.ZoneRelays(members=members)
        self.evidence = evidence_exchange.EvidenceExchange(
            own=own,
            state=state,
            zones=self.zones,
            send=self.send,
            broadcast=self.broadcast,
            clock=clock,
            rng=rng,
        )
        self.transit = transit_times.TransitTimes(clock=clock)
        self.configurations = configuration_exchange.ConfigurationExchange(
            own=own,
            state=state,
            zones=self.zones,
            readers=readers,
            send=self.send,
            reply=self.reply,
            transit=self.transit,
            clock=clock,
            rng=rng,
        )
        self.next_heartbeat_s = 0.0
        self.next_remote_heartbeat_s = 0.0
        self.has_left = False
        self.next_fetch_s = float('-inf')
        self.fetch_interval_s = INITIAL_FETCH_INTERVAL_S
        self.informed: collections.deque[InformedPeer] = collections.deque(
            maxlen=MAX_INFORMED_PEERS
        )
        self.next_copy_s = float('-inf')
        # Time at which each instance was last chosen as a contact.
        self.chosen_s: dict[fleet.Address, float] = {}
        self.lists_to_request = LIST_PEERS
        self.on_peer_revision = lambda revision: None
        self.is_store_current = lambda: False
        self.lend_credit = lambda service: None
        self.on_credit_reply = lambda number, valid_s: None
        self.on_quota_report = lambda message, route: None
        self.on_quota_reply = lambda message: None
        links.on_message = self.receive

    def set_seeds(self, seeds: list[fleet.Address]) -> None:
        """Replace the seed addresses, leaving out the own address."""
        self.seeds = [seed for seed in seeds if seed != self.own.address]

    async def run(self) -> None:
        """Send joins and heartbeats and expire members until cancelled."""
        while True:
            is_joined = self.send_joins() or bool(self.members.known)
            for member in self.members.expire():
                self.links.disconnect(member.address)
            now = self.clock()
            if now >= self.next_heartbeat_s:
                self.next_heartbeat_s = now + HEARTBEAT_INTERVAL_S
                self.send_heartbeats()
            interval_s = (
                MEMBERSHIP_INTERVAL_S if is_joined else JOIN_RETRY_INTERVAL_S
            )
            await asyncio.sleep(interval_s * self.rng.uniform(0.8, 1.2))

    def send_joins(self) -> bool:
        """Introduce this instance to others that may not know it.

        While no neighbour is known, requests members from the seeds. After
        that, the neighbours and readers from which no message was received
        directly get a heartbeat. After the start, ``LIST_PEERS`` of them get a
        ``Join`` instead: the seeds may have known few members. Returns whether
        a message was queued.
        """
        contacts = self.zones.neighbours() + self.readers.others()
        if not contacts:
            join = peer_messages.Join(self.own, self.state.change_revision)
            return any([self.send(seed, join) for seed in self.seeds])
        for peer in contacts + self.zones.remote_contacts():
            # Messages are dropped until a connection is established.
            self.links.connect(peer.member.address)
        self.close_former(contacts + self.zones.remote_contacts())
        addresses = [
            peer.member.address for peer in contacts if not peer.direct
        ]
        return any([self.send_greeting(address) for address in addresses])

    def close_former(self, contacts: list[membership.KnownMember]) -> None:
        """Close connections to instances that are no longer contacts.

        Others are chosen while few members are known. A reader keeps its
        connections, since it reports to the whole region, and so does every
        instance to the seeds.
        """
        now = self.clock()
        self.chosen_s.update({peer.member.address: now for peer in contacts})
        if self.readers.is_reader():
            return
        for address, chosen_s in list(self.chosen_s.items()):
            if now - chosen_s >= FORMER_CONTACT_S:
                del self.chosen_s[address]
                if address not in self.seeds:
                    self.links.disconnect(address)

    def send_greeting(self, address: fleet.Address) -> bool:
        """Introduce this instance; request the members if it needs them."""
        if self.lists_to_request == 0:
            return self.send(address, self.make_heartbeat(0))
        join = peer_messages.Join(self.own, self.state.change_revision)
        is_sent = self.send(address, join)
        self.lists_to_request -= is_sent
        return is_sent

    def send_heartbeats(self) -> None:
        """Send heartbeats to a few random neighbours.

        If instances of other regions are known, also sends a heartbeat to one
        of them every ``REMOTE_HEARTBEAT_INTERVAL_S``. A seed that is not a
        member gets a ``Join``.
        """
        own_zone = self.zones.own_zone()
        relays = [
            peer for zone in self.zones.other_zones().values() for peer in zone
        ]
        now = self.clock()
        for peer in self.sample(own_zone, ZONE_HEARTBEAT_PEERS):
            self.send_heartbeat(
                peer, HEARTBEAT_MEMBERS, self.members.known.values()
            )
        for peer in self.sample(relays, RELAY_HEARTBEAT_PEERS):
            self.send_heartbeat(peer, HEARTBEAT_MEMBERS, own_zone)
        remote = self.zones.remote_contacts()
        if remote and now >= self.next_remote_heartbeat_s:
            # Spread, so that one of a region is always about to be sent.
            interval_s = REMOTE_HEARTBEAT_INTERVAL_S * self.rng.uniform(
                0.5, 1.5
            )
            self.next_remote_heartbeat_s = now + interval_s
            self.send_heartbeat(
                self.rng.choice(remote), 0, self.members.in_region()
            )
        self.join_unknown_seed()

    def send_heartbeat(
        self,
        peer: membership.KnownMember,
        described: int,
        aged: Iterable[membership.KnownMember],
    ) -> None:
        """Send a heartbeat and the ages of some members.

        Parameters
        ----------
        peer : KnownMember
        described : int
            Number of random members in the heartbeat.
        aged : iterable of KnownMember
            Those that the receiver hears least of from others.
        """
        address = peer.member.address
        self.send(address, self.make_heartbeat(described))
        ages = peer_messages.MemberAges(
            self.own, self.members.ages(aged), self.members.departures()
        )
        self.send(address, ages)

    def join_unknown_seed(self) -> None:
        """Send ``Join`` to a seed that is not a member.

        This joins groups of instances that started from different seeds, and
        seeds that became members through others before they heard each other.
        """
        known_addresses = {
            peer.member.address for peer in self.members.known.values()
        }
        unknown = [seed for seed in self.seeds if seed not in known_addresses]
        if unknown:
            message = peer_messages.Join(self.own, self.state.change_revision)
            self.send(self.rng.choice(unknown), message)

    def announce_change(self) -> None:
        """Announce a new publication to a few instances without delay.

        This reaches instances whose watch of the store missed the change.
        """
        chosen = self.sample(self.zones.neighbours(), ANNOUNCEMENT_PEERS)
        chosen += self.sample(
            self.zones.remote_contacts(), REMOTE_ANNOUNCEMENT_PEERS
        )
        newest = self.state.configuration
        if newest and newest.revision == self.state.change_revision:
            # First, so that receivers wait for it instead of reading it.
            self.configurations.announce(chosen)
        message = self.make_heartbeat(0)
        for peer in chosen:
            self.send(peer.member.address, message)

    def send_report(
        self, delta: configuration.RegistrationDelta | None = None
    ) -> None:
        """Report to the region if this instance reads the store for it.

        Sends nothing while the store does not respond, so that the others
        watch it themselves.
        """
        if not self.readers.is_reader():
            return
        if not self.is_store_current():
            return
        delta = delta or self.state.empty_delta()
        message = peer_messages.ReaderReport(
            self.own,
            self.state.change_revision,
            self.state.directory.recovered_ago_s(),
            delta,
            self.state.confirmed_ago_s(delta),
            self.clock(),
        )
        self.broadcast(
            [peer.member.address for peer in self.members.in_region()],
            message,
        )

    def make_heartbeat(self, members: int) -> peer_messages.Heartbeat:
        """Return a heartbeat with a sample of at most ``members`` members."""
        return peer_messages.Heartbeat(
            self.own, self.state.change_revision, self.members.sample(members)
        )

    def send(self, address: fleet.Address, message) -> bool:
        """Send a message, connecting to the address first if needed.

        Returns False if the message was dropped because it could not be
        queued, or because this instance has left and it is not on quotas.
        """
        if self.has_left and not isinstance(message, QUOTA_MESSAGES):
            return False
        self.links.connect(address)
        return self.links.send(address, peer_messages.CODEC.encode(message))

    def broadcast(self, addresses: list[fleet.Address], message) -> None:
        """Send a message to several instances, encoding it once."""
        if self.has_left or not addresses:
            return
        data = peer_messages.CODEC.encode(message)
        for address in addresses:
            self.links.connect(address)
            self.links.send(address, data)

    def reply(self, route, message) -> bool:
        """Send a message on the connection by which a request arrived.

        The own connection to a restarted instance may still lead to its
        previous process. Returns False as ``send`` does.
        """
        if self.has_left and not isinstance(message, QUOTA_MESSAGES):
            return False
        return self.links.send(route, peer_messages.CODEC.encode(message))

    def receive(self, route, data: bytes) -> None:
        """Decode and handle a message.

        Logs and ignores an invalid message; ignores messages that this
        instance sent itself.
        """
        decoded = peer_messages.CODEC.decode(data)
        if decoded.is_error():
            log_events.log_event(
                LOG,
                events.PEER_MESSAGE_REFUSED,
                reason=decoded.error[:200],
            )
            return
        message = decoded.ok
        if self.handle_quota_message(message, route):
            return
        if message.sender.instance == self.own.instance:
            return
        if isinstance(message, peer_messages.Leave):
            key = peer_messages.member_key(message.sender)
            self.members.record_departures({key: 0})
            self.links.disconnect(message.sender.address)
            return
        was_direct = self.members.is_direct(message.sender)
        self.record_member(message.sender, self.members.record_message, route)
        self.handle(message, route)
        is_new = not was_direct and self.members.is_direct(message.sender)
        if is_new and isinstance(message, peer_messages.Heartbeat):
            self.answer_greeting(message.sender, route)

    def handle_quota_message(self, message, route) -> bool:
        """Handle a message on quotas, which does not describe its sender.

        Returns whether it is one.
        """
        match message:
            case peer_messages.QuotaReport():
                self.on_quota_report(message, route)
            case peer_messages.QuotaReply():
                self.on_quota_reply(message)
            case _:
                return False
        return True

    def record_member(
        self, member: peer_messages.Member, record, route=None
    ) -> None:
        """Record a member; drop the connection to its previous process.

        Parameters
        ----------
        member : Member
        record : callable
            ``record_message`` or ``record_member`` of the members.
        route : Address or bytes or None
            Route by which the member's own message arrived. A connection on
            which it responds leads to the new process.
        """
        before = self.members.known_member(member.instance)
        record(member)
        after = self.members.known_member(member.instance)
        if before is None or after.nonce == before.nonce:
            return
        if route != before.address:
            self.links.disconnect(before.address)

    def answer_greeting(self, sender: peer_messages.Member, route) -> None:
        """Reply to the first heartbeat of an instance, which may be waiting.

        Until it receives a message directly, it introduces itself again.
        """
        self.connect_to_zone(sender)
        self.reply(route, self.make_heartbeat(0))

    def connect_to_zone(self, sender: peer_messages.Member) -> None:
        """Connect to an instance of the own zone.

        Messages are dropped until the connection is established.
        """
        if sender.location == self.own.location:
            self.links.connect(sender.address)

    def handle(self, message, route) -> None:
        """Handle a message whose sender has been recorded as a member."""
        match message:
            case peer_messages.Join():
                self.connect_to_zone(message.sender)
                self.reply(route, self.make_list(message.sender))
                self.record_revision(message, route)
            case peer_messages.Heartbeat():
                for member in message.members:
                    self.record_member(member, self.members.record_member)
                self.record_revision(message, route)
            case peer_messages.MemberAges():
                self.handle_ages(message, route)
            case peer_messages.MembersRequest():
                self.reply(route, self.describe_members(message))
            case peer_messages.Evidence():
                self.evidence.receive(message)
                self.record_revision(message, route)
            case peer_messages.EvidenceForZone():
                self.evidence.relay(message)
                self.record_revision(message, route)
            case peer_messages.ReaderReport():
                self.handle_report(message)
            case peer_messages.ServerLeaving():
                self.evidence.receive_leaving(message)
            case peer_messages.ServerLeavingForZone():
                self.evidence.relay_leaving(message)
            case peer_messages.ConfigurationNotice():
                self.configurations.receive_notice(message, route)
            case peer_messages.ConfigurationRequest():
                self.configurations.answer(message, route)
            case (
                peer_messages.ConfigurationCopy()
                | peer_messages.ConfigurationDifference()
            ):
                self.configurations.receive(message, route)
            case peer_messages.FetchState():
                self.send_state(message, route)
            case peer_messages.StateCopy():
                self.apply_state_copy(message)
            case peer_messages.RetryCreditRequest():
                self.reply(route, self.make_credit_reply(message))
            case peer_messages.RetryCreditReply():
                self.on_credit_reply(message.number, message.valid_s)

    def record_revision(self, message, route) -> None:
        """Record the newest change that the sender of a message knows.

        Senders that know a newer one are the first that the state is
        requested from, over the connection by which their message arrived.
        Readers are not, since their reports reach the whole region.
        """
        if message.revision > self.state.revision:
            self.informed.append(InformedPeer(message.revision, route))
        self.on_peer_revision(message.revision)

    def make_list(
        self, sender: peer_messages.Member
    ) -> peer_messages.Heartbeat:
        """Return the reply to ``Join``: the members of the sender's region.

        It learns most members of other regions from its zone.
        """
        members, others = [], []
        for peer in self.members.known.values():
            is_near = peer.member.location.region == sender.location.region
            (members if is_near else others).append(peer)
        described = self.sample(
            members, peer_messages.MAX_MEMBERS - zone_relays.REMOTE_CONTACTS
        ) + self.sample(others, zone_relays.REMOTE_CONTACTS)
        return peer_messages.Heartbeat(
            self.own,
            self.state.change_revision,
            self.members.describe(described),
        )

    def handle_ages(self, message: peer_messages.MemberAges, route) -> None:
        """Record ages and departures; request members that are not known."""
        for member in self.members.record_departures(message.departed_tenths):
            self.links.disconnect(member.address)
        unknown = self.members.record_ages(message.tenths)
        if unknown:
            request = peer_messages.MembersRequest(
                self.own, unknown[: peer_messages.MAX_MEMBERS]
            )
            self.reply(route, request)

    def describe_members(
        self, message: peer_messages.MembersRequest
    ) -> peer_messages.Heartbeat:
        """Return the reply to a request for members."""
        return peer_messages.Heartbeat(
            self.own,
            self.state.change_revision,
            self.members.find(message.keys),
        )

    def handle_report(self, message: peer_messages.ReaderReport) -> None:
        """Apply the report of a reader of this region."""
        directory = self.state.directory
        if message.recovered_ago_s is not None and directory.may_have_lapsed():
            directory.record_store_recovery(message.recovered_ago_s)
        confirmed_ago_s = self.transit.age_s(
            message.sender, message.sent_s, message.confirmed_ago_s
        )
        self.state.apply_delta(message.delta, confirmed_ago_s)
        self.on_peer_revision(max(message.revision, message.delta.after))

    def send_state(self, message: peer_messages.FetchState, route) -> None:
        """Reply with the published state if the requester's is older.

        An instance that cannot route requests itself does not reply, nor one
        that has sent many copies within the last second.
        """
        now = self.clock()
        is_newer = self.state.revision > message.revision
        if not (is_newer and self.state.is_routable()):
            return
        if now < self.next_copy_s:
            return
        self.next_copy_s = COPY_INTERVAL_S + max(
            self.next_copy_s, now - MAX_COPY_CREDIT_S
        )
        copy = peer_messages.StateCopy(
            self.own, self.state.snapshot(), self.clock()
        )
        self.reply(route, copy)

    def apply_state_copy(self, message: peer_messages.StateCopy) -> None:
        """Apply the published state of a peer if it is newer.

        An instance that cannot route requests applies an older one as well.
        """
        is_newer = message.snapshot.revision > self.state.revision
        if not is_newer and self.state.is_routable():
            return
        log_events.log_event(
            LOG,
            events.STATE_FROM_PEER,
            peer=message.sender.instance,
            revision=message.snapshot.revision,
            known_revision=self.state.revision,
        )
        snapshot = message.snapshot._replace(
            confirmed_ago_s=self.transit.age_s(
                message.sender,
                message.sent_s,
                message.snapshot.confirmed_ago_s,
            )
        )
        self.state.replace(snapshot, source=message.sender.instance)

    def fetch_state(self) -> None:
        """Request the published state from another instance.

        Requests are at least ``FETCH_INTERVAL_S`` apart, at first
        ``INITIAL_FETCH_INTERVAL_S``. If no connection is established, the
        next call tries again.
        """
        now = self.clock()
        if now < self.next_fetch_s:
            return
        known_revision = self.state.revision if self.state.is_routable() else 0
        message = peer_messages.FetchState(self.own, known_revision)
        self.next_fetch_s = now + INITIAL_FETCH_INTERVAL_S
        if self.send_to_informed(message) or self.send_to_any(message):
            self.next_fetch_s = now + self.fetch_interval_s
            self.fetch_interval_s = min(
                2 * self.fetch_interval_s, FETCH_INTERVAL_S
            )

    def send_to_informed(self, message) -> bool:
        """Send to the instance that announced a newer change last.

        Each is tried once for an announcement. Returns False if none is left.
        """
        while self.informed:
            peer = self.informed.pop()
            if peer.revision > message.revision and self.reply(
                peer.route, message
            ):
                return True
        return False

    def send_to_any(self, message) -> bool:
        """Send to one random instance, connecting to a few if needed.

        Neighbours are preferred; seeds are used while no member is known.
        Returns False if no connection was established.
        """
        known = self.zones.neighbours() or self.zones.remote_contacts()
        addresses = [peer.member.address for peer in known] or self.seeds
        chosen = self.rng.sample(
            addresses, min(MAX_FETCH_ATTEMPTS, len(addresses))
        )
        return any(self.send(address, message) for address in chosen)

    def ask_for_credit(
        self,
        service: str,
        number: int,
        *,
        is_remote: bool,
        limit: int | None = None,
    ) -> int:
        """Ask other instances for a credit of a retry budget.

        Parameters
        ----------
        service : str
        number : int
            Identifies the request in the replies.
        is_remote : bool
            Ask the contacts in other regions instead of neighbours.
        limit : int or None
            Most neighbours to ask; ``CREDIT_PEERS`` if None.

        Returns
        -------
        int
            How many instances were asked.
        """
        message = peer_messages.RetryCreditRequest(self.own, service, number)
        if is_remote:
            chosen = self.zones.remote_contacts()
        else:
            chosen = self.sample(
                self.zones.neighbours(), limit or CREDIT_PEERS
            )
        return sum(self.send(peer.member.address, message) for peer in chosen)

    def make_credit_reply(
        self, message: peer_messages.RetryCreditRequest
    ) -> peer_messages.RetryCreditReply:
        """Return the reply, with a credit of this instance if it has one."""
        return peer_messages.RetryCreditReply(
            self.own, message.number, self.lend_credit(message.service)
        )

    def sample(
        self, members: list[membership.KnownMember], limit: int
    ) -> list[membership.KnownMember]:
        """Return at most ``limit`` of the members, chosen at random."""
        if len(members) > limit:
            return self.rng.sample(members, limit)
        return list(members)

    def close(self) -> None:
        """Cancel scheduled messages, so that nothing more is sent."""
        self.evidence.close()
        self.configurations.close()

    def leave(self) -> None:
        """Announce to all instances that this one stops.

        Those without a connection learn it from others, or when this instance
        expires. Nothing is sent after that.
        """
        message = peer_messages.CODEC.encode(peer_messages.Leave(self.own))
        for peer in list(self.members.known.values()):
            self.links.send(peer.member.address, message)
        self.has_left = True
