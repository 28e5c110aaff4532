"""Stores published values with their revisions, as the platform does."""

import asyncio
from typing import NamedTuple
from typing import TypedDict

from expression import Error
from expression import Ok
from expression import Result

MAX_VALUE_BYTES = 1_000_000


class Value(NamedTuple):
    """One revision of a named value."""

    revision: int
    body: bytes


class StoreFaults(TypedDict, total=False):
    """Faults that the platform stand-in injects; an absent one is off.

    Attributes
    ----------
    away : bool
        Reads and watches get 503; a watch that was already waiting and times
        out gets 304.
    stale : bool
        Reads and watches return the revision that was current when the
        switch was set.
    older : int
        Like ``stale``, but this number of revisions earlier; at most back to
        the first one.
    list_lag_s : float
        Reads and watches of the instance list return what was current this
        many seconds ago, or the first list if there was none. Has no effect
        while ``stale`` or ``older`` applies to the list.
    """

    away: bool
    stale: bool
    older: int
    list_lag_s: float


class Store:
    """All revisions of the published values.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.history: dict[str, list[tuple[float, Value]]] = {}
        self.faults: StoreFaults = {}
        self.stale_indices: dict[str, int] = {}
        self.changed = asyncio.Condition()

    async def publish(self, name: str, body: bytes) -> Result:
        """Publish a value under the next revision.

        Returns
        -------
        Result
            ``Ok`` with the revision, or ``Error`` with a message if the value
            is larger than ``MAX_VALUE_BYTES``.
        """
        if len(body) > MAX_VALUE_BYTES:
            return Error(f'{len(body)} bytes exceed {MAX_VALUE_BYTES} bytes')
        revisions = self.history.setdefault(name, [])
        revision = revisions[-1][1].revision + 1 if revisions else 1
        return Ok(await self.append(name, Value(revision, body)))

    async def append(self, name: str, value: Value) -> int:
        """Add a revision, wake the watches and return its number."""
        revisions = self.history.setdefault(name, [])
        revisions.append((self.clock(), value))
        async with self.changed:
            self.changed.notify_all()
        return value.revision

    async def set_faults(self, faults: StoreFaults) -> None:
        """Replace all injected faults and wake the watches."""
        self.faults = faults
        is_stale = faults.get('stale') or faults.get('older')
        self.stale_indices = {}
        if is_stale:
            self.stale_indices = {
                name: max(0, len(revisions) - 1 - faults.get('older', 0))
                for name, revisions in self.history.items()
            }
        async with self.changed:
            self.changed.notify_all()

    def read(self, name: str) -> Value | None:
        """Return the value that readers get now; None if the name has none.

        An injected fault may select an earlier revision.
        """
        revisions = self.history.get(name)
        if not revisions:
            return None
        if name in self.stale_indices:
            return revisions[self.stale_indices[name]][1]
        lag_s = self.faults.get('list_lag_s', 0.0)
        if name == 'instances' and lag_s:
            return self.lagged_value(revisions, lag_s)
        return revisions[-1][1]

    def lagged_value(self, revisions, lag_s: float) -> Value:
        """Return the value that was current ``lag_s`` seconds ago.

        Returns the first value if there was none at that time.
        """
        visible = [
            value
            for published_s, value in revisions
            if published_s <= self.clock() - lag_s
        ]
        return visible[-1] if visible else revisions[0][1]

    async def watch(self, name: str, after_revision: int, wait_s: float):
        """Wait until readers get a revision above ``after_revision``.

        Returns
        -------
        Value or None
            None if there is none within ``wait_s`` seconds.
        """
        try:
            async with asyncio.timeout(wait_s):
                return await self.wait_for_revision(name, after_revision)
        except TimeoutError:
            return None

    async def wait_for_revision(self, name: str, after_revision: int) -> Value:
        """Wait without a timeout for a revision above ``after_revision``.

        Under the fault ``list_lag_s``, a revision of the instance list becomes
        current without a new publication, so the list is polled.
        """
        is_lagging = name == 'instances' and self.faults.get('list_lag_s')
        while True:
            value = self.read(name)
            if value is not None and value.revision > after_revision:
                return value
            if is_lagging:
                await asyncio.sleep(0.1)
                continue
            async with self.changed:
                await self.changed.wait()
