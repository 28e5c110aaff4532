"""Records of the live keys that this process issued."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum

from citronshelf_common import outcomes

KEY_LIFETIME_S = 300.0
MAX_KEYS = 20_000
MAX_STORED_BYTES = 16 * 1024 * 1024
# What a stored answer takes besides its body and headers.
RESPONSE_OVERHEAD_BYTES = 512


class KeyState(enum.StrEnum):
    """Where a key is in its life."""

    UNUSED = 'unused'
    IN_FLIGHT = 'in-flight'
    FINISHED = 'finished'


@dataclasses.dataclass(kw_only=True, slots=True)
class KeyRecord:
    """One live key.

    Attributes
    ----------
    serial : int
    expires_s : float
    state : KeyState
    fingerprint : bytes
        Digest of the one request that may use the key.
    outcome : Outcome or None
        Final outcome; the same for every later request with the key.
    finished : Future or None
        Awaited by the requests that joined.
    stored_bytes : int
    collected : bool
        A caller was given the final outcome.
    """

    serial: int
    expires_s: float
    state: KeyState = KeyState.UNUSED
    fingerprint: bytes = b''
    outcome: outcomes.Outcome | None = None
    finished: asyncio.Future | None = None
    stored_bytes: int = 0
    collected: bool = False


@dataclasses.dataclass(frozen=True)
class Start:
    """The caller of ``begin`` must dispatch, now and only once."""

    record: KeyRecord


@dataclasses.dataclass(frozen=True)
class Join:
    """The request is in flight; its outcome will be the same."""

    record: KeyRecord


@dataclasses.dataclass(frozen=True)
class Finished:
    """The request has its final outcome."""

    record: KeyRecord


@dataclasses.dataclass(frozen=True)
class Expired:
    """The record is gone; whether the work ran is not known here."""


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The key belongs to another request."""


Begin = Start | Join | Finished | Expired | Conflict


class KeyTable:
    """Issues serials and remembers what became of each.

    A serial is dispatched at most once: only the transition from UNUSED to
    IN_FLIGHT returns ``Start``, and no transition leads back. A forgotten
    serial is never started.

    Parameters
    ----------
    clock : callable
        Seconds; counts while the machine is suspended.
    max_keys, max_stored_bytes : int
    """

    def __init__(
        self,
        *,
        clock: Callable[[], float],
        max_keys: int = MAX_KEYS,
        max_stored_bytes: int = MAX_STORED_BYTES,
    ):
        self.clock = clock
        self.max_keys = max_keys
        self.max_stored_bytes = max_stored_bytes
        # In order of issue, which is the order of expiry.
        self.records: collections.OrderedDict[int, KeyRecord] = (
            collections.OrderedDict()
        )
        self.last_serial = 0
        self.stored_bytes = 0
        self.uncollected: set[int] = set()

    def issue(self) -> int | None:
        """Return a new serial, None when the table is full."""
        self.expire()
        if len(self.records) >= self.max_keys:
            return None
        if self.stored_bytes >= self.max_stored_bytes:
            return None
        self.last_serial += 1
        record = KeyRecord(
            serial=self.last_serial,
            expires_s=self.clock() + KEY_LIFETIME_S,
        )
        self.records[record.serial] = record
        return record.serial

    def begin(self, serial: int, fingerprint: bytes) -> Begin:
        """Use a key for a request.

        Parameters
        ----------
        serial : int
        fingerprint : bytes
            Digest of the request.
        """
        self.expire()
        record = self.records.get(serial)
        if record is None or record.expires_s <= self.clock():
            return Expired()
        if record.state is KeyState.UNUSED:
            record.state = KeyState.IN_FLIGHT
            record.fingerprint = fingerprint
            record.finished = asyncio.get_running_loop().create_future()
            self.uncollected.add(serial)
            return Start(record)
        if record.fingerprint != fingerprint:
            return Conflict()
        if record.state is KeyState.IN_FLIGHT:
            return Join(record)
        return Finished(record)

    def finish(self, record: KeyRecord, outcome: outcomes.Outcome) -> None:
        """Store the final outcome of a key in flight.

        An answer that does not fit into the store is given to those that
        wait; a later retry gets "unknown".
        """
        if record.state is not KeyState.IN_FLIGHT:
            raise KeyFinishedTwice(f'serial {record.serial}')
        record.state = KeyState.FINISHED
        record.finished.set_result(outcome)
        record.finished = None
        size = stored_size(outcome)
        if self.stored_bytes + size > self.max_stored_bytes:
            record.outcome = outcomes.Unknown(reason='answer-not-kept')
            self.uncollected.discard(record.serial)
            return
        record.outcome = outcome
        record.stored_bytes = size
        if self.records.get(record.serial) is record:
            self.stored_bytes += size
        else:
            self.uncollected.discard(record.serial)

    def mark_collected(self, record: KeyRecord) -> None:
        """Note that a caller was given the outcome."""
        record.collected = True
        self.uncollected.discard(record.serial)

    def expire(self) -> None:
        """Forget the keys whose life is over; one in flight ends first."""
        now_s = self.clock()
        kept = []
        while self.records:
            record = next(iter(self.records.values()))
            if record.expires_s > now_s:
                break
            del self.records[record.serial]
            if record.state is KeyState.IN_FLIGHT:
                kept.append(record)
                continue
            self.stored_bytes -= record.stored_bytes
            self.uncollected.discard(record.serial)
        for record in reversed(kept):
            self.records[record.serial] = record
            self.records.move_to_end(record.serial, last=False)

    def has_uncollected(self) -> bool:
        """Tell whether a caller may still want the outcome of a key."""
        return bool(self.uncollected)

    def usage(self) -> float:
        """Return the share of the table that is in use."""
        return max(
            len(self.records) / self.max_keys,
            self.stored_bytes / self.max_stored_bytes,
        )


class KeyFinishedTwice(Exception):
    """A key was finished that is not in flight."""


def stored_size(outcome: outcomes.Outcome) -> int:
    """Return the bytes that a stored outcome takes."""
    if not isinstance(outcome, outcomes.Response):
        return 0
    names = sum(len(name) + len(value) for name, value in outcome.headers)
    return len(outcome.body) + names + RESPONSE_OVERHEAD_BYTES
