"""Queue of either the short or the long requests of one service."""

import asyncio
import bisect
import collections
import itertools
from typing import NamedTuple

from expression import Error
from expression import Ok

from citronshelf_traffic import concurrency
from citronshelf_traffic import work as work_module

# Waiting requests hold their bodies in memory.
MAX_WAITING = 256
# Weight of one request in the moving average of the service time.
SERVICE_TIME_WEIGHT = 0.1

NUMBERS = itertools.count(1)


class Admission(NamedTuple):
    """Permission to send one request; must be released exactly once.

    Attributes
    ----------
    number : int
        Unique in this process.
    work : Work
    waited_s : float
        Time in the queue before this admission, in s, without earlier rounds.
    expires_at : float
        Clock reading, in s, until which the request may wait; the same in
        all rounds.
    rounds : int
        Number of earlier admissions in which no server accepted it.
    """

    number: int
    work: work_module.Work
    waited_s: float
    expires_at: float
    rounds: int = 0


class AdmissionRefusal(NamedTuple):
    """A request was refused; no server has executed it.

    Attributes
    ----------
    reason : str
        'deadline', 'expected-wait', 'queue-full', 'displaced', 'queue-time'
        or 'no-free-server'.
    retry_after_s : float
        Expected wait in the queue, at least 1 s.
    """

    reason: str
    retry_after_s: float


class QueuedRequest:
    """One request that waits for admission."""

    __slots__ = (
        'number',
        'work',
        'queued_at',
        'expires_at',
        'rounds',
        'future',
    )

    def __init__(self, *, work, now, expires_at, rounds, future):
        self.number = next(NUMBERS)
        self.work = work
        self.rounds = rounds
        self.queued_at = now
        self.expires_at = expires_at
        self.future = future

    @property
    def sort_key(self) -> tuple[float, int]:
        """Sort key in the queue.

        Highest worth per expected time first, then order of arrival.
        """
        return (-self.work.worth_rate, self.number)

    def resolve(self, result) -> bool:
        """Set the result; return False if it was already set."""
        if self.future.done():
            return False
        self.future.set_result(result)
        return True


class ServiceQueue:
    """Running and waiting requests of one service, either short or long.

    Long requests have their own queue: in a shared queue, a few of them would
    occupy the whole limit and short requests would wait behind them.

    Parameters
    ----------
    service : str
    max_waiting : int
    """

    def __init__(self, *, service: str, max_waiting: int = MAX_WAITING):
        self.service = service
        self.max_waiting = max_waiting
        self.limit = concurrency.AdaptiveLimit()
        self.running = {}
        self.waiting = []
        self.service_s = None
        self.paused = collections.deque()

    def has_capacity(self) -> bool:
        """Return whether one more request may run."""
        return len(self.running) < self.limit.max_running()

    def mean_service_s(self, work) -> float:
        """Return the moving average of the service time, in s.

        It is measured from admission to release. Before the first request
        ends, this is the expected time of ``work``.
        """
        if self.service_s is None:
            return work.expected_ms / 1000
        return self.service_s

    def expected_wait_s(self, work) -> float:
        """Estimate how long a request would wait in the queue, in s."""
        if self.has_capacity() and not self.waiting:
            return 0.0
        sort_key = (-work.worth_rate, float('inf'))
        ahead = bisect.bisect(
            self.waiting, sort_key, key=lambda request: request.sort_key
        )
        batches = (ahead + 1) / max(1, self.limit.max_running())
        return batches * self.mean_service_s(work)

    def start(self, work, now, *, waited_s, expires_at, rounds=0):
        """Count a request as running and return its admission."""
        admission = Admission(
            next(NUMBERS), work, waited_s, expires_at, rounds
        )
        self.running[admission.number] = now
        return admission

    def finish(self, admission: Admission, now: float) -> None:
        """Count a request as ended and update the mean service time."""
        held_s = now - self.running.pop(admission.number)
        previous_s = self.mean_service_s(admission.work)
        self.service_s = previous_s + SERVICE_TIME_WEIGHT * (
            held_s - previous_s
        )

    def enqueue(self, work, now, expires_at, rounds=0) -> QueuedRequest | None:
        """Add a request to the queue.

        When the queue is full, the request with the least worth per expected
        time is refused; among equal ones, the last to arrive.

        Returns
        -------
        QueuedRequest or None
            None if the new request itself is refused.
        """
        if len(self.waiting) >= self.max_waiting:
            last = self.waiting[-1]
            if last.work.worth_rate >= work.worth_rate:
                return None
            self.waiting.pop()
            last.resolve(Error(self.make_refusal('displaced', last.work)))
        loop = asyncio.get_running_loop()
        queued = QueuedRequest(
            work=work,
            now=now,
            expires_at=expires_at,
            rounds=rounds,
            future=loop.create_future(),
        )
        bisect.insort(
            self.waiting, queued, key=lambda request: request.sort_key
        )
        return queued

    def discard(self, queued: QueuedRequest) -> None:
        """Remove a request from the queue, if it is still there."""
        index = bisect.bisect_left(
            self.waiting, queued.sort_key, key=lambda request: request.sort_key
        )
        if index < len(self.waiting) and self.waiting[index] is queued:
            del self.waiting[index]

    def make_refusal(self, reason: str, work) -> AdmissionRefusal:
        """Return a refusal; retry after the expected wait, at least 1 s."""
        return AdmissionRefusal(reason, max(1.0, self.expected_wait_s(work)))

    async def pause(self, pause_s: float) -> None:
        """Wait for a time in s or until ``wake_paused`` ends the pause."""
        woken = asyncio.get_running_loop().create_future()
        self.paused.append(woken)
        try:
            await asyncio.wait([woken], timeout=pause_s)
        finally:
            self.paused.remove(woken)

    def wake_paused(self) -> None:
        """End the pause that began first, if there is one."""
        for woken in self.paused:
            if not woken.done():
                woken.set_result(None)
                return

    def admit_waiting(self, now: float) -> None:
        """Admit waiting requests in order until the limit is reached.

        Requests found to be expired before that are refused.
        """
        while self.waiting and self.has_capacity():
            queued = self.waiting.pop(0)
            if queued.future.done():
                continue
            if queued.expires_at < now:
                queued.resolve(
                    Error(self.make_refusal('queue-time', queued.work))
                )
                continue
            admission = self.start(
                queued.work,
                now,
                waited_s=now - queued.queued_at,
                expires_at=queued.expires_at,
                rounds=queued.rounds,
            )
            queued.resolve(Ok(admission))
