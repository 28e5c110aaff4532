"""Manages the neighbours of an instance and the links to them."""

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
from citronshelf_peering import rate_limiter
from citronshelf_peering import roster

# The logger name is part of the log format and outlives the module name.
LOG = logging.getLogger('citronshelf_peering.mesh')

Neighbour = neighbour_module.Neighbour

# Includes neighbours that connected to this instance; an aggregator has all
# instances of its cell and a few more.
MAX_NEIGHBOURS = 256
# A link that is no longer planned stays open this long, so that a brief change
# of roles does not close and reopen connections.
UNUSED_LINK_TIMEOUT_S = 10.0


class Identity(NamedTuple):
    """Incarnation, location and addresses that this instance announces."""

    incarnation: identity.Incarnation
    location: fleet.Location
    peer: fleet.Address
    admin: fleet.Address


class NeighbourTable:
    """Neighbours by instance name, and the links to them.

    Parameters
    ----------
    identity : Identity
    links : object
        Has ``connect``, ``disconnect``, ``send`` and ``on_message`` as
        ``links.ZmqLinks``.
    clock : callable
        Returns monotonic seconds.
    register : IncarnationRegister, optional
    """

    def __init__(self, *, identity: Identity, links, clock, register=None):
        self.identity = identity
        self.links = links
        self.clock = clock
        self.register = register or incarnations.IncarnationRegister()
        self.rate_limiter = rate_limiter.RateLimiter(clock=clock)
        self.neighbours: dict[str, Neighbour] = {}
        self.refused = 0
        self.from_earlier_incarnations = 0
        self.on_added = lambda neighbour: None
        self.on_removed = lambda neighbour: None

    def decode(self, route: Hashable, data: bytes):
        """Decode an untrusted message and check its sender.

        Returns
        -------
        NamedTuple or None
            None when the route is over its rate limit, the message is not
            valid, the sender is malformed or has the name of this instance,
            or a later incarnation of the sender is known.
        """
        if not self.rate_limiter.allow(route):
            return None
        message = messages.CODEC.decode(data)
        if message.is_error():
            self.refuse(route, message.error)
            return None
        sender = message.ok.sender
        if not incarnations.well_formed(sender):
            self.refuse(route, 'malformed sender')
            return None
        if sender.instance == self.identity.incarnation.instance:
            self.refuse(route, 'sender has the name of this instance')
            return None
        if not self.register.admit(sender):
            self.from_earlier_incarnations += 1
            return None
        return message.ok

    def refuse(self, route: Hashable, reason: str) -> None:
        """Count and log an invalid message and charge its route for it.

        The charge also limits logging, because messages are not decoded
        while their route is over its limit.
        """
        self.refused += 1
        self.rate_limiter.charge_refused(route)
        common_events.log_event(
            LOG,
            events.MESSAGE_REFUSED,
            route=route_text(route),
            reason=reason[:200],
        )

    def find_or_add(self, sender: identity.Incarnation, route: Hashable):
        """Return the neighbour for a sender and set its incarnation.

        A new neighbour is added. Returns None instead if ``MAX_NEIGHBOURS``
        is reached.
        """
        peer = self.neighbours.get(sender.instance)
        if peer is None:
            if len(self.neighbours) >= MAX_NEIGHBOURS:
                return None
            peer = self.add(sender.instance)
        peer.set_incarnation(sender)
        return peer

    def add(self, instance: str) -> Neighbour:
        """Add a neighbour and call ``on_added``."""
        peer = Neighbour(instance=instance, pending_since=self.clock())
        self.neighbours[instance] = peer
        self.on_added(peer)
        return peer

    def remove(self, peer: Neighbour) -> None:
        """Remove a neighbour, close its link and call ``on_removed``."""
        del self.neighbours[peer.instance]
        if peer.address is not None:
            self.links.disconnect(peer.address)
        self.on_removed(peer)

    def state_of(self, instance: str) -> roster.LinkState:
        """Return the state of the link to an instance."""
        peer = self.neighbours.get(instance)
        if peer is None:
            return roster.LinkState.UNLINKED
        return peer.state(self.clock())

    def linked_neighbours(self) -> list[Neighbour]:
        """Return the neighbours whose links work in both directions."""
        now = self.clock()
        return [n for n in self.neighbours.values() if n.is_up(now)]

    def apply(self, plan: roster.Plan, entries) -> None:
        """Open and close links to match a plan.

        No neighbour is added above ``MAX_NEIGHBOURS``. Links that are not
        planned are closed after ``UNUSED_LINK_TIMEOUT_S``.

        Parameters
        ----------
        plan : roster.Plan
        entries : dict
            ``EntryInstance`` by instance name.
        """
        now = self.clock()
        # Sorted to make runs with a fake clock reproducible.
        for instance in sorted(plan.links):
            entry = entries[instance]
            peer = self.neighbours.get(instance)
            if peer is None and len(self.neighbours) >= MAX_NEIGHBOURS:
                continue
            self.link(peer or self.add(instance), entry.peer)
        for peer in list(self.neighbours.values()):
            self.log_state(peer, now)
            if peer.instance not in plan.links:
                self.close_unused(peer, now)

    def link(self, peer: Neighbour, address: fleet.Address) -> None:
        """Connect to a neighbour; disconnect from an earlier address."""
        peer.unplanned_at = None
        if peer.address == address:
            # The connection may have been closed with another neighbour that
            # was listed at the same address.
            self.links.connect(address)
            return
        if peer.address is not None:
            self.links.disconnect(peer.address)
        peer.address = address
        if not peer.is_up(self.clock()):
            peer.pending_since = self.clock()
        self.links.connect(address)

    def close_unused(self, peer: Neighbour, now: float) -> None:
        """Close a link unplanned for at least ``UNUSED_LINK_TIMEOUT_S``.

        The neighbour is removed once no hello or heartbeat was received from
        it for the same time.
        """
        if peer.unplanned_at is None:
            peer.unplanned_at = now
        if now - peer.unplanned_at < UNUSED_LINK_TIMEOUT_S:
            return
        if peer.address is not None:
            self.links.disconnect(peer.address)
            peer.address = None
        received_at = peer.received_at or peer.pending_since
        if now - received_at > UNUSED_LINK_TIMEOUT_S:
            self.remove(peer)

    def log_state(self, peer: Neighbour, now: float) -> None:
        """Log when a link comes up or goes down.

        Only links that are planned, or to a neighbour for which this instance
        has a role, are logged.
        """
        is_up = peer.is_up(now)
        needed = peer.unplanned_at is None or peer.own_role
        if is_up != peer.was_up and needed:
            event = events.LINK_UP if is_up else events.LINK_DOWN
            common_events.log_event(LOG, event, peer=peer.instance)
        peer.was_up = is_up

    def route_to(self, peer: Neighbour) -> Hashable:
        """Return the route for messages to a neighbour.

        The route of its last message works in at least one direction. After
        the receive timeout, the connection opened by this instance is
        preferred. None if there is no route.
        """
        now = self.clock()
        has_received = peer.received_at is not None
        if (
            has_received
            and now - peer.received_at <= neighbour_module.RECEIVE_TIMEOUT_S
        ):
            return peer.route
        return peer.address or peer.route

    def send(self, peer: Neighbour, message) -> bool:
        """Send a message; return False if it was dropped.

        It is dropped when the queue is full or there is no route.
        """
        route = self.route_to(peer)
        if route is None:
            return False
        return self.links.send(route, messages.CODEC.encode(message))

    def send_hello(self, peer: Neighbour, *, wants_heartbeat: bool) -> int:
        """Send a hello and return its number.

        The incarnation that it was sent to is recorded in ``hello_nonce``,
        even if the message was dropped.
        """
        number = peer.next_number(self.clock())
        self.send(peer, self.make_hello(number, wants_heartbeat))
        if peer.incarnation:
            peer.hello_nonce = peer.incarnation.nonce
        return number

    def make_hello(self, number: int, wants_heartbeat: bool) -> messages.Hello:
        """Create a hello with the location and addresses of this instance."""
        own = self.identity
        return messages.Hello(
            own.incarnation,
            number,
            own.location,
            own.peer,
            own.admin,
            wants_heartbeat,
        )


def route_text(route: Hashable) -> str:
    """Format a route for the log."""
    if isinstance(route, fleet.Address):
        return route.authority()
    return route.hex() if isinstance(route, bytes) else str(route)
