"""State of a neighbour, an instance that this one exchanges messages with."""

import asyncio
import collections
from collections.abc import Hashable
import dataclasses

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_peering import messages
from citronshelf_peering import roster

HEARTBEAT_INTERVAL_S = 1.0
# Three heartbeat intervals: a link stays up after one lost heartbeat. Two lost
# in a row may take it down until the next one arrives.
RECEIVE_TIMEOUT_S = 3.0
# Longer than the receive timeout, because each end adds up to one heartbeat
# interval to the age of an acknowledgement.
ACKNOWLEDGEMENT_TIMEOUT_S = 5.0
PENDING_TIMEOUT_S = 3.0
MAX_RECENT_SENDS = 16


@dataclasses.dataclass(kw_only=True)
class Neighbour:
    """State of one neighbour and of the link to it.

    All times are monotonic seconds.

    Attributes
    ----------
    instance : str
    pending_since : float
        When the wait for the first response started; set again when the
        address changes while the link is not up, and when this process
        resumes.
    address : Address or None
        Address that this instance connects to; None when only the neighbour
        opens a connection.
    route : hashable
        Route of the latest hello or heartbeat; before one is received, that
        of the first message.
    incarnation : Incarnation or None
    received_at : float or None
        When the last hello or heartbeat was received.
    received_number : int
        Highest number of a hello or heartbeat of this incarnation.
    acknowledged_at : float or None
        When the last acknowledged message was sent.
    acknowledged_number : int
        Number of that message.
    sent_number : int
        Number of the last hello or heartbeat sent.
    recent_sends : collections.deque
        Numbers and send times, to find the time of an acknowledged message.
    own_role : int
        Role that this instance has for the neighbour.
    location : Location or None
    admin : Address or None
    hello_nonce : str
        Nonce of the incarnation that a hello was last sent to.
    documents, fleet_lists : tuple of Head
        Revisions that the neighbour announced last.
    unplanned_at : float or None
        When the link was first found to be unplanned; None while planned.
    was_up : bool
        State of the link when it was last checked for the log.
    update_pending : bool
        Whether a head update has to be sent.
    wake : asyncio.Event
        Wakes the task of the neighbour.
    last_served : dict
        Kind and revision of the last fetch served, with its time.
    """

    instance: str
    pending_since: float
    address: fleet.Address | None = None
    route: Hashable = None
    incarnation: identity.Incarnation | None = None
    received_at: float | None = None
    received_number: int = 0
    acknowledged_at: float | None = None
    acknowledged_number: int = 0
    sent_number: int = 0
    recent_sends: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_RECENT_SENDS)
    )
    own_role: int = messages.ROLE_NONE
    role_at: float = 0.0
    location: fleet.Location | None = None
    admin: fleet.Address | None = None
    hello_nonce: str = ''
    documents: tuple[messages.Head, ...] = ()
    fleet_lists: tuple[messages.Head, ...] = ()
    unplanned_at: float | None = None
    was_up: bool = False
    update_pending: bool = False
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    last_served: dict = dataclasses.field(default_factory=dict)

    def set_incarnation(self, incarnation: identity.Incarnation) -> None:
        """Set the incarnation of the neighbour.

        A new one resets the message numbers that were received and
        acknowledged, and the role and revisions that the earlier incarnation
        sent.
        """
        if self.incarnation == incarnation:
            return
        self.incarnation = incarnation
        self.received_number = 0
        self.acknowledged_at = None
        self.acknowledged_number = 0
        self.own_role = messages.ROLE_NONE
        self.documents = ()
        self.fleet_lists = ()
        self.last_served = {}

    def next_number(self, now: float) -> int:
        """Return the number of the next hello or heartbeat.

        Its send time ``now`` is stored for ``record_acknowledgement``.
        """
        self.sent_number += 1
        self.recent_sends.append((self.sent_number, now))
        return self.sent_number

    def record_received(self, number: int, now: float) -> bool:
        """Record a hello or heartbeat received.

        Returns
        -------
        bool
            False, without recording, if the number is not above that of an
            earlier message of this incarnation.
        """
        if number <= self.received_number:
            return False
        self.received_number = number
        self.received_at = now
        return True

    def record_acknowledgement(self, number: int) -> None:
        """Record the highest message number that the neighbour received.

        Ignored if it is below an acknowledged number or not among the recent
        sends.
        """
        for sent, sent_at in self.recent_sends:
            if sent == number and number >= self.acknowledged_number:
                self.acknowledged_number = number
                self.acknowledged_at = sent_at

    def is_up(self, now: float) -> bool:
        """Return whether messages recently passed in both directions.

        The last message received and the last one acknowledged must be within
        their timeouts.
        """
        if self.received_at is None or self.acknowledged_at is None:
            return False
        if now - self.received_at > RECEIVE_TIMEOUT_S:
            return False
        return now - self.acknowledged_at <= ACKNOWLEDGEMENT_TIMEOUT_S

    def state(self, now: float) -> roster.LinkState:
        """Return the link state; see ``roster.LinkState``."""
        if self.is_up(now):
            return roster.LinkState.UP
        if now - self.pending_since <= PENDING_TIMEOUT_S:
            return roster.LinkState.PENDING
        return roster.LinkState.DOWN

    def current_own_role(self, now: float) -> int:
        """Return the role that this instance has for the neighbour.

        ``ROLE_NONE`` after the receive timeout.
        """
        if (
            self.received_at is None
            or now - self.received_at > RECEIVE_TIMEOUT_S
        ):
            return messages.ROLE_NONE
        return self.own_role

    def highest_revision(self, kind: int) -> int:
        """Return the highest revision announced by the neighbour, or 0."""
        heads = (
            self.documents if kind == messages.DOCUMENT else self.fleet_lists
        )
        return max((head.revision for head in heads), default=0)
