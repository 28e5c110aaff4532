"""When a process that starts or resumes may use what it holds."""

import asyncio
import contextlib
import logging

from citronshelf_common import events as common_events
from citronshelf_peering import events
from citronshelf_peering import messages

LOG = logging.getLogger(__name__)

RESPONSE_TIMEOUT_S = 2.0
# A peer that announces a revision and does not deliver it within this time
# holds a start up no longer.
DELIVERY_TIMEOUT_S = 10.0
QUERY_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.1
# The process's own clock shows that it did not run.
SUSPENDED_GAP_S = 2.0
MAX_EXCLUDED_WORK_S = 3.0
CLOCK_CHECK_INTERVAL_S = 0.25


class ViewConfirmation:
    """Start-up rule and rule of the frozen process.

    Parameters
    ----------
    peering : Peering
    """

    def __init__(self, *, peering):
        self.peering = peering
        self.timers = peering.timers
        self.confirmed = False
        self.clock_read_at = self.timers.clock()
        self.resumed = asyncio.Event()
        self.query_numbers: dict[str, int] = {}
        self.responded: set[str] = set()

    async def run(self) -> None:
        """Start, then ask again after each time the process stood still."""
        await self.query_peers()
        self.open_values()
        self.confirm('start')
        while True:
            await self.timers.wait(self.resumed, 3600.0)
            if not self.resumed.is_set():
                continue
            self.resumed.clear()
            await self.query_peers()
            if not self.resumed.is_set():
                self.confirm('resume')

    async def watch_clock(self) -> None:
        """Notice that the process did not run for a while."""
        while True:
            self.check_clock()
            await self.timers.sleep(CLOCK_CHECK_INTERVAL_S)

    def check_clock(self) -> None:
        """Compare the clock with the last time that it was read."""
        now = self.timers.clock()
        gap_s = now - self.clock_read_at
        self.clock_read_at = now
        if gap_s > SUSPENDED_GAP_S:
            self.withdraw_confirmation(gap_s)

    @contextlib.contextmanager
    def exclude_work(self):
        """Do not take long work of this process for a time without running.

        A gap before the work still counts, and so does a gap that is longer
        than any work.
        """
        self.check_clock()
        started = self.timers.clock()
        try:
            yield
        finally:
            elapsed_s = self.timers.clock() - started
            self.clock_read_at += min(elapsed_s, MAX_EXCLUDED_WORK_S)

    def is_confirmed(self) -> bool:
        """Tell whether the view may be given to the entry daemon.

        The clock is read here as well, because a request that waited in a
        socket is handled before any timer of a process that resumes.
        """
        self.check_clock()
        return self.confirmed

    def withdraw_confirmation(self, gap_s: float) -> None:
        """Withdraw the confirmation until peers have answered."""
        common_events.log_event(
            LOG, events.PROCESS_RESUMED, gap_s=round(gap_s, 3)
        )
        self.confirmed = False
        self.resumed.set()
        now = self.timers.clock()
        for peer in self.peering.mesh.neighbours.values():
            peer.pending_since = now

    async def query_peers(self) -> None:
        """Ask seeds and peers; return when the answers suffice."""
        self.query_numbers = {}
        self.responded = set()
        started = self.timers.clock()
        next_query_at = started
        while True:
            now = self.timers.clock()
            if now >= next_query_at:
                self.send_queries()
                next_query_at = now + QUERY_INTERVAL_S
            if self.is_complete(now - started):
                return
            await self.timers.sleep(POLL_INTERVAL_S)

    def send_queries(self) -> None:
        """Send a hello to everyone that has not answered."""
        mesh = self.peering.mesh
        for peer in mesh.neighbours.values():
            if peer.instance not in self.responded:
                self.send_query(peer)
        if not self.peering.document.is_open or not mesh.neighbours:
            self.peering.contact_seeds()

    def send_query(self, peer) -> None:
        """Send a hello that wants an answer at once."""
        number = self.peering.mesh.send_hello(peer, wants_heartbeat=True)
        self.query_numbers.setdefault(peer.instance, number)

    def record_response(self, peer, heartbeat: messages.Heartbeat) -> None:
        """Note a heartbeat that was sent after the question."""
        query_number = self.query_numbers.get(peer.instance)
        own = self.peering.own.incarnation
        if query_number is None or heartbeat.received_nonce != own.nonce:
            return
        if heartbeat.received_number >= query_number:
            self.responded.add(peer.instance)

    def is_complete(self, waited_s: float) -> bool:
        """Tell whether the answers suffice."""
        peering = self.peering
        if waited_s < RESPONSE_TIMEOUT_S and not self.all_responded():
            return False
        undelivered = peering.undelivered_revision()
        if undelivered is None:
            return True
        if waited_s < DELIVERY_TIMEOUT_S:
            return False
        common_events.log_event(
            LOG, events.CLAIM_IGNORED, revision=undelivered
        )
        return True

    def all_responded(self) -> bool:
        """Tell whether everyone answered and the values are here."""
        peering = self.peering
        if (
            peering.has_unresponsive_seeds()
            or not peering.listing.highest_available()
        ):
            return False
        names = set(peering.mesh.neighbours)
        if not names and not peering.is_only_instance():
            return False
        return names <= self.responded and bool(
            peering.document.highest_available()
        )

    def open_values(self) -> None:
        """Put the highest known revisions in force."""
        self.peering.document.open()
        self.peering.listing.open()
        common_events.log_event(
            LOG,
            events.STARTED_FROM,
            peers=sorted(self.responded)[:20],
            document=self.peering.document.revision(),
            list=self.peering.listing.revision(),
        )

    def confirm(self, cause: str) -> None:
        """Allow the view to be given to the entry daemon."""
        self.confirmed = True
        if cause == 'resume':
            common_events.log_event(
                LOG, events.VIEW_CONFIRMED, peers=len(self.responded)
            )
        self.peering.notify_listener()
