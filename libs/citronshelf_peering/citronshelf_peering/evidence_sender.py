"""Sends counts and sums of evidence to other instances."""

from citronshelf_peering import messages
from citronshelf_peering import neighbour

SEND_INTERVAL_S = 1.0
PHASE_OFFSET_S = 0.15
MIN_PAUSE_S = 0.1


class EvidenceSender:
    """Sends counts to the parent and sums to the peers that receive them.

    Parameters
    ----------
    peering : Peering
    """

    def __init__(self, *, peering):
        self.peering = peering

    async def run(self) -> None:
        """Send counts and sums once a second until cancelled."""
        while True:
            now = self.peering.timers.wall_clock()
            pause_s = (self.phase_s() - now) % SEND_INTERVAL_S
            if pause_s < MIN_PAUSE_S:
                pause_s += SEND_INTERVAL_S
            await self.peering.timers.sleep(pause_s)
            self.send_evidence()

    def phase_s(self) -> float:
        """Return the offset within each second at which to send.

        Parents send after their children, so that counts pass through the
        tree in a fraction of a second. A wrong wall clock adds at most one
        second of delay.
        """
        plan = self.peering.plan
        own = self.peering.identity.incarnation.instance
        if plan.parent == own:
            return 2 * PHASE_OFFSET_S
        return PHASE_OFFSET_S if own in plan.aggregators else 0.0

    def send_evidence(self) -> None:
        """Send counts to the parent, or sums when this is the zone parent.

        An instance that was the zone parent before also keeps sending its
        sums. Counts stay pending while the link to the parent does not work.
        """
        own = self.peering.identity.incarnation
        if self.peering.plan.parent == own.instance:
            self.send_sums(*self.peering.evidence_pool.flush_to_sums())
            return
        if self.peering.evidence_pool.has_sums():
            self.send_sums(*self.peering.evidence_pool.repeat_sums())
        parent = self.peering.neighbour_table.neighbours.get(
            self.peering.plan.parent
        )
        if parent is None or not parent.is_up(self.peering.timers.clock()):
            return
        nonce = parent.incarnation.nonce
        stream, parts = self.peering.evidence_pool.flush_to_parent(nonce)
        for rows in parts:
            counts = messages.EvidenceCounts(own, nonce, stream, rows)
            self.peering.neighbour_table.send(parent, counts)

    def send_sums(self, first: int, age_ms: int, parts: list[bytes]) -> None:
        """Send the sums that this instance collected for its zone.

        Parameters
        ----------
        first : int
            Sequence number of the first message.
        age_ms : int
            Time since the sums started at zero.
        parts : list of bytes
            Packed rows, one part for each message.
        """
        own = self.peering.identity
        for number, rows in enumerate(parts, start=first):
            self.distribute_sums(
                messages.PooledEvidence(
                    own.incarnation,
                    own.incarnation,
                    own.location.zone,
                    number,
                    age_ms,
                    rows,
                ),
                None,
            )

    def distribute_sums(
        self, sums: messages.PooledEvidence, received_from
    ) -> None:
        """Send sums to all peers that receive them from this instance.

        Parameters
        ----------
        sums : PooledEvidence
        received_from : Neighbour or None
            Neighbour that sent the sums, which is skipped; None for own sums.
        """
        for peer in self.peering.neighbour_table.linked_neighbours():
            if peer is not received_from and self.receives_sums(peer):
                self.peering.neighbour_table.send(peer, sums)

    def receives_sums(self, peer: neighbour.Neighbour) -> bool:
        """Return whether this instance sends sums to a peer.

        Receivers are the children and the parent of this instance, and the
        ``sum_receivers`` of its plan.
        """
        now = self.peering.timers.clock()
        if peer.current_own_role(now) == messages.ROLE_PARENT:
            return True
        plan = self.peering.plan
        return (
            peer.instance == plan.parent or peer.instance in plan.sum_receivers
        )
