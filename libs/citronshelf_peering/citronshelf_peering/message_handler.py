"""What an instance does with each message of a peer."""

from collections.abc import Hashable
import ipaddress

from citronshelf_common import fleet
from citronshelf_peering import evidence_rows
from citronshelf_peering import incarnations
from citronshelf_peering import messages
from citronshelf_peering import neighbour
from citronshelf_peering import shared_value

# A fetch that was not answered goes to another peer that is heard next, and
# to the same one only later: over a one-way cut it is heard and cannot be
# asked, and its heartbeats may come just before those of all others.
REFETCH_FROM_OTHER_PEER_S = 0.5
REFETCH_FROM_SAME_PEER_S = 2.0
SERVE_INTERVAL_S = 0.3
MAX_FETCHES = 64
# What the way of a heartbeat may have taken; without it the age of a
# confirmation would shrink on each step.
MAX_HOP_DELAY_S = 0.5


def is_address(address: fleet.Address) -> bool:
    """Tell whether an address of a peer is one."""
    try:
        ipaddress.ip_address(address.ip)
    except ValueError:
        return False
    return 0 < address.port < 65536


class MessageHandler:
    """Handles messages; everything in them is untrusted.

    Parameters
    ----------
    peering : Peering
    """

    def __init__(self, *, peering):
        self.peering = peering
        self.clock = peering.timers.clock
        self.fetches: dict[tuple[int, int], tuple[float, str]] = {}

    def receive(self, route: Hashable, data: bytes) -> None:
        """Handle one message."""
        mesh = self.peering.mesh
        message = mesh.decode(route, data)
        if message is None:
            return
        copies = (messages.DocumentCopy, messages.ListCopy)
        is_copy = isinstance(message, copies)
        if len(data) > messages.MAX_SMALL_BYTES and not is_copy:
            mesh.refuse(route, f'{len(data)} bytes')
            return
        peer = mesh.find(message.sender, route)
        if peer is None:
            return
        self.peering.responsive_seeds.add(route)
        if peer.route is None:
            peer.route = route
        self.handle(peer, route, message)

    def handle(self, peer, route, message) -> None:
        """Handle one message of an admitted sender."""
        match message:
            case messages.Hello():
                self.handle_hello(peer, route, message)
            case messages.Heartbeat():
                self.handle_heartbeat(peer, route, message)
            case messages.HeadUpdate():
                self.handle_head_update(peer, message)
            case messages.Fetch():
                self.serve_fetch(peer, message)
            case messages.DocumentCopy():
                self.handle_copy(route, self.peering.document, message)
            case messages.ListCopy():
                self.handle_copy(route, self.peering.listing, message)
            case messages.EvidenceCounts():
                self.handle_counts(route, message)
            case messages.PooledEvidence():
                self.handle_sums(peer, route, message)

    def handle_hello(self, peer, route, hello: messages.Hello) -> None:
        """Note who a peer is, and answer when it asks."""
        if peer.record_received(hello.number, self.clock()):
            peer.route = route
        peer.location = hello.location
        peer.admin = hello.admin if is_address(hello.admin) else None
        if peer.hello_nonce != hello.sender.nonce:
            self.peering.mesh.send_hello(peer, wants_heartbeat=False)
        if hello.wants_heartbeat:
            self.peering.send_heartbeat(peer)

    def handle_heartbeat(
        self, peer, route, heartbeat: messages.Heartbeat
    ) -> None:
        """Note what a peer heard and holds."""
        if not peer.record_received(heartbeat.number, self.clock()):
            return
        peer.route = route
        if heartbeat.received_nonce == self.peering.own.incarnation.nonce:
            peer.record_acknowledgement(heartbeat.received_number)
        peer.own_role = heartbeat.role
        peer.documents = heartbeat.documents
        peer.lists = heartbeat.lists
        if heartbeat.platform_age_ms >= 0:
            age_s = heartbeat.platform_age_ms / 1000 + MAX_HOP_DELAY_S
            self.peering.record_confirmation(age_s)
        self.peering.start.record_response(peer, heartbeat)
        self.merge_marks(heartbeat.leaving)
        self.fetch_missing(peer)

    def handle_head_update(self, peer: neighbour.Neighbour, update) -> None:
        """Note what is new at a peer."""
        peer.documents = update.documents
        peer.lists = update.lists
        self.merge_marks(update.leaving)
        self.fetch_missing(peer)

    def merge_marks(self, marks) -> None:
        """Merge marks and pass news on."""
        if self.peering.marks.merge(marks):
            self.peering.value_changed()

    def fetch_missing(self, peer: neighbour.Neighbour) -> None:
        """Ask a peer for what it announced and is not here."""
        peering = self.peering
        received_at = peer.heard_at
        if received_at is None:
            return
        if self.clock() - received_at > neighbour.RECEIVE_TIMEOUT_S:
            return
        pairs = (
            (messages.DOCUMENT, peering.document, peer.documents),
            (messages.LISTING, peering.listing, peer.lists),
        )
        for kind, value, heads in pairs:
            for head in heads:
                value.record_seen_revision(head.revision)
            for revision in value.missing_revisions(heads):
                self.fetch(peer, kind, revision)

    def fetch(self, peer: neighbour.Neighbour, kind, revision) -> None:
        """Ask a peer for a revision unless one was asked just now."""
        request = (kind, revision)
        if not self.may_fetch(request, peer.instance):
            return
        fetch = messages.Fetch(self.peering.own.incarnation, kind, revision)
        if not self.peering.mesh.send(peer, fetch):
            return
        self.fetches.pop(request, None)
        self.fetches[request] = (self.clock(), peer.instance)
        if len(self.fetches) > MAX_FETCHES:
            del self.fetches[next(iter(self.fetches))]

    def may_fetch(self, request: tuple[int, int], instance: str) -> bool:
        """Tell whether a fetch may be sent to an instance now."""
        if request not in self.fetches:
            return True
        requested_at, requested_from = self.fetches[request]
        same = requested_from == instance
        pause_s = (
            REFETCH_FROM_SAME_PEER_S if same else REFETCH_FROM_OTHER_PEER_S
        )
        return self.clock() - requested_at >= pause_s

    def serve_fetch(self, peer: neighbour.Neighbour, fetch) -> None:
        """Send a revision that a peer asked for."""
        peering = self.peering
        is_document = fetch.kind == messages.DOCUMENT
        value = peering.document if is_document else peering.listing
        publication = value.find(fetch.revision)
        if publication is None or not value.is_open:
            return
        now = self.clock()
        if (
            now - peer.last_served.get(fetch[1:], -SERVE_INTERVAL_S)
            < SERVE_INTERVAL_S
        ):
            return
        # Only the last fetch is remembered: a peer that alternates between
        # revisions is bounded by the rate guard.
        peer.last_served = {fetch[1:]: now}
        shape = messages.DocumentCopy if is_document else messages.ListCopy
        copy = shape(
            peering.own.incarnation,
            publication.revision,
            publication.digest,
            value.packed_copy(publication),
        )
        peering.mesh.send(peer, copy)

    def handle_copy(
        self, route, value: shared_value.SharedValue, copy
    ) -> None:
        """Offer a revision from a peer."""
        if (
            copy.revision <= value.revision()
            or value.find(copy.revision) is not None
        ):
            return
        publication = shared_value.unpack(
            copy.revision, copy.digest, copy.body
        )
        if publication.is_error():
            self.peering.mesh.refuse(route, publication.error)
            return
        value.offer(publication.ok)

    def handle_counts(self, route, message: messages.EvidenceCounts) -> None:
        """Take the counts of a child."""
        rows = evidence_rows.unpack_rows(message.rows)
        if rows.is_error():
            self.peering.mesh.refuse(route, rows.error)
            return
        self.peering.pool.merge_counts(
            message.sender, message.parent, message.stream, rows.ok
        )

    def handle_sums(self, peer, route, sums: messages.PooledEvidence) -> None:
        """Take the sums of a zone and pass them on."""
        mesh = self.peering.mesh
        if not incarnations.well_formed(sums.origin):
            mesh.refuse(route, 'the origin is not well formed')
            return
        own = self.peering.own.incarnation
        if sums.origin.instance == own.instance:
            return
        if not mesh.register.admit(sums.origin):
            mesh.stale += 1
            return
        rows = evidence_rows.unpack_rows(sums.rows)
        if rows.is_error():
            mesh.refuse(route, rows.error)
            return
        pool = self.peering.pool
        if pool.merge_sums(*sums[1:-1], rows.ok):
            passed_on = sums._replace(sender=own)
            self.peering.evidence.distribute_sums(passed_on, peer)
