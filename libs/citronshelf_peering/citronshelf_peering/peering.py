"""Exchanges configuration, leaving marks and evidence with peers."""

import asyncio
from collections.abc import Hashable
import logging
from typing import Protocol

from expression import Result

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_peering import events
from citronshelf_peering import evidence
from citronshelf_peering import evidence_sender
from citronshelf_peering import leaving
from citronshelf_peering import message_handler
from citronshelf_peering import messages
from citronshelf_peering import neighbour
from citronshelf_peering import neighbour_table
from citronshelf_peering import platform_reader
from citronshelf_peering import roster
from citronshelf_peering import shared_value
from citronshelf_peering import view_confirmation

LOG = logging.getLogger(__name__)

ROLES_INTERVAL_S = 0.5
SEEDS_INTERVAL_S = 1.0
# A head update is repeated up to ``UPDATE_REPEATS`` times at this interval,
# before the next heartbeat, if the peer has not announced the highest
# revisions or there are leaving marks.
UPDATE_REPEAT_INTERVAL_S = 0.3
UPDATE_REPEATS = 2
HEARTBEATS_PER_HELLO = 10


class Listener(Protocol):
    """Callbacks of the control daemon."""

    def on_change(self) -> None:
        """Handle a new document, fleet list, leaving mark or confirmation.

        The confirmation is that of the fleet view; see ``ViewConfirmation``.
        """

    def on_evidence(self, zone, source, counts) -> None:
        """Handle increments of the evidence of a zone.

        Parameters
        ----------
        zone : str
        source : str
            Instance that summed the evidence of the zone.
        counts : tuple of OutcomeCounts
        """


class Peering:
    """Replicates configuration, leaving marks and evidence among instances.

    Runs one task for each neighbour.

    Parameters
    ----------
    identity : neighbour_table.Identity
    seeds : iterable of Address
        Peers to contact at startup and while no other peer is reachable.
    links : links.ZmqLinks
    timers : Timers
    rng : random.Random
    platform : object
        See ``platform_reader.PlatformReader``.
    check_document, check_list : callable
        See ``shared_value.SharedValue``. The parsed fleet list has
        ``entries``, a tuple of ``EntryInstance``.
    listener : Listener
    """

    def __init__(
        self,
        *,
        identity: neighbour_table.Identity,
        seeds,
        links,
        timers,
        rng,
        platform,
        check_document,
        check_list,
        listener: Listener,
    ):
        self.identity = identity
        self.timers = timers
        self.links = links
        self.listener = listener
        self.seeds = [seed for seed in seeds if seed != identity.peer]
        self.responsive_seeds: set[Hashable] = set()
        self.confirmed_at: float | None = None
        self.neighbour_table = neighbour_table.NeighbourTable(
            identity=identity, links=links, clock=timers.clock
        )
        self.neighbour_table.on_added = self.start_peer_task
        self.neighbour_table.on_removed = self.stop_peer_task
        self.document = self.make_value('document', check_document)
        self.fleet_list = self.make_value('instances', check_list)
        self.marks = leaving.LeavingMarks(
            own=identity.incarnation, clock=timers.clock
        )
        self.evidence_pool = evidence.EvidencePool(
            own=identity.incarnation,
            zone=identity.location.zone,
            clock=timers.clock,
            on_increments=listener.on_evidence,
        )
        self.evidence_sender = evidence_sender.EvidenceSender(peering=self)
        self.confirmation = view_confirmation.ViewConfirmation(peering=self)
        self.message_handler = message_handler.MessageHandler(peering=self)
        self.readers = [
            platform_reader.PlatformReader(
                value=value,
                platform=platform,
                peering=self,
                timers=timers,
                rng=rng,
            )
            for value in (self.document, self.fleet_list)
        ]
        self.current_list: object = None
        self.roster = roster.Roster(own=self.own_entry(), entries=())
        self.plan = self.make_plan()
        self.group: asyncio.TaskGroup | None = None
        self.peer_tasks: dict[str, asyncio.Task] = {}
        links.on_message = self.message_handler.receive

    def make_value(self, name: str, check) -> shared_value.SharedValue:
        """Create a shared value whose changes are announced to the peers."""

        def timed_check(body: bytes) -> Result:
            # Checking a document of 1 MB takes about one second.
            with self.confirmation.exclude_work():
                return check(body)

        return shared_value.SharedValue(
            name=name, check=timed_check, changed=self.value_changed
        )

    def own_entry(self) -> fleet.EntryInstance:
        """Return the fleet-list entry of this instance.

        The peer address is also used as forward address, which is not known
        here.
        """
        own = self.identity
        return fleet.EntryInstance(
            own.incarnation.instance, own.peer, own.peer, own.location
        )

    async def run(self) -> None:
        """Run all tasks until cancelled."""
        async with asyncio.TaskGroup() as group:
            self.group = group
            for peer in self.neighbour_table.neighbours.values():
                self.start_peer_task(peer)
            group.create_task(self.links.run())
            group.create_task(self.confirmation.run())
            group.create_task(self.confirmation.watch_clock())
            group.create_task(self.maintain_roles())
            group.create_task(self.maintain_seeds())
            group.create_task(self.evidence_sender.run())
            for reader in self.readers:
                group.create_task(reader.run())

    def start_peer_task(self, peer: neighbour.Neighbour) -> None:
        """Start the task of a peer if ``run`` has started."""
        if self.group is not None:
            task = self.group.create_task(self.run_peer(peer))
            self.peer_tasks[peer.instance] = task

    def stop_peer_task(self, peer: neighbour.Neighbour) -> None:
        """Cancel the task of a peer, if there is one."""
        task = self.peer_tasks.pop(peer.instance, None)
        if task is not None:
            task.cancel()

    async def run_peer(self, peer: neighbour.Neighbour) -> None:
        """Send heartbeats and head updates to one peer until cancelled."""
        self.confirmation.send_query(peer)
        next_heartbeat_at = (
            self.timers.clock() + neighbour.HEARTBEAT_INTERVAL_S
        )
        heartbeats_sent = 0
        repeats = 0
        while True:
            pause_s = next_heartbeat_at - self.timers.clock()
            if repeats:
                pause_s = min(pause_s, UPDATE_REPEAT_INTERVAL_S)
            await self.timers.wait(peer.wake, max(0.0, pause_s))
            peer.wake.clear()
            if peer.update_pending:
                peer.update_pending = False
                repeats = UPDATE_REPEATS + 1
            if repeats:
                repeats -= 1
                self.send_head_update(peer)
            if self.timers.clock() >= next_heartbeat_at:
                heartbeats_sent += 1
                self.send_periodic_messages(peer, heartbeats_sent)
                next_heartbeat_at = (
                    self.timers.clock() + neighbour.HEARTBEAT_INTERVAL_S
                )

    def send_periodic_messages(
        self, peer: neighbour.Neighbour, heartbeats_sent: int
    ) -> None:
        """Send a heartbeat and fetch missing revisions.

        A hello is sent before every ``HEARTBEATS_PER_HELLO``-th heartbeat,
        and before the first one to a new incarnation of the peer.
        """
        nonce = peer.incarnation.nonce if peer.incarnation else ''
        if (
            heartbeats_sent % HEARTBEATS_PER_HELLO == 0
            or peer.hello_nonce != nonce
        ):
            self.neighbour_table.send_hello(peer, wants_heartbeat=False)
        self.send_heartbeat(peer)
        self.message_handler.fetch_missing(peer)

    def send_heartbeat(self, peer: neighbour.Neighbour) -> None:
        """Send a heartbeat.

        It acknowledges the latest hello or heartbeat received from the peer.
        """
        age_s = self.platform_age_s()
        self.neighbour_table.send(
            peer,
            messages.Heartbeat(
                self.identity.incarnation,
                peer.next_number(self.timers.clock()),
                peer.incarnation.nonce if peer.incarnation else '',
                peer.received_number,
                self.role_of(peer),
                self.document.heads(),
                self.fleet_list.heads(),
                -1 if self.confirmed_at is None else int(age_s * 1000),
                self.marks.marks_to_send(),
            ),
        )

    def send_head_update(self, peer: neighbour.Neighbour) -> None:
        """Send heads and marks if the peer lacks a revision or marks exist."""
        behind = any(
            value.highest_available() > peer.highest_revision(kind)
            for kind, value in enumerate((self.document, self.fleet_list))
        )
        marks = self.marks.marks_to_send()
        if behind or marks:
            update = messages.HeadUpdate(
                self.identity.incarnation,
                self.document.heads(),
                self.fleet_list.heads(),
                marks,
            )
            self.neighbour_table.send(peer, update)

    def role_of(self, peer: neighbour.Neighbour) -> int:
        """Return the role that a peer has for this instance."""
        if peer.instance == self.plan.parent:
            return messages.ROLE_PARENT
        if peer.instance in self.plan.aggregators:
            return messages.ROLE_AGGREGATOR
        return messages.ROLE_NONE

    def value_changed(self) -> None:
        """Announce a new revision or leaving mark; notify the listener.

        The revision may have been put in force or refused.
        """
        self.schedule_updates()
        self.notify_listener()

    def schedule_updates(self) -> None:
        """Wake the task of each peer to send a head update."""
        for peer in self.neighbour_table.neighbours.values():
            peer.update_pending = True
            peer.wake.set()

    def notify_listener(self) -> None:
        """Call ``on_change`` of the listener, which then reads the state."""
        self.listener.on_change()

    def mark_leaving(self, server_id: str) -> None:
        """Record a drain signal; announce a mark that is new or renewed."""
        if self.marks.record_signal(server_id):
            self.value_changed()

    async def maintain_roles(self) -> None:
        """Update the roles periodically until cancelled."""
        while True:
            self.update_roles()
            await self.timers.sleep(ROLES_INTERVAL_S)

    def update_roles(self) -> None:
        """Recompute the plan from the fleet list and link states; apply it."""
        parsed_list = self.fleet_list.preview()
        if parsed_list is not None and parsed_list is not self.current_list:
            self.current_list = parsed_list
            self.roster = roster.Roster(
                own=self.own_entry(), entries=parsed_list.entries
            )
        before = self.plan
        self.plan = self.make_plan()
        if self.roles(before) != self.roles(self.plan):
            common_events.log_event(
                LOG, events.ROLE_CHANGED, **self.roles(self.plan)
            )
        self.neighbour_table.apply(self.plan, self.roster.entries)

    def make_plan(self) -> roster.Plan:
        """Compute the plan for the current roster and link states."""
        return roster.make_plan(
            self.roster,
            self.neighbour_table.state_of,
            self.is_used_as_aggregator(),
        )

    def roles(self, plan: roster.Plan) -> dict:
        """Return the roles of a plan for the log and the status."""
        return {
            'aggregator': self.identity.incarnation.instance
            in plan.aggregators,
            'reader': plan.reader,
            'parent': plan.parent,
        }

    def is_used_as_aggregator(self) -> bool:
        """Return whether a peer uses this instance as aggregator or parent."""
        now = self.timers.clock()
        return any(
            peer.current_own_role(now) != messages.ROLE_NONE
            for peer in self.neighbour_table.neighbours.values()
        )

    def is_aggregator(self) -> bool:
        """Return whether this instance acts as aggregator."""
        own = self.identity.incarnation.instance
        return own in self.plan.aggregators or self.is_used_as_aggregator()

    def is_reader(self) -> bool:
        """Return whether this instance watches the platform.

        False without a fleet list, because every instance would then select
        itself as a reader.
        """
        return self.plan.reader and self.current_list is not None

    def is_only_instance(self) -> bool:
        """Return whether a fleet list without other instances is known."""
        return self.current_list is not None and len(self.roster.entries) == 1

    def platform_age_s(self) -> float:
        """Return the time in s since the platform last confirmed a value.

        A value is the document or the fleet list. Confirmations to other
        instances count as well. Infinite before the first confirmation.
        """
        if self.confirmed_at is None:
            return float('inf')
        return self.timers.clock() - self.confirmed_at

    def record_confirmation(self, age_s: float) -> None:
        """Record that the platform confirmed a value ``age_s`` ago.

        Ignored if a later confirmation is known.
        """
        at = self.timers.clock() - age_s
        if self.confirmed_at is None or at > self.confirmed_at:
            self.confirmed_at = at

    async def maintain_seeds(self) -> None:
        """Contact the seeds while no peer is reachable.

        Connections to seeds that are not used as links are closed once a link
        that this instance opened works.
        """
        while True:
            await self.timers.sleep(SEEDS_INTERVAL_S)
            linked = self.neighbour_table.linked_neighbours()
            if not linked:
                self.contact_seeds()
            elif any(peer.address is not None for peer in linked):
                self.disconnect_seeds()

    def contact_seeds(self) -> None:
        """Connect to the seeds and request a heartbeat from each."""
        hello = messages.CODEC.encode(self.neighbour_table.make_hello(0, True))
        for seed in self.seeds:
            self.links.connect(seed)
            self.links.send(seed, hello)

    def disconnect_seeds(self) -> None:
        """Close connections to seeds that no neighbour link uses."""
        used = {
            peer.address for peer in self.neighbour_table.neighbours.values()
        }
        for seed in self.seeds:
            if seed not in used:
                self.links.disconnect(seed)

    def has_unresponsive_seeds(self) -> bool:
        """Return whether at least one seed has not sent a message yet.

        Only used during startup: False once the document is open.
        """
        if self.document.is_open:
            return False
        return any(seed not in self.responsive_seeds for seed in self.seeds)

    def undelivered_revision(self) -> int | None:
        """Return a revision that a peer announces and this instance lacks.

        Peers without a hello or heartbeat within the receive timeout are
        ignored. None if no revision is missing.
        """
        now = self.timers.clock()
        for peer in self.neighbour_table.neighbours.values():
            received_at = peer.received_at
            if (
                received_at is None
                or now - received_at > neighbour.RECEIVE_TIMEOUT_S
            ):
                continue
            missing = [
                *self.document.missing_revisions(peer.documents),
                *self.fleet_list.missing_revisions(peer.fleet_lists),
            ]
            if missing:
                return missing[0]
        return None
