"""Records of the valid idempotency keys issued by this process."""

import asyncio
import collections
from collections.abc import Callable
import dataclasses
import enum

from citronshelf_common import outcomes

KEY_LIFETIME_S = 300.0
MAX_KEYS = 20_000
MAX_STORED_BYTES = 16 * 1024 * 1024
# Memory of a stored response in addition to its body and headers.
RESPONSE_OVERHEAD_BYTES = 512


class KeyState(enum.StrEnum):
    """Progress of the request that uses a key."""

    UNUSED = 'unused'
    IN_FLIGHT = 'in-flight'
    FINISHED = 'finished'


@dataclasses.dataclass(kw_only=True, slots=True)
class KeyRecord:
    """State of one issued key and of the request that uses it.

    Attributes
    ----------
    serial : int
    expires_s : float
    state : KeyState
    fingerprint : bytes
        Digest of the only request that may use the key.
    outcome : Outcome or None
        Final outcome, returned to every later request with the key.
    finished : Future or None
        Awaited by all requests that wait for the outcome.
    stored_bytes : int
    collected : bool
        The final outcome was sent to a caller or to the instance that
        forwarded the request.
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
    """The caller of ``begin`` must dispatch the request once, immediately."""

    record: KeyRecord


@dataclasses.dataclass(frozen=True)
class Join:
    """The same request is in flight; its outcome will be shared."""

    record: KeyRecord


@dataclasses.dataclass(frozen=True)
class Finished:
    """The request has its final outcome."""

    record: KeyRecord


@dataclasses.dataclass(frozen=True)
class Expired:
    """The key expired or has no record; whether the work ran is unknown."""


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The key was used for a different request."""


Begin = Start | Join | Finished | Expired | Conflict


class KeyTable:
    """Issues serials and records their outcomes.

    A serial is dispatched at most once: only the transition from UNUSED to
    IN_FLIGHT returns ``Start``, and no transition leads back. A serial whose
    record was removed is never started.

    Parameters
    ----------
    clock : callable
        Returns the time in seconds, including time in which the machine is
        suspended.
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
        # Ordered by issue, which is also the order of expiry.
        self.records: collections.OrderedDict[int, KeyRecord] = (
            collections.OrderedDict()
        )
        self.last_serial = 0
        self.stored_bytes = 0
        self.uncollected: set[int] = set()

    def issue(self) -> int | None:
        """Return a new serial; None if keys or stored bytes are at a limit."""
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
        """Use a key for a request; only ``Start`` permits its dispatch.

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

        A response that exceeds the space left is delivered to the waiting
        requests only; later retries get an unknown outcome.

        Raises
        ------
        KeyFinishedTwice
            If the key is not in flight.
        """
        if record.state is not KeyState.IN_FLIGHT:
            raise KeyFinishedTwice(f'serial {record.serial} is not in flight')
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
        """Record that the outcome was sent.

        It was sent to a caller or to the instance that forwarded the request.
        """
        record.collected = True
        self.uncollected.discard(record.serial)

    def expire(self) -> None:
        """Remove expired keys, except those in flight."""
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
        """Return whether a key is in flight or has an uncollected outcome."""
        return bool(self.uncollected)

    def usage(self) -> float:
        """Return the larger of the fractions of keys and bytes in use."""
        return max(
            len(self.records) / self.max_keys,
            self.stored_bytes / self.max_stored_bytes,
        )


class KeyFinishedTwice(Exception):
    """A key that is not in flight was finished."""


def stored_size(outcome: outcomes.Outcome) -> int:
    """Return the memory in bytes that counts for a stored outcome."""
    if not isinstance(outcome, outcomes.Response):
        return 0
    names = sum(len(name) + len(value) for name, value in outcome.headers)
    return len(outcome.body) + names + RESPONSE_OVERHEAD_BYTES
