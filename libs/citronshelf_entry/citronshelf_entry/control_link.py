"""Link to the control daemon of the same instance."""

import asyncio
from collections.abc import Callable
import logging

import zmq
import zmq.asyncio

from citronshelf_common import events as log_events
from citronshelf_common import fleet
from citronshelf_common import identity
from citronshelf_common import local_link
from citronshelf_entry import events
from citronshelf_entry import freshness

LOG = logging.getLogger(__name__)
BEAT_S = 0.1
QUEUE_MESSAGES = 32
# How long control may take to answer before this instance checks servers
# itself. After a suspension control asks its peers first.
ASK_TIMEOUT_S = 1.0

OnUpdate = Callable[[local_link.ViewUpdate], None]
TakeCounts = Callable[[], tuple[fleet.OutcomeCounts, ...]]


class ControlLink:
    """Asks control for the view and reports evidence to it.

    Parameters
    ----------
    context : zmq.asyncio.Context
    address : Address
    incarnation : Incarnation
    lease : ViewLease
    on_update : callable
        Takes each ``ViewUpdate`` that is not from an earlier incarnation.
    take_counts : callable
        Returns the outcome counts since the call before.
    """

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: fleet.Address,
        incarnation: identity.Incarnation,
        lease: freshness.ViewLease,
        on_update: OnUpdate,
        take_counts: TakeCounts,
    ):
        self.incarnation = incarnation
        self.lease = lease
        self.on_update = on_update
        self.take_counts = take_counts
        self.control: identity.Incarnation | None = None
        self.revision = 0
        self.sequence = 0
        self.confirmed = asyncio.Event()
        self.silent = False
        self.socket = context.socket(zmq.DEALER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
        # Requests for a control daemon that is away are worthless later.
        self.socket.setsockopt(zmq.IMMEDIATE, 1)
        self.socket.connect(f'tcp://{address.authority()}')

    async def run(self) -> None:
        """Ask, report and receive until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.ask_regularly())
                group.create_task(self.receive_all())
        finally:
            self.socket.close()

    async def receive_all(self) -> None:
        """Receive the messages of control."""
        while True:
            self.receive(await self.socket.recv())

    async def ask_regularly(self) -> None:
        """Ask for the view and report evidence at intervals."""
        next_ask_s = 0.0
        while True:
            gap_s = self.beat()
            now_s = self.lease.clock()
            if gap_s or now_s >= next_ask_s:
                next_ask_s = now_s + local_link.REFRESH_INTERVAL_S
                self.ask()
                self.report()
            self.note_silence()
            await asyncio.sleep(BEAT_S)

    def beat(self) -> float:
        """Note that the event loop runs; log the end of a suspension."""
        gap_s = self.lease.beat()
        if gap_s:
            log_events.log_event(
                LOG, events.PROCESS_RESUMED, gap_s=round(gap_s, 3)
            )
        return gap_s

    def ask(self) -> None:
        """Ask control for the view now."""
        self.confirmed.clear()
        number = self.lease.ask()
        self.send(
            local_link.ViewRefresh(self.incarnation, number, self.revision)
        )

    def report(self) -> None:
        """Send the evidence of the last interval."""
        counts = self.take_counts()
        if not counts:
            return
        self.sequence += 1
        self.send(
            local_link.EvidenceReport(self.incarnation, self.sequence, counts)
        )

    def send_drain_sign(self, server_id: str) -> None:
        """Tell control at once that a server drains."""
        self.send(local_link.DrainSignal(self.incarnation, server_id))

    def send(self, message) -> None:
        """Send a message, or drop it when control does not take it."""
        sending = self.socket.send(
            local_link.CODEC.encode(message), zmq.NOBLOCK
        )
        sending.add_done_callback(ignore_full_queue)

    def receive(self, data: bytes) -> None:
        """Take one message from control."""
        decoded = local_link.CODEC.decode(data)
        if decoded.is_error():
            log_events.log_event(
                LOG, events.MESSAGE_DROPPED, reason=decoded.error
            )
            return
        update = decoded.ok
        if not isinstance(update, local_link.ViewUpdate):
            return
        if self.control is not None and self.control.supersedes(update.sender):
            log_events.log_event(
                LOG, events.MESSAGE_DROPPED, reason='earlier incarnation'
            )
            return
        self.control = update.sender
        self.on_update(update)
        self.lease.confirm(update.refresh_number)
        if self.lease.is_fresh():
            self.confirmed.set()

    def note_silence(self) -> None:
        """Log when the view passes its lease and when it is fresh again."""
        silent = not self.lease.is_fresh()
        if silent == self.silent:
            return
        self.silent = silent
        event = events.CONTROL_SILENT if silent else events.CONTROL_HEARD
        log_events.log_event(LOG, event)

    async def ensure_fresh(self) -> bool:
        """Make sure that the view is within its lease.

        Returns
        -------
        bool
            False when control does not answer; servers must then be checked
            before dispatch.
        """
        if self.lease.is_fresh():
            return True
        self.beat()
        if not self.lease.asked_s:
            self.ask()
        left_s = ASK_TIMEOUT_S - self.lease.unanswered_s()
        if left_s > 0:
            await self.wait_confirmed(left_s)
        return self.lease.is_fresh()

    async def wait_confirmed(self, timeout_s: float) -> None:
        """Wait a short time for an answer of control."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.confirmed.wait()
        except TimeoutError:
            return


def ignore_full_queue(sending: asyncio.Future) -> None:
    """Drop what the socket did not take; a later message supersedes it."""
    if not sending.cancelled():
        sending.exception()
