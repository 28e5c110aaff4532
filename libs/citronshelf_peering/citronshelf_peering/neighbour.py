"""What an instance knows of one that it exchanges messages with."""

import asyncio
import collections
from collections.abc import Hashable
import dataclasses

from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_peering import messages
from citronshelf_peering import roster

HEARTBEAT_INTERVAL_S = 1.0
# Three heartbeats; two lost ones do not end a link.
RECEIVE_TIMEOUT_S = 3.0
# An acknowledgement is up to one heartbeat older at both ends.
ACKNOWLEDGEMENT_TIMEOUT_S = 5.0
PENDING_TIMEOUT_S = 3.0
MAX_RECENT_SENDS = 16


@dataclasses.dataclass(kw_only=True)
class Neighbour:
    """One instance at the other end of links.

    Attributes
    ----------
    instance : str
    linked_at : float
        When the wait for the first answer began.
    address : Address or None
        Where this instance connects to, None when only the other end does.
    route : hashable
        Way on which it was heard last.
    """

    instance: str
    pending_since: float
    address: fleet.Address | None = None
    route: Hashable = None
    incarnation: identity.Incarnation | None = None
    heard_at: float | None = None
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
    lists: tuple[messages.Head, ...] = ()
    unplanned_at: float | None = None
    was_up: bool = False
    update_pending: bool = False
    wake: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    last_served: dict = dataclasses.field(default_factory=dict)

    def set_incarnation(self, incarnation: identity.Incarnation) -> None:
        """Forget what an earlier incarnation said."""
        if self.incarnation == incarnation:
            return
        self.incarnation = incarnation
        self.received_number = 0
        self.acknowledged_at = None
        self.acknowledged_number = 0
        self.own_role = messages.ROLE_NONE
        self.documents = ()
        self.lists = ()
        self.last_served = {}

    def next_number(self, now: float) -> int:
        """Return the number of the next hello or heartbeat."""
        self.sent_number += 1
        self.recent_sends.append((self.sent_number, now))
        return self.sent_number

    def record_received(self, number: int, now: float) -> bool:
        """Note a numbered message; tell whether it is the newest one."""
        if number <= self.received_number:
            return False
        self.received_number = number
        self.heard_at = now
        return True

    def record_acknowledgement(self, number: int) -> None:
        """Note which of the own messages the other end heard last."""
        for sent, sent_at in self.recent_sends:
            if sent == number and number >= self.acknowledged_number:
                self.acknowledged_number = number
                self.acknowledged_at = sent_at

    def is_up(self, now: float) -> bool:
        """Tell whether messages pass in both directions."""
        if self.heard_at is None or self.acknowledged_at is None:
            return False
        if now - self.heard_at > RECEIVE_TIMEOUT_S:
            return False
        return now - self.acknowledged_at <= ACKNOWLEDGEMENT_TIMEOUT_S

    def state(self, now: float) -> roster.LinkState:
        """Return the state for the choice of roles."""
        if self.is_up(now):
            return roster.LinkState.UP
        if now - self.pending_since <= PENDING_TIMEOUT_S:
            return roster.LinkState.PENDING
        return roster.LinkState.DOWN

    def current_own_role(self, now: float) -> int:
        """Return the role that this instance has for the other end."""
        if self.heard_at is None or now - self.heard_at > RECEIVE_TIMEOUT_S:
            return messages.ROLE_NONE
        return self.own_role

    def highest_revision(self, kind: int) -> int:
        """Return the highest revision that the other end announced."""
        heads = self.documents if kind == messages.DOCUMENT else self.lists
        return max((head.revision for head in heads), default=0)
