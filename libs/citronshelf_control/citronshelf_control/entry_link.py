"""Local link to the entry daemon: sends the view, receives evidence."""

import asyncio
import dataclasses
import logging

import zmq
import zmq.asyncio

from citronshelf_common import events as common_events
from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import local_link
from citronshelf_control import events
from citronshelf_peering import links

LOG = logging.getLogger(__name__)

# An entry daemon without a request for this time counts as not alive.
ENTRY_TIMEOUT_S = 3.0
# Allows for one entry daemon and its predecessor, until the lease of the
# predecessor expires.
MAX_ENTRY_DAEMONS = 4
QUEUE_MESSAGES = 16


@dataclasses.dataclass(kw_only=True)
class AttachedEntry:
    """An entry daemon that requested the view, and its last request."""

    sender: identity.Incarnation
    last_received_at: float
    document_revision: int
    last_refresh_number: int


class EntryLink:
    """ROUTER socket that responds to ``ViewRefresh`` messages.

    Parameters
    ----------
    address : Address
        Loopback address to bind.
    incarnation : Incarnation
        Incarnation of this process, the sender of each view.
    clock : callable
        Returns monotonic seconds.
    source : object
        ``is_confirmed()``, ``view()``, ``document()``,
        ``record_outcomes(counts)`` and ``handle_drain_signal(server_id)`` of
        the daemon.
    """

    def __init__(self, *, address: fleet.Address, incarnation, clock, source):
        self.incarnation = incarnation
        self.clock = clock
        self.source = source
        self.entries: dict[bytes, AttachedEntry] = {}
        self.refused = 0
        self.was_alive = False
        context = zmq.asyncio.Context.instance()
        self.socket = context.socket(zmq.ROUTER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
        self.socket.setsockopt(
            zmq.MAXMSGSIZE, local_link.wire.MAX_MESSAGE_BYTES
        )
        self.socket.setsockopt(zmq.IPV6, ':' in address.ip)
        try:
            self.socket.bind(f'tcp://{address.authority()}')
        except zmq.ZMQError as error:
            self.socket.close(0)
            raise OSError(f'{address.authority()}: {error}') from error

    async def run(self) -> None:
        """Receive and handle messages until cancelled."""
        while True:
            frames = await self.socket.recv_multipart()
            self.receive(frames)

    def receive(self, frames: list[bytes]) -> None:
        """Handle one message of an entry daemon; refuse an invalid one."""
        if len(frames) != 2:
            return self.refuse('message does not have two frames')
        message = local_link.CODEC.decode(frames[1])
        if message.is_error():
            return self.refuse(message.error)
        match message.ok:
            case local_link.ViewRefresh() as refresh:
                self.handle_refresh(frames[0], refresh)
            case local_link.EvidenceReport(counts=counts):
                self.source.record_outcomes(counts)
            case local_link.DrainSignal(server_id=server_id):
                self.source.handle_drain_signal(server_id)
            case _:
                self.refuse(
                    'message type is not accepted by the control daemon'
                )

    def refuse(self, reason: str) -> None:
        """Count and log an invalid message."""
        self.refused += 1
        common_events.log_event(
            LOG, events.LOCAL_MESSAGE_REFUSED, reason=reason[:200]
        )

    def handle_refresh(
        self, routing_id: bytes, refresh: local_link.ViewRefresh
    ) -> None:
        """Record a request; respond with the view if it is confirmed."""
        previous = self.entries.get(routing_id)
        if previous is None or previous.sender != refresh.sender:
            common_events.log_event(
                LOG, events.ENTRY_ATTACHED, entry=refresh.sender.instance
            )
        self.entries[routing_id] = AttachedEntry(
            sender=refresh.sender,
            last_received_at=self.clock(),
            document_revision=refresh.document_revision,
            last_refresh_number=refresh.number,
        )
        self.remove_oldest()
        if self.source.is_confirmed():
            self.send_view(routing_id, refresh.number)

    def remove_oldest(self) -> None:
        """Keep the ``MAX_ENTRY_DAEMONS`` entries with the latest requests."""
        while len(self.entries) > MAX_ENTRY_DAEMONS:
            oldest = min(
                self.entries, key=lambda i: self.entries[i].last_received_at
            )
            del self.entries[oldest]

    def push_view(self) -> None:
        """Send the view to the entry daemons that are alive.

        Responds again to the last request of each: a request received while
        the view was not confirmed would otherwise get no response until the
        next request.
        """
        if not self.source.is_confirmed():
            return
        cutoff = self.clock() - ENTRY_TIMEOUT_S
        for routing_id, entry in self.entries.items():
            if entry.last_received_at >= cutoff:
                self.send_view(routing_id, entry.last_refresh_number)

    def send_view(self, routing_id: bytes, refresh_number: int) -> None:
        """Send the view, with the document if the entry daemon lacks it.

        ``refresh_number`` is the number of the request that it responds to.
        """
        view = self.source.view()
        entry = self.entries[routing_id]
        document = None
        if view.revision and entry.document_revision != view.revision:
            document = self.source.document()
        update = local_link.ViewUpdate(
            self.incarnation, refresh_number, view, document
        )
        data = local_link.CODEC.encode(update)
        # If the view is dropped, the response to the next refresh replaces it.
        links.try_send(self.socket, [routing_id, data])

    def is_entry_alive(self) -> bool:
        """Return whether an entry daemon sent a request recently."""
        cutoff = self.clock() - ENTRY_TIMEOUT_S
        return any(e.last_received_at >= cutoff for e in self.entries.values())

    async def watch_entry(self) -> None:
        """Log when the last entry daemon is no longer alive.

        Checks once a second until cancelled.
        """
        while True:
            await asyncio.sleep(1.0)
            alive = self.is_entry_alive()
            if self.was_alive and not alive:
                common_events.log_event(LOG, events.ENTRY_LOST)
            self.was_alive = alive

    def close(self) -> None:
        """Close the socket."""
        self.socket.close(0)
