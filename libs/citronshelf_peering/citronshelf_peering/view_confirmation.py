"""Confirms the view with peers after a start or a suspension."""

import asyncio
import contextlib
import logging

from citronshelf_common import events as common_events
from citronshelf_peering import events
from citronshelf_peering import messages

# The logger name is part of the log format and outlives the module name.
LOG = logging.getLogger('citronshelf_peering.start_rule')

RESPONSE_TIMEOUT_S = 2.0
# A start or resume stops waiting for a revision that a peer announced but did
# not deliver within this time.
DELIVERY_TIMEOUT_S = 10.0
QUERY_INTERVAL_S = 0.5
POLL_INTERVAL_S = 0.1
# A gap between two clock reads above this means the process was suspended.
SUSPENSION_GAP_S = 2.0
MAX_EXCLUDED_WORK_S = 3.0
CLOCK_CHECK_INTERVAL_S = 0.25


class ViewConfirmation:
    """Decides when the fleet view may be given to the entry daemon.

    A process that starts, or resumes after it was suspended, first queries
    its peers for newer revisions.

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
        """Query peers at startup and again after each suspension.

        The document and the fleet list are opened after the first query.
        """
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
        """Check for a suspension of the process until cancelled."""
        while True:
            self.check_clock()
            await self.timers.sleep(CLOCK_CHECK_INTERVAL_S)

    def check_clock(self) -> None:
        """Withdraw the confirmation after a long gap between clock reads."""
        now = self.timers.clock()
        gap_s = now - self.clock_read_at
        self.clock_read_at = now
        if gap_s > SUSPENSION_GAP_S:
            self.withdraw_confirmation(gap_s)

    @contextlib.contextmanager
    def exclude_work(self):
        """Exclude long work of this process from suspension checks.

        A gap before the work still counts, and so does the part of the work
        above ``MAX_EXCLUDED_WORK_S``, because no work lasts longer.
        """
        self.check_clock()
        started = self.timers.clock()
        try:
            yield
        finally:
            elapsed_s = self.timers.clock() - started
            self.clock_read_at += min(elapsed_s, MAX_EXCLUDED_WORK_S)

    def is_confirmed(self) -> bool:
        """Return whether the view may be given to the entry daemon.

        The clock is checked here as well: after a resume, a request that was
        queued in a socket is handled before any timer.
        """
        self.check_clock()
        return self.confirmed

    def withdraw_confirmation(self, gap_s: float) -> None:
        """Withdraw the confirmation until peers have responded.

        Links count as pending again, so that the suspension alone does not
        make them count as down.
        """
        common_events.log_event(
            LOG, events.PROCESS_RESUMED, gap_s=round(gap_s, 3)
        )
        self.confirmed = False
        self.resumed.set()
        now = self.timers.clock()
        for peer in self.peering.neighbour_table.neighbours.values():
            peer.pending_since = now

    async def query_peers(self) -> None:
        """Query seeds and peers; return once the responses suffice."""
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
        """Send a hello to all peers that have not responded.

        Seeds are also contacted before the document is open or while there
        are no peers.
        """
        neighbour_table = self.peering.neighbour_table
        for peer in neighbour_table.neighbours.values():
            if peer.instance not in self.responded:
                self.send_query(peer)
        if not self.peering.document.is_open or not neighbour_table.neighbours:
            self.peering.contact_seeds()

    def send_query(self, peer) -> None:
        """Send a hello that requests an immediate heartbeat.

        Only the number of the first query is kept, as a heartbeat that
        acknowledges any of them is a response.
        """
        number = self.peering.neighbour_table.send_hello(
            peer, wants_heartbeat=True
        )
        self.query_numbers.setdefault(peer.instance, number)

    def record_response(self, peer, heartbeat: messages.Heartbeat) -> None:
        """Record that a peer responded if its heartbeat acknowledges a query.

        Such a heartbeat was sent after the peer received the query.
        """
        query_number = self.query_numbers.get(peer.instance)
        own = self.peering.identity.incarnation
        if query_number is None or heartbeat.received_nonce != own.nonce:
            return
        if heartbeat.received_number >= query_number:
            self.responded.add(peer.instance)

    def is_complete(self, waited_s: float) -> bool:
        """Return whether the responses suffice.

        ``all_responded`` must be true, unless ``RESPONSE_TIMEOUT_S`` has
        passed, and no announced revision may be missing, unless
        ``DELIVERY_TIMEOUT_S`` has passed.
        """
        peering = self.peering
        if waited_s < RESPONSE_TIMEOUT_S and not self.all_responded():
            return False
        undelivered = peering.undelivered_revision()
        if undelivered is None:
            return True
        if waited_s < DELIVERY_TIMEOUT_S:
            return False
        common_events.log_event(
            LOG, events.ANNOUNCEMENT_IGNORED, revision=undelivered
        )
        return True

    def all_responded(self) -> bool:
        """Return whether all peers responded and the configuration is known.

        A revision of the document and of the fleet list must be stored.
        During startup, all seeds must have responded as well. Without peers,
        False unless the fleet list contains no other instance.
        """
        peering = self.peering
        if (
            peering.has_unresponsive_seeds()
            or not peering.fleet_list.highest_available()
        ):
            return False
        names = set(peering.neighbour_table.neighbours)
        if not names and not peering.is_only_instance():
            return False
        return names <= self.responded and bool(
            peering.document.highest_available()
        )

    def open_values(self) -> None:
        """Put the highest valid document and fleet list in force."""
        self.peering.document.open()
        self.peering.fleet_list.open()
        common_events.log_event(
            LOG,
            events.STARTED_FROM,
            peers=sorted(self.responded)[:20],
            document=self.peering.document.revision(),
            list=self.peering.fleet_list.revision(),
        )

    def confirm(self, cause: str) -> None:
        """Allow the view to be given to the entry daemon; notify the listener.

        Parameters
        ----------
        cause : str
            ``'start'`` or ``'resume'``; only the latter is logged.
        """
        self.confirmed = True
        if cause == 'resume':
            common_events.log_event(
                LOG, events.VIEW_CONFIRMED, peers=len(self.responded)
            )
        self.peering.notify_listener()
