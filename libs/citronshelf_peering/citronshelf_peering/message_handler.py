"""Handles messages received from peers."""

from collections.abc import Hashable
import ipaddress

from citronshelf_common import fleet
from citronshelf_peering import evidence_rows
from citronshelf_peering import incarnations
from citronshelf_peering import messages
from citronshelf_peering import neighbour
from citronshelf_peering import shared_value

# A fetch without a response is soon repeated to another peer, but to the same
# peer only after a longer delay. When only the direction to that peer fails,
# its heartbeats still arrive, possibly just before those of all other peers,
# but no fetch reaches it.
REFETCH_FROM_OTHER_PEER_S = 0.5
REFETCH_FROM_SAME_PEER_S = 2.0
SERVE_INTERVAL_S = 0.3
MAX_FETCHES = 64
# Allowance for the transit time of a heartbeat. Without it, the age of a
# confirmation would be too low by the transit time of each hop.
MAX_HOP_DELAY_S = 0.5


def is_address(address: fleet.Address) -> bool:
    """Return whether an untrusted address has a valid IP and port."""
    try:
        ipaddress.ip_address(address.ip)
    except ValueError:
        return False
    return 0 < address.port < 65536


class MessageHandler:
    """Handles messages of peers; their content is untrusted.

    Parameters
    ----------
    peering : Peering
    """

    def __init__(self, *, peering):
        self.peering = peering
        self.clock = peering.timers.clock
        self.fetches: dict[tuple[int, int], tuple[float, str]] = {}

    def receive(self, route: Hashable, data: bytes) -> None:
        """Decode, check and handle one message.

        Messages that ``NeighbourTable.decode`` rejects are dropped, as are
        messages that are too large for their type and those of new senders
        while the neighbour table is full.
        """
        neighbour_table = self.peering.neighbour_table
        message = neighbour_table.decode(route, data)
        if message is None:
            return
        copies = (messages.DocumentCopy, messages.ListCopy)
        is_copy = isinstance(message, copies)
        if len(data) > messages.MAX_SMALL_BYTES and not is_copy:
            neighbour_table.refuse(route, f'{len(data)} bytes')
            return
        peer = neighbour_table.find_or_add(message.sender, route)
        if peer is None:
            return
        self.peering.responsive_seeds.add(route)
        if peer.route is None:
            peer.route = route
        self.handle(peer, route, message)

    def handle(self, peer, route, message) -> None:
        """Dispatch a message of an accepted sender by its type."""
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
                self.handle_copy(route, self.peering.fleet_list, message)
            case messages.EvidenceCounts():
                self.handle_counts(route, message)
            case messages.PooledEvidence():
                self.handle_sums(peer, route, message)

    def handle_hello(self, peer, route, hello: messages.Hello) -> None:
        """Record the location and admin address of a peer.

        Sends a hello unless this incarnation was sent one before, and a
        heartbeat if requested.
        """
        if peer.record_received(hello.number, self.clock()):
            peer.route = route
        peer.location = hello.location
        peer.admin = hello.admin if is_address(hello.admin) else None
        if peer.hello_nonce != hello.sender.nonce:
            self.peering.neighbour_table.send_hello(
                peer, wants_heartbeat=False
            )
        if hello.wants_heartbeat:
            self.peering.send_heartbeat(peer)

    def handle_heartbeat(
        self, peer, route, heartbeat: messages.Heartbeat
    ) -> None:
        """Apply a heartbeat and fetch missing revisions from its sender.

        Ignored unless it is the latest hello or heartbeat of the sender.
        """
        if not peer.record_received(heartbeat.number, self.clock()):
            return
        peer.route = route
        if heartbeat.received_nonce == self.peering.identity.incarnation.nonce:
            peer.record_acknowledgement(heartbeat.received_number)
        peer.own_role = heartbeat.role
        peer.documents = heartbeat.documents
        peer.fleet_lists = heartbeat.fleet_lists
        if heartbeat.platform_age_ms >= 0:
            age_s = heartbeat.platform_age_ms / 1000 + MAX_HOP_DELAY_S
            self.peering.record_confirmation(age_s)
        self.peering.confirmation.record_response(peer, heartbeat)
        self.merge_marks(heartbeat.leaving)
        self.fetch_missing(peer)

    def handle_head_update(self, peer: neighbour.Neighbour, update) -> None:
        """Apply the heads and leaving marks that a peer announces.

        Missing revisions are fetched from the peer.
        """
        peer.documents = update.documents
        peer.fleet_lists = update.fleet_lists
        self.merge_marks(update.leaving)
        self.fetch_missing(peer)

    def merge_marks(self, marks) -> None:
        """Merge the leaving marks of a peer; announce them if any changed."""
        if self.peering.marks.merge(marks):
            self.peering.value_changed()

    def fetch_missing(self, peer: neighbour.Neighbour) -> None:
        """Fetch the revisions that a peer announced and this instance lacks.

        Does nothing if no hello or heartbeat of the peer was received within
        the receive timeout.
        """
        peering = self.peering
        received_at = peer.received_at
        if received_at is None:
            return
        if self.clock() - received_at > neighbour.RECEIVE_TIMEOUT_S:
            return
        pairs = (
            (messages.DOCUMENT, peering.document, peer.documents),
            (messages.FLEET_LIST, peering.fleet_list, peer.fleet_lists),
        )
        for kind, value, heads in pairs:
            for head in heads:
                value.record_seen_revision(head.revision)
            for revision in value.missing_revisions(heads):
                self.fetch(peer, kind, revision)

    def fetch(self, peer: neighbour.Neighbour, kind, revision) -> None:
        """Request a revision from a peer unless it was requested recently."""
        request = (kind, revision)
        if not self.may_fetch(request, peer.instance):
            return
        fetch = messages.Fetch(
            self.peering.identity.incarnation, kind, revision
        )
        if not self.peering.neighbour_table.send(peer, fetch):
            return
        self.fetches.pop(request, None)
        self.fetches[request] = (self.clock(), peer.instance)
        if len(self.fetches) > MAX_FETCHES:
            del self.fetches[next(iter(self.fetches))]

    def may_fetch(self, request: tuple[int, int], instance: str) -> bool:
        """Return whether a fetch may be sent to an instance now.

        The delay after the last fetch of the same revision is longer if that
        went to the same instance.
        """
        if request not in self.fetches:
            return True
        requested_at, requested_from = self.fetches[request]
        same = requested_from == instance
        pause_s = (
            REFETCH_FROM_SAME_PEER_S if same else REFETCH_FROM_OTHER_PEER_S
        )
        return self.clock() - requested_at >= pause_s

    def serve_fetch(self, peer: neighbour.Neighbour, fetch) -> None:
        """Send a requested revision to a peer.

        Fetches of unknown revisions are ignored, and so are fetches that are
        repeated within ``SERVE_INTERVAL_S`` or arrive before the value is
        open.
        """
        peering = self.peering
        is_document = fetch.kind == messages.DOCUMENT
        value = peering.document if is_document else peering.fleet_list
        publication = value.find(fetch.revision)
        if publication is None or not value.is_open:
            return
        now = self.clock()
        if (
            now - peer.last_served.get(fetch[1:], -SERVE_INTERVAL_S)
            < SERVE_INTERVAL_S
        ):
            return
        # Only the last fetch is stored; a peer that alternates between
        # revisions is bounded by the rate limiter.
        peer.last_served = {fetch[1:]: now}
        copy_type = messages.DocumentCopy if is_document else messages.ListCopy
        copy = copy_type(
            peering.identity.incarnation,
            publication.revision,
            publication.digest,
            value.packed_copy(publication),
        )
        peering.neighbour_table.send(peer, copy)

    def handle_copy(
        self, route, value: shared_value.SharedValue, copy
    ) -> None:
        """Verify a revision from a peer and offer it to the value.

        Copies of older or already stored revisions are ignored; corrupt
        copies are refused.
        """
        if (
            copy.revision <= value.revision()
            or value.find(copy.revision) is not None
        ):
            return
        publication = shared_value.unpack(
            copy.revision, copy.digest, copy.body
        )
        if publication.is_error():
            self.peering.neighbour_table.refuse(route, publication.error)
            return
        value.offer(publication.ok)

    def handle_counts(self, route, message: messages.EvidenceCounts) -> None:
        """Merge the counts of a child; refuse rows that are not valid."""
        rows = evidence_rows.unpack_rows(message.rows)
        if rows.is_error():
            self.peering.neighbour_table.refuse(route, rows.error)
            return
        self.peering.evidence_pool.merge_counts(
            message.sender, message.parent, message.stream, rows.ok
        )

    def handle_sums(self, peer, route, sums: messages.PooledEvidence) -> None:
        """Merge the sums of a zone and forward them if they are new.

        Sums of this instance and of earlier incarnations are ignored; a
        malformed origin and invalid rows are refused.
        """
        neighbour_table = self.peering.neighbour_table
        if not incarnations.well_formed(sums.origin):
            neighbour_table.refuse(route, 'malformed origin')
            return
        own = self.peering.identity.incarnation
        if sums.origin.instance == own.instance:
            return
        if not neighbour_table.register.admit(sums.origin):
            neighbour_table.from_earlier_incarnations += 1
            return
        rows = evidence_rows.unpack_rows(sums.rows)
        if rows.is_error():
            neighbour_table.refuse(route, rows.error)
            return
        pool = self.peering.evidence_pool
        if pool.merge_sums(*sums[1:-1], rows.ok):
            forwarded = sums._replace(sender=own)
            self.peering.evidence_sender.distribute_sums(forwarded, peer)
