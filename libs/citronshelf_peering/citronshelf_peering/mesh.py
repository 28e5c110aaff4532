"""The neighbours of an instance, and what is sent to each of them."""

from collections.abc import Hashable
import logging
from typing import NamedTuple

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_peering import events
from citronshelf_peering import incarnations
from citronshelf_peering import messages
from citronshelf_peering import neighbour as neighbour_module
from citronshelf_peering import rate_guard
from citronshelf_peering import roster

LOG = logging.getLogger(__name__)

Neighbour = neighbour_module.Neighbour

# Connections from others; an aggregator has its cell and a few more.
MAX_NEIGHBOURS = 256
# A link that the plan no longer needs stays this long, so that a short
# change of roles does not close and open connections.
LINGER_S = 10.0


class Identity(NamedTuple):
    """How this instance introduces itself."""

    incarnation: identity.Incarnation
    place: fleet.Location
    peer: fleet.Address
    admin: fleet.Address


class Mesh:
    """Neighbours by instance, over the links.

    Parameters
    ----------
    own : Identity
    links : object
        ``connect``, ``disconnect``, ``send`` and ``on_message`` of
        ``links.ZmqLinks``.
    clock : callable
    register : IncarnationRegister
    """

    def __init__(self, *, own: Identity, links, clock, register=None):
        self.own = own
        self.links = links
        self.clock = clock
        self.register = register or incarnations.IncarnationRegister()
        self.guard = rate_guard.RateGuard(clock=clock)
        self.neighbours: dict[str, Neighbour] = {}
        self.refused = 0
        self.stale = 0
        self.added = lambda neighbour: None
        self.removed = lambda neighbour: None

    def decode(self, route: Hashable, data: bytes):
        """Return a valid message of an admitted sender, else None."""
        if not self.guard.allow(route):
            return None
        message = messages.CODEC.decode(data)
        if message.is_error():
            self.refuse(route, message.error)
            return None
        sender = message.ok.sender
        if not incarnations.well_formed(sender):
            self.refuse(route, 'the sender is not well formed')
            return None
        if sender.instance == self.own.incarnation.instance:
            self.refuse(route, 'the sender has the name of this instance')
            return None
        if not self.register.admit(sender):
            self.stale += 1
            return None
        return message.ok

    def refuse(self, route: Hashable, reason: str) -> None:
        """Count, log and charge a message that is not valid.

        The charge bounds the log as well: an exhausted route is not read.
        """
        self.refused += 1
        self.guard.punish(route)
        common_events.log_event(
            LOG,
            events.MESSAGE_REFUSED,
            route=route_text(route),
            reason=reason[:200],
        )

    def find(self, sender: identity.Incarnation, route: Hashable):
        """Return the neighbour of a sender, else None when there are many."""
        known = self.neighbours.get(sender.instance)
        if known is None:
            if len(self.neighbours) >= MAX_NEIGHBOURS:
                return None
            known = self.add(sender.instance)
        known.begin_life(sender)
        return known

    def add(self, instance: str) -> Neighbour:
        """Begin to exchange messages with an instance."""
        known = Neighbour(instance=instance, linked_at=self.clock())
        self.neighbours[instance] = known
        self.added(known)
        return known

    def remove(self, known: Neighbour) -> None:
        """End the exchange with an instance."""
        del self.neighbours[known.instance]
        if known.address is not None:
            self.links.disconnect(known.address)
        self.removed(known)

    def state_of(self, instance: str) -> roster.LinkState:
        """Return the state of the link to an instance."""
        known = self.neighbours.get(instance)
        if known is None:
            return roster.LinkState.UNLINKED
        return known.state(self.clock())

    def up(self) -> list[Neighbour]:
        """Return the neighbours whose links work both ways."""
        now = self.clock()
        return [n for n in self.neighbours.values() if n.is_up(now)]

    def apply(self, plan: roster.Plan, entries) -> None:
        """Open and close links as a plan wants it."""
        now = self.clock()
        # Sorted, so that a run on a fake clock repeats exactly.
        for instance in sorted(plan.links):
            entry = entries[instance]
            known = self.neighbours.get(instance)
            if known is None and len(self.neighbours) >= MAX_NEIGHBOURS:
                continue
            self.link(known or self.add(instance), entry.peer)
        for known in list(self.neighbours.values()):
            self.log_state(known, now)
            if known.instance not in plan.links:
                self.let_go(known, now)

    def link(self, known: Neighbour, address: fleet.Address) -> None:
        """Connect to the address of a neighbour."""
        known.unplanned_at = None
        if known.address == address:
            # Another instance that was listed at the same address may have
            # closed the connection.
            self.links.connect(address)
            return
        if known.address is not None:
            self.links.disconnect(known.address)
        known.address = address
        if not known.is_up(self.clock()):
            known.linked_at = self.clock()
        self.links.connect(address)

    def let_go(self, known: Neighbour, now: float) -> None:
        """Close a link that neither end has needed for a while."""
        if known.unplanned_at is None:
            known.unplanned_at = now
        if now - known.unplanned_at < LINGER_S:
            return
        if known.address is not None:
            self.links.disconnect(known.address)
            known.address = None
        heard_at = known.heard_at or known.linked_at
        if now - heard_at > LINGER_S:
            self.remove(known)

    def log_state(self, known: Neighbour, now: float) -> None:
        """Log when a link that is in use begins or ceases to work."""
        is_up = known.is_up(now)
        needed = known.unplanned_at is None or known.role_of_own
        if is_up != known.was_up and needed:
            event = events.LINK_UP if is_up else events.LINK_DOWN
            common_events.log_event(LOG, event, peer=known.instance)
        known.was_up = is_up

    def route_to(self, known: Neighbour) -> Hashable:
        """Return the way on which a neighbour is reached.

        The way on which it was heard last works at least in one direction;
        after a silence only the own connection is tried.
        """
        now = self.clock()
        heard = known.heard_at is not None
        if heard and now - known.heard_at <= neighbour_module.SILENT_S:
            return known.route
        return known.address or known.route

    def send(self, known: Neighbour, message) -> bool:
        """Send a message; a full queue drops it."""
        route = self.route_to(known)
        if route is None:
            return False
        return self.links.send(route, messages.CODEC.encode(message))

    def send_hello(self, known: Neighbour, *, ask: bool) -> int:
        """Introduce this instance; return the number of the message."""
        number = known.next_number(self.clock())
        self.send(known, self.hello(number, ask))
        if known.incarnation:
            known.greeted = known.incarnation.nonce
        return number

    def hello(self, number: int, ask: bool) -> messages.Hello:
        """Return an introduction."""
        own = self.own
        return messages.Hello(
            own.incarnation, number, own.place, own.peer, own.admin, ask
        )


def route_text(route: Hashable) -> str:
    """Return a route as a log line has it."""
    if isinstance(route, fleet.Address):
        return route.authority()
    return route.hex() if isinstance(route, bytes) else str(route)
