"""Distribution of configurations within a region.

Load: versions of up to 1 MB, for up to hundreds of instances on links of 5 to
100 Mbit/s, while the link to the region of the store has 30 Mbit/s. Readers
get a version from the store. Each passes it on to a share of its region, from
instance to instance in a tree. The first of them also sends it to one instance
of each other region, which passes it on to the whole of that region, mostly
before the readers there have received it. An instance that lacks an announced
version asks a member of its zone, then the sender of the announcement, then
the store.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import itertools
import logging
import random

from expression import Result

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_instance import configuration
from citronshelf_instance import configuration_packing
from citronshelf_instance import events
from citronshelf_instance import membership
from citronshelf_instance import peer_messages
from citronshelf_instance import published
from citronshelf_instance import reader_group
from citronshelf_instance import transit_times
from citronshelf_instance import zone_relays

LOG = logging.getLogger(__name__)

# Instances to which one instance passes a version on. A tree of 24 instances,
# the share of a reader in a region of 146, then has three levels.
FANOUT = 3
# An instance that lacks an announced version asks at these times after the
# announcement: first a member of its zone, then the announcing reader. A
# difference takes under 0.1 s to all instances, a copy of 1 MB up to 0.6 s.
REQUEST_TIMES_S = (0.3, 0.5)
# It reads the store itself after this time. A change must be in force within
# 2.5 s, of which the pause of the readers takes up to 1.2 s.
EXPECTED_S = 0.7
# Limit on replies to requests, below the smallest link of an instance, and the
# time for which unused bytes are saved up.
REPLY_BYTES_PER_S = 500_000
MAX_REPLY_CREDIT_S = 0.5

Transfer = (
    peer_messages.ConfigurationCopy | peer_messages.ConfigurationDifference
)


class ConfigurationExchange:
    """Passes configurations on and requests those that are missing.

    Parameters
    ----------
    own : Member
    state : PublishedState
    zones : ZoneRelays
    readers : ReaderGroup
    send : callable
        Sends a message to an address; returns False if it was dropped.
    reply : callable
        Sends a message on the route by which another one arrived.
    transit : TransitTimes
    clock : callable
        Monotonic seconds.
    rng : random.Random

    Attributes
    ----------
    announced : int
        Newest revision that was announced or passed on to this instance.
    bytes_sent : int
        Bytes of the configurations sent.
    requests : int
        Requests sent for missing configurations.
    received : int
        Configurations applied that other instances sent.
    """

    def __init__(
        self,
        *,
        own: peer_messages.Member,
        state: published.PublishedState,
        zones: zone_relays.ZoneRelays,
        readers: reader_group.ReaderGroup,
        send: Callable[[fleet.Address, object], bool],
        reply: Callable[[object, object], bool],
        transit: transit_times.TransitTimes,
        clock,
        rng: random.Random,
    ):
        self.own = own
        self.state = state
        self.zones = zones
        self.readers = readers
        self.send = send
        self.reply = reply
        self.transit = transit
        self.clock = clock
        self.rng = rng
        self.announced = 0
        # When each announced revision that is not in force was announced,
        # oldest first.
        self.missing_s: dict[int, float] = {}
        self.timers: list[asyncio.TimerHandle] = []
        # Members that wait for a version which this instance lacks the base
        # for.
        self.waiting: set[int] = set()
        # Newest configuration in the form in which it is sent.
        self.copy: peer_messages.ConfigurationCopy | None = None
        self.difference: peer_messages.ConfigurationDifference | None = None
        self.delta: configuration.RegistrationDelta | None = None
        self.next_reply_s = float('-inf')
        self.on_applied = lambda: None
        self.bytes_sent = 0
        self.requests = 0
        self.received = 0

    def share(
        self,
        before: configuration.Configuration | None,
        newest: configuration.Configuration,
        delta: configuration.RegistrationDelta | None,
        is_alone: bool,
    ) -> None:
        """Pass on a configuration that this instance read from the store.

        A reader does so for its share of the region, since the others read
        the version at the same time. An instance that was alone, or that is
        not a reader, does so for the whole region unless the version has been
        announced.

        Parameters
        ----------
        before : Configuration or None
            The one that was in force before.
        newest : Configuration
        delta : RegistrationDelta or None
            Registrations that changed with it; None if unknown.
        is_alone : bool
            Whether the other readers left the store to this one.
        """
        if newest is not self.state.configuration:
            return
        is_new = newest.revision > self.announced
        shares = self.readers.is_reader() and not is_alone
        if not (is_new or shares):
            return
        self.record_announcement(newest.revision)
        self.delta = delta
        self.prepare(before, newest)
        transfer = self.difference or self.copy
        if is_new:
            self.send_to_other_regions(transfer)
            self.announce(self.readers.members.in_region())
        targets = self.share_of_region() if shares else self.whole_region()
        self.pass_on(transfer, targets)

    def announce(self, receivers: Iterable[membership.KnownMember]) -> None:
        """Announce the configuration in force to some instances."""
        notice = peer_messages.ConfigurationNotice(
            self.own, self.state.configuration.revision
        )
        for peer in receivers:
            self.send(peer.member.address, notice)

    def send_to_other_regions(self, transfer: Transfer) -> None:
        """Send a version to one connected instance of each other region."""
        head = transfer.head._replace(
            confirmed_ago_s=self.state.confirmed_ago_s(transfer.head.delta),
            for_region=True,
            sent_s=self.clock(),
        )
        message = transfer._replace(head=head)
        reached = set()
        for peer in self.zones.remote_contacts():
            region = peer.member.location.region
            if region not in reached and self.send(
                peer.member.address, message
            ):
                reached.add(region)
                self.bytes_sent += len(transfer.data)

    def prepare(
        self,
        before: configuration.Configuration | None,
        newest: configuration.Configuration,
    ) -> None:
        """Compress the newest configuration, whole and as a difference."""
        head = self.make_head(newest)
        self.copy = peer_messages.ConfigurationCopy(
            self.own, head, configuration_packing.pack(newest)
        )
        self.difference = None
        if before is None:
            return
        data = configuration_packing.pack_difference(before, newest)
        if len(data) < len(self.copy.data):
            self.difference = peer_messages.ConfigurationDifference(
                self.own, head, data, before.revision
            )

    def make_head(
        self, newest: configuration.Configuration
    ) -> peer_messages.TransferHead:
        """Return the head of a transfer without targets."""
        return peer_messages.TransferHead(
            newest.revision,
            configuration_packing.digest(newest),
            self.delta,
            None,
            (),
        )

    def whole_region(self) -> list[membership.KnownMember]:
        """Return the other members of the region, by place."""
        return sorted(self.readers.members.in_region(), key=place_key)

    def share_of_region(self) -> list[membership.KnownMember]:
        """Return the members to which this reader passes a version on.

        Neighbours in the list are of the same zone, so that few transfers
        cross zones.
        """
        members = self.readers.members.in_region()
        readers = {peer.member.instance for peer in self.readers.others()}
        others = [m for m in members if m.member.instance not in readers]
        others.sort(key=place_key)
        rank, count = self.readers.rank(), self.readers.reader_count()
        return others[
            rank * len(others) // count : (rank + 1) * len(others) // count
        ]

    def pass_on(
        self, transfer: Transfer, targets: Sequence[membership.KnownMember]
    ) -> None:
        """Send a version to some targets, for the others behind them."""
        head = transfer.head._replace(
            confirmed_ago_s=self.state.confirmed_ago_s(transfer.head.delta),
            for_region=False,
            sent_s=self.clock(),
        )
        for part in split(targets):
            keys = [peer_messages.member_key(peer.member) for peer in part]
            # Another member takes over if the first is not connected.
            for index, peer in enumerate(part):
                others = (*keys[:index], *keys[index + 1 :])
                message = transfer._replace(
                    sender=self.own, head=head._replace(targets=others)
                )
                if self.send(peer.member.address, message):
                    self.bytes_sent += len(transfer.data)
                    break
        if targets:
            log_events.log_event(
                LOG,
                events.CONFIGURATION_PASSED_ON,
                revision=head.revision,
                instances=len(targets),
                bytes=len(transfer.data),
                base=getattr(transfer, 'base', 0),
            )

    def receive(self, message: Transfer, route) -> None:
        """Apply a version if it is newer, and pass it on.

        A difference whose base is not in force is passed on when the copy
        that replaces it has come, so that each sender has what it sends.
        """
        head = message.head
        targets = set(head.targets)
        if head.for_region and head.revision > self.announced:
            targets |= {
                peer_messages.member_key(peer.member)
                for peer in self.whole_region()
            }
        self.record_announcement(head.revision)
        current = self.state.configuration
        if current is None or head.revision > current.revision:
            if not self.apply_newer(message, route):
                self.waiting |= targets
                return
            targets |= self.waiting
            self.waiting.clear()
        if targets:
            self.pass_on(message, self.find(targets))

    def apply_newer(self, message: Transfer, route) -> bool:
        """Apply a newer version; request a copy if its base is missing.

        Returns False if it could not be applied.
        """
        head = message.head
        unpacked = self.unpack(message)
        if unpacked is None:
            self.request(lambda request: self.reply(route, request), 0)
            return False
        reason = self.refusal(unpacked, head)
        if reason:
            log_events.log_event(
                LOG,
                events.CONFIGURATION_TRANSFER_REFUSED,
                peer=message.sender.instance,
                revision=head.revision,
                reason=reason[:200],
            )
            if isinstance(message, peer_messages.ConfigurationDifference):
                self.request(lambda request: self.reply(route, request), 0)
            return False
        self.apply(message, unpacked.ok)
        return True

    def unpack(self, message: Transfer) -> Result | None:
        """Return the result of unpacking; None without the base for it."""
        if isinstance(message, peer_messages.ConfigurationCopy):
            return configuration_packing.unpack(message.data)
        base = self.state.configuration
        if base is None or base.revision != message.base:
            return None
        return configuration_packing.unpack_difference(
            base, message.head.revision, message.data
        )

    def refusal(
        self, unpacked: Result, head: peer_messages.TransferHead
    ) -> str:
        """Return why a version cannot be applied; empty if it can."""
        if unpacked.is_error():
            return unpacked.error
        if unpacked.ok.revision != head.revision:
            return 'another revision'
        if configuration_packing.digest(unpacked.ok) != head.digest:
            return 'another content'
        return ''

    def apply(
        self, message: Transfer, newest: configuration.Configuration
    ) -> None:
        """Apply a version of another instance and keep it for requests."""
        head = message.head
        self.delta = head.delta
        self.difference = self.copy = None
        if isinstance(message, peer_messages.ConfigurationCopy):
            self.copy = message
        else:
            self.difference = message
        self.received += 1
        self.state.apply_transfer(
            newest,
            head.delta,
            source=message.sender.instance,
            confirmed_ago_s=self.transit.age_s(
                message.sender, head.sent_s, head.confirmed_ago_s
            ),
        )
        self.on_applied()
        log_events.log_event(
            LOG,
            events.CONFIGURATION_FROM_PEER,
            peer=message.sender.instance,
            revision=newest.revision,
            bytes=len(message.data),
            base=getattr(message, 'base', 0),
        )

    def find(self, keys: set[int]) -> list[membership.KnownMember]:
        """Return the members of this region with given keys, by place."""
        found = [
            peer
            for peer in self.readers.members.in_region()
            if peer_messages.member_key(peer.member) in keys
        ]
        return sorted(found, key=place_key)

    def receive_notice(
        self, message: peer_messages.ConfigurationNotice, route
    ) -> None:
        """Expect the announced version; ask for it if it does not arrive."""
        if message.revision <= self.announced:
            return
        self.record_announcement(message.revision)
        if self.is_requesting():
            return
        loop = asyncio.get_running_loop()
        self.timers.clear()
        targets = (self.send_to_zone, lambda m: self.reply(route, m))
        for delay_s, target in zip(REQUEST_TIMES_S, targets, strict=True):
            delay_s += self.rng.uniform(0, 0.05)
            self.timers.append(
                loop.call_later(delay_s, self.request_if_lacking, target)
            )

    def is_requesting(self) -> bool:
        """Return whether requests are scheduled."""
        now = asyncio.get_running_loop().time()
        return any(
            not timer.cancelled() and timer.when() > now
            for timer in self.timers
        )

    def record_announcement(self, revision: int) -> None:
        """Record that other instances know a revision."""
        if revision > self.announced:
            self.drop_known()
            self.announced = revision
            self.missing_s[revision] = self.clock()

    def drop_known(self) -> None:
        """Forget announcements of versions that have come into force."""
        current = self.state.configuration
        known = current.revision if current else 0
        for revision in [r for r in self.missing_s if r <= known]:
            del self.missing_s[revision]

    def lacks_announced(self) -> bool:
        """Return whether an announced version is not in force."""
        current = self.state.configuration
        return current is None or self.announced > current.revision

    def is_expecting(self) -> bool:
        """Return whether an announced version is still likely to arrive.

        The wait counts from the oldest announcement of a version that is
        newer than the one in force, however many follow.
        """
        self.drop_known()
        if not self.missing_s:
            return False
        return self.clock() - min(self.missing_s.values()) < EXPECTED_S

    def request_if_lacking(self, target) -> None:
        """Request the announced version if it has not arrived."""
        if self.lacks_announced():
            current = self.state.configuration
            self.request(target, current.revision if current else 0)

    def request(self, target, known_revision: int) -> None:
        """Request a configuration newer than a revision.

        Parameters
        ----------
        target : callable
            Sends the request.
        known_revision : int
            0 for a complete copy.
        """
        self.requests += 1
        log_events.log_event(
            LOG,
            events.CONFIGURATION_REQUESTED,
            revision=self.announced,
            known_revision=known_revision,
        )
        target(peer_messages.ConfigurationRequest(self.own, known_revision))

    def send_to_zone(self, request) -> bool:
        """Send to a random member of the own zone that is connected."""
        peers = self.zones.own_zone() or self.zones.neighbours()
        shuffled = self.rng.sample(peers, len(peers))
        return any(self.send(p.member.address, request) for p in shuffled)

    def answer(
        self, message: peer_messages.ConfigurationRequest, route
    ) -> None:
        """Reply to a request with a newer configuration, if there is one."""
        current = self.state.configuration
        now = self.clock()
        if current is None or current.revision <= message.revision:
            return
        if now < self.next_reply_s:
            return
        transfer = self.select(current, message.revision)
        self.next_reply_s = len(transfer.data) / REPLY_BYTES_PER_S + max(
            self.next_reply_s, now - MAX_REPLY_CREDIT_S
        )
        head = transfer.head._replace(
            confirmed_ago_s=self.state.confirmed_ago_s(transfer.head.delta),
            targets=(),
            for_region=False,
            sent_s=self.clock(),
        )
        self.bytes_sent += len(transfer.data)
        self.reply(route, transfer._replace(sender=self.own, head=head))

    def select(
        self, current: configuration.Configuration, known_revision: int
    ) -> Transfer:
        """Return the shortest form of the configuration in force."""
        difference = self.difference
        if (
            difference is not None
            and difference.base == known_revision
            and difference.head.revision == current.revision
        ):
            return difference
        if self.copy is None or self.copy.head.revision != current.revision:
            if difference is None or (
                difference.head.revision != current.revision
            ):
                self.delta = None
            self.copy = peer_messages.ConfigurationCopy(
                self.own,
                self.make_head(current),
                configuration_packing.pack(current),
            )
        return self.copy

    def close(self) -> None:
        """Cancel scheduled requests."""
        for timer in self.timers:
            timer.cancel()
        self.timers.clear()


def split(
    targets: Sequence[membership.KnownMember],
) -> list[Sequence[membership.KnownMember]]:
    """Return targets that are ordered by place in parts.

    There is one part for each zone, since instances keep connections within
    their zone, or up to ``FANOUT`` parts of one zone.
    """
    zones = [
        list(members)
        for _, members in itertools.groupby(
            targets, key=lambda peer: peer.member.location.zone
        )
    ]
    if len(zones) > 1:
        return zones
    count = min(FANOUT, len(targets))
    return [
        targets[
            index * len(targets) // count : (index + 1) * len(targets) // count
        ]
        for index in range(count)
    ]


def place_key(peer: membership.KnownMember) -> tuple[str, int, str]:
    """Return the sort key by zone, and within it by a hash of the name."""
    member = peer.member
    return (
        member.location.zone,
        zone_relays.checksum(f'place {member.instance}'),
        member.instance,
    )
