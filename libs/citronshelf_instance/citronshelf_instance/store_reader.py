"""Reader of the store that follows published changes."""

import asyncio
from collections.abc import Coroutine
import enum
import logging
import random
from typing import NamedTuple
from typing import Protocol

from expression import Result

from citronshelf_common import events as log_events
from citronshelf_instance import configuration
from citronshelf_instance import events
from citronshelf_instance import published
from citronshelf_instance import reader_group

LOG = logging.getLogger(__name__)

# Readers of a region wait this long for changes, except the first one. A
# longer wait costs fewer calls. It delays no change, since the list is
# confirmed more often by the first reader, and a watch that its readers outrun
# is ended when the list becomes too old.
MIN_WATCH_WAIT_S = 4.0
MAX_WATCH_WAIT_S = 12.0
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.5
# A watch is restarted if it has not returned a revision that another instance
# knows within one to two times this delay.
OUTDATED_DELAY_S = 0.2
# An instance that follows readers leaves a missing change to them for so many
# of these delays, in which the first reader calls the store at least once.
OUTDATED_CHECKS = 3
# A full read usually takes a tenth of this. If one takes longer, the state is
# requested from a peer meanwhile.
SLOW_READ_S = 0.3
# Interval at which an instance without a state checks whether to request it
# from peers.
FIRST_STATE_INTERVAL_S = 0.1
# Interval at which an instance that follows readers checks whether the list
# of servers is too old.
FOLLOW_INTERVAL_S = 0.2
# The call of an instance that has missed a change, or has an old list, usually
# takes a tenth of this. If one takes longer, it is repeated once, and the
# state is requested from a peer.
SLOW_CALL_S = 0.3
# The first reader of a region waits this long for changes, so that the list
# is confirmed often while nothing changes. 0.2 s less than the age at which it
# would call again, which leaves time for connecting between regions.
CONFIRMATION_WAIT_S = 1.0
# While a response arrives, registrations are read apart at this interval, so
# that they do not wait behind a large configuration.
TRANSFER_CHECK_S = 0.4
# Changes of more registrations are read from the store by every instance.
MAX_DELTA_REGISTRATIONS = 64


class ReadFault(enum.StrEnum):
    """Why the store gave no usable response."""

    NO_RESPONSE = 'no-answer'
    HISTORY_LOST = 'history-lost'
    TOO_LARGE = 'too-large'


class StoreFault(NamedTuple):
    """A failed read or watch of the store."""

    fault: ReadFault
    reason: str


class Store(Protocol):
    """Interface of the adapter for the platform's store."""

    async def read_all(self) -> Result:
        """Return ``Ok`` with ``Snapshot`` or ``Error`` with ``StoreFault``."""

    async def watch(self, after: int, wait_s: float) -> Result:
        """Wait for changes after a revision.

        Waits up to ``wait_s`` seconds. Returns ``Ok`` with ``Changes``, or
        ``Error`` with a ``StoreFault``. What is transferred is bounded,
        whatever the number of configurations published meanwhile.
        """

    async def watch_registrations(self, after: int) -> Result:
        """Return changes of registrations only, without a wait."""

    async def read_newest(self, after: int) -> Result:
        """Return changes without a wait.

        Of several configurations, only the newest is transferred, unless it
        cannot be read. Makes up to two calls.
        """

    def is_receiving(self) -> bool:
        """Return whether a response is arriving."""


class StoreReader:
    """Keeps the published state up to date.

    Parameters
    ----------
    store : Store
    state : PublishedState
    fetch_from_peers : callable
        Requests the published state from another instance.
    group : ReaderGroup
    send_report : callable
        Called after a change with a ``RegistrationDelta`` for the region, or
        with None if the others must read the change from the store.
    clock : callable
        Monotonic seconds.
    rng : random.Random
    """

    def __init__(
        self,
        *,
        store: Store,
        state: published.PublishedState,
        fetch_from_peers,
        group: reader_group.ReaderGroup,
        send_report,
        clock,
        rng: random.Random,
    ):
        self.store = store
        self.state = state
        self.fetch_from_peers = fetch_from_peers
        self.group = group
        self.send_report = send_report
        self.clock = clock
        self.rng = rng
        self.is_reachable = True
        self.is_synced = False
        self.unreachable_since_s: float | None = None
        self.retry_delay_s = INITIAL_RETRY_DELAY_S
        self.read_since_s = float('inf')
        # Newest configuration that this instance itself has tried to read.
        self.tried_revision = 0
        self.outdated = asyncio.Event()
        self.superseded = asyncio.Event()
        self.peer_revision = 0
        self.calls = 0
        self.on_unchanged = lambda: None
        # Revision of the newest configuration that this instance itself read.
        self.read_revision = 0
        self.share_configuration = lambda before, newest, delta, is_alone: None
        self.expects_configuration = lambda: False
        self.lacks_announced = lambda: False

    async def run(self) -> None:
        """Follow the store, or readers of it, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.fetch_first_state())
            await self.follow_store()

    async def fetch_first_state(self) -> None:
        """Request the state from peers until requests can be routed.

        Nothing is requested while the store may still respond, or if it has
        no configuration. One that this instance cannot read may have a
        readable predecessor, which only peers still have.
        """
        await asyncio.sleep(SLOW_READ_S)
        while not self.state.is_routable():
            if self.needs_peers() or self.state.lacks_configuration():
                self.fetch_from_peers()
            await asyncio.sleep(FIRST_STATE_INTERVAL_S)

    async def follow_store(self) -> None:
        """Read and watch the store, or follow readers of it."""
        while True:
            if not self.is_synced or self.may_read_configuration():
                await self.read_all()
            else:
                if self.is_reachable:
                    await self.follow_readers()
                    await self.pause_in_series()
                await self.watch()
            self.state.directory.drop_lapsed()

    async def read_all(self) -> None:
        """Replace the state with a full read of the store."""
        self.calls += 1
        self.read_since_s = began_s = self.clock()
        read = await self.store.read_all()
        self.read_since_s = float('inf')
        if read.is_error():
            await self.handle_fault(read.error)
            return
        self.record_response()
        self.state.replace(
            read.ok,
            source=published.STORE_SOURCE,
            confirmed_ago_s=self.clock() - began_s,
        )
        self.tried_revision = self.state.unread_revision
        self.is_synced = True
        self.send_report(None)

    def may_read_configuration(self) -> bool:
        """Return whether only a peer could not read the newest configuration.

        Watches do not return it if the peer's state holds later changes.
        """
        return (
            self.state.lacks_configuration()
            and self.state.unread_revision > self.tried_revision
        )

    async def follow_readers(self) -> None:
        """Wait while readers of the region report all changes.

        Returns when the next call to the store is due: at once if no reader
        confirms the list, when a change was not reported in time, or to poll.
        """
        poll_at_s = (
            self.clock()
            + self.group.poll_interval_s() * self.rng.uniform(0.5, 1.5)
        )
        while self.group.is_covered() and self.clock() < poll_at_s:
            if self.is_behind() and not await self.catch_up():
                return
            self.state.directory.drop_lapsed()
            self.outdated.clear()
            await self.wait_announcement(
                min(FOLLOW_INTERVAL_S, self.group.remaining_s())
            )

    async def catch_up(self) -> bool:
        """Wait until readers report a change that another instance knows.

        Returns False if a call to the store is due.
        """
        missing = self.peer_revision
        for _ in range(OUTDATED_CHECKS):
            delay_s = OUTDATED_DELAY_S * self.rng.uniform(1, 2)
            await asyncio.sleep(min(delay_s, self.group.remaining_s()))
            if self.state.revision >= missing:
                return True
            if not self.group.is_covered():
                return False
        return self.expects_configuration()

    async def pause_in_series(self) -> None:
        """Wait while changes come in quick succession.

        The first reader then reads them at an interval. The other readers
        rely on it until their list is too old.
        """
        while (pause_s := self.pause_s()) >= reader_group.MIN_REMAINING_S:
            await asyncio.sleep(min(pause_s, FOLLOW_INTERVAL_S))

    def pause_s(self) -> float:
        """Return how much longer this reader leaves the store alone."""
        newest = self.state.configuration
        return self.group.pause_s(
            unchanged_s=self.state.unchanged_s(),
            has_read=newest is None or newest.revision <= self.read_revision,
        )

    async def wait_announcement(self, wait_s: float) -> bool:
        """Wait until a peer announces a newer change.

        Returns False if that takes longer than ``wait_s`` seconds.
        """
        try:
            async with asyncio.timeout(wait_s):
                await self.outdated.wait()
        except TimeoutError:
            return False
        return True

    def is_behind(self) -> bool:
        """Return whether another instance knows a newer change."""
        return self.peer_revision > self.state.revision

    async def watch(self) -> None:
        """Wait for changes once and apply them."""
        self.calls += 1
        # Before the test of is_behind, so that no announcement is missed.
        self.outdated.clear()
        # After an outage the store is polled without a wait: it responds at
        # once when it is back, but a call that waits for changes might hang
        # past its recovery. An instance that follows readers, knows that it
        # has missed a change, or has an old list, only catches up.
        may_wait = (
            self.is_reachable
            and not self.group.is_covered()
            and not self.is_behind()
            and not self.may_lack_versions()
            and self.group.remaining_s() > 0
        )
        wait_s = self.draw_wait_s() if may_wait else 0.0
        after = self.state.revision
        began_s = self.clock()
        changed = await self.call_watch(after, wait_s)
        if changed is None:
            return
        if changed.is_error():
            if self.clock() - began_s < wait_s:
                self.state.directory.record_connected()
            await self.handle_fault(changed.error)
            return
        self.record_response()
        after = min(after, self.state.unchanged_since)
        before = self.state.configuration
        unchanged_s = self.state.unchanged_s()
        response_age_s = self.response_age_s(began_s, wait_s, changed.ok)
        self.state.apply(changed.ok, response_age_s)
        self.tried_revision = max(
            self.tried_revision, changed.ok.unread_configuration
        )
        if not changed.ok.is_empty():
            if changed.ok.configuration is not None:
                self.read_revision = changed.ok.configuration.revision
                self.share_configuration(
                    before,
                    changed.ok.configuration,
                    make_registration_delta(after, changed.ok),
                    self.group.is_alone(unchanged_s),
                )
            self.send_report(make_delta(before, after, changed.ok))
            return
        self.on_unchanged()
        if self.is_behind():
            await asyncio.sleep(OUTDATED_DELAY_S * self.rng.uniform(1, 2))

    def response_age_s(
        self, began_s: float, wait_s: float, changes: configuration.Changes
    ) -> float:
        """Return how long ago, at most, the state in a response was newest.

        If nothing changed, the store answered after its wait. A response with
        changes may have been on its way since the call began: a busy link
        delays its first byte as well as its last.
        """
        elapsed_s = self.clock() - began_s
        if not changes.is_empty():
            return elapsed_s
        return max(0.0, elapsed_s - wait_s)

    def may_lack_versions(self) -> bool:
        """Return whether only the newest configuration should be read.

        That is so if several may have been published since the revision that
        is known, but not if the newest cannot be read.
        """
        is_likely = self.state.may_lack_versions() or self.lacks_announced()
        return is_likely and not self.state.lacks_configuration()

    def read_changes(self, after: int) -> Coroutine[None, None, Result]:
        """Return a call to the store that reads changes without a wait."""
        if self.may_lack_versions():
            self.calls += 1
            return self.store.read_newest(after)
        return self.store.watch(after, 0.0)

    async def call_watch(self, after: int, wait_s: float) -> Result | None:
        """Call the store for changes.

        Returns None if the call was abandoned because a peer has known a newer
        revision for a while or sent it, or the list became too old. The next
        call then starts from the revision that is known by that time. A call
        without a wait is only abandoned while its response arrives, so that
        its timeout shows an outage.
        """
        if wait_s == 0.0 and self.is_reachable:
            return await self.call_again_if_slow(after)
        call = (
            self.store.watch(after, wait_s)
            if wait_s > 0
            else self.read_changes(after)
        )
        watching = asyncio.ensure_future(call)
        waiters = {watching}
        if wait_s > 0:
            self.superseded.clear()
            waiters.add(asyncio.ensure_future(self.wait_outdated()))
            waiters.add(asyncio.ensure_future(self.superseded.wait()))
        try:
            await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
            await self.await_transfer(watching, after)
            return watching.result() if watching.done() else None
        finally:
            for waiter in waiters:
                waiter.cancel()

    async def await_transfer(self, call: asyncio.Future, after: int) -> None:
        """Wait for a response that is arriving.

        Registrations are read apart meanwhile. Returns before the end of the
        response if no more bytes come, or if it is superseded.
        """
        while not call.done() and self.store.is_receiving():
            if self.is_superseded(after):
                log_events.log_event(
                    LOG,
                    events.STORE_CALL_SUPERSEDED,
                    after=after,
                    revision=self.state.revision,
                )
                return
            await self.read_registrations(call, after)
            await asyncio.wait({call}, timeout=TRANSFER_CHECK_S)

    def is_superseded(self, after: int) -> bool:
        """Return whether the rest of a response is of no use.

        Another instance has sent a newer state, which is young enough: calls
        that were ended by one old state after another would never succeed.
        """
        return self.state.revision > after and self.group.remaining_s() > 0

    async def read_registrations(
        self, call: asyncio.Future, after: int
    ) -> None:
        """Read changed registrations while another response arrives."""
        self.calls += 1
        reading = asyncio.ensure_future(self.store.watch_registrations(after))
        try:
            await asyncio.wait(
                {call, reading}, return_when=asyncio.FIRST_COMPLETED
            )
            if reading.done() and reading.result().is_ok():
                self.state.apply_registrations(reading.result().ok)
        finally:
            reading.cancel()

    async def call_again_if_slow(self, after: int) -> Result | None:
        """Call the store without a wait, and once more if that is slow.

        A single response that is lost then delays a change only a little.
        Returns the first success, or the result of the last call to end. None
        if another instance sent a newer state while a response arrived.
        """
        calls = {asyncio.ensure_future(self.read_changes(after))}
        try:
            done, _ = await asyncio.wait(calls, timeout=SLOW_CALL_S)
            if not done:
                [call] = calls
                await self.await_transfer(call, after)
                if not call.done() and self.is_superseded(after):
                    return None
                done = call.done()
            if not done:
                self.fetch_from_peers()
                self.calls += 1
                again = self.read_changes(after)
                calls.add(asyncio.ensure_future(again))
            pending = set(calls)
            while pending:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                result = done.pop().result()
                if result.is_ok():
                    break
            return result
        finally:
            for call in calls:
                call.cancel()

    def draw_wait_s(self) -> float:
        """Return a wait in seconds for the next watch, in general random."""
        if self.group.is_confirming():
            return CONFIRMATION_WAIT_S
        return self.rng.uniform(MIN_WATCH_WAIT_S, MAX_WATCH_WAIT_S)

    async def wait_outdated(self) -> None:
        """Wait until a peer has known a newer revision for a while.

        The delay gives the running watch time to return that revision. Returns
        earlier if the list becomes too old.
        """
        while True:
            remaining_s = self.group.remaining_s()
            if remaining_s == 0:
                return
            if await self.wait_announcement(remaining_s):
                break
        await asyncio.sleep(OUTDATED_DELAY_S * self.rng.uniform(1, 2))

    def end_superseded_watch(self) -> None:
        """End a watch whose response another instance has sent before it.

        The response would have the same configuration once more.
        """
        self.superseded.set()

    def handle_peer_revision(self, revision: int) -> None:
        """Handle the revision of the newest change that a peer knows.

        If it is newer, the watch is restarted, or the state is requested
        from a peer while the store is unreachable or slow in a full read.
        """
        if revision <= self.state.revision:
            return
        self.peer_revision = max(self.peer_revision, revision)
        if self.needs_peers():
            self.fetch_from_peers()
        else:
            self.outdated.set()

    def needs_peers(self) -> bool:
        """Return whether the store is unreachable or slow in a full read."""
        is_read_slow = self.clock() - self.read_since_s >= SLOW_READ_S
        return not self.is_reachable or is_read_slow

    def record_response(self) -> None:
        """Record a response from the store; log the end of an outage.

        If registrations may have lapsed meanwhile, a grace period for them
        starts.
        """
        now = self.clock()
        if not self.is_reachable:
            outage_s = now - self.unreachable_since_s
            if self.state.directory.may_have_lapsed():
                self.state.directory.record_store_recovery()
            log_events.log_event(
                LOG,
                events.STORE_REGAINED,
                away_s=round(outage_s, 3),
                revision=self.state.revision,
            )
        self.is_reachable = True
        self.unreachable_since_s = None
        self.retry_delay_s = INITIAL_RETRY_DELAY_S

    async def handle_fault(self, fault: StoreFault) -> None:
        """Record a failed call and wait before the next one.

        Lost history requires only a new full read, since the store did
        respond. After other faults the state is requested from a peer and
        the delay doubles up to ``MAX_RETRY_DELAY_S``.
        """
        if fault.fault is ReadFault.HISTORY_LOST:
            self.record_response()
            self.is_synced = False
            log_events.log_event(
                LOG,
                events.STORE_LOST,
                reason=fault.reason,
                revision=self.state.revision,
            )
            await asyncio.sleep(self.rng.uniform(0, INITIAL_RETRY_DELAY_S))
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
        await asyncio.sleep(self.retry_delay_s * self.rng.uniform(0.5, 1.0))
        self.retry_delay_s = min(2 * self.retry_delay_s, MAX_RETRY_DELAY_S)

    def is_current(self) -> bool:
        """Return whether the last call to the store succeeded."""
        return self.is_synced and self.is_reachable

    def is_up_to_date(self) -> bool:
        """Return whether no newer publication is known or likely.

        While the store responds neither to this instance nor to a reader that
        reports to it, there may be one. A configuration that cannot be read
        is one.
        """
        is_followed = self.is_current() or self.group.is_covered()
        is_behind = self.is_behind() or self.state.lacks_configuration()
        return is_followed and not is_behind


def make_delta(
    before: configuration.Configuration | None,
    after: int,
    changes: configuration.Changes,
) -> configuration.RegistrationDelta | None:
    """Return changes for instances that do not read the store.

    None if there are too many, or if a configuration among them is not in
    force yet: it is passed on together with the registrations.

    Parameters
    ----------
    before : Configuration or None
        The one that was in force before the changes.
    after : int
        Revision after which they were published.
    changes : Changes
    """
    newest = changes.configuration
    if newest is None:
        if changes.changes_configuration():
            return None
        return make_registration_delta(after, changes)
    delta = make_registration_delta(after, changes)
    if before is None or newest.revision > before.revision or delta is None:
        return None
    return delta._replace(configuration=newest.revision)


def make_registration_delta(
    after: int, changes: configuration.Changes
) -> configuration.RegistrationDelta | None:
    """Return what changed beside a configuration.

    None if there is too much, or another configuration that cannot be read.
    """
    if (
        changes.unread_configuration
        or len(changes.registrations) > MAX_DELTA_REGISTRATIONS
    ):
        return None
    return configuration.RegistrationDelta(
        after, changes.revision, dict(changes.registrations)
    )
