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
TICK_INTERVAL_S = 0.1
QUEUE_MESSAGES = 32
# Time for the control daemon to respond before this instance checks servers
# itself. After a suspension the control daemon queries its peers first.
REFRESH_TIMEOUT_S = 1.0

OnUpdate = Callable[[local_link.ViewUpdate], None]
PopCounts = Callable[[], tuple[fleet.OutcomeCounts, ...]]


class ControlLink:
    """Requests the fleet view from the control daemon and sends it evidence.

    Parameters
    ----------
    context : zmq.asyncio.Context
    address : Address
    incarnation : Incarnation
    lease : ViewLease
    on_update : callable
        Called with each ``ViewUpdate`` that is not from an earlier
        incarnation of the control daemon.
    pop_counts : callable
        Returns the outcome counts since the previous call.
    """

    def __init__(
        self,
        *,
        context: zmq.asyncio.Context,
        address: fleet.Address,
        incarnation: identity.Incarnation,
        lease: freshness.ViewLease,
        on_update: OnUpdate,
        pop_counts: PopCounts,
    ):
        self.incarnation = incarnation
        self.lease = lease
        self.on_update = on_update
        self.pop_counts = pop_counts
        self.control: identity.Incarnation | None = None
        self.revision = 0
        self.sequence = 0
        self.confirmed = asyncio.Event()
        self.is_stale = False
        self.socket = context.socket(zmq.DEALER)
        self.socket.setsockopt(zmq.LINGER, 0)
        self.socket.setsockopt(zmq.SNDHWM, QUEUE_MESSAGES)
        self.socket.setsockopt(zmq.RCVHWM, QUEUE_MESSAGES)
        # Do not queue requests while the control daemon is not connected: they
        # would be outdated when it reconnects.
        self.socket.setsockopt(zmq.IMMEDIATE, 1)
        self.socket.connect(f'tcp://{address.authority()}')

    async def run(self) -> None:
        """Send requests and reports, and receive updates, until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.refresh_regularly())
                group.create_task(self.receive_all())
        finally:
            self.socket.close()

    async def receive_all(self) -> None:
        """Receive messages from the control daemon until cancelled."""
        while True:
            self.receive(await self.socket.recv())

    async def refresh_regularly(self) -> None:
        """Request the view and send evidence at intervals until cancelled.

        A request is also sent at once after a suspension.
        """
        next_refresh_s = 0.0
        while True:
            gap_s = self.detect_suspension()
            now_s = self.lease.clock()
            if gap_s or now_s >= next_refresh_s:
                next_refresh_s = now_s + local_link.REFRESH_INTERVAL_S
                self.request_refresh()
                self.report()
            self.log_staleness()
            await asyncio.sleep(TICK_INTERVAL_S)

    def detect_suspension(self) -> float:
        """Return the length of a suspension in s, 0.0 for none, and log it."""
        gap_s = self.lease.detect_suspension()
        if gap_s:
            log_events.log_event(
                LOG, events.PROCESS_RESUMED, gap_s=round(gap_s, 3)
            )
        return gap_s

    def request_refresh(self) -> None:
        """Request the view from the control daemon now."""
        self.confirmed.clear()
        number = self.lease.request_refresh()
        self.send(
            local_link.ViewRefresh(self.incarnation, number, self.revision)
        )

    def report(self) -> None:
        """Send the outcome counts since the last report, if there are any."""
        counts = self.pop_counts()
        if not counts:
            return
        self.sequence += 1
        self.send(
            local_link.EvidenceReport(self.incarnation, self.sequence, counts)
        )

    def send_drain_signal(self, server_id: str) -> None:
        """Notify the control daemon immediately that a server is draining."""
        self.send(local_link.DrainSignal(self.incarnation, server_id))

    def send(self, message) -> None:
        """Send a message; drop it if the socket cannot queue it."""
        sending = self.socket.send(
            local_link.CODEC.encode(message), zmq.NOBLOCK
        )
        sending.add_done_callback(ignore_full_queue)

    def receive(self, data: bytes) -> None:
        """Apply an update and renew the lease of the view.

        Malformed messages and updates from an earlier incarnation of the
        control daemon are dropped.
        """
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

    def log_staleness(self) -> None:
        """Log when the lease of the view expires and when it is renewed."""
        is_stale = not self.lease.is_fresh()
        if is_stale == self.is_stale:
            return
        self.is_stale = is_stale
        event = (
            events.CONTROL_UNRESPONSIVE
            if is_stale
            else events.CONTROL_RESPONDING
        )
        log_events.log_event(LOG, event)

    async def ensure_fresh(self) -> bool:
        """Wait for a view that is within its lease.

        Returns
        -------
        bool
            False if the control daemon does not respond within
            ``REFRESH_TIMEOUT_S`` of the oldest pending refresh request;
            servers must then be checked before dispatch.
        """
        if self.lease.is_fresh():
            return True
        self.detect_suspension()
        if not self.lease.requested_s:
            self.request_refresh()
        left_s = REFRESH_TIMEOUT_S - self.lease.oldest_pending_s()
        if left_s > 0:
            await self.wait_confirmed(left_s)
        return self.lease.is_fresh()

    async def wait_confirmed(self, timeout_s: float) -> None:
        """Wait until the view is confirmed, but at most ``timeout_s``."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.confirmed.wait()
        except TimeoutError:
            return


def ignore_full_queue(sending: asyncio.Future) -> None:
    """Ignore the error of a message that could not be queued.

    A request for the view is repeated. The counts of an evidence report are
    lost.
    """
    if not sending.cancelled():
        sending.exception()
