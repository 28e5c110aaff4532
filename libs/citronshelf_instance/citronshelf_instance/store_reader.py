"""Reads what is published and follows its changes."""

import asyncio
import enum
import logging
import random
from typing import NamedTuple
from typing import Protocol

from expression import Result

from citronshelf_common import events as log_events
from citronshelf_instance import events
from citronshelf_instance import published_state

LOG = logging.getLogger(__name__)

# A change is in force after one pause and one round trip, within half of the
# 2.5 s that the platform allows; servers that start one after another end one
# watch for all of each pause.
PAUSE_AFTER_CHANGE_S = 1.2
# A watch may miss a change, and a lost connection shows only when its wait is
# over. Instances draw different waits, the longer the more instances there
# are, so that one of them soon finds a missed change and tells the others: the
# first wait of any fleet ends after little more than the shortest.
MIN_WATCH_WAIT_S = 2.0
WATCH_WAIT_PER_INSTANCE_S = 0.28
# The platform ends longer waits itself.
MAX_WATCH_WAIT_S = 28.0
FIRST_RETRY_S = 0.2
MAX_RETRY_S = 1.5
# How long the store may be behind what another instance knows before the
# watch is taken as lost.
OUTDATED_DELAY_S = 0.2
# An outage longer than this may have let registrations lapse.
MIN_LAPSE_OUTAGE_S = 1.0


class ReadFault(enum.StrEnum):
    """Why the store gave no answer that can be used."""

    NO_ANSWER = 'no-answer'
    HISTORY_LOST = 'history-lost'


class StoreFault(NamedTuple):
    """A failed reading."""

    fault: ReadFault
    reason: str


class Store(Protocol):
    """The platform's store, as its adapter offers it."""

    async def read_all(self) -> Result:
        """Return ``Ok`` with a ``Snapshot`` or ``Error``."""

    async def watch(self, after: int, wait_s: float) -> Result:
        """Return ``Ok`` with ``Changes`` after a revision, or ``Error``."""


class StoreReader:
    """Keeps the published state up to date.

    Parameters
    ----------
    store : Store
    state : PublishedState
    ask_peers : callable
        Asks another instance for its state.
    instances : callable
        Returns the number of instances, this one included.
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        *,
        store: Store,
        state: published_state.PublishedState,
        fetch_from_peers,
        instances,
        clock,
        rng: random.Random,
    ):
        self.store = store
        self.state = state
        self.fetch_from_peers = fetch_from_peers
        self.instances = instances
        self.clock = clock
        self.rng = rng
        self.is_reachable = True
        self.is_synced = False
        self.unreachable_since_s: float | None = None
        self.retry_s = FIRST_RETRY_S
        self.outdated = asyncio.Event()
        self.calls = 0

    async def run(self) -> None:
        """Read and watch until cancelled."""
        while True:
            if self.is_synced:
                await self.watch()
            else:
                await self.read_all()
            self.state.directory.drop_lapsed()

    async def read_all(self) -> None:
        """Read everything once."""
        self.calls += 1
        read = await self.store.read_all()
        if read.is_error():
            await self.handle_fault(read.error)
            return
        self.record_response()
        self.state.replace(read.ok, source='store')
        self.is_synced = True

    async def watch(self) -> None:
        """Wait for changes once."""
        self.calls += 1
        # A store that was away answers at once if it is back; a call that
        # waited for changes might hang past its return.
        wait_s = self.draw_wait_s() if self.is_reachable else 0.0
        watching = asyncio.ensure_future(
            self.store.watch(self.state.revision, wait_s)
        )
        outdated = asyncio.ensure_future(self.wait_outdated())
        try:
            await asyncio.wait(
                {watching, outdated}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            outdated.cancel()
            if not watching.done():
                watching.cancel()
        if not watching.done() or watching.cancelled():
            # The next watch begins at the revision that is known by then.
            return
        changed = watching.result()
        if changed.is_error():
            await self.handle_fault(changed.error)
            return
        self.record_response()
        self.state.apply(changed.ok)
        if changed.ok.registrations or changed.ok.configuration:
            await asyncio.sleep(PAUSE_AFTER_CHANGE_S)

    def draw_wait_s(self) -> float:
        """Return how long the next watch waits for a change."""
        longest_s = (
            MIN_WATCH_WAIT_S + WATCH_WAIT_PER_INSTANCE_S * self.instances()
        )
        return self.rng.uniform(
            MIN_WATCH_WAIT_S, min(longest_s, MAX_WATCH_WAIT_S)
        )

    async def wait_outdated(self) -> None:
        """Wait until another instance has known more for a while."""
        self.outdated.clear()
        await self.outdated.wait()
        await asyncio.sleep(OUTDATED_DELAY_S * self.rng.uniform(1, 2))

    def handle_peer_revision(self, revision: int) -> None:
        """Take the newest revision that another instance knows.

        It asks that instance when the store does not answer here.
        """
        if revision <= self.state.revision:
            return
        if self.is_reachable:
            self.outdated.set()
        else:
            self.fetch_from_peers()

    def record_response(self) -> None:
        """Remember that the store answered."""
        now = self.clock()
        if not self.is_reachable:
            outage_s = now - self.unreachable_since_s
            if outage_s >= MIN_LAPSE_OUTAGE_S:
                self.state.directory.record_store_recovery()
            log_events.log_event(
                LOG,
                events.STORE_REGAINED,
                away_s=round(outage_s, 3),
                revision=self.state.revision,
            )
        self.is_reachable = True
        self.unreachable_since_s = None
        self.retry_s = FIRST_RETRY_S

    async def handle_fault(self, fault: StoreFault) -> None:
        """Remember a failed reading and wait before the next one."""
        if fault.fault is ReadFault.HISTORY_LOST:
            self.record_response()
            self.is_synced = False
            log_events.log_event(
                LOG,
                events.STORE_LOST,
                reason=fault.reason,
                revision=self.state.revision,
            )
            await asyncio.sleep(self.rng.uniform(0, FIRST_RETRY_S))
            return
        if self.is_reachable:
            self.unreachable_since_s = self.clock()
            log_events.log_event(
                LOG,
                events.STORE_LOST,
                reason=fault.reason,
                revision=self.state.revision,
            )
        self.is_reachable = False
        self.fetch_from_peers()
        await asyncio.sleep(self.retry_s * self.rng.uniform(0.5, 1.0))
        self.retry_s = min(2 * self.retry_s, MAX_RETRY_S)
