"""Values with revisions, as the platform's configuration service has them."""

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
    """Fault switches of the platform.

    ``away``: every read gets 503. ``stale``: reads and watches show what was
    published when the switch was set. ``older``: like ``stale``, but that
    many revisions earlier. ``list_lag_s``: the list of instances shows what
    was true that long ago.
    """

    away: bool
    stale: bool
    older: int
    list_lag_s: float


class Store:
    """Published values and their history.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, *, clock):
        self.clock = clock
        self.history: dict[str, list[tuple[float, Value]]] = {}
        self.faults: StoreFaults = {}
        self.frozen_indices: dict[str, int] = {}
        self.changed = asyncio.Condition()

    async def publish(self, name: str, body: bytes) -> Result:
        """Publish bytes under the next revision.

        Returns
        -------
        Result
            ``Ok`` with the revision or ``Error`` with a message.
        """
        if len(body) > MAX_VALUE_BYTES:
            return Error(f'{len(body)} bytes exceed {MAX_VALUE_BYTES} bytes')
        revisions = self.history.setdefault(name, [])
        revision = revisions[-1][1].revision + 1 if revisions else 1
        return Ok(await self.append(name, Value(revision, body)))

    async def append(self, name: str, value: Value) -> int:
        """Add a value and wake the watches."""
        revisions = self.history.setdefault(name, [])
        revisions.append((self.clock(), value))
        async with self.changed:
            self.changed.notify_all()
        return value.revision

    async def set_faults(self, faults: StoreFaults) -> None:
        """Replace the fault switches."""
        self.faults = faults
        freeze = faults.get('stale') or faults.get('older')
        self.frozen_indices = {}
        if freeze:
            self.frozen_indices = {
                name: max(0, len(revisions) - 1 - faults.get('older', 0))
                for name, revisions in self.history.items()
            }
        async with self.changed:
            self.changed.notify_all()

    def read(self, name: str) -> Value | None:
        """Return what a reader sees of a value now."""
        revisions = self.history.get(name)
        if not revisions:
            return None
        if name in self.frozen_indices:
            return revisions[self.frozen_indices[name]][1]
        lag_s = self.faults.get('list_lag_s', 0.0)
        if name == 'instances' and lag_s:
            return self.lagged_value(revisions, lag_s)
        return revisions[-1][1]

    def lagged_value(self, revisions, lag_s: float) -> Value:
        """Return the value that was current ``lag_s`` seconds ago."""
        visible = [
            value
            for published_s, value in revisions
            if published_s <= self.clock() - lag_s
        ]
        return visible[-1] if visible else revisions[0][1]

    async def watch(self, name: str, after_revision: int, wait_s: float):
        """Wait until a reader sees a revision above ``after``.

        Returns
        -------
        Value or None
            None after ``wait_s`` seconds without one.
        """
        try:
            async with asyncio.timeout(wait_s):
                return await self.wait_for_revision(name, after_revision)
        except TimeoutError:
            return None

    async def wait_for_revision(self, name: str, after_revision: int) -> Value:
        """Wait without a limit for a revision above ``after``."""
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
